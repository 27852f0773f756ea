"""The list of targets after the store came back from a copy, at readers and others."""

from dataclasses import replace

import pytest

from mallowpond.node.directory import (
    MISSED_CHANGE_SECONDS,
    READERS_SILENCE_SECONDS,
    RELISTING_SECONDS,
)
from mallowpond.node.ports import HistoryLost
from mallowpond.node.tests.fakes import listing, member, open_group
from mallowpond.node.tests.test_directory import directory_of, serving
from mallowpond.state.broken_groups import STALE_ENTRY_SECONDS
from mallowpond.state.fleet import BreakCause
from mallowpond.state.revision import make_revision

BEFORE = make_revision(1, 90)
COPY = make_revision(2, 40)
PLAIN = replace(member("p", "", 0), membership=None, model="", service="plain")
LEAVING = replace(PLAIN, draining=True)


async def restored(known, copy):
    """Return a directory that knew these targets, and read this copy of the list."""
    directory, source, clock = await directory_of(listing(*known, revision=BEFORE))
    source.listed.extend([HistoryLost(), listing(*copy, revision=COPY)])
    await directory.refresh()
    return directory, source, clock


def usable(directory):
    """Return the ids of the usable targets of the plain service."""
    return {target.id for target in directory.usable_targets("plain")}


async def test_a_target_that_left_in_the_lost_seconds_gets_nothing_more():
    """Guards against requests to a leaving target that the copy lists as ready."""
    directory, _, _ = await restored([LEAVING], [PLAIN])
    assert usable(directory) == set()


async def test_a_target_that_was_removed_in_the_lost_seconds_stays_out():
    """Guards against requests to a target that is gone and still in the copy."""
    directory, source, _ = await directory_of(listing(PLAIN, revision=BEFORE))
    source.listed.append(listing(removed=("p",), revision=BEFORE + 1, whole=False))
    await directory.refresh()
    source.listed.extend([HistoryLost(), listing(PLAIN, revision=COPY)])
    await directory.refresh()
    assert usable(directory) == set()


async def test_a_group_that_was_formed_in_the_lost_seconds_serves_on():
    """Guards against a group that is taken apart as the copy does not show it."""
    group = open_group("g")
    free = [replace(target, membership=None) for target in group]
    directory, _, _ = await restored(group, free)
    assert serving(directory) == {"g"}


async def test_a_target_that_the_copy_lacks_is_kept_until_it_has_written_again():
    """Guards against targets lost that registered in the lost seconds."""
    directory, source, clock = await restored([PLAIN], [])
    assert usable(directory) == {"p"}
    clock.time += RELISTING_SECONDS + 0.1
    source.listed.append(listing(revision=COPY + 1, whole=False))
    await directory.refresh()
    assert usable(directory) == set()


async def test_what_a_target_writes_in_the_new_era_counts_at_once():
    directory, source, _ = await restored([LEAVING], [PLAIN])
    again = replace(PLAIN, born=5)
    source.listed.append(listing(again, revision=COPY + 1, whole=False))
    await directory.refresh()
    assert usable(directory) == {"p"}


async def test_the_list_is_read_once_more_when_targets_have_written_again():
    """Guards against an entry that differs from the list until the next whole read."""
    directory, source, clock = await restored(
        [PLAIN], [replace(PLAIN, slots=PLAIN.slots + 1)]
    )
    assert directory.targets["p"].slots == PLAIN.slots
    clock.time += RELISTING_SECONDS + 0.1
    whole = listing(replace(PLAIN, slots=9), revision=COPY + 9)
    source.listed.append(whole)
    await directory.refresh()
    assert source.requested_revisions[-1] == 0
    assert directory.targets["p"].slots == 9


async def test_a_list_that_the_copy_repeats_is_not_read_again():
    directory, source, clock = await restored([PLAIN], [PLAIN])
    clock.time += RELISTING_SECONDS + 0.1
    source.listed.append(listing(revision=COPY + 1, whole=False))
    await directory.refresh()
    assert source.requested_revisions[-1] == COPY


async def test_a_copy_does_not_readmit_a_broken_group():
    """Guards against streams to a group that broke after the copy was made."""
    group = open_group("g")
    directory, source, clock = await directory_of(listing(*group, revision=BEFORE))
    directory.mark_broken(next(iter(directory.groups.values())), BreakCause.REFUSED)
    clock.time += STALE_ENTRY_SECONDS + 0.1
    source.listed.extend([HistoryLost(), listing(*group, revision=COPY)])
    await directory.refresh()
    assert serving(directory) == set()


async def test_an_older_copy_replaces_what_was_read_before_whatever_its_version():
    """Guards against changes that are skipped until the counter has caught up."""
    other = replace(PLAIN, id="q")
    directory, source, _ = await restored([PLAIN], [PLAIN, other])
    assert usable(directory) == {"p", "q"}
    source.listed.append(listing(LEAVING, revision=COPY + 2, whole=False))
    await directory.refresh()
    assert usable(directory) == {"q"}


async def test_a_reader_publishes_a_new_era_even_without_a_difference():
    """Guards against followers of the new era that take an old digest for current."""
    directory, source, _ = await directory_of(listing(PLAIN, revision=BEFORE))
    published = []
    directory.on_change_read.append(lambda read, previous: published.append(read))
    source.listed.extend([HistoryLost(), listing(PLAIN, revision=COPY)])
    await directory.refresh()
    assert [read.revision for read in published] == [COPY]
    assert directory.last_change == COPY


async def test_a_follower_applies_the_difference_of_a_reader_in_the_new_era():
    directory, _, _ = await directory_of(listing(PLAIN, revision=BEFORE))
    change = listing(replace(PLAIN, id="q"), revision=COPY, whole=False)
    directory.apply_change(change, previous=BEFORE)
    assert (usable(directory), directory.revision) == ({"p", "q"}, COPY)
    assert not directory.is_settled


@pytest.mark.parametrize("own", [COPY - 5, BEFORE - 5])
async def test_a_difference_made_from_another_state_is_not_applied(own):
    """Guards against a follower that misses what both eras told the reader."""
    directory, _, clock = await directory_of(listing(PLAIN, revision=own))
    directory.apply_digest(BEFORE, {})
    directory.apply_change(
        listing(LEAVING, revision=COPY, whole=False), previous=BEFORE
    )
    assert directory.revision == own
    directory.is_reader = lambda: False
    directory.apply_digest(COPY, {})
    clock.time += MISSED_CHANGE_SECONDS + 0.1
    directory.apply_digest(COPY, {})
    assert directory._must_read()


async def test_a_follower_leaves_the_whole_read_to_the_readers_at_first():
    """Guards against a fleet of which each host reads the whole list at once."""
    directory, source, clock = await directory_of(listing(PLAIN, revision=BEFORE))
    directory.is_reader = lambda: False
    source.listed.extend([HistoryLost(), HistoryLost(), listing(PLAIN, revision=COPY)])
    assert not await directory.refresh()
    assert not directory._must_read()
    clock.time += READERS_SILENCE_SECONDS + 0.1
    assert directory._must_read()
    await directory.refresh()
    assert directory.revision == COPY


async def test_a_follower_that_got_the_difference_reads_nothing():
    directory, source, _ = await directory_of(listing(PLAIN, revision=BEFORE))
    directory.is_reader = lambda: False
    source.listed.append(HistoryLost())
    await directory.refresh()
    directory.apply_change(
        listing(LEAVING, revision=COPY, whole=False), previous=BEFORE
    )
    directory.apply_digest(COPY, {})
    assert (usable(directory), directory.revision) == (set(), COPY)
    assert not directory._must_read()
