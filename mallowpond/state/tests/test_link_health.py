"""Tests of the decision whether a host has lost its links to the targets."""

import random

from mallowpond.state.link_health import WINDOW_SECONDS, FleetSize, LinkHealth
from mallowpond.state.proxy_choice import MAX_PROXIES, rank_proxies

FLEET = FleetSize(targets=54, domains=6)


def fail(health, *targets, now=0.0, by_peer=True, fleet=FLEET):
    """Record failed connections to targets `domain/number`."""
    for target in targets:
        domain = target.partition("/")[0]
        health.record_unreached(target, domain, now, fleet, by_peer=by_peer)


def test_links_are_lost_when_peers_reach_targets_of_several_domains():
    health = LinkHealth()
    fail(health, "a/1", "b/1")
    assert not health.is_lost
    fail(health, "b/2")
    assert health.is_lost


def test_dead_targets_are_no_lost_links():
    """Guards against a host that takes a dark domain or crashes for lost links."""
    health = LinkHealth()
    fail(health, "a/1", "a/2", "b/1", "c/1", "d/1", by_peer=False)
    assert not health.is_lost


def test_links_to_one_domain_or_to_some_targets_are_not_all_links():
    """Guards against tunnels for targets that the host reaches itself."""
    health = LinkHealth()
    fail(health, "a/1", "a/2", "a/3", "a/4")
    assert not health.is_lost
    health.record_reached("c/1", "c", 0.0)
    fail(health, "b/1", "b/2")
    assert not health.is_lost


def test_failures_long_apart_do_not_add_up():
    health = LinkHealth()
    for number in range(6):
        fail(health, f"{number}/1", now=number * 0.6 * WINDOW_SECONDS)
    assert not health.is_lost


def test_a_small_fleet_needs_all_its_targets():
    health = LinkHealth()
    fleet = FleetSize(targets=2, domains=1)
    fail(health, "a/1", fleet=fleet)
    assert not health.is_lost
    fail(health, "a/2", fleet=fleet)
    assert health.is_lost


def test_links_to_a_few_targets_are_not_restored_links():
    """Guards against a host that flaps while one small service is in reach."""
    health = LinkHealth()
    fail(health, "a/1", "b/1", "c/1")
    for number in range(9):
        health.record_reached(f"plain/{number}", f"hall-{number}", 1.0)
    health.record_check(reached=3, failed=2)
    assert health.is_lost
    health.record_check(reached=4, failed=1)
    assert not health.is_lost


def test_peers_of_two_data_centres_are_asked_first():
    """Guards against requests that fail as all hosts of a data centre are cut."""
    peers = {zone: [f"{zone}-{n}" for n in range(3)] for zone in "abc"}
    for seed in range(20):
        ranked = rank_proxies(peers, "b", random.Random(seed))
        assert ranked[0] in peers["b"]
        assert ranked[1] not in peers["b"]
        assert len(ranked) == len(set(ranked)) == MAX_PROXIES
    assert rank_proxies({"a": ["a-1"]}, "b", random.Random(1)) == ["a-1"]
    assert rank_proxies({}, "b", random.Random(1)) == []
