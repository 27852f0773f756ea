"""Tests of the injector, without processes."""

import asyncio
from types import SimpleNamespace

from soak.faults import Injector


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
