"""What a node believes of its targets when the list lies or is silent."""

from collections import deque
from dataclasses import replace

import pytest

from mallowpond.node.directory import (
    PROBED_HEALTHY_SECONDS,
    RELISTING_SECONDS,
    Directory,
)
from mallowpond.node.group_loads import SLOWNESS_SECONDS
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
    clock.time += RELISTING_SECONDS + 0.1
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
    directory.record_healthy("g0")
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
    directory.on_change_read.append(lambda read, previous: passed_on.append(read))
    bad = replace(listing(revision=9, whole=False), unreadable=("g0",))
    source.listed.append(bad)
    await directory.refresh()
    assert passed_on == [bad]
    follower, _, _ = await directory_of(listing(head, other))
    follower.apply_change(bad, previous=1)
    assert set(follower.targets) == {"g1"}


async def test_an_entry_that_lacks_the_start_that_others_tell_names_no_target():
    """Symptom: work is sent to an address where no target is, or to one that another
    writer has named.

    Sequence: targets tell their starts; an entry that tells none comes under a new id,
    then under the id of a listed target.
    Cause: a start that is missing was taken for a platform where none is told.
    """
    told = [replace(t, born=5) for name in "gh" for t in open_group(name)]
    directory, source, _ = await directory_of(listing(*told))
    foreign = replace(told[0], id="x", membership=None, born=None)
    source.listed.append(listing(foreign, revision=2, whole=False))
    await directory.refresh()
    assert "x" not in directory.targets
    source.listed.append(listing(replace(told[0], born=None), revision=3, whole=False))
    await directory.refresh()
    assert set(directory.targets) == {"g1", "h0", "h1"}
    assert serving(directory) == {"h"}


async def test_targets_of_a_platform_that_tells_no_starts_are_used():
    """Symptom: nothing is served although every target is listed and well.

    Sequence: targets write entries without a start; another writer puts one with a
    start beside them.
    Cause: the start was taken for a field that no entry may lack.
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
    """Symptom: a head that refused all streams draws them again every few seconds.

    Sequence: the list is read whole again; it still holds the entry of before.
    Cause: an entry that was known when the head refused counted as news of it.
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
    assert source.asked[-1] == 0
    assert serving(directory) == set()
    directory.apply_change(
        TargetsRead(revision=3, targets=(group[0],)), previous=directory.last_change
    )
    assert serving(directory) == {"g"}


