"""Tests of the configuration follower, mainly while the store is unavailable."""

import asyncio
from collections import deque

import pytest

from mallowpond.coordination.tasks import cancel_task
from mallowpond.node.configuration import (
    REWRITE_SECONDS,
    ConfigurationFollower,
)
from mallowpond.node.ports import ConfigurationRead, HistoryLost
from mallowpond.node.settings import NodeBounds
from mallowpond.node.tests.fakes import FakeClock, FakeSource
from mallowpond.state.configuration_reading import (
    LONG_POLL_SHARE,
    QUESTION_INTERVAL_SECONDS,
)
from mallowpond.state.confirmation import ADMISSION_MARGIN_SECONDS
from mallowpond.state.revision import make_revision
from mallowpond.state.site_configuration import SiteConfiguration


def configuration_of(version):
    """Build a configuration with this version."""
    return SiteConfiguration(version=version, routes=(), services={})


def follower_of(*versions):
    """Build a follower of a source that returns these versions in turn."""
    clock = FakeClock()
    source = FakeSource()
    source.configurations.extend(map(configuration_of, versions))
    follower = ConfigurationFollower(
        source=source, clock=clock, bounds=NodeBounds(revoke=5.0)
    )
    return follower, source, clock


async def test_a_node_is_sure_only_while_its_version_is_confirmed():
    follower, source, clock = follower_of(3)
    assert not follower.is_confirmed
    await follower.step()
    assert follower.is_confirmed
    source.is_cut_off = True
    clock.time += 5.0
    await follower.step()
    assert not follower.is_confirmed
    source.is_cut_off = False
    await follower.step()
    assert follower.is_confirmed


async def test_versions_only_rise():
    follower, _, _ = follower_of(3, 2)
    await follower.step()
    await follower.step()
    assert follower.configuration.version == 3


async def test_a_peers_confirmation_counts_only_for_the_same_version():
    follower, _, clock = follower_of(3)
    await follower.step()
    clock.time += 6.0
    follower.confirm(4, clock.time)
    assert not follower.is_confirmed
    follower.confirm(3, clock.time - 1.0)
    assert follower.is_confirmed


UNREADABLE = ConfigurationRead(
    revision=9, configuration=None, changed=True, unreadable=True
)


async def test_a_configuration_that_cannot_be_read_ends_the_certainty_of_the_old_one():
    """Guard against admitting a revoked key for as long as a node runs.

    A configuration that this program cannot decode replaces the one in force, and the
    store answers each later question that nothing has changed since. Such an answer
    without a configuration used to confirm the one in force.
    """
    follower, source, clock = follower_of(3)
    await follower.step()
    source.reads.append(UNREADABLE)
    assert await follower.step()
    for _ in range(6):
        clock.time += 1.0
        assert await follower.step()
    assert follower.configuration.version == 3
    assert not follower.is_confirmed
    source.configurations.append(configuration_of(4))
    await follower.step()
    assert follower.configuration.version == 4
    assert follower.is_confirmed
    clock.time += 4.0
    await follower.step()
    assert follower.is_confirmed
    assert follower.confirmation.age(clock.time) == 0.0


async def test_a_first_configuration_that_cannot_be_read_is_none():
    follower, source, _ = follower_of()
    source.reads.append(UNREADABLE)
    assert not await follower.step()
    assert follower.configuration is None
    assert not follower.is_confirmed
    source.configurations.append(configuration_of(4))
    assert await follower.step()
    assert follower.is_confirmed


async def test_no_question_waits_longer_than_the_bound_for_keys_bears():
    """Guard against refusing nearly all requests if keys must expire within 2 s.

    A reader's call waits at the store while another host asks the reader. The wait was
    the same for every bound, and longer than a short bound permits.
    """
    for bound in (1.0, 2.0, 5.0, 60.0):
        source = FakeSource(configurations=deque([configuration_of(3)]))
        follower = ConfigurationFollower(
            source=source, clock=FakeClock(), bounds=NodeBounds(revoke=bound)
        )
        for _ in range(2):
            await follower.step()
        ages = source.waits[-1] + min(QUESTION_INTERVAL_SECONDS, source.waits[-1])
        assert ages < bound - ADMISSION_MARGIN_SECONDS


async def test_the_first_confirmed_version_ends_the_wait_for_it():
    """Guard against refusing callers while the first read is in flight."""
    follower, _, _ = follower_of(3)
    waiting = asyncio.create_task(follower.wait_for_first_version(60.0))
    await asyncio.sleep(0)
    assert not waiting.done()
    await follower.step()
    async with asyncio.timeout(1.0):
        await waiting
    assert follower.is_confirmed


