"""Tests of the directory, mainly while the list is stale or unavailable."""

from collections import deque
from dataclasses import replace

import pytest

from mallowpond.node.directory import (
    PROBED_HEALTHY_SECONDS,
    RELISTING_SECONDS,
    Directory,
)
from mallowpond.node.ports import HistoryLost, TargetsRead
from mallowpond.node.tests.fakes import (
    FakeClock,
    FakeSource,
    listing,
    member,
    open_group,
)
from mallowpond.state.broken_groups import STALE_ENTRY_SECONDS
from mallowpond.state.fleet import BreakCause, GroupPhase
from mallowpond.state.group_pace import SLOWNESS_SECONDS


async def directory_of(*answers):
    """Build a directory that has read the first of these answers."""
    clock = FakeClock()
    source = FakeSource(listed=deque(answers))
    directory = Directory(source=source, clock=clock)
    await directory.refresh()
    return directory, source, clock


def serving(directory):
    """Return the names of the groups that may get streams."""
    return {g.name for g in directory.serving_groups("engines", "m")}


async def test_entries_that_lapsed_during_an_outage_are_kept_for_a_while():
    """Guard against serving nothing for two seconds after an outage of the store.

    The store is down for longer than entries live, so the list is empty until every
    engine has written its entry again. A missing entry was taken for a target that has
    left.
    """
    group = open_group("g")
    directory, source, clock = await directory_of(listing(*group))
    source.is_cut_off = True
    await directory.refresh()
    source.is_cut_off = False
    clock.time += 8.0
    source.listed.append(listing(revision=9, whole=True))
    await directory.refresh()
    assert serving(directory) == {"g"}
    clock.time += RELISTING_SECONDS + 0.1
    source.listed.append(listing(revision=10, whole=False))
    await directory.refresh()
    assert serving(directory) == set()


async def test_a_head_that_fell_out_of_the_list_gets_streams_only_while_vouched_for():
    """Guard against new requests to a target seconds after it announced its leaving.

    Its entry disappears, like that of a target that is cut off. The list does not tell
    the two apart, and both were still used.
    """
    group = open_group("g")
    directory, source, clock = await directory_of(listing(*group))
    source.listed.append(listing(revision=2, removed=("g0",), whole=False))
    await directory.refresh()
    assert serving(directory) == set()
    directory.record_healthy("g0")
    assert serving(directory) == {"g"}
    clock.time += PROBED_HEALTHY_SECONDS
    assert serving(directory) == set()


async def test_a_draining_head_gets_no_new_streams():
    group = open_group("g")
    directory, source, _ = await directory_of(listing(*group))
    leaving = replace(group[0], draining=True)
    source.listed.append(listing(leaving, revision=2, whole=False))
    await directory.refresh()
    assert serving(directory) == set()


async def test_a_lost_history_leads_to_a_whole_read():
    group = open_group("g")
    directory, source, _ = await directory_of(listing(*group))
    other = open_group("h")
    source.listed.extend([HistoryLost(), listing(*group, *other, revision=5)])
    assert await directory.refresh()
    assert serving(directory) == {"g", "h"}
    assert source.requested_revisions == [0, 1, 0]


async def test_a_group_that_was_slow_is_tried_again():
    """Guard against sending no streams to a recovered group for the rest of the day.

    It was slow, so all streams went elsewhere and it produced no events; but only its
    own events could show that it is fast again.
    """
    directory, _, clock = await directory_of(listing(*open_group("g")))
    work = directory.loads.work(("g", 1))
    work.slowness, work.last_event_at = 12.0, clock.time
    assert directory.loads.load(("g", 1)).slowness == 12.0
    clock.time += 5 * SLOWNESS_SECONDS
    assert directory.loads.load(("g", 1)).slowness < 1.1


async def test_loads_of_silent_peers_are_forgotten():
    directory, _, clock = await directory_of(listing(*open_group("g")))
    directory.loads.record_peer_loads("n", {("g", 1): (3, 500.0)})
    assert directory.loads.load(("g", 1)).running == 3
    clock.time += 5.0
    assert directory.loads.load(("g", 1)).running == 0


