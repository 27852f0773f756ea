"""The part of a target's rate limit that each host may use."""

from math import inf

import pytest

from mallowpond.state.fleet import Process
from mallowpond.state.rate_limit import (
    LIMIT_EXPIRY_SECONDS,
    MAX_TARGETS,
    MIN_RATE,
    MIN_SHARERS,
    RateLimitShares,
    TargetLimit,
    host_rate,
)

TARGET = Process(id="t", born=1)


def named(limit, age=0.0, process=TARGET):
    """Build the limit that a target named."""
    return TargetLimit(process=process, limit=limit, age=age)


def fleet(count):
    """Return the names of `count` hosts."""
    return [f"n{number}" for number in range(count)]


def wait(shares, now, hosts=("n0",)):
    """Return how long a host has to wait."""
    return shares.seconds_until(TARGET, lambda: hosts, now)


@pytest.mark.parametrize("count", [1, 2, 7, 74])
@pytest.mark.parametrize("limit", [0.0, 0.3, 1.0, 1.3, 5.0, 50.0])
def test_all_hosts_together_keep_a_rate_in_each_window(count, limit):
    """Guard against parts of a rate that add up to more than the target named."""
    hosts = fleet(count)
    all_shares = [RateLimitShares(host=host) for host in hosts]
    sent = []
    for shares in all_shares:
        shares.update(named(limit), 0.0)
    for step in range(1200):
        now = step / 20
        for shares in all_shares:
            while wait(shares, now, hosts) <= 0.0:
                shares.record_sent(TARGET, now)
                sent.append(now)
    # Each request with the first one that must not be in the same window.
    beyond = int(1.5 * 4.0 * limit + 5)
    pairs = zip(sent, sent[beyond:], strict=False)
    assert all(later - earlier >= 4.0 for earlier, later in pairs)
    assert len(sent) >= 0.7 * limit * 60.0


@pytest.mark.parametrize("count", [2, 3, 7, 74])
@pytest.mark.parametrize("limit", [0.3, 1.0, 5.0, 50.0])
def test_a_window_that_begins_before_the_limit_was_named_keeps_it(count, limit):
    """Guard against hosts that start again while a window holds their earlier sends.

    Hosts are counted that have sent a request since the limit was named.
    """
    hosts = fleet(count)
    all_shares = {host: RateLimitShares(host=host) for host in hosts}
    sent = {host: [] for host in hosts}
    for step in range(-100, 1200):
        now = step / 20
        if step == 0:
            for shares in all_shares.values():
                shares.update(named(limit), now)
        # Before the limit is named, hosts take turns to send ten times the limit.
        share = max(1, int(10 * limit / 20 / count + 0.5))
        sends = {hosts[step % count]: share} if step < 0 else {}
        for host, shares in all_shares.items():
            left = 1000 if step >= 0 else sends.get(host, 0)
            while left and wait(shares, now, hosts) <= 0.0:
                shares.record_sent(TARGET, now)
                sent[host].append(now)
                left -= 1
        if now >= 3.0:
            windows = [
                sum(at + 4.0 > now for at in times)
                for times in sent.values()
                if any(at >= 0.0 for at in times)
            ]
            assert sum(windows) <= 1.5 * 4.0 * limit + 5
    resumed = sum(at >= 0.0 for times in sent.values() for at in times)
    assert resumed >= 0.7 * limit * 60.0


def test_a_rate_is_shared_among_few_hosts():
    parts = [host_rate(host, TARGET, fleet(195), 1.3) for host in fleet(195)]
    assert sum(parts) == pytest.approx(1.3)
    assert sum(part > 0.0 for part in parts) == MIN_SHARERS


def test_a_target_that_wants_nothing_is_asked_now_and_then():
    """Guard against a limit that is never lifted, as no request is sent any more."""
    assert host_rate("n0", TARGET, ["n0"], 0.0) == MIN_RATE


def test_a_host_without_a_part_sends_nothing():
    hosts = fleet(50)
    idle = next(h for h in hosts if host_rate(h, TARGET, hosts, 1.0) == 0.0)
    shares = RateLimitShares(host=idle)
    shares.update(named(1.0), 0.0)
    assert wait(shares, 50.0, hosts) == inf


def test_an_answer_asked_for_before_the_limit_does_not_end_it():
    """Guard against answers that overtake each other and lift a limit in force."""
    shares = RateLimitShares(host="n0")
    assert shares.update(named(1.0), 10.0)
    assert not shares.update(named(None, age=0.5), 10.2)
    assert shares.is_limited(TARGET)
    assert shares.update(named(None, age=0.1), 10.3)
    assert not shares.is_limited(TARGET)
    assert wait(shares, 10.3) == 0.0


def test_an_old_word_of_another_host_does_not_bring_a_limit_back():
    shares = RateLimitShares(host="n0")
    shares.update(named(1.0), 10.0)
    shares.update(named(None), 11.0)
    assert not shares.update(named(1.0, age=1.0), 11.5)
    assert not shares.is_limited(TARGET)


def test_nothing_is_saved_up_beyond_one_request_at_a_low_rate():
    shares = RateLimitShares(host="n0")
    shares.update(named(0.5), 0.0)
    assert wait(shares, 50.0) == 0.0
    shares.record_sent(TARGET, 50.0)
    assert wait(shares, 50.0) == pytest.approx(2.0)


def test_only_a_change_that_matters_is_news():
    shares = RateLimitShares(host="n0")
    assert shares.update(named(1.0), 0.0)
    assert not shares.update(named(1.05), 1.0)
    assert shares.update(named(2.0), 2.0)
    assert shares.limits == {TARGET: 2.0}


def test_a_limit_of_which_nothing_is_heard_is_forgotten():
    shares = RateLimitShares(host="n0")
    shares.update(named(1.0), 0.0)
    assert wait(shares, 2 * LIMIT_EXPIRY_SECONDS) == 0.0
    assert not shares.is_limited(TARGET)


def test_what_is_kept_is_bounded():
    shares = RateLimitShares(host="n0")
    for number in range(MAX_TARGETS + 5):
        shares.update(named(1.0, process=Process(id=f"t{number}", born=1)), 0.0)
    assert len(shares.limits) == MAX_TARGETS
    shares.prune({Process(id="t3", born=1)}, 0.0)
    assert list(shares.limits) == [Process(id="t3", born=1)]
