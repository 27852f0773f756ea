"""Each caller gets the complete answer to its own request, or sees it is broken."""

import asyncio

import pytest

from mallowpond.gateway.tests.callers import (
    ask,
    counter,
    runs,
    serving_site,
    set_faults,
)
from mallowpond.gateway.tests.virtual_clock import VirtualClock, run_with_clock
from mallowpond.standins.engine import EngineFaults


async def test_each_of_many_callers_gets_its_own_answer():
    async with serving_site() as site:
        prompts = [f"p{n}" for n in range(40)]
        replies = await asyncio.gather(
            *(ask(site, p, stream=bool(n % 2)) for n, p in enumerate(prompts))
        )
    for prompt, reply in zip(prompts, replies, strict=True):
        words = reply.events if b"data: " in reply.body else [reply.text]
        expected = "".join(f"{prompt}.{n} " for n in range(4))
        assert "".join(words) == expected
        assert reply.is_complete


@pytest.mark.parametrize("stream", [False, True])
async def test_swapped_answers_reach_nobody(stream):
    """A caller received the answer to another caller's request.

    An engine sent the answer to one request on the connection of another, and the
    gateway trusted the connection instead of the echoed headers.
    """
    async with serving_site() as site:
        set_faults(site, swap_answers=True)
        reply = await ask(site, stream=stream)
        assert reply.status == 502
        assert (reply.outcome, reply.reason) == ("unknown", "crossed_answer")
        assert b"star" not in reply.body


@pytest.mark.parametrize("after", [0, 1, 3])
async def test_stream_cut_at_any_token_is_resumed_whole(after):
    async with serving_site() as site:
        # The same prompt goes to the same idle group, which now cuts off the stream.
        await ask(site, stream=True)
        (head,) = [engine for engine in site.engines if engine.runs]
        head.set_faults(EngineFaults(cut_after_tokens=after))
        reply = await ask(site, stream=True)
        assert reply.is_complete
        assert reply.events == [f"star.{n} " for n in range(4)] + [""]
        assert counter(site, "retries", reason="cut_body") == 1
        for number in range(6):
            other = await ask(site, f"p{number}", stream=True)
            assert other.is_complete
            assert other.events == [f"p{number}.{n} " for n in range(4)] + [""]


async def test_stream_that_cannot_be_resumed_ends_visibly_broken():
    """A caller took half a summary for the whole one.

    Every group cut off its streams, and the gateway ended the response to the caller
    normally after an incomplete body.
    """
    async with serving_site() as site:
        set_faults(site, cut_after_tokens=2)
        reply = await ask(site, stream=True, max_tokens=20)
        assert reply.status == 200
        assert not reply.is_complete
        assert b"broken_stream" in reply.body
        assert b"[DONE]" not in reply.body
        assert counter(site, "broken_streams") == 1


async def test_whole_answer_is_fetched_again_before_any_byte_is_passed_on():
    async with serving_site() as site:
        for engine in site.engines[:2]:
            engine.set_faults(EngineFaults(cut_before_head=True))
        replies = [await ask(site, f"p{n}") for n in range(6)]
        assert [r.status for r in replies] == [200] * 6


async def test_late_answer_after_a_cancel_reaches_nobody():
    async with serving_site() as site:
        set_faults(site, late_seconds=0.3)
        first = asyncio.create_task(ask(site, "left"))
        await asyncio.sleep(0.1)
        first.cancel()
        await asyncio.gather(first, return_exceptions=True)
        set_faults(site)
        replies = await asyncio.gather(*(ask(site, f"p{n}") for n in range(8)))
        for number, reply in enumerate(replies):
            assert reply.text.startswith(f"p{number}.0 ")
        await site.until(lambda: site.gateways[0].in_flight == 0)
        assert counter(site, "clients_gone") == 1


async def test_group_that_breaks_in_mid_stream_is_not_ended_as_whole():
    async with serving_site(step_seconds=0.05) as site:
        reply = asyncio.create_task(ask(site, stream=True, max_tokens=30))
        await site.until(lambda: runs(site))
        await asyncio.sleep(0.2)
        head = next(e for e in site.engines if e.runs)
        group = head.status().group
        for engine in site.engines:
            if engine.status().group == group and engine is not head:
                await engine.close()
        done = await reply
        if done.is_complete:
            assert done.events == [f"star.{n} " for n in range(30)] + [""]
        else:
            assert b"broken_stream" in done.body


def test_a_stream_is_whole_while_all_engines_are_slow():
    """Guards against engines that are taken for crashed as all of them are slow."""
    clock = VirtualClock()

    async def ask_slow_engines():
        async with serving_site(clock=clock) as site:
            # Three seconds between two tokens, more than `between_chunks`.
            set_faults(site, slow_factor=1500.0)
            reply = await ask(site, stream=True)
            assert reply.is_complete
            assert reply.events == [f"star.{n} " for n in range(4)] + [""]
            assert len(runs(site)) <= 3
            assert not site.controllers[0].quarantine.published()
            routes = site.gateways[0].routes
            assert not routes._revoked_at
            # A slot that was not released would keep its group from new requests.
            set_faults(site)
            replies = [await ask(site, f"p{n}") for n in range(20)]
            assert {r.status for r in replies} == {200}

    run_with_clock(clock, ask_slow_engines())
