"""Tests of route lookup by host name and longest prefix."""

from collections import Counter

from mangohatch.core.routes import Route, RouteTable, Target
from tests.functions import fixture, function_tests

load_tests = function_tests(__name__)


def make_route(prefix: str, *, host: str = "a.example", **fields) -> Route:
    values = {
        "name": prefix,
        "targets": (Target(service="desk"),),
        "idempotent": True,
        "timeout_ms": 1000.0,
        "objective_ms": 300.0,
        "priority": 1,
        "max_attempts": 2,
    }
    return Route(host=host, prefix=prefix, **(values | fields))


@fixture
def routes():
    table = RouteTable()
    table.apply((make_route("/"), make_route("/a/"), make_route("/a/b/")), revision=5)
    return table


def find_prefix(table, path, host="a.example"):
    route = table.find(host, path)
    return route.prefix if route else None


def test_longest_prefix_wins(routes):
    assert find_prefix(routes, "/a/b/c") == "/a/b/"
    assert find_prefix(routes, "/a/x") == "/a/"
    assert find_prefix(routes, "/x") == "/"


def test_prefix_ends_at_a_slash(routes):
    assert find_prefix(routes, "/a/bc") == "/a/"
    assert find_prefix(routes, "/a") == "/"


def test_host_matches_regardless_of_case(routes):
    assert find_prefix(routes, "/a/b/c", host="A.Example") == "/a/b/"
    assert find_prefix(routes, "/a/b/c", host="b.example") is None


def test_older_configuration_is_ignored(routes):
    assert not routes.apply((), revision=5)
    assert not routes.apply((), revision=4)
    assert find_prefix(routes, "/a/x") == "/a/"
    assert routes.apply((make_route("/a/"),), revision=6)
    assert find_prefix(routes, "/x") is None


def test_newer_version_is_applied_also_with_a_revision_given_out_again(routes):
    """Callers got 404 for new routes after the store came back from a copy."""
    assert routes.apply((make_route("/b/"),), revision=500, version=7)
    assert not routes.apply((make_route("/a/"),), revision=600, version=6)
    assert routes.apply((make_route("/c/"),), revision=490, version=8)
    assert find_prefix(routes, "/c/x") == "/c/"


def test_split_follows_the_weights(rng):
    targets = (Target(service="desk", weight=90), Target(service="vault", weight=10))
    route = make_route("/", targets=targets)
    counts = Counter(route.choose(rng) for _ in range(2_000))
    assert abs(counts["vault"] / 2_000 - 0.1) < 0.03
