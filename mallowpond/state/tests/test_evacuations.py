"""Which evacuations a host goes by when reads and messages overtake each other."""

from mallowpond.state.evacuations import (
    EvacuationChanges,
    Evacuations,
    can_form_group,
)
from mallowpond.state.fleet import ModelSpec, Target

MODEL = ModelSpec(name="m", size=2)


def read(*begun, ended=(), is_whole=False):
    """Return what one read says."""
    return EvacuationChanges(begun=begun, ended=ended, is_whole=is_whole)


def known(revision, *data_centres):
    """Return the evacuations as of a revision."""
    return Evacuations(revision=revision, data_centres=data_centres)


def test_two_evacuations_end_one_by_one():
    both = Evacuations().after(read("b"), 5).after(read("a"), 6)
    assert both == known(6, "a", "b")
    assert both.after(read(ended=("b",)), 7) == known(7, "a")


def test_a_whole_read_ends_what_it_does_not_list():
    """Guards against an evacuation that stays after its removal left the history."""
    assert known(5, "a", "b").after(read("b", is_whole=True), 9) == known(9, "b")


def test_a_read_older_than_what_a_peer_sent_changes_nothing():
    """Guards against traffic to a data centre whose evacuation a peer has read.

    This host's own read left the store before the row was written, and arrives after
    the peer's message.
    """
    told = known(4).merged_with(known(8, "a"))
    assert told.after(read(is_whole=True), 7) == known(8, "a")
    assert told.after(read(ended=("a",)), 9) == known(9)


def test_changes_since_an_older_revision_apply_to_what_a_peer_sent():
    """Guards against an evacuation lost between the peer's state and the own feed."""
    told = known(4).merged_with(known(8, "a"))
    assert told.after(read("a", "b"), 9) == known(9, "a", "b")


def test_an_older_message_neither_ends_nor_brings_back_an_evacuation():
    assert known(8, "a").merged_with(known(7)) == known(8, "a")
    assert known(8).merged_with(known(7, "a")) == known(8)
    assert known(8, "a").merged_with(known(8)) == known(8, "a")


def free(name, data_centre="b", **more):
    """Return a target that has the weights and is in no group."""
    return Target(
        id=name,
        service="s",
        address="h:1",
        data_centre=data_centre,
        slots=1,
        **{"staged": ("m",), **more},
    )


def test_only_free_staged_targets_elsewhere_can_replace_what_is_evacuated():
    evacuated = frozenset("a")
    assert can_form_group([free("x"), free("y")], MODEL, evacuated)
    for second in (
        free("y", "a"),
        free("y", staged=()),
        free("y", draining=True),
        free("y", lapsed=True),
    ):
        assert not can_form_group([free("x"), second], MODEL, evacuated)
