"""Processes that are killed, suspended and stopped."""

import signal
import threading
import time

import pytest

from mallowpond.programs.tests.cluster import Cluster, http

ALERT = {"idempotency-key": "note-1", "mallowpond-kind": "alert-note"}


@pytest.fixture
def cluster(tmp_path):
    with Cluster(folder=tmp_path) as running:
        running.wait_ready()
        assert running.apply().json["version"] == 1
        running.wait_serving("gateway0")
        running.wait_serving("gateway1")
        running.wait_for(lambda: both_groups(running))
        yield running


def both_groups(cluster):
    return metric(
        cluster, "controller", 'groups{deployment="meteor",state="ready"} 2.0'
    )


def metric(cluster, kind, text):
    pages = [http("GET", cluster.url(n, "/metrics")).body for n in cluster.names(kind)]
    return any(f"mallowpond_{text}".encode() in page for page in pages)


class Call(threading.Thread):
    """Make one call in the background."""

    def __init__(self, cluster, *arguments, **fields):
        super().__init__()
        self.answer = self.error = None
        self._call = lambda: cluster.complete(*arguments, **fields)
        self.start()

    def run(self):
        try:
            self.answer = self._call()
        except OSError as error:
            self.error = error


def run_count(cluster):
    return len(cluster.runs())


def test_gateway_killed_after_dispatch_never_runs_the_request_again(cluster):
    """A once-only request must not run twice.

    A gateway is killed while an engine runs the request, and the caller sends it to the
    other gateway. The claim must survive the gateway that made it.
    """
    before = run_count(cluster)
    for name in cluster.names("engine"):
        cluster.set_faults(name, late_seconds=3.0)
    call = Call(cluster, "note", "gateway0", ALERT)
    cluster.wait_for(lambda: run_count(cluster) == before + 1)
    cluster.kill("gateway0")
    call.join()
    assert call.answer is None

    def refused_as_unknown():
        again = cluster.complete("note", "gateway1", ALERT)
        assert again.status == 409
        return again.json["outcome"] == "unknown"

    cluster.wait_for(refused_as_unknown)
    assert run_count(cluster) == before + 1


def test_gateway_killed_between_claim_and_dispatch_runs_nothing(cluster):
    before = run_count(cluster)
    cluster.set_faults("platform", delay_seconds=0.4)
    call = Call(cluster, "note", "gateway0", ALERT)
    time.sleep(0.5)
    cluster.kill("gateway0")
    call.join()
    cluster.set_faults("platform")

    def settled():
        again = cluster.complete("note", "gateway1", ALERT)
        return (
            again if again.headers.get("Mallowpond-Outcome") != "in_progress" else None
        )

    again = cluster.wait_for(lambda: settled())
    # Either the claim was committed and the outcome is unknown, or it never was.
    assert again.status in (200, 409)
    assert run_count(cluster) == before + (again.status == 200)


def test_frozen_controller_is_left_for_the_other(cluster):
    cluster.freeze("controller0")
    cluster.wait_serving("gateway0")
    cluster.wait_serving("gateway1")
    cluster.thaw("controller0")
    cluster.wait_serving("gateway0")


def test_gateway_that_wakes_refuses_until_it_knows_the_version(cluster):
    """A resumed gateway must not serve on state from before it was suspended.

    It is suspended for longer than its assurance and resumes with a request waiting. It
    used to count ages from the arrival of an answer, not from the sending of its query.
    """
    cluster.freeze("gateway0")
    time.sleep(3.0)
    call = Call(cluster, "late", "gateway0")
    time.sleep(0.2)
    cluster.thaw("gateway0")
    call.join()
    if call.answer.status != 200:
        assert call.answer.json["reason"] in ("configuration_unsure", "no_group")
        assert call.answer.json["outcome"] == "not_run"
    cluster.wait_serving("gateway0")


def test_planned_stop_of_a_gateway_ends_its_streams_whole_and_exits_0(cluster):
    for name in cluster.names("engine"):
        cluster.set_faults(name, slow_factor=10.0)
    before = run_count(cluster)
    call = Call(cluster, "stream", "gateway0", stream=True, max_tokens=20)
    cluster.wait_for(lambda: run_count(cluster) == before + 1)
    process = cluster.processes["gateway0"]
    process.send_signal(signal.SIGTERM)
    process.send_signal(signal.SIGTERM)
    call.join()
    assert call.answer.body.endswith(b"data: [DONE]\n\n")
    assert process.wait(20) == 0


def test_planned_stop_of_a_controller_cuts_nothing(cluster):
    for name in cluster.names("engine"):
        cluster.set_faults(name, slow_factor=10.0)
    before = run_count(cluster)
    call = Call(cluster, "stream", "gateway0", stream=True, max_tokens=20)
    cluster.wait_for(lambda: run_count(cluster) == before + 1)
    process = cluster.processes["controller0"]
    process.send_signal(signal.SIGTERM)
    assert process.wait(20) == 0
    call.join()
    assert call.answer.body.endswith(b"data: [DONE]\n\n")
    cluster.wait_serving("gateway0")
    claimed = cluster.complete("note", "gateway0", ALERT)
    assert claimed.status == 200


def test_dead_member_takes_its_group_out_and_a_returned_one_brings_it_back(cluster):
    cluster.kill("engine1")
    cluster.wait_for(lambda: not both_groups(cluster))
    for _ in range(5):
        assert cluster.complete("go on").status == 200
    # The host returns in working order, under a new incarnation.
    settings = (cluster.folder / "engine1.toml").read_text()
    (cluster.folder / "engine1.toml").write_text(settings + 'incarnation = "2"\n')
    cluster.start("engine1")
    cluster.wait_for(lambda: both_groups(cluster))


def test_leaving_target_gets_no_new_work(cluster):
    body = b'{"name": "engine0", "state": "leaving"}'
    http("POST", cluster.url("platform", "/standin/host"), body)
    cluster.wait_for(lambda: not both_groups(cluster))
    before = http("GET", cluster.url("engine0", "/standin/runs")).json
    for number in range(10):
        assert cluster.complete(f"p{number}").status == 200
    assert http("GET", cluster.url("engine0", "/standin/runs")).json == before


def test_restart_of_every_controller_at_once_cuts_no_stream(cluster):
    for name in cluster.names("engine"):
        cluster.set_faults(name, slow_factor=20.0)
    before = run_count(cluster)
    call = Call(cluster, "stream", "gateway0", stream=True, max_tokens=30)
    cluster.wait_for(lambda: run_count(cluster) == before + 1)
    for name in cluster.names("controller"):
        cluster.kill(name)
    for name in cluster.names("controller"):
        cluster.start(name)
    call.join()
    assert call.answer.body.endswith(b"data: [DONE]\n\n")
    for name in cluster.names("engine"):
        cluster.set_faults(name)
    cluster.wait_serving("gateway0")
    cluster.wait_serving("gateway1")


def test_operators_racing_through_two_controllers(cluster):
    url0 = cluster.url("controller0", "/v1/apply?expect=1")
    url1 = cluster.url("controller1", "/v1/apply?expect=1")
    answers = []

    def apply(url, name):
        text = f'[[workspaces]]\nname = "{name}"\nkey_sha256 = "{"0" * 64}"\n'
        answers.append(http("POST", url, text.encode()))

    threads = [
        threading.Thread(target=apply, args=(url0, "a")),
        threading.Thread(target=apply, args=(url1, "b")),
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert sorted(a.status for a in answers) == [200, 409]
    (lost,) = [a for a in answers if a.status == 409]
    assert lost.json["reason"] in ("lost_race", "version_moved")
