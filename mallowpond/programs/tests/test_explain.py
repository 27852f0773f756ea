"""`explain` finds what happened to a request from log lines alone."""

import json
import re

import pytest
from typer.testing import CliRunner

from mallowpond.programs.cli import EXIT_REFUSED, EXIT_USAGE, app

RUNNER = CliRunner()


def line(at, event, **fields):
    """Return one log line of a node."""
    stamp = f"2026-01-01T00:00:{at:06.3f}Z"
    return json.dumps({**fields, "event": event, "level": "info", "timestamp": stamp})


LOGS = {
    "a-1": [
        line(1.0, "configuration: in force", version=7),
        line(9.0, "stream: sent", request="q1", group="g", target="e0"),
        line(9.2, "stream: sent", request="other", group="g", target="e0"),
        line(9.5, "groups: suspected", group="g", silent=0.4),
        line(9.6, "stream: sent once more", request="q1", group="g", reason="x"),
        line(9.7, "ingress: cut off", request="q1", reason="attempts_used"),
        line(10.0, "ingress: refused", request="q2", status=503, reason="stopping"),
        line(10.1, "node: draining", in_flight=2),
        line(40.0, "targets: gone", target="e0"),
    ],
    "c-1": [
        line(50.0, "placement: refused by forecast", request="q8", wait=3, patience=1),
        line(50.1, "ingress: refused", request="q8", status=503, reason="overloaded"),
    ],
    "b-1": [
        line(1.25, "configuration: in force", version=7),
        line(8.0, "planner: forming", group="g", members=["e0", "e1"]),
        line(9.4, "planner: target lost", target="e1"),
        line(9.9, "groups: broken", group="g", cause="restarted", head="e0"),
        line(9.9, "configuration: store lost", reason="reset"),
        line(9.9, "stream: served", request="q3", group="h"),
    ],
}


@pytest.fixture
def files(tmp_path):
    """Write the hosts' logs with a prefix before each line, as a log collector does."""
    for host, lines in LOGS.items():
        rows = "".join(f"  12.5 {host} {text}\n" for text in lines)
        (tmp_path / f"{host}.log").write_text(rows)
    return [str(path) for path in sorted(tmp_path.iterdir())]


def run_explain(*words):
    """Run the command; return its exit code and lines."""
    result = RUNNER.invoke(app, ["explain", *words])
    return result.exit_code, result.output.splitlines()


def test_a_stream_that_was_cut_off_is_told_with_what_happened_to_its_group(files):
    code, lines = run_explain("q1", *files)
    assert code == 0
    events = [re.split(r"\s{2,}", text.strip())[2] for text in lines[:-1]]
    assert events == [
        "planner: forming",
        "stream: sent",
        "groups: suspected",
        "stream: sent once more",
        "ingress: cut off",
        "groups: broken",
        "node: draining",
    ]
    assert lines[-1].startswith("=> cut off: attempts_used (each engine")


def test_a_refusal_is_told_with_what_its_host_did(files):
    code, lines = run_explain("q2", *files)
    assert code == 0
    assert "node: draining" in lines[1]
    assert lines[-1].startswith("=> refused with 503: stopping (the host was told")


def test_a_group_is_told_with_its_members(files):
    code, lines = run_explain("--group", "g", *files)
    assert code == 0
    assert any("planner: target lost" in text for text in lines)
    assert lines[-1] == "=> 2 members ordered, 2 sends of streams, broken (restarted)"


def test_a_configuration_is_told_host_by_host(files):
    code, lines = run_explain("--version", "7", *files)
    assert code == 0
    assert lines[-1] == "=> in force on 2 hosts within 0.250 s"


def test_what_no_line_names_is_said_so(files):
    assert run_explain("q9", *files)[0] == EXIT_REFUSED
    assert run_explain("--group", "z", *files)[0] == EXIT_REFUSED


