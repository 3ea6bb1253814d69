"""Tests of the review of platform configurations."""

import json

from mangohatch.platform.declared import read_declared
from mangohatch.review import Severity, list_changes, review
from tests.functions import function_tests

load_tests = function_tests(__name__)

KEY = "kn2ftimaj3nr26tta828"


def make_entry(type_, name, /, **spec):
    return {"type": type_, "metadata": {"name": name}, "spec": spec}


def make_route(name, prefix, **changes):
    spec = {
        "host": "shop.example",
        "path_prefix": prefix,
        "kind": "safe",
        "timeout": "2000ms",
        "target_latency": "300ms",
        "priority": 0,
        "max_attempts": 2,
        "service": "desk",
    }
    return make_entry("routes", name, **(spec | changes))


def make_service(name, **changes):
    spec = {"health_check_path": "/healthz", "max_connections": 100}
    return make_entry("services", name, **(spec | changes))


def make_account(name, *keys, **changes):
    spec = {"api_keys": list(keys), "priority": 0, "rate_per_s": 10, "burst": 10}
    return make_entry("tenants", name, **(spec | changes))


LIMITS = make_entry(
    "limits",
    "",
    max_header_bytes=16384,
    max_body_bytes=1_000_000,
    header_timeout="3000ms",
    idle_timeout="15000ms",
)
SOUND = (make_route("a", "/a/"), make_service("desk"), make_account("shop", KEY))


def read(*entries, version="r7"):
    resources = [*entries, LIMITS]
    config = read_declared(json.dumps({"version": version, "resources": resources}))
    config.retry_ratio, config.capacity_per_s = 0.2, 100.0
    return config


def find_codes(*entries):
    return [finding.code for finding in review(read(*entries))]


def test_sound_configuration_has_no_findings():
    assert find_codes(*SOUND) == []


def test_each_broken_configuration_is_named_in_one_line():
    split = [{"service": "desk", "weight": 0}]
    negative = [{"service": "desk", "weight": 2}, {"service": "desk", "weight": -1}]
    cases = {
        "unknown_service": make_route("b", "/b/", service="none"),
        "route_hidden": make_route("b", "/a/"),
        "prefix_malformed": make_route("b", "/b"),
        "no_weight": make_route("b", "/b/", traffic_split=split),
        "negative_weight": make_route("b", "/b/", traffic_split=negative),
        "timeout_below_objective": make_route("b", "/b/", timeout="200ms"),
        "timeout_invalid": make_route("b", "/b/", timeout="0ms"),
        "no_attempts": make_route("b", "/b/", max_attempts=0),
        "attempts_beyond_budget": make_route("b", "/b/", max_attempts=9),
        "duplicate_name": make_route("a", "/b/"),
        "unknown_kind": make_route("b", "/b/", kind="sometimes"),
        "unused_service": make_service("attic"),
        "no_connections": make_service("desk2", max_connections=0),
        "malformed": make_service("desk2", max_connections="many"),
        "shared_key": make_account("other", KEY),
        "account_without_keys": make_account("other"),
        "quota_above_capacity": make_account("other", "k", rate_per_s=101),
        "negative_quota": make_account("other", "k", rate_per_s=-1),
        "burst_below_one": make_account("other", "k", burst=0.5),
        "account_name_malformed": make_account("a\r\nb", "k"),
        "unknown_type": make_entry("gateways", "g"),
    }
    for code, entry in cases.items():
        extra = ()
        if code == "no_connections":
            extra = (make_route("c", "/c/", service="desk2"),)
        assert find_codes(*SOUND, entry, *extra) == [code], code


def test_documents_that_are_cut_short_are_errors():
    findings = review(read_declared('{"version": "r7", "resources": ['))
    assert [finding.code for finding in findings] == ["not_json"]
    findings = review(read_declared("{}"))
    assert [finding.severity for finding in findings] == [Severity.ERROR]


def test_what_hosts_refuse_is_found_by_the_same_check():
    for key in ("", "two words", "k" * 513, "\ud800", 5):
        assert find_codes(*SOUND, make_account("other", key)) == [
            "key_malformed",
            "account_without_keys",
        ]
    assert find_codes(*SOUND, make_route("b", "/b/", kind=["safe"])) == ["unknown_kind"]


def test_findings_name_place_value_and_expectation():
    (finding,) = review(read(*SOUND, make_route("b", "/b/", max_attempts=0)))
    assert str(finding) == (
        "error no_attempts resources[3].max_attempts: 0; expected at least 1"
    )


def test_keys_appear_in_no_finding():
    config = read(*SOUND, make_account("other", KEY, 5))
    findings = review(config) + list_changes(config, read(make_route("a", "/a/")))
    assert findings and not any(KEY in str(finding) for finding in findings)


def test_changes_to_the_version_in_force_are_listed():
    in_force = read(*SOUND, make_route("old", "/old/"), version="r6")
    config = read(make_route("a", "/a/", timeout="900ms"), *SOUND[1:])
    changes = list_changes(config, in_force)
    assert [(item.code, item.place) for item in changes] == [
        ("route_changed", "resources[0].timeout_ms"),
        ("route_removed", "resources[3]"),
    ]
    assert {item.severity for item in changes} == {Severity.CHANGE}


def test_version_that_is_not_newer_is_an_error():
    (finding,) = list_changes(read(*SOUND), read(*SOUND))
    assert (finding.code, finding.severity) == ("old_version", Severity.ERROR)
