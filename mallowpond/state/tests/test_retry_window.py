"""The share of one budget that each host may use."""

from mallowpond.state.retry_window import RetryWindow


def window():
    """Return a window of 10 s with a fifth and 100 beyond."""
    return RetryWindow(ratio=0.2, slack=100.0, window_seconds=10.0)


def repeats(budget, now, hosts):
    """Return how many repeats are allowed at once."""
    count = 0
    while budget.try_repeat(now, hosts):
        count += 1
    return count


def test_all_hosts_together_stay_within_the_budget():
    """Symptom: a dead data centre makes twice the allowed sends.

    Sequence: seven hosts lose the same groups and each uses the whole slack.
    Cause: the budget is shared, and nobody can ask the others in time.
    """
    hosts = 7
    total = 0
    for _ in range(hosts):
        budget = window()
        for at in range(50):
            budget.record_first_send(at / 10)
        total += repeats(budget, 5.0, hosts)
    assert total <= 0.2 * 50 * hosts + 100.0
    assert total >= 0.5 * (0.2 * 50 * hosts + 100.0)


def test_the_window_slides():
    budget = window()
    first = repeats(budget, 0.0, 1)
    assert repeats(budget, 5.0, 1) == 0
    assert repeats(budget, 10.1, 1) == first


def test_the_rate_of_a_host_that_has_just_begun_is_not_spread_over_the_window():
    """Symptom: the groups that are listed first turn streams away at a fleet's start.

    Sequence: 195 hosts begin to serve with all groups idle.
    Cause: each reckoned the others' rate from ten seconds, most of them before the
    first request, and took the best group by figures in which nothing of it showed.
    """
    budget = window()
    for number in range(10):
        budget.record_first_send(0.1 * number)
    assert 8.0 < budget.first_sends_per_second < 13.0
    assert window().first_sends_per_second == 0.0


def test_one_request_is_no_high_rate():
    budget = window()
    budget.record_first_send(5.0)
    assert budget.first_sends_per_second <= 2.0


def test_the_rate_of_a_host_that_has_served_long_is_that_of_the_window():
    budget = window()
    for number in range(300):
        budget.record_first_send(0.1 * number)
    assert 9.5 < budget.first_sends_per_second < 10.5
