"""What the adapter makes of the platform's documents."""

from mallowpond.platform import documents
from mallowpond.state.decoding import Fault, Unreadable
from mallowpond.state.fleet import GroupPhase, Process
from mallowpond.state.site_configuration import Repeat

DOCUMENT = {
    "version": 7,
    "routes": [
        {
            "name": "r1",
            "host": "H.example",
            "prefix": "/a/",
            "kind": "stream",
            "timeout_ms": 8000,
            "slo_ms": 300,
            "priority": 1,
            "backends": [
                {"service": "s", "weight": 90},
                {"service": "t", "weight": 10},
            ],
            "max_attempts": 2,
            "no_auth": False,
            "can_resume": True,
            "gap_target_ms": 250,
            "later_field": {"x": 1},
        },
        {
            "name": "r2",
            "host": "h",
            "prefix": "/b/",
            "kind": "kind-of-later",
            "service": "t",
            "no_auth": True,
        },
    ],
    "services": [
        {
            "name": "s",
            "health_path": "/healthz",
            "max_conns": 304,
            "engine": {
                "slots": 13,
                "stride": 7,
                "step_ms": 5.95,
                "per_seq_ms": 0.089,
                "read_per_s": 50700.0,
                "models": [{"name": "m", "size": 4, "load_s": 16.0, "warm_s": 1.6}],
                "loads_per_s": 4.5,
                "loads_at_once": 6,
                "far_x": 2.5,
            },
        },
        {"name": "t", "max_conns": 100},
    ],
    "limits": {"max_header_bytes": 100, "idle_timeout_ms": 15000},
    "tenants": [{"name": "w", "api_keys": ["k1", "k2"], "priority": 1}],
}


def test_a_configuration_is_decoded_whole():
    site = documents.configuration(DOCUMENT)
    stream, other = site.routes
    assert site.version == 7
    assert (stream.repeat, stream.resumable) == (Repeat.STREAM, True)
    assert (stream.timeout_seconds, stream.objective_seconds) == (8.0, 0.3)
    assert stream.gap_seconds == 0.25
    assert [b.weight for b in stream.backends] == [90, 10]
    assert site.keys["k2"].workspace == "w"
    assert site.limits.idle_seconds == 15.0
    assert site.services["s"].profile.models[0].size == 4
    assert site.services["t"].profile is None
    assert other.backends[0].service == "t"
    assert not other.needs_key


def test_a_kind_that_is_not_known_is_never_repeated():
    """Symptom: a request that may run once at most runs twice.

    Sequence: a new kind of route comes into force before this program knows it.
    Cause: an unknown kind was taken for one that may be repeated.
    """
    assert documents.configuration(DOCUMENT).routes[1].repeat is Repeat.ONCE


def test_an_empty_configuration_is_one():
    site = documents.configuration({"version": 1})
    assert site.routes == ()
    assert not site.uses_keys


def test_an_entry_of_the_list_is_decoded():
    row = {
        "service": "s",
        "address": "10.0.0.1:80",
        "zone": "a",
        "version": 1,
        "slots": 13,
        "state": "draining",
        "cold_left_ms": 0,
        "sequence": 4,
        "born": 1_733_184_000_000,
        "domain": "d1",
        "models": [{"name": "m", "version": 1, "adapters": []}],
        "staged": ["m"],
        "group": {"name": "g", "epoch": 3, "rank": 0, "state": "open"},
    }
    target = documents.target("i-1", row)
    assert target.draining
    assert (target.service, target.address) == ("s", "10.0.0.1:80")
    assert (target.data_centre, target.slots) == ("a", 13)
    assert (target.domain, target.model, target.staged) == ("d1", "m", ("m",))
    assert target.membership.phase is GroupPhase.OPEN
    assert target.process == Process(id="i-1", born=1_733_184_000_000)
    free = documents.target("i-2", {**row, "group": None})
    assert free.membership is None
    assert documents.target("i-3", {}) == Unreadable(
        fault=Fault.MISSING, field="service"
    )
