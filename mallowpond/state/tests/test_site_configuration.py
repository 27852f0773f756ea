"""Choice of the route and the backend of a request."""

from mallowpond.state.site_configuration import (
    Backend,
    RepeatPolicy,
    Route,
    SiteConfiguration,
    choose_backend,
)


def route(prefix, host="h", **more):
    """Return a route."""
    return Route(
        name=prefix,
        host=host,
        prefix=prefix,
        repeat=RepeatPolicy.ONCE,
        timeout_seconds=1.0,
        objective_seconds=0.2,
        **{"backends": (Backend(service="s", weight=1),), **more},
    )


def test_the_longest_prefix_of_the_host_wins():
    site = SiteConfiguration(
        version=1, routes=(route("/a/"), route("/a/b/"), route("/", "x")), services={}
    )
    assert site.find_route("h", "/a/b/c").prefix == "/a/b/"
    assert site.find_route("h", "/a/c").prefix == "/a/"
    assert site.find_route("h", "/b") is None
    assert site.find_route("y", "/a/") is None


def test_backends_share_by_weight():
    split = (Backend(service="a", weight=90), Backend(service="b", weight=10))
    weighted = route("/", backends=split)
    drawn = [choose_backend(weighted, i / 100) for i in range(100)]
    assert drawn.count("a") == 90
    assert drawn.count("b") == 10


def test_a_backend_without_weight_gets_nothing():
    assert (
        choose_backend(route("/", backends=(Backend(service="a", weight=0),)), 0.5)
        is None
    )
