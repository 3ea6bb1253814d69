"""Tests of routes, idempotency and deadlines."""

from mangohatch.config import IdempotencyRule, ServiceSpec
from mangohatch.core.tables import Tables
from mangohatch.entry.routes import clip_deadline_ms, find_service, is_idempotent
from mangohatch.errors import BadRequest, NoRoute
from tests.functions import fixture, function_tests

load_tests = function_tests(__name__)


@fixture
def services():
    tables = Tables()
    for name, prefix in (("root", "/"), ("misa", "/misa"), ("archivo", "/misa/himnos")):
        tables.apply(ServiceSpec(name=name, path_prefix=prefix), revision=1)
    return tables.services


def test_longest_prefix_on_a_segment_border_wins(services):
    expected = {
        "/misa": "misa",
        "/misa/": "misa",
        "/misas": "root",
        "/misa/himnos/1": "archivo",
        "/misa/himnosx": "misa",
    }
    for path, name in expected.items():
        assert find_service(services, path).spec.name == name, path


def test_path_of_no_service_is_refused(services):
    del services["root"]
    try:
        find_service(services, "/misas")
    except NoRoute as exc:
        assert exc.outcome == "not_run"
    else:
        raise AssertionError("a service was found")


def test_first_rule_overrides_the_method():
    rules = (
        IdempotencyRule(method="POST", path_prefix="/a/search", idempotent=True),
        IdempotencyRule(method="PUT", path_prefix="/a", idempotent=False),
        IdempotencyRule(method="PUT", path_prefix="/a/b", idempotent=True),
    )
    spec = ServiceSpec(name="a", path_prefix="/a", rules=rules)
    assert is_idempotent(spec, "POST", "/a/search/x")
    assert not is_idempotent(spec, "POST", "/a/searches")
    assert not is_idempotent(spec, "PUT", "/a/b")
    assert is_idempotent(spec, "GET", "/a/b")
    assert not is_idempotent(spec, "PATCH", "/a")


def test_deadline_is_checked_and_clipped():
    assert clip_deadline_ms(None, 50.0) == 50.0
    assert clip_deadline_ms("20", 50.0) == 20.0
    assert clip_deadline_ms("999999999", 50.0) == 600_000.0
    for text in ("", "-1", "1.5", "1e3", "nan", "９"):
        try:
            clip_deadline_ms(text, 50.0)
        except BadRequest:
            continue
        raise AssertionError(text)
