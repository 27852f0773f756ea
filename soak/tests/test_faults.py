"""Tests of the injector, without processes."""

import asyncio
from dataclasses import replace
from types import SimpleNamespace

from soak.faults import Fault, Injector


def fleet_whose_store_answers(*accepted):
    """Build a fleet whose writes of a configuration have these results in turn."""
    results = list(accepted)

    async def configure():
        return results.pop(0)

    return SimpleNamespace(active_keys={"key-a", "key-b"}, configure=configure)


def test_a_revocation_is_written_until_the_restored_store_accepts_it():
    fleet = fleet_whose_store_answers(False, False, True, True)
    injector = Injector(fleet=fleet, callers=None)
    asyncio.run(injector._revoke(-2.0, repeats_write=True))
    (revocation,) = injector.revocations
    assert revocation.key == "key-b"
    assert revocation.accepted_at <= revocation.restored_at


def test_a_revocation_that_the_store_did_not_accept_is_not_judged():
    fleet = fleet_whose_store_answers(False, True)
    injector = Injector(fleet=fleet, callers=None)
    asyncio.run(injector._revoke(-2.0))
    assert injector.revocations == []


def test_callers_go_on_for_longer_if_a_fault_is_late(monkeypatch):
    """Guards against runs that end before the nodes can serve again."""
    callers = SimpleNamespace(lateness=0.0)
    injector = Injector(fleet=fleet_whose_store_answers(), callers=callers)
    fault = Fault(at=0.0, kind="reconfigure", seconds=0.0, draw=0)
    late = replace(fault, at=-0.5)

    async def inject(fault):
        return

    monkeypatch.setattr(injector, "_inject", inject)
    asyncio.run(injector.run((late, fault)))
    assert callers.lateness >= 0.5
