"""Fair queueing and early refusal."""

from mallowpond.state.admission import FairQueue, jittered_retry_after, refuse_if_late


def test_queue_shares_between_a_large_and_a_small_workspace():
    queue = FairQueue()
    for _ in range(10):
        queue.push(workspace="large", share=1.0, deadline=9.0)
    for _ in range(3):
        queue.push(workspace="small", share=1.0, deadline=9.0)
    first_six = [queue.pop().workspace for _ in range(6)]
    assert first_six.count("small") == 3


def test_declared_share_counts():
    queue = FairQueue()
    for _ in range(9):
        queue.push(workspace="a", share=2.0, deadline=9.0)
        queue.push(workspace="b", share=1.0, deadline=9.0)
    first_nine = [queue.pop().workspace for _ in range(9)]
    assert first_nine.count("a") == 6


def test_cancelled_ticket_is_passed_over():
    queue = FairQueue()
    gone = queue.push(workspace="a", share=1.0, deadline=9.0)
    kept = queue.push(workspace="a", share=1.0, deadline=9.0)
    queue.cancel(gone)
    assert len(queue) == 1
    assert queue.pop() is kept
    assert queue.pop() is None


def test_request_that_cannot_be_served_in_time_is_refused_at_once():
    refused = refuse_if_late(ahead=100, slots=10, service_seconds=1.0, remaining=5.0)
    assert refused.reason == "overloaded"
    assert refused.retry_after >= 1.0


def test_request_that_can_wait_is_kept():
    assert (
        refuse_if_late(ahead=10, slots=10, service_seconds=1.0, remaining=5.0) is None
    )


def test_no_places_means_refusal():
    assert refuse_if_late(ahead=0, slots=0, service_seconds=1.0, remaining=5.0)


def test_callers_refused_together_come_back_apart():
    """Guard against refused callers that all retry together and are refused again.

    A hundred callers are refused at the same moment. Without jitter, all of them get
    the same retry delay.
    """
    times = {jittered_retry_after(1.0, draw / 10) for draw in range(10)}
    assert len(times) == 10
    assert max(times) <= 1.4
    assert min(times) >= 0.6


def test_a_time_to_come_back_is_one_that_a_short_request_can_use():
    assert jittered_retry_after(float("inf"), 0.5) <= 3.0
    assert jittered_retry_after(0.0, 0.5) > 0