@pytest.mark.parametrize("whole", [True, False])
@pytest.mark.parametrize("lapsed_before", [True, False])
async def test_a_target_whose_entry_cannot_be_read_is_dropped_for_good(
    whole, lapsed_before
):
    """Guard against sending streams to an engine on the strength of an older entry.

    The entry of an open group's head is replaced by one that cannot be decoded, and a
    probe finds something healthy at the old address. The target counted as silent, so
    the probe brought it back into use.
    """
    head, other = open_group("g")
    directory, source, clock = await directory_of(listing(head, other))
    if lapsed_before:
        source.listed.append(listing(revision=2, removed=("g0",), whole=False))
        await directory.refresh()
    clock.time += 20.0 if whole else 0.0
    unreadable = replace(listing(other, revision=9, whole=whole), unreadable=("g0",))
    source.listed.append(unreadable)
    await directory.refresh()
    directory.record_healthy("g0")
    assert serving(directory) == set()
    assert set(directory.targets) == {"g1"}


async def test_an_unreadable_entry_counts_also_right_after_an_outage():
    head, other = open_group("g")
    directory, source, clock = await directory_of(listing(head, other))
    source.is_cut_off = True
    await directory.refresh()
    source.is_cut_off = False
    unreadable = replace(listing(revision=9, whole=False), unreadable=("g0",))
    source.listed.append(unreadable)
    await directory.refresh()
    assert set(directory.targets) == {"g1"}


async def test_readers_pass_on_which_entries_cannot_be_read():
    head, other = open_group("g")
    directory, source, _ = await directory_of(listing(head, other))
    published = []
    directory.on_change_read.append(lambda read, previous: published.append(read))
    unreadable = replace(listing(revision=9, whole=False), unreadable=("g0",))
    source.listed.append(unreadable)
    await directory.refresh()
    assert published == [unreadable]
    follower, _, _ = await directory_of(listing(head, other))
    follower.apply_change(unreadable, previous=1)
    assert set(follower.targets) == {"g1"}


async def test_an_entry_that_lacks_the_start_that_others_tell_names_no_target():
    """Guard against sending work to an address that is not a target's.

    Targets report their start times. An entry of another writer without one appears
    under a new id, then under the id of a listed target. Its missing start time was
    taken to mean that the platform reports none.
    """
    targets = [replace(t, born=5) for name in "gh" for t in open_group(name)]
    directory, source, _ = await directory_of(listing(*targets))
    foreign = replace(targets[0], id="x", membership=None, born=None)
    source.listed.append(listing(foreign, revision=2, whole=False))
    await directory.refresh()
    assert "x" not in directory.targets
    source.listed.append(
        listing(replace(targets[0], born=None), revision=3, whole=False)
    )
    await directory.refresh()
    assert set(directory.targets) == {"g1", "h0", "h1"}
    assert serving(directory) == {"h"}


async def test_targets_of_a_platform_that_tells_no_starts_are_used():
    """Guard against serving nothing although every target is listed and healthy.

    Targets write entries without a start time, and another writer adds one that has it.
    The start time was treated as a field that no entry may lack.
    """
    group, other = (
        [replace(target, born=None) for target in open_group(name)] for name in "gh"
    )
    foreign = replace(group[0], id="x", membership=None, born=5)
    directory, source, _ = await directory_of(listing(*group, foreign))
    assert serving(directory) == {"g"}
    source.listed.append(listing(*other, revision=2, whole=False))
    await directory.refresh()
    assert serving(directory) == {"g", "h"}


async def test_a_broken_group_is_used_again_only_when_it_is_listed_anew():
    """Guard against a head that refuses streams but attracts them every few seconds.

    A full read of the list still contains the old entry. An entry that was known when
    the head refused counted as newer information about it.
    """
    group = open_group("g")
    directory, source, clock = await directory_of(listing(*group))
    directory.mark_broken(directory.groups["g", 1], BreakCause.REFUSED)
    assert serving(directory) == set()
    assert directory.count_open_groups("engines") == 0
    clock.time += 0.5
    source.listed.append(listing(*group, revision=2))
    directory._full_read_at = float("-inf")
    await directory.refresh()
    assert source.requested_revisions[-1] == 0
    assert serving(directory) == set()
    directory.apply_change(
        TargetsRead(revision=3, targets=(group[0],)), previous=directory.last_change
    )
    assert serving(directory) == {"g"}


async def test_a_broken_group_is_used_again_when_a_late_whole_read_still_shows_it():
    """Guard against sending no streams to a sound group for the rest of the day.

    Its head refuses a stream, then closes and opens again between two reads, and the
    feed reports no change. Only a change of its entry could readmit it.
    """
    group = open_group("g")
    directory, source, clock = await directory_of(listing(*group))
    directory.mark_broken(directory.groups["g", 1], BreakCause.REFUSED)
    clock.time += STALE_ENTRY_SECONDS + 0.1
    source.listed.append(listing(*group, revision=2))
    directory._full_read_at = float("-inf")
    await directory.refresh()
    assert serving(directory) == {"g"}


