"""Each host's part of the shared retry budget."""

from mallowpond.state.retry_window import ARRIVAL_SECONDS, RetryWindow


def window():
    """Build a window of 10 s that allows a fifth of the first sends and 100 more."""
    return RetryWindow(ratio=0.2, slack=100.0, window_seconds=10.0)


def count_repeats(budget, now, hosts):
    """Return how many repeated sends are allowed at once."""
    count = 0
    while budget.try_repeat(now, hosts):
        count += 1
    return count


def test_all_hosts_together_stay_within_the_budget():
    """Guard against twice the allowed sends after the loss of a data centre.

    Seven hosts lose the same groups and cannot ask each other in time. The budget is
    shared, so none of them may use the whole slack.
    """
    hosts = 7
    total = 0
    for _ in range(hosts):
        budget = window()
        for at in range(50):
            budget.record_first_send(at / 10)
        total += count_repeats(budget, 5.0, hosts)
    assert total <= 0.2 * 50 * hosts + 100.0
    assert total >= 0.5 * (0.2 * 50 * hosts + 100.0)


def test_the_window_slides():
    budget = window()
    first = count_repeats(budget, 0.0, 1)
    assert count_repeats(budget, 5.0, 1) == 0
    assert count_repeats(budget, 9.9 + ARRIVAL_SECONDS, 1) == 0
    assert count_repeats(budget, 10.1 + ARRIVAL_SECONDS, 1) == first


def test_the_rate_of_a_host_that_has_just_begun_is_not_spread_over_the_window():
    """Guard against the first listed groups refusing streams as a fleet starts.

    195 hosts begin to serve with all groups idle. If each estimated the others' rate
    over ten seconds, most of them before the first request, it would choose the best
    group by loads that do not show the others' streams yet.
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