async def test_a_store_that_does_not_answer_ends_the_wait_for_the_first_version():
    """Guard against keeping callers waiting who cannot be served soon."""
    follower, source, _ = follower_of(3)
    source.is_cut_off = True
    waiting = asyncio.create_task(follower.wait_for_first_version(60.0))
    await follower.step()
    async with asyncio.timeout(1.0):
        await waiting
        await follower.wait_for_first_version(60.0)


async def test_a_version_of_a_peer_ends_the_wait_only_once_it_is_confirmed():
    """Guard against refusing callers with keys before a version is confirmed."""
    follower, _, clock = follower_of()
    waiting = asyncio.create_task(follower.wait_for_first_version(60.0))
    follower.handle_document(3, b"3")
    for _ in range(5):
        await asyncio.sleep(0)
    assert not waiting.done()
    follower.confirm(3, clock.now())
    async with asyncio.timeout(1.0):
        await waiting


async def test_the_wait_for_the_first_version_is_bounded():
    """Guard against keeping callers waiting for as long as a read hangs."""
    follower, _, _ = follower_of(3)
    async with asyncio.timeout(1.0):
        await follower.wait_for_first_version(0.01)
    assert follower.configuration is None


def read_in_era(era, version, configuration=None):
    """Build an answer that reaches this version of an era."""
    return ConfigurationRead(
        revision=make_revision(era, version),
        configuration=configuration,
        changed=configuration is not None,
    )


async def test_a_restored_store_confirms_only_the_version_that_it_shows():
    """Guards against keys that are admitted though the copy lacks their revocation."""
    follower, source, clock = follower_of()
    source.reads.append(read_in_era(1, 90, configuration_of(4)))
    await follower.step()
    clock.time += 1.0
    source.reads.extend(
        [HistoryLost(), read_in_era(2, 40, configuration_of(3)), read_in_era(2, 41)]
    )
    for _ in range(3):
        await follower.step()
        clock.time += REWRITE_SECONDS
    assert follower.configuration.version == 4
    assert follower.confirmation.age(clock.time) > 3.0
    source.reads.append(read_in_era(2, 50, configuration_of(4)))
    await follower.step()
    assert follower.confirmation.age(clock.time) == 0.0


async def test_a_restored_store_confirms_nothing_until_it_was_written_again():
    """Guards against a revocation in the lost seconds that no host has read."""
    follower, source, clock = follower_of()
    source.reads.append(read_in_era(0, 90, configuration_of(4)))
    await follower.step()
    clock.time += 0.5
    source.reads.extend([read_in_era(2, 40, configuration_of(4)), read_in_era(2, 41)])
    await follower.step()
    assert follower.confirmation.age(clock.time) == 0.5
    clock.time += REWRITE_SECONDS
    await follower.step()
    assert follower.confirmation.age(clock.time) == 0.0


# Duration of an exchange with the store beside its wait, in seconds.
EXCHANGE_SECONDS = 0.001


def hold_answers(source, clock):
    """Let the store hold each poll for its wait, in whole milliseconds."""
    answer_at_once = source.configuration

    async def answer(since, wait_seconds, **_):
        await clock.sleep(EXCHANGE_SECONDS + int(wait_seconds * 1000) / 1000)
        return await answer_at_once(since, wait_seconds)

    source.configuration = answer


@pytest.mark.parametrize("bound", [1.0, 2.0, 5.0, 60.0])
async def test_a_restored_store_confirms_as_soon_as_it_was_written_again(bound):
    """Guards against keys that are refused until a poll of the first second ends."""
    clock = FakeClock()
    source = FakeSource()
    source.reads.append(read_in_era(1, 90, configuration_of(4)))
    follower = ConfigurationFollower(
        source=source, clock=clock, bounds=NodeBounds(revoke=bound)
    )
    await follower.step()
    clock.time += bound
    assert not follower.is_confirmed
    source.reads.append(read_in_era(2, 40, configuration_of(4)))
    await follower.step()
    restored_at = clock.time
    hold_answers(source, clock)
    calls = 0
    while not follower.is_confirmed:
        await follower.step()
        calls += 1
    late = clock.time - restored_at - REWRITE_SECONDS
    assert 0.0 <= late <= 2.0 * EXCHANGE_SECONDS
    assert calls <= REWRITE_SECONDS / (LONG_POLL_SHARE * bound) + 2