@pytest.mark.parametrize("words", [(), ("q1", "/no/such/file"), ("--group", "g", "x")])
def test_a_wrong_call_is_refused(words):
    assert run_explain(*words)[0] == EXIT_USAGE


def test_lines_of_others_are_counted_and_passed_over(tmp_path):
    path = tmp_path / "a-1.log"
    path.write_text("no line\n{}\n[1]\n" + LOGS["a-1"][6] + "\n")
    code, lines = run_explain("q2", str(path))
    assert code == 0
    assert "3 lines are no log lines." in lines


def test_lines_may_come_on_standard_input():
    result = RUNNER.invoke(app, ["explain", "q2"], input="\n".join(LOGS["a-1"]))
    assert result.exit_code == 0
    assert "refused with 503" in result.output


def test_a_request_that_ends_its_targets_is_told_by_its_fingerprint(tmp_path):
    logs = {
        "a-1": [
            line(1.0, "stream: sent", request="q1", fingerprint="f", target="e0"),
            line(1.1, "quarantine: target ended", fingerprint="f", target="e0"),
            line(3.2, "quarantine: held back", fingerprint="f", targets=["e0"]),
        ],
        "b-1": [
            line(2.0, "call: sent", request="q2", fingerprint="f", target="e1"),
            line(2.1, "quarantine: target ended", fingerprint="f", target="e1"),
            line(2.2, "stream: sent", request="q3", fingerprint="other", target="e1"),
            line(3.2, "quarantine: held back", fingerprint="f", targets=["e0"]),
            line(4.0, "quarantine: refused", request="q4", fingerprint="f"),
        ],
    }
    for host, rows in logs.items():
        (tmp_path / f"{host}.log").write_text("\n".join(rows))
    files = [str(path) for path in sorted(tmp_path.iterdir())]
    code, lines = run_explain("--fingerprint", "f", *files)
    assert code == 0
    assert lines[-1] == ("=> 2 sends, 2 targets ended, held back on 2 hosts, 1 refused")
    assert not any("q3" in text for text in lines)
    assert run_explain("--fingerprint", "none", *files)[0] == EXIT_REFUSED
    assert run_explain("--fingerprint", "f", "--group", "g", *files)[0] == EXIT_USAGE


def test_what_different_requests_share_is_told_by_a_part(tmp_path):
    """Guards against ends of targets whose common cause no log line names."""
    key = "1f2e:p"
    rows = [
        line(1.0, "stream: sent", request="q1", fingerprint="f", parts=["p", "a"]),
        line(1.1, "quarantine: target ended", fingerprint="f", target="e0"),
        line(2.0, "stream: sent", request="q2", fingerprint="g", parts=["b", "p"]),
        line(2.1, "quarantine: target ended", fingerprint="g", target="e1"),
        line(2.2, "quarantine: part held back", part=key, targets=["e0", "e1"]),
        line(2.5, "quarantine: refused", request="q4", fingerprint="i", part=key),
        line(3.0, "stream: sent", request="q3", fingerprint="h", parts=["a"]),
        line(3.9, "stream: served", request="q3"),
    ]
    log = tmp_path / "a-1.log"
    log.write_text("\n".join(rows))
    code, lines = run_explain("--part", "p", str(log))
    summary = "2 sends of 2 requests, 2 targets ended, 0 streams answered completely"
    assert code == 0
    assert lines[-1] == f"=> {summary}, held back on 1 hosts, 1 refused"
    assert "1 streams answered" in run_explain("--part", "a", str(log))[1][-1]
    assert run_explain("--part", "x", str(log))[0] == EXIT_REFUSED


def test_a_refusal_by_forecast_is_named(files):
    """An operator could not tell a refusal by forecast from a full queue."""
    _, lines = run_explain("q8", *files)
    summary = "refused with 503: overloaded (by forecast: wait 3 s, patience 1 s)"
    assert lines[-1] == f"=> {summary}"
