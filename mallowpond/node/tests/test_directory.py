"""What a node believes of its targets when the list lies or is silent."""

from collections import deque
from dataclasses import replace

import pytest

from mallowpond.node.directory import (
    RETURN_SECONDS,
    SLOWNESS_SECONDS,
    VOUCHED_SECONDS,
    Directory,
)
from mallowpond.node.ports import HistoryLost
from mallowpond.node.tests.fakes import FakeClock, FakeSource, listing, open_group


async def directory_of(*answers):
    """Build a directory that read the first answer."""
    clock = FakeClock()
    source = FakeSource(listed=deque(answers))
    directory = Directory(source=source, clock=clock)
    await directory.refresh()
    return directory, source, clock


def serving(directory):
    """Return the names of the groups that get streams."""
    return {g.name for g in directory.serving_groups("engines", "m")}


async def test_entries_that_lapsed_during_an_outage_are_kept_for_a_while():
    """Symptom: nothing is served for two seconds after the store's return.

    Sequence: the store is down longer than entries live; at its return the list is
    empty, until every engine has written its entry again.
    Cause: a missing entry was taken for a target that is gone.
    """
    group = open_group("g")
    directory, source, clock = await directory_of(listing(*group))
    source.cut = True
    await directory.refresh()
    source.cut = False
    clock.time += 8.0
    source.listed.append(listing(revision=9, whole=True))
    await directory.refresh()
    assert serving(directory) == {"g"}
    clock.time += RETURN_SECONDS + 0.1
    source.listed.append(listing(revision=10, whole=False))
    await directory.refresh()
    assert serving(directory) == set()


async def test_a_head_that_fell_out_of_the_list_gets_streams_only_while_vouched_for():
    """Symptom: a target that leaves gets new requests seconds after it said so.

    Sequence: its entry is removed without a word, as that of one that is cut off.
    Cause: the list does not tell the two apart, and both were used on.
    """
    group = open_group("g")
    directory, source, clock = await directory_of(listing(*group))
    source.listed.append(listing(revision=2, removed=("g0",), whole=False))
    await directory.refresh()
    assert serving(directory) == set()
    directory.vouch("g0")
    assert serving(directory) == {"g"}
    clock.time += VOUCHED_SECONDS
    assert serving(directory) == set()


async def test_a_draining_head_gets_no_new_streams():
    group = open_group("g")
    directory, source, _ = await directory_of(listing(*group))
    leaving = type(group[0])(**{**vars(group[0]), "draining": True})
    source.listed.append(listing(leaving, revision=2, whole=False))
    await directory.refresh()
    assert serving(directory) == set()


async def test_a_lost_history_leads_to_a_whole_read():
    group = open_group("g")
    directory, source, _ = await directory_of(listing(*group))
    source.listed.append(HistoryLost())
    assert not await directory.refresh()
    assert source.asked == [0, 1]
    other = open_group("h")
    source.listed.append(listing(*group, *other, revision=5))
    await directory.refresh()
    assert serving(directory) == {"g", "h"}
    assert source.asked == [0, 1, 0]


async def test_a_group_that_was_slow_is_tried_again():
    """Symptom: a group that has recovered gets no streams for the rest of the day.

    Sequence: it was slow, so all streams went elsewhere, and nothing came from it.
    Cause: only its own events could show that it is fast again.
    """
    directory, _, clock = await directory_of(listing(*open_group("g")))
    work = directory.work(("g", 1))
    work.slowness, work.last_event_at = 12.0, clock.time
    assert directory.load(("g", 1)).slowness == 12.0
    clock.time += 5 * SLOWNESS_SECONDS
    assert directory.load(("g", 1)).slowness < 1.1


async def test_loads_of_silent_peers_are_forgotten():
    directory, _, clock = await directory_of(listing(*open_group("g")))
    directory.note_peer("n", {("g", 1): (3, 500.0)})
    assert directory.load(("g", 1)).running == 3
    clock.time += 5.0
    assert directory.load(("g", 1)).running == 0


@pytest.mark.parametrize("whole", [True, False])
@pytest.mark.parametrize("lapsed_before", [True, False])
async def test_a_target_whose_entry_cannot_be_read_is_dropped_for_good(
    whole, lapsed_before
):
    """Symptom: streams go on to an engine by what an older entry said of it.

    Sequence: the entry of an open group's head is replaced by one that cannot be
    read; a probe finds that something healthy answers at the old address.
    Cause: the target counted as fallen silent, which a probe makes up for.
    """
    head, other = open_group("g")
    directory, source, clock = await directory_of(listing(head, other))
    if lapsed_before:
        source.listed.append(listing(revision=2, removed=("g0",), whole=False))
        await directory.refresh()
    clock.time += 20.0 if whole else 0.0
    bad = replace(listing(other, revision=9, whole=whole), unreadable=("g0",))
    source.listed.append(bad)
    await directory.refresh()
    directory.vouch("g0")
    assert serving(directory) == set()
    assert set(directory.targets) == {"g1"}


async def test_an_unreadable_entry_counts_also_right_after_an_outage():
    head, other = open_group("g")
    directory, source, clock = await directory_of(listing(head, other))
    source.cut = True
    await directory.refresh()
    source.cut = False
    bad = replace(listing(revision=9, whole=False), unreadable=("g0",))
    source.listed.append(bad)
    await directory.refresh()
    assert set(directory.targets) == {"g1"}


async def test_readers_pass_on_which_entries_cannot_be_read():
    head, other = open_group("g")
    directory, source, _ = await directory_of(listing(head, other))
    passed_on = []
    directory.on_read.append(lambda read, previous: passed_on.append(read))
    bad = replace(listing(revision=9, whole=False), unreadable=("g0",))
    source.listed.append(bad)
    await directory.refresh()
    assert passed_on == [bad]
    follower, _, _ = await directory_of(listing(head, other))
    follower.hear_change(bad, previous=1)
    assert set(follower.targets) == {"g1"}


@pytest.mark.parametrize("name", ["a", "z"])
async def test_an_entry_of_another_service_takes_no_place_in_a_group(name):
    """Symptom: an open group gets no streams, though all its engines are well.

    Sequence: another writer's entry, whole but of a service that nobody knows, names
    the group, and its head's rank.
    Cause: whoever named a group was taken for a member, and might become its head.
    """
    group = open_group("g")
    foreign = replace(group[0], id=name, service="nowhere")
    for listed in ([foreign, *group], [*group, foreign]):
        directory, _, _ = await directory_of(listing(*listed))
        assert serving(directory) == {"g"}
        (found,) = directory.serving_groups("engines", "m")
        assert [member.id for member in found.members] == ["g0", "g1"]
        assert directory.serving_groups("nowhere", "m") == []