async def test_a_broken_group_is_not_used_again_before_it_is_open():
    group = open_group("g")
    directory, _, _ = await directory_of(listing(*group))
    directory.mark_broken(directory.groups["g", 1], BreakCause.REFUSED)
    membership = replace(group[0].membership, phase=GroupPhase.CLOSING)
    closing = replace(group[0], membership=membership)
    directory.apply_change(TargetsRead(revision=3, targets=(closing,)), previous=1)
    assert directory.is_broken(("g", 1))
    directory.apply_change(TargetsRead(revision=4, targets=(group[0],)), previous=3)
    assert serving(directory) == {"g"}


def restarted(target, **more):
    """Build the entry of a later process that started under the same id."""
    return replace(target, **{"born": target.born + 1, "membership": None, **more})


def change(revision, *targets):
    """Build a change of the list."""
    return TargetsRead(revision=revision, targets=targets)


async def test_a_group_is_broken_when_any_member_started_again():
    """Guard against streams that hang at a group until it is declared dead.

    A member other than the head restarts under its id, and the list shows its new
    process without a group, while the head remains listed as open and its entry even
    changes. The member's entry was taken for a change of the same process, and the
    group for complete without it.
    """
    for rank in (0, 1):
        group = open_group("g")
        directory, _, _ = await directory_of(listing(*group))
        broken = []
        directory.on_broken.append(lambda *args, seen=broken: seen.append(args))
        directory.apply_change(change(2, restarted(group[rank])), previous=1)
        assert serving(directory) == set()
        ((broken_group, cause, is_known_to_peers),) = broken
        assert (broken_group.key, cause, is_known_to_peers) == (
            ("g", 1),
            BreakCause.RESTARTED,
            True,
        )
    directory.apply_change(change(3, replace(group[0], staged=("n",))), previous=2)
    assert serving(directory) == set()


async def test_a_group_of_the_later_processes_is_used():
    group = open_group("g")
    directory, _, _ = await directory_of(listing(*group))
    directory.apply_change(change(2, *map(restarted, group)), previous=1)
    memberships = [replace(t.membership, epoch=2) for t in group]
    reformed = [
        restarted(t, membership=m) for t, m in zip(group, memberships, strict=True)
    ]
    directory.apply_change(change(3, *reformed), previous=2)
    assert [g.key for g in directory.serving_groups("engines", "m")] == [("g", 2)]


async def test_what_a_restarted_target_says_counts_before_the_list_shows_it():
    """Guard against streams to a group for seconds after a member reported a restart.

    The list still contains the member's old entry, and then a changed one that was
    written before the restart. What a target reports about itself was used only while
    the list could not be read.
    """
    group = open_group("g")
    directory, _, _ = await directory_of(listing(*group))
    broken = []
    directory.on_broken.append(lambda *args: broken.append(args[1:]))
    directory.apply_report(restarted(group[1]))
    assert serving(directory) == set()
    assert broken == [(BreakCause.RESTARTED, False)]
    late = [replace(target, staged=("n",)) for target in group]
    directory.apply_change(change(2, *late), previous=1)
    assert serving(directory) == set()


async def test_a_late_report_of_the_earlier_process_changes_nothing():
    """Guard against sending no streams to a sound group.

    A target restarts and its group is formed again. Then a report of the earlier
    process arrives, also while the list cannot be read. Reports were applied without a
    check of the process they came from.
    """
    group = open_group("g")
    directory, source, _ = await directory_of(listing(*group))
    memberships = [replace(t.membership, epoch=2) for t in group]
    reformed = [
        restarted(t, membership=m) for t, m in zip(group, memberships, strict=True)
    ]
    directory.apply_change(change(2, *reformed), previous=1)
    before = dict(directory.targets)
    for is_lost in (False, True):
        source.is_cut_off = is_lost
        await directory.refresh() if is_lost else None
        directory.apply_report(group[1])
        assert directory.targets == before
        assert [g.key for g in directory.serving_groups("engines", "m")] == [("g", 2)]