async def test_a_broken_group_is_used_again_when_a_late_whole_read_still_shows_it():
    """Symptom: a group that is sound gets no streams for the rest of the day.

    Sequence: its head refuses a stream, closes and opens again between two reads, and
    the feed says nothing of it.
    Cause: only a change of its entry could bring it back.
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
    place = replace(group[0].membership, phase=GroupPhase.CLOSING)
    closing = replace(group[0], membership=place)
    directory.apply_change(TargetsRead(revision=3, targets=(closing,)), previous=1)
    assert directory.is_broken(("g", 1))
    directory.apply_change(TargetsRead(revision=4, targets=(group[0],)), previous=3)
    assert serving(directory) == {"g"}


def restarted(target, **more):
    """Write the entry of a process that started under the id of another."""
    return replace(target, **{"born": target.born + 1, "membership": None, **more})


def change(revision, *targets):
    """Write a change of the list."""
    return TargetsRead(revision=revision, targets=targets)


async def test_a_group_is_broken_when_any_member_started_again():
    """Symptom: streams hang at a group until it is declared dead, seconds later.

    Sequence: a member that is not the head starts again under its id; the list shows
    its new process without a group. The head is listed open all the while, also anew.
    Cause: the entry was taken for a change of the same process, and the group for
    whole without it.
    """
    for rank in (0, 1):
        group = open_group("g")
        directory, _, _ = await directory_of(listing(*group))
        broken = []
        directory.on_broken.append(lambda *told, seen=broken: seen.append(told))
        directory.apply_change(change(2, restarted(group[rank])), previous=1)
        assert serving(directory) == set()
        ((of, cause, is_known_to_peers),) = broken
        assert (of.key, cause, is_known_to_peers) == (
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
    places = [replace(t.membership, epoch=2) for t in group]
    anew = [restarted(t, membership=p) for t, p in zip(group, places, strict=True)]
    directory.apply_change(change(3, *anew), previous=2)
    assert [g.key for g in directory.serving_groups("engines", "m")] == [("g", 2)]


async def test_what_a_restarted_target_says_counts_before_the_list_shows_it():
    """Symptom: streams go to a group for seconds after a member said it holds nothing.

    Sequence: a member starts again; the list still holds the entry of before, and
    holds it with some change once more, written before the restart.
    Cause: what a target says of itself was used only while the list was lost.
    """
    group = open_group("g")
    directory, _, _ = await directory_of(listing(*group))
    broken = []
    directory.on_broken.append(lambda *told: broken.append(told[1:]))
    directory.apply_report(restarted(group[1]))
    assert serving(directory) == set()
    assert broken == [(BreakCause.RESTARTED, False)]
    late = [replace(target, staged=("n",)) for target in group]
    directory.apply_change(change(2, *late), previous=1)
    assert serving(directory) == set()


async def test_a_late_report_of_the_earlier_process_changes_nothing():
    """Symptom: a group that is sound gets no streams.

    Sequence: a target starts again and its group is formed anew; a report that the
    earlier process had given arrives, while the list is lost too.
    Cause: reports were taken without looking whose they were.
    """
    group = open_group("g")
    directory, source, _ = await directory_of(listing(*group))
    places = [replace(t.membership, epoch=2) for t in group]
    anew = [restarted(t, membership=p) for t, p in zip(group, places, strict=True)]
    directory.apply_change(change(2, *anew), previous=1)
    before = dict(directory.targets)
    for is_lost in (False, True):
        source.cut = is_lost
        await directory.refresh() if is_lost else None
        directory.apply_report(group[1])
        assert directory.targets == before
        assert [g.key for g in directory.serving_groups("engines", "m")] == [("g", 2)]


async def test_a_process_that_the_list_still_shows_later_is_believed_again():
    """Symptom: a target is never used again, though it lives.

    Sequence: an answer of an earlier process is taken for that of a later one; no
    other entry follows, since the listed process is the present one.
    Cause: what was said of a process once stood for ever.
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
    """Symptom: a head that just started again gets streams although it is unlisted.

    Sequence: an unlisted head is found healthy; it starts again, is listed open in a
    new group, and falls out of the list a moment later.
    Cause: what was known of the process was kept under the id.
    """
    group = open_group("g")
    directory, source, clock = await directory_of(listing(*group))
    gone = TargetsRead(revision=2, targets=(), removed=("g0",))
    directory.apply_change(gone, previous=1)
    directory.record_healthy("g0")
    assert serving(directory) == {"g"}
    anew = [restarted(t, membership=replace(t.membership, epoch=2)) for t in group]
    directory.apply_change(change(3, *anew), previous=2)
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
    """Symptom: a target that the list shows is not used.

    Sequence: the clock of its host is set back while it starts again twice, so the
    third process has the time of the first.
    Cause: what was noted of the first one stood against a later entry of the list.
    """
    group = open_group("g")
    directory, _, _ = await directory_of(listing(*group))
    directory.apply_change(change(2, *map(restarted, group)), previous=1)
    places = [replace(t.membership, epoch=3) for t in group]
    third = [replace(t, membership=p) for t, p in zip(group, places, strict=True)]
    directory.apply_change(change(3, *third), previous=2)
    assert [g.key for g in directory.serving_groups("engines", "m")] == [("g", 3)]
    assert directory.count_present([t.process for t in third]) == 2


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


async def test_a_group_listed_late_with_a_member_that_is_gone_gets_no_streams():
    """Symptom: streams hang at a group that has just been listed.

    Sequence: a member says itself that it started again; then the list shows a group
    that its earlier process had joined before.
    Cause: only the group of which the node had known was taken out of use.
    """
    group = open_group("g")
    directory, _, _ = await directory_of(listing(*group))
    directory.apply_report(restarted(group[1]))
    late = [replace(t, membership=replace(t.membership, epoch=2)) for t in group]
    directory.apply_change(change(2, *late), previous=1)
    assert serving(directory) == set()
