"""Rendezvous hashing is stable and moves few keys when a member leaves."""

from mallowpond.state.ownership import (
    HashRing,
    owner_of,
    ranked_by_capacity,
    ranked_owners,
)

KEYS = [f"deployment-{n}" for n in range(1000)]
MEMBERS = [f"controller-{n}" for n in range(7)]


def test_nobody_owns_without_members():
    assert owner_of("a", []) is None


def test_owner_does_not_depend_on_order():
    assert owner_of("a", MEMBERS) == owner_of("a", reversed(MEMBERS))


def test_a_loss_moves_only_the_lost_members_keys():
    before = {k: owner_of(k, MEMBERS) for k in KEYS}
    after = {k: owner_of(k, MEMBERS[1:]) for k in KEYS}
    moved = [k for k in KEYS if before[k] != after[k]]
    assert all(before[k] == MEMBERS[0] for k in moved)
    assert len(moved) < 1000 / 7 * 1.3


def test_a_ring_gives_keys_to_all_members_and_a_loss_moves_only_its_own():
    """Guard against a loss that moves keys whose owners are all left."""
    before = {k: HashRing(MEMBERS).owners(k, 3) for k in KEYS}
    after = {k: HashRing(MEMBERS[1:]).owners(k, 3) for k in KEYS}
    assert {len(owners) for owners in before.values()} == {3}
    assert frozenset().union(*before.values()) == frozenset(MEMBERS)
    for key in KEYS:
        if MEMBERS[0] in before[key]:
            assert before[key] - after[key] == {MEMBERS[0]}
        else:
            assert before[key] == after[key]
    assert HashRing(MEMBERS[:2]).owners("a", 3) == frozenset(MEMBERS[:2])
    assert HashRing(()).owners("a", 3) == frozenset()


def test_ranked_owners_start_with_the_owner():
    assert ranked_owners("a", MEMBERS)[0] == owner_of("a", MEMBERS)
    assert sorted(ranked_owners("a", MEMBERS)) == MEMBERS


def test_members_with_more_cores_come_first_and_the_rest_by_weight():
    cores = dict.fromkeys(MEMBERS, 0.5) | {MEMBERS[3]: 2.0}
    ranked = ranked_by_capacity("a", cores)
    assert ranked[0] == MEMBERS[3]
    others = [member for member in MEMBERS if member != MEMBERS[3]]
    assert ranked[1:] == ranked_owners("a", others)
