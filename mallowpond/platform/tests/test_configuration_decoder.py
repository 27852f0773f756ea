"""A decoder that knows earlier routes returns what one without them returns."""

import copy
import random

import pytest

from mallowpond.platform.configuration_decoder import ConfigurationDecoder
from mallowpond.platform.documents import decode_configuration
from mallowpond.state.decoding import Unreadable


def route(name, **more):
    """Return a route as the operator writes it."""
    return {
        "name": name,
        "host": "h",
        "prefix": f"/{name}/",
        "backends": [{"service": "s", "weight": 2}],
        "timeout_ms": 500,
        "priority": 1,
        **more,
    }


def document(*routes, version=1):
    """Return a configuration."""
    return {
        "version": version,
        "routes": list(routes),
        "services": [{"name": "s", "max_conns": 3}],
        "tenants": [{"name": "w", "api_keys": ["k"]}],
    }


def test_each_version_of_many_is_decoded_as_alone():
    """Guards against routes of an earlier version in a later one, or in another order.

    Routes are added, removed, changed, repeated and reordered at random.
    """
    rng = random.Random(3)
    decoder = ConfigurationDecoder()
    routes = [route(f"r{number}") for number in range(8)]
    for version in range(200):
        routes = copy.deepcopy(routes)
        changed = rng.randrange(len(routes))
        match rng.randrange(5):
            case 0:
                routes[changed]["timeout_ms"] = rng.randrange(900)
            case 1 if len(routes) > 2:
                del routes[changed]
            case 2:
                routes.append(route(f"r{rng.randrange(20)}", priority=2))
            case 3:
                rng.shuffle(routes)
            case 4:
                routes[changed]["backends"][0]["weight"] = rng.randrange(5)
        found = decoder.decode(document(*routes, version=version))
        assert found == decode_configuration(document(*routes, version=version))
        assert not isinstance(found, Unreadable)


@pytest.mark.parametrize(
    "invalid",
    [
        route("b", priority=True),
        route("b", priority=1.0),
        route("b", backends=[{"service": "s", "weight": True}]),
        route("b", timeout_ms=-1),
        route("b", host=None),
        {},
        None,
        "b",
        [],
    ],
)
def test_an_invalid_route_is_rejected_beside_known_ones(invalid):
    """Guards against an invalid value that passes as it equals a known valid one."""
    decoder = ConfigurationDecoder()
    valid = document(route("a"), route("b"))
    assert decoder.decode(valid) == decode_configuration(valid)
    changed = document(route("a"), invalid, route("c"))
    found = decoder.decode(changed)
    assert isinstance(found, Unreadable)
    assert found == decode_configuration(changed)
    # The version before is still known, and the next valid one is decoded.
    assert decoder.decode(valid) == decode_configuration(valid)


@pytest.mark.parametrize(
    "other", [None, [], {}, 3, {"version": 1}, {"version": 1, "routes": None}]
)
def test_other_documents_are_treated_as_without_the_decoder(other):
    """Guards against an error on a document that is no configuration."""
    assert ConfigurationDecoder().decode(other) == decode_configuration(other)
    nested = document(route("a"))
    for _ in range(3000):
        nested["routes"][0] = [nested["routes"][0]]
    assert isinstance(ConfigurationDecoder().decode(nested), Unreadable)
