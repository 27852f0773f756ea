"""The cause to which a late or unserved request is attributed."""

import pytest

from mallowpond.programs.explain import LogFiles
from mallowpond.programs.losses import count_losses, render_losses


def lines_of(*rows):
    """Parse log lines with these fields, as one host writes them."""
    stamp = '"timestamp": "2026-01-01T00:00:0{}Z"'
    files = LogFiles()
    files.read("host", [f"{{{row}, {stamp.format(n)}}}" for n, row in enumerate(rows)])
    assert files.unreadable == 0
    return files.lines


def served(first=0.1, gap=0.05, waited=0.0, sends=1):
    """Return the fields of the line of a served stream."""
    return (
        '"event": "stream: served", "request": "r", "model": "m", "objective": 0.3, '
        f'"allowed_gap": 0.2, "first_event": {first}, "longest_gap": {gap}, '
        f'"waited": {waited}, "sends": {sends}'
    )


def sent(predicted):
    """Return the fields of the line of a send."""
    return f'"event": "stream: sent", "request": "r", "predicted": {predicted}'


@pytest.mark.parametrize(
    ("rows", "cause"),
    [
        ([sent(0.1), served(first=0.4)], "first event: later than predicted"),
        ([sent(0.5), served(first=0.4)], "first event: sent though predicted late"),
        ([sent(0.1), served(first=0.4, sends=2)], "first event: moved before it"),
        ([sent(0.1), served(first=0.4, waited=0.2)], "first event: waited for a place"),
        ([sent(0.1), served(gap=0.4, sends=2)], "gap: moved in the middle"),
        ([sent(0.1), served(gap=0.4)], "gap: slow group"),
    ],
)
def test_a_late_stream_has_one_cause(rows, cause):
    losses = count_losses(lines_of(*rows))
    assert losses.late == {cause: 1}
    assert losses.streams == 1


def test_a_stream_on_time_is_no_loss():
    losses = count_losses(lines_of(sent(0.08), served()))
    assert not losses.late
    assert losses.prediction_errors["m"] == [pytest.approx(0.02)]


def test_unserved_attempts_are_counted_by_their_last_answer():
    losses = count_losses(
        lines_of(
            '"event": "ingress: refused", "request": "a", "reason": "overloaded"',
            '"event": "ingress: cut off", "request": "b", "reason": "attempts_used"',
            '"event": "ingress: answered", "request": "c", "status": 500',
            '"event": "ingress: answered", "request": "d", "status": 200',
        )
    )
    assert losses.unserved == {
        "refused: overloaded": 1,
        "cut off: attempts_used": 1,
        "answered: the target failed": 1,
    }
    assert "overloaded" in "\n".join(render_losses(losses))