async def test_a_process_that_the_list_still_shows_later_is_believed_again():
    """Guard against never using a live target again.

    An answer of an earlier process is taken for that of a later one. No other entry
    follows, as the listed process is the current one. A process once recorded as ended
    remained so for ever.
    """
    group = open_group("g")
    directory, source, clock = await directory_of(listing(*group))
    directory.apply_report(restarted(group[1]))
    clock.time += STALE_ENTRY_SECONDS + 0.1
    source.listed.append(listing(*group, revision=2))
    directory._full_read_at = float("-inf")
    await directory.refresh()
    assert serving(directory) == {"g"}


async def test_who_vouched_for_a_process_did_not_vouch_for_the_next():
    """Guard against streams to an unlisted head that has just restarted.

    A probe finds an unlisted head healthy. The head restarts, is listed as open in a
    new group, and disappears from the list a moment later. The result of the probe was
    stored by id, not by process.
    """
    group = open_group("g")
    directory, source, clock = await directory_of(listing(*group))
    gone = TargetsRead(revision=2, targets=(), removed=("g0",))
    directory.apply_change(gone, previous=1)
    directory.record_healthy("g0")
    assert serving(directory) == {"g"}
    reformed = [restarted(t, membership=replace(t.membership, epoch=2)) for t in group]
    directory.apply_change(change(3, *reformed), previous=2)
    directory.apply_change(replace(gone, revision=4), previous=3)
    assert directory.targets["g0"].lapsed
    assert serving(directory) == set()


async def test_the_pace_that_a_group_showed_ends_with_its_processes():
    group = open_group("g")
    directory, _, clock = await directory_of(listing(*group))
    work = directory.loads.work(("g", 1))
    work.slowness, work.last_event_at, work.running = 12.0, clock.time, 1
    directory.apply_change(change(2, restarted(group[0])), previous=1)
    assert directory.loads.load(("g", 1)).slowness == 1.0
    assert directory.loads.load(("g", 1)).running == 1


async def test_attempts_at_processes_that_ended_do_not_count():
    group = open_group("g")
    directory, _, _ = await directory_of(listing(*group, member("x", "h", 0)))
    sent = [target.process for target in group]
    assert directory.count_present(sent) == 2
    directory.apply_change(change(2, restarted(group[0])), previous=1)
    assert directory.count_present(sent) == 1
    directory.apply_report(restarted(group[1]))
    assert directory.count_present(sent) == 0


async def test_the_list_decides_which_process_is_present():
    """Guard against not using a target that the list shows.

    The clock of its host is set back while it restarts twice, so the third process has
    the start time of the first. The record that the first one had ended outweighed a
    later entry of the list.
    """
    group = open_group("g")
    directory, _, _ = await directory_of(listing(*group))
    directory.apply_change(change(2, *map(restarted, group)), previous=1)
    memberships = [replace(t.membership, epoch=3) for t in group]
    third = [replace(t, membership=m) for t, m in zip(group, memberships, strict=True)]
    directory.apply_change(change(3, *third), previous=2)
    assert [g.key for g in directory.serving_groups("engines", "m")] == [("g", 3)]
    assert directory.count_present([t.process for t in third]) == 2


@pytest.mark.parametrize("name", ["a", "z"])
async def test_an_entry_of_another_service_takes_no_place_in_a_group(name):
    """Guard against sending no streams to an open group whose engines are all healthy.

    An entry of another writer, complete but of an unknown service, names the group and
    the rank of its head. Every entry that named a group was taken for a member, and
    could become its head.
    """
    group = open_group("g")
    foreign = replace(group[0], id=name, service="nowhere")
    for listed in ([foreign, *group], [*group, foreign]):
        directory, _, _ = await directory_of(listing(*listed))
        assert serving(directory) == {"g"}
        (found,) = directory.serving_groups("engines", "m")
        assert [member.id for member in found.members] == ["g0", "g1"]
        assert directory.serving_groups("nowhere", "m") == []


async def test_a_group_listed_late_with_a_member_that_is_gone_gets_no_streams():
    """Guard against streams that hang at a group that has just been listed.

    A member reports its own restart; then the list shows a group that its earlier
    process had joined. Only the group that the node already knew was taken out of use.
    """
    group = open_group("g")
    directory, _, _ = await directory_of(listing(*group))
    directory.apply_report(restarted(group[1]))
    late = [replace(t, membership=replace(t.membership, epoch=2)) for t in group]
    directory.apply_change(change(2, *late), previous=1)
    assert serving(directory) == set()
