"""Retries stay within their budget."""

from mallowpond.state.retry import RetryBudget


def test_budget_starts_with_a_burst_and_runs_out():
    budget = RetryBudget(share=0.1, burst=3.0)
    assert [budget.try_spend() for _ in range(4)] == [True, True, True, False]


def test_fresh_requests_earn_a_share_of_retries():
    budget = RetryBudget(share=0.1, burst=10.0)
    while budget.try_spend():
        pass
    retries = 0
    for _ in range(1000):
        budget.record_request()
        retries += budget.try_spend()
    assert 95 <= retries <= 100
