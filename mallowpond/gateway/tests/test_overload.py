"""Overload, slow engines, drains and outages of the table at one gateway."""

import asyncio
import json

from mallowpond.gateway.claims import ClaimedAttempt
from mallowpond.gateway.tests.callers import (
    DECLARATION,
    ask,
    counter,
    runs,
    send,
    serving_site,
    set_faults,
)
from mallowpond.gateway.tests.virtual_clock import VirtualClock, run_with_clock
from mallowpond.protocol.peer import ClaimVerdict
from mallowpond.standins.engine import EngineFaults
from mallowpond.standins.platform import PlatformFaults


async def test_overload_is_refused_at_once_with_a_time_to_come_back():
    """Under overload, every answer was late and thus useless.

    Five times as many requests arrived as the groups could serve in time, and requests
    were queued although their deadline could not be met.
    """
    async with serving_site(step_seconds=0.02) as site:
        short = (("mallowpond-timeout", "0.5"),)
        replies = await asyncio.gather(
            *(ask(site, f"p{n}", headers=short) for n in range(80))
        )
        served = [r for r in replies if r.status == 200]
        refused = [r for r in replies if r.status != 200]
        assert {(r.status, r.reason, r.outcome) for r in refused} == {
            (429, "overloaded", "not_run")
        }
        assert all(int(r.headers["retry-after"]) >= 1 for r in refused)
        # Eight slots at about 0.1 s per request: a quarter of the load fits.
        assert len(served) >= 8
        assert len(runs(site)) == len(served)


async def test_retries_stay_within_their_budget():
    async with serving_site() as site:
        set_faults(site, cut_before_head=True)
        for burst in range(5):
            await asyncio.gather(*(ask(site, f"p{n}") for n in range(20)))
            await site.until_serving("meteor", 1)
        retries = counter(site, "retries", reason="cut_before_head")
        assert retries <= 10 + 0.1 * 100
        assert len(runs(site)) <= 100 + 10 + 0.1 * 100


async def test_missing_group_is_its_own_reason():
    async with serving_site() as site:
        for engine in site.engines:
            engine.set_faults(EngineFaults(paused=True))
        await site.until(lambda: not site.gateways[0].routes._permit_until, 10.0)
        reply = await ask(site)
        assert (reply.status, reply.reason) == (503, "no_group")
        assert (reply.outcome, reply.headers["retry-after"]) == ("not_run", "5")


async def test_planned_stop_of_a_gateway_cuts_nothing():
    """A deploy cut off running streams.

    Two stops, one after the other, came while a stream ran, and the gateway closed its
    connections together with the listener.
    """
    async with serving_site(step_seconds=0.05) as site:
        gateway = site.gateways[0]
        running = asyncio.create_task(ask(site, stream=True, max_tokens=20))
        await site.until(lambda: runs(site))
        drains = [asyncio.create_task(gateway.drain()) for _ in range(2)]
        await asyncio.sleep(0.05)
        refused = await ask(site)
        assert (refused.status, refused.reason) == (503, "stopping")
        done = await running
        assert done.is_complete and len(done.events) == 21
        await asyncio.gather(*drains)


async def test_a_gateway_stops_only_when_what_it_settles_is_settled():
    """An attempt that had ended stayed claimed after a planned stop of its gateway.

    The stop waits for finishes and voids that the table has not confirmed. Those in
    flight were not counted, so the stop went on and cancelled the call.
    """
    async with serving_site() as site:
        gateway = site.gateways[0]
        sent, settled = asyncio.Event(), asyncio.Event()

        async def settle(work, timeout):
            sent.set()
            await settled.wait()
            return ClaimVerdict.SETTLED

        gateway._link.ask_claim = settle
        gateway._claims.void(ClaimedAttempt(workspace="w", key="k", attempt="a"))
        await sent.wait()
        draining = asyncio.create_task(gateway.drain())
        await asyncio.sleep(0.2)
        assert not draining.done()
        settled.set()
        async with asyncio.timeout(5.0):
            await draining