async def restored_behind_a_failure():
    """Build a follower whose store was restored while its last poll failed."""
    follower, source, clock = follower_of()
    source.reads.append(read_in_era(1, 90, configuration_of(4)))
    await follower.step()
    clock.time += 6.0
    source.is_cut_off = True
    await follower.step()
    source.is_cut_off = False
    source.reads.append(read_in_era(2, 40, configuration_of(4)))
    return follower, source, clock


def name_era(source, era):
    """Let an answer to another call name an era."""
    for notify in source.on_newer_era:
        notify(era)


async def test_any_answer_of_a_restored_store_starts_the_time_to_write_again():
    """Guards against keys that are refused for a second from the next poll on."""
    follower, source, clock = await restored_behind_a_failure()
    name_era(source, 2)
    clock.time += REWRITE_SECONDS / 2.0
    name_era(source, 2)
    await follower.step()
    assert not follower.is_confirmed
    clock.time += REWRITE_SECONDS / 2.0
    await follower.step()
    assert follower.confirmation.age(clock.time) == 0.0


async def test_any_answer_of_a_restored_store_ends_the_pause_before_a_retry():
    follower, source, clock = await restored_behind_a_failure()
    source.is_cut_off = True
    clock.sleep = lambda seconds: asyncio.Event().wait()
    running = asyncio.create_task(follower.run())
    for _ in range(10):
        await asyncio.sleep(0)
    calls = len(source.waits)
    name_era(source, 2)
    for _ in range(10):
        await asyncio.sleep(0)
    assert len(source.waits) == calls + 1
    await cancel_task(running)


async def test_a_host_that_starts_is_not_delayed_by_a_store_that_was_never_restored():
    follower, source, _ = follower_of()
    name_era(source, 0)
    source.reads.append(read_in_era(0, 40, configuration_of(4)))
    await follower.step()
    assert follower.is_confirmed


async def test_a_host_that_starts_does_not_rely_on_a_copy_that_may_be_just_restored():
    """Guards against a key that is admitted by a copy without its revocation."""
    follower, source, clock = follower_of()
    source.reads.append(read_in_era(2, 40, configuration_of(4)))
    await follower.step()
    assert not follower.is_confirmed
    assert not follower.may_run
    clock.time += REWRITE_SECONDS
    await follower.step()
    assert follower.is_confirmed


async def test_a_peers_answer_ends_the_doubt_of_a_host_that_starts():
    """Guards against a host that is of no use for a second after each start."""
    follower, source, clock = follower_of()
    source.reads.append(read_in_era(2, 40, configuration_of(4)))
    await follower.step()
    follower.ask_for_first_confirmation()
    follower.handle_answer(follower._question_number, 4, 0.5, "b")
    assert follower.is_confirmed
    assert follower.may_run


async def test_a_host_that_starts_learns_of_a_newer_version_before_it_admits_a_key():
    follower, source, clock = follower_of()
    source.reads.append(read_in_era(2, 40, configuration_of(3)))
    await follower.step()
    follower._ask()
    follower.handle_answer(follower._question_number, 4, 0.5, "b")
    assert not follower.is_confirmed
    follower.handle_document(4, b"4")
    assert not follower.is_confirmed
    follower._ask()
    follower.handle_answer(follower._question_number, 4, 0.5, "b")
    assert follower.is_confirmed


async def test_a_host_that_was_cut_off_does_not_deny_what_a_newer_version_may_add():
    """Guards against 401 and 404 for keys and routes in force at all other hosts."""
    follower, source, clock = follower_of(3)
    await follower.step()
    assert follower.may_deny
    source.is_cut_off = True
    clock.time += NodeBounds().apply - ADMISSION_MARGIN_SECONDS
    assert follower.is_confirmed and not follower.may_deny


async def test_a_host_that_knows_of_a_newer_version_denies_nothing():
    follower, _, _ = follower_of(3)
    await follower.step()
    follower.handle_version(4, "b")
    assert not follower.may_deny
    follower.handle_document(4, b"4")
    assert follower.may_deny


async def test_the_first_read_of_a_host_that_starts_may_take_long():
    """Guards against hosts that start together and give up the reads of each other."""
    follower, source, _ = follower_of(3)
    timeouts = []
    answer = source.configuration

    async def record(since, wait_seconds, *, timeout_seconds, **more):
        timeouts.append(timeout_seconds)
        return await answer(since, wait_seconds, **more)

    source.configuration = record
    await follower.step()
    await follower.step()
    first, later = timeouts
    assert first == 1.0
    assert later < 0.5
