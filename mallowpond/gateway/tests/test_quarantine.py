"""A request that crashes its targets is quarantined at every gateway."""

import asyncio

from mallowpond.gateway.tests.callers import (
    ask,
    ask_chat,
    runs,
    serving_site,
    set_faults,
)
from mallowpond.state.crash_ledger import ENDINGS_TO_QUARANTINE, QUARANTINE_SECONDS

FATAL = "fatal"
# Without a quarantine, nearly all of these resends reach an engine.
MAX_RESENDS = 14


async def send_when_serving(site, gateway):
    """Send the request again once there is a group that can run it."""
    site_gateway = site.gateways[gateway]
    await site.until(lambda: site_gateway.routes.serving("meteor", site.clock.now()))
    return await ask(site, prompt=FATAL, gateway=gateway)


async def test_a_request_that_ends_its_groups_is_held_back_at_every_gateway():
    """Groups broke one after the other, each with all requests running there.

    One caller's request crashes the engine that runs it, and the caller resends it
    through another gateway, which is attached to another controller. Each gateway knew
    only of the three attempts of one exchange.
    """
    async with serving_site(controllers=2, gateways=2) as site:
        set_faults(site, fatal_prompt=FATAL)
        for number in range(MAX_RESENDS):
            reply = await send_when_serving(site, number % 2)
            if reply.status == 503 and reply.reason == "held_back":
                break
        ended = len(runs(site))
        assert ENDINGS_TO_QUARANTINE <= ended <= 2 * ENDINGS_TO_QUARANTINE
        await asyncio.sleep(0.5)
        for gateway in (0, 1, 0, 1):
            reply = await send_when_serving(site, gateway)
            assert (reply.status, reply.reason) == (503, "held_back")
            assert reply.outcome == "not_run"
            assert 0.0 < float(reply.headers["retry-after"]) <= QUARANTINE_SECONDS
        assert len(runs(site)) == ended
        assert (await ask(site, prompt="star")).status == 200


async def test_a_gateway_and_a_controller_that_start_anew_know_it_from_the_table():
    """A quarantined request crashed groups again after a restart.

    A gateway started and attached to a controller that had just started, and the
    quarantine was kept only in the memory of the processes.
    """
    async with serving_site() as site:
        set_faults(site, fatal_prompt=FATAL)
        for _ in range(MAX_RESENDS):
            reply = await send_when_serving(site, 0)
            if reply.reason == "held_back":
                break
        table = site.platform.table
        await site.until(
            lambda: any(k.startswith("shared/quarantine/") for k in table._rows)
        )
        ended = len(runs(site))
        await site._start_controller(1)
        started = site.controllers[1]
        await site.until(lambda: started.quarantine.published())
        await site._start_gateway(1)
        await site.until(lambda: site.gateways[1].is_ready)
        reply = await send_when_serving(site, 1)
        assert (reply.status, reply.reason) == (503, "held_back")
        assert len(runs(site)) == ended


async def test_a_message_that_ends_its_groups_is_held_back_at_every_gateway():
    """Guards against groups that break under chats which share only one message."""
    async with serving_site(controllers=2, gateways=2) as site:
        set_faults(site, fatal_message=FATAL)
        for number in range(MAX_RESENDS):
            gateway = number % 2
            routes = site.gateways[gateway].routes
            await site.until(lambda r=routes: r.serving("meteor", site.clock.now()))
            reply = await ask_chat(
                site, "be brief", FATAL, f"q{number}", gateway=gateway
            )
            if reply.status == 503 and reply.reason == "held_back":
                break
        ended = len(runs(site))
        assert ENDINGS_TO_QUARANTINE <= ended <= 2 * ENDINGS_TO_QUARANTINE
        await asyncio.sleep(0.5)
        for gateway in (0, 1):
            routes = site.gateways[gateway].routes
            await site.until(lambda r=routes: r.serving("meteor", site.clock.now()))
            reply = await ask_chat(site, "be brief", FATAL, "new", gateway=gateway)
            assert (reply.status, reply.reason) == (503, "held_back")
            assert (
                await ask_chat(site, "be brief", "new", gateway=gateway)
            ).status == 200
        assert len(runs(site)) == ended + 2