async def test_a_gateway_answers_a_request_that_was_read_as_its_stop_began():
    """A request got a closed connection instead of an answer at a planned stop.

    It was read in the iteration of the event loop in which the gateway checked for
    requests in progress, and was counted only one iteration later by its handler.
    """
    async with serving_site() as site:
        gateway, end = site.gateways[0], asyncio.Event()

        async def not_counted_yet(request, exchange):
            await end.wait()
            await exchange.respond(200)

        gateway._server._handler = not_counted_yet
        asking = asyncio.create_task(ask(site))
        await site.until(lambda: gateway._server.is_busy)
        draining = asyncio.create_task(gateway.drain())
        await asyncio.sleep(0.2)
        assert not draining.done()
        end.set()
        await draining
        assert (await asking).status == 200


async def test_a_controller_that_leaves_answers_its_operator():
    """An operator's change got no answer at a planned stop of its controller.

    The stop waited for gateways and claims only and cut off requests of operators, who
    could not know whether the change was in force.
    """
    async with serving_site() as site:
        controller, end = site.controllers[0], asyncio.Event()

        async def slow(request, exchange):
            await end.wait()
            await exchange.respond(200)

        controller._api_server._handler = slow
        address = controller.operator_address
        asking = asyncio.create_task(send(address, "GET", "/v1/history"))
        await site.until(lambda: controller._api_server.is_busy)
        await site.gateways[0].close()
        await site.until(lambda: not controller._links.gateways)
        draining = asyncio.create_task(controller.drain())
        await asyncio.sleep(0.2)
        assert not draining.done()
        end.set()
        await draining
        assert (await asking).status == 200


async def test_stopped_group_finishes_its_requests():
    async with serving_site(step_seconds=0.05) as site:
        running = asyncio.create_task(ask(site, stream=True, max_tokens=40))
        await site.until(lambda: runs(site))
        controller = site.controllers[0]
        head = next(e for e in site.engines if e.runs)
        group = head.status().group
        document = json.loads(controller.configuration.applied.text)
        document["stopped_groups"] = [group]
        await controller.configuration.propose(
            text=json.dumps(document), expect_version=1, author="test"
        )
        done = await running
        assert done.is_complete and len(done.events) == 41
        await site.until(lambda: head.status().group != group)


def test_minutes_without_the_table_change_nothing_for_repeatable_work():
    """Requests were refused as ``configuration_unsure`` while the table was down.

    No process reached the table for three times the assurance period, and only the
    table could confirm which configuration is in force.
    """
    # With the system clock, a stall of the test process on a busy machine aged every
    # confirmation past the assurance period, and the gateway rightly refused.
    clock = VirtualClock()
    run_with_clock(clock, _ask_for_minutes_without_the_table(clock))


async def _ask_for_minutes_without_the_table(clock):
    async with serving_site(controllers=3, clock=clock) as site:
        await site.until(lambda: site.controllers[0].membership.epoch == 3)
        await ask(site)
        site.platform.table.faults = PlatformFaults(down=True)
        # Only ages matter, so three assurance periods stand in for minutes.
        limit = site.controller_timings.assurance * 3
        for _ in range(int(limit / 0.25)):
            assert (await ask(site)).status == 200
            await asyncio.sleep(0.25)
        refused = await ask(site, key="k")
        assert (refused.reason, refused.outcome) == ("store_unavailable", "not_run")


async def test_straggler_gets_a_falling_share():
    source = """
    [[deployments]]
    name = "meteor"
    model = "meteor-7b"
    replicas = 8
    hosts_per_group = 1
    load_seconds = 0.0
    """
    declaration = source + DECLARATION[DECLARATION.index("[[workspaces]]") :]
    async with serving_site(declaration, groups=8, engines=8) as site:
        slow = site.engines[3]
        slow.set_faults(EngineFaults(slow_factor=20.0))
        for burst in range(12):
            await asyncio.gather(*(ask(site, f"{burst}.{n}") for n in range(16)))
        early = len(slow.runs)
        for burst in range(12):
            await asyncio.gather(*(ask(site, f"x{burst}.{n}") for n in range(16)))
        late = len(slow.runs) - early
        assert late <= 192 / 8 / 2
