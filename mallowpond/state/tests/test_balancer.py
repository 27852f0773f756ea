"""Balancing of requests between groups."""

import random

from mallowpond.state.balancer import Balancer

TARGETS = [f"g{n}" for n in range(8)]


def make():
    return Balancer(rng=random.Random(7))


def test_full_targets_are_not_chosen():
    balancer = make()
    balancer.start("g0")
    assert balancer.choose(["g0"], now=0.0, limit=1) is None
    assert balancer.choose(["g0", "g1"], now=0.0, limit=1) == "g1"


def test_reported_load_of_others_fades():
    balancer = make()
    balancer.record_reported_load("g0", in_flight=10, now=0.0)
    assert balancer.choose(["g0"], now=0.0, limit=5) is None
    assert balancer.choose(["g0"], now=10.0, limit=5) == "g0"


def test_same_prefix_goes_to_the_same_group():
    balancer = make()
    chosen = {balancer.choose(TARGETS, now=0.0, limit=9, prefix="p") for _ in range(20)}
    assert len(chosen) == 1


def test_popular_prefix_does_not_pile_up():
    balancer = make()
    for _ in range(64):
        target = balancer.choose(TARGETS, now=0.0, limit=100, prefix="hot")
        balancer.start(target)
    loads = [balancer.load(t).own for t in TARGETS]
    assert max(loads) <= 64 / 8 * 1.25 + 2


def serve(balancer, target, latency, now):
    balancer.start(target)
    balancer.finish(target, now=now, latency=latency)


def test_straggler_is_ejected_and_looked_at_again():
    balancer = make()
    for _ in range(6):
        for target in TARGETS:
            serve(balancer, target, 0.2 if target == "g3" else 0.02, now=1.0)
    chosen = {balancer.choose(TARGETS, now=1.5, limit=9) for _ in range(200)}
    assert "g3" not in chosen
    later = {balancer.choose(TARGETS, now=30.0, limit=9) for _ in range(200)}
    assert "g3" in later


def test_ejection_takes_at_most_a_share():
    balancer = make()
    for target in TARGETS:
        balancer.load(target).ejected_until = 100.0
    chosen = {balancer.choose(TARGETS, now=1.0, limit=9) for _ in range(300)}
    assert len(chosen) == 6
