"""Requests that may not be repeated are claimed first and sent at most once."""

import asyncio
import json

import pytest

from mallowpond.gateway.tests.callers import (
    DECLARATION,
    ask,
    runs,
    send,
    serving_site,
    set_faults,
)
from mallowpond.standins.platform import PlatformFaults


def claim_of(site, key):
    row = site.platform.table._rows.get(f"claim/kurul-a/{key}")
    return row.value if row else None


def charged(site):
    rows = site.platform.table._rows
    return sum(r.value["units"] for k, r in rows.items() if k.startswith("ledger/"))


async def test_claimed_request_runs_once_and_its_repeat_is_told_so():
    async with serving_site() as site:
        first = await ask(site, key="k1")
        assert first.status == 200
        await site.until(lambda: claim_of(site, "k1")["state"] == "done")
        again = await ask(site, key="k1")
        assert (again.status, again.outcome) == (409, "already_run")
        assert again.headers["x-should-retry"] == "false"
        assert len(runs(site)) == 1
        assert charged(site) == 4


async def test_same_key_through_two_gateways_at_once_runs_once():
    async with serving_site(controllers=2, gateways=2) as site:
        for number in range(5):
            key = f"k{number}"
            replies = await asyncio.gather(
                *(ask(site, key=key, gateway=g) for g in (0, 1, 0, 1))
            )
            statuses = sorted(r.status for r in replies)
            assert statuses[0] == 200
            assert statuses[1:] == [409, 409, 409]
        assert len(runs(site)) == 5
        assert charged(site) == 5 * 4


async def test_declared_kind_needs_a_key():
    async with serving_site() as site:
        reply = await ask(site, headers=(("mallowpond-kind", "alert-note"),))
        assert (reply.status, reply.reason) == (400, "key_required")
        assert (reply.outcome, runs(site)) == ("not_run", [])


async def test_table_down_means_not_run_and_repeatable_work_goes_on():
    async with serving_site() as site:
        await ask(site)
        site.platform.table.faults = PlatformFaults(down=True)
        refused = await ask(site, key="k1")
        assert (refused.status, refused.outcome) == (503, "not_run")
        assert "retry-after" in refused.headers
        assert len(runs(site)) == 1
        assert (await ask(site)).status == 200
        site.platform.table.faults = PlatformFaults()
        assert (await ask(site, key="k1")).status == 200


async def test_lost_answer_of_the_claim_is_settled_by_reading():
    async with serving_site() as site:
        await ask(site)
        site.platform.table.faults = PlatformFaults(lost_answers=1)
        replies = [await ask(site, key=f"k{n}") for n in range(3)]
        assert [r.status for r in replies] == [200, 200, 200]
        assert charged(site) == 12


@pytest.mark.parametrize(
    ("faults", "outcome"),
    [
        ({"cut_before_head": True}, "unknown"),
        ({"swap_answers": True}, "unknown"),
        ({"cut_after_tokens": 1}, "unknown"),
    ],
)
async def test_sent_and_unanswered_is_unknown_at_once_and_never_sent_again(
    faults, outcome
):
    """An alert note was sent twice.

    The answer was cut off after the request had been sent, and the gateway retried it
    like a repeatable request.
    """
    async with serving_site() as site:
        set_faults(site, **faults)
        reply = await ask(site, key="k1")
        assert (reply.status, reply.outcome) == (502, outcome)
        assert reply.headers["x-should-retry"] == "false"
        set_faults(site)
        await site.until(lambda: claim_of(site, "k1")["state"] == "unknown")
        again = await ask(site, key="k1")
        assert (again.status, again.outcome) == (409, "unknown")
        assert len(runs(site)) == 1


async def test_refused_before_start_is_refunded_and_may_come_back():
    async with serving_site() as site:
        set_faults(site, refuse_start=True)
        reply = await ask(site, key="k1")
        assert (reply.status, reply.outcome) == (503, "not_run")
        await site.until(lambda: claim_of(site, "k1")["state"] == "void")
        assert charged(site) == 0
        set_faults(site)
        await site.until_serving("meteor", 2)
        assert (await ask(site, key="k1")).status == 200
        assert (len(runs(site)), charged(site)) == (1, 4)


async def test_second_attempt_while_the_first_runs_is_in_progress():
    async with serving_site(step_seconds=0.05) as site:
        first = asyncio.create_task(ask(site, key="k1", max_tokens=10))
        await site.until(lambda: runs(site))
        second = await ask(site, key="k1")
        assert (second.status, second.outcome) == (409, "in_progress")
        assert (await first).status == 200
        assert len(runs(site)) == 1


async def test_caller_that_leaves_does_not_free_the_key():
    async with serving_site(step_seconds=0.05) as site:
        first = asyncio.create_task(ask(site, key="k1", max_tokens=20))
        await site.until(lambda: runs(site))
        first.cancel()
        await asyncio.gather(first, return_exceptions=True)
        await site.until(lambda: claim_of(site, "k1")["state"] == "unknown")
        again = await ask(site, key="k1")
        assert (again.status, again.outcome) == (409, "unknown")
        assert len(runs(site)) == 1


async def test_plain_service_call_that_may_not_be_repeated():
    async with serving_site() as site:
        target = f"127.0.0.1:{site.engines[0].server.port}"
        service = f"""
        [[services]]
        name = "archive"
        path = "/archive"
        methods = ["GET", "POST"]
        targets = ["{target}"]
        """
        await site.apply(DECLARATION + service)
        await site.until(lambda: site.gateways[0].routes.config_version == 2)
        key = (("authorization", "Bearer demo-key"), ("idempotency-key", "s1"))
        first = await send(site.gateway_address, "POST", "/archive/a", b"x", key)
        assert json.loads(first.body)["path"] == "/archive/a"
        await site.until(lambda: claim_of(site, "s1")["state"] == "done")
        again = await send(site.gateway_address, "POST", "/archive/a", b"x", key)
        assert again.outcome == "already_run"


async def test_claims_that_wait_together_share_a_transaction():
    async with serving_site() as site:
        registry = site.controllers[0].metrics.registry
        replies = await asyncio.gather(*(ask(site, key=f"k{n}") for n in range(8)))
        assert {r.status for r in replies} == {200}
        await site.until(lambda: claim_of(site, "k7")["state"] == "done")
        done = registry.get_sample_value("mallowpond_claim_transactions_total")
        assert done < 16


async def test_quota_that_is_spent_is_refused_as_not_run():
    async with serving_site() as site:
        assert (await ask(site, token="poor-key", max_tokens=8)).status == 200
        refused = await ask(site, token="poor-key", max_tokens=8)
        assert (refused.status, refused.reason) == (429, "quota_spent")
        assert int(refused.headers["retry-after"]) > 0
        assert (await ask(site, token="poor-key", max_tokens=2)).status == 200


async def test_wrong_key_is_refused():
    async with serving_site() as site:
        refused = await ask(site, token="nobody")
        assert (refused.status, refused.reason) == (401, "bad_key")
