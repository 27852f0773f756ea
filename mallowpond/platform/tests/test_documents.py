"""Decoding of the platform's documents."""

from copy import deepcopy

import pytest

from mallowpond.platform import documents
from mallowpond.state.decoding import DecodeFault, Unreadable
from mallowpond.state.fleet import GroupPhase, Process
from mallowpond.state.site_configuration import RepeatPolicy

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
    site = documents.decode_configuration(DOCUMENT)
    stream, other = site.routes
    assert site.version == 7
    assert (stream.repeat, stream.resumable) == (RepeatPolicy.STREAM, True)
    assert (stream.timeout_seconds, stream.objective_seconds) == (8.0, 0.3)
    assert stream.gap_objective_seconds == 0.25
    assert [b.weight for b in stream.backends] == [90, 10]
    assert site.keys["k2"].workspace == "w"
    assert site.limits.idle_seconds == 15.0
    assert site.services["s"].profile.models[0].size == 4
    assert site.services["t"].profile is None
    assert other.backends[0].service == "t"
    assert not other.needs_key


def test_a_kind_that_is_not_known_is_never_repeated():
    """A request that may run at most once must not run twice.

    It did when a configuration with a new kind of route came into force before this
    program knew that kind: an unknown kind counted as one that may be repeated.
    """
    assert (
        documents.decode_configuration(DOCUMENT).routes[1].repeat is RepeatPolicy.ONCE
    )


def test_an_empty_configuration_is_one():
    site = documents.decode_configuration({"version": 1})
    assert site.routes == ()
    assert not site.uses_keys


def test_an_empty_list_of_tenants_leaves_every_key_unknown():
    """Guards against revoked keys that run once the last tenant is removed."""
    site = documents.decode_configuration({"version": 1, "tenants": []})
    assert site.uses_keys
    assert site.keys == {}


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
    target = documents.decode_target("i-1", row)
    assert target.draining
    assert (target.service, target.address) == ("s", "10.0.0.1:80")
    assert (target.data_centre, target.slots) == ("a", 13)
    assert (target.domain, target.model, target.staged) == ("d1", "m", ("m",))
    assert target.membership.phase is GroupPhase.OPEN
    assert target.process == Process(id="i-1", born=1_733_184_000_000)
    free = documents.decode_target("i-2", {**row, "group": None})
    assert free.membership is None
    assert documents.decode_target("i-3", {}) == Unreadable(
        fault=DecodeFault.MISSING, field="service"
    )


# Values that are invalid for every field of the configuration with this type.
WRONG_VALUES = {
    str: (7, True, [], {}, "a\nb", "x" * 2000),
    bool: (7, "x", [], {}),
    int: ("4", True, -1, 2**60, [], {}),
    float: ("4", True, -0.5, 1e300, float("inf"), float("nan"), [], {}),
    list: (7, True, "x", {"a": 1}, [7], [None], ["x"], [[]]),
    dict: (7, True, "x", [], [1]),
}
IGNORED_FIELDS = {"later_field"}


def invalid_variants(document, path=()):
    """Yield each variant of the document with one invalid value, and its path."""
    for name, value in document.items() if isinstance(document, dict) else ():
        if name in IGNORED_FIELDS:
            continue
        for wrong in WRONG_VALUES[type(value)]:
            if name != "api_keys" or wrong != ["x"]:
                yield (*path, name), {**document, name: wrong}
        if isinstance(value, dict):
            for inner, changed in invalid_variants(value, (*path, name)):
                yield inner, {**document, name: changed}
        if isinstance(value, list):
            for place, item in enumerate(value):
                for inner, changed in invalid_variants(item, (*path, name, place)):
                    items = [*value[:place], changed, *value[place + 1 :]]
                    yield inner, {**document, name: items}


INVALID_DOCUMENTS = [
    pytest.param(document, id=".".join(map(str, path)) + f"-{number}")
    for number, (path, document) in enumerate(invalid_variants(DOCUMENT))
]


@pytest.mark.parametrize("document", INVALID_DOCUMENTS)
def test_a_configuration_with_one_wrong_field_is_unreadable_as_a_whole(document):
    """One invalid field must make the configuration unreadable, and must not raise.

    An exception ended the task that follows the configuration, so that revoked keys
    never expired. If the rest were used, requests to a route in force would get 404.
    """
    assert isinstance(documents.decode_configuration(document), Unreadable)


@pytest.mark.parametrize(
    ("part", "name"),
    [
        ((), "version"),
        (("routes", 0), "name"),
        (("routes", 0), "host"),
        (("routes", 0), "prefix"),
        (("routes", 0, "backends", 0), "service"),
        (("services", 0), "name"),
        (("services", 0, "engine", "models", 0), "name"),
        (("tenants", 0), "name"),
    ],
)
def test_a_configuration_without_a_name_is_unreadable(part, name):
    document = deepcopy(DOCUMENT)
    holder = document
    for step in part:
        holder = holder[step]
    del holder[name]
    found = documents.decode_configuration(document)
    assert isinstance(found, Unreadable)
    assert found.fault is DecodeFault.MISSING


@pytest.mark.parametrize("document", [None, 7, "x", True, [], [DOCUMENT], {}])
def test_what_is_no_configuration_is_unreadable(document):
    assert isinstance(documents.decode_configuration(document), Unreadable)


def test_an_empty_key_lets_nobody_in():
    tenants = [{"name": "w", "api_keys": [""]}]
    found = documents.decode_configuration({**DOCUMENT, "tenants": tenants})
    assert isinstance(found, Unreadable)


@pytest.mark.parametrize("path", ["x", "/a b", "/é", "/a\r\nx: y"])
def test_a_health_path_that_cannot_be_asked_for_is_unreadable(path):
    services = [{"name": "s", "health_path": path}]
    found = documents.decode_configuration({**DOCUMENT, "services": services})
    assert isinstance(found, Unreadable)


def test_null_and_unknown_fields_count_as_missing():
    document = {"version": 1, "routes": None, "limits": None, "x": {"y": [1]}}
    assert documents.decode_configuration(document) == documents.decode_configuration(
        {"version": 1}
    )


@pytest.mark.parametrize("name", ["", " ", "w ", "wörk", "a\r\nx: y"])
def test_a_workspace_that_no_header_can_name_is_unreadable(name):
    tenants = [{"name": name, "api_keys": ["k"]}]
    found = documents.decode_configuration({**DOCUMENT, "tenants": tenants})
    assert isinstance(found, Unreadable)


def test_a_service_declares_how_long_its_targets_stay_cold():
    document = deepcopy(DOCUMENT)
    document["services"][1] |= {"cold_s": 5.5, "cold_per_s": 3}
    services = documents.decode_configuration(document).services
    assert (services["t"].cold_seconds, services["t"].cold_per_second) == (5.5, 3.0)
    assert (services["s"].cold_seconds, services["s"].cold_per_second) == (0.0, 0.0)
