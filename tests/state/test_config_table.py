"""Tests of the configuration table."""

from mangohatch.core.tables import Tables
from mangohatch.peer.messages.config import ConfigItem
from mangohatch.state import ConfigTable, service_value
from mangohatch.state.items import to_config_item
from mangohatch.store.base import Listing
from mangohatch.timeline import EventKind, HybridClock, Recorder
from tests.fixtures import make_service
from tests.functions import fixture, function_tests

load_tests = function_tests(__name__)


@fixture
def core_tables():
    return Tables()


@fixture
def config(core_tables, clock):
    recorder = Recorder(host="e1", zone="puno", clock=HybridClock(clock=clock))
    return ConfigTable(tables=core_tables, recorder=recorder)


def put_service(objects, upstreams):
    current = objects.get("service", "a")
    value = service_value(make_service("a", upstreams=upstreams))
    return objects.put("service", "a", value, current.revision if current else None)


def test_older_revision_never_replaces_a_newer_one(config, core_tables, objects):
    old = to_config_item(put_service(objects, 1))
    new = to_config_item(put_service(objects, 2))
    assert config.apply(new)
    assert not config.apply(old)
    assert len(core_tables.services["a"].upstreams) == 2


def test_stale_listing_does_not_revert_objects(config, core_tables, objects):
    put_service(objects, 1)
    stale = objects.list_kind("service")
    config.apply(to_config_item(put_service(objects, 2)))
    assert not config.apply_listing("service", stale)
    assert not config.apply_listing("service", Listing(items=[], revision=1))
    assert len(core_tables.services["a"].upstreams) == 2


def test_deleted_service_is_not_restored_by_an_older_copy(config, core_tables, objects):
    item = put_service(objects, 1)
    config.apply(to_config_item(item))
    objects.delete("service", "a", item.revision)
    config.apply_listing("service", objects.list_kind("service"))
    assert "a" not in core_tables.services
    assert not config.apply(to_config_item(item))
    assert config.apply(to_config_item(put_service(objects, 3)))
    assert len(core_tables.services["a"].upstreams) == 3


def test_invalid_object_leaves_the_previous_version_active(
    config, core_tables, objects
):
    config.apply(to_config_item(put_service(objects, 1)))
    broken = ConfigItem(kind="service", name="a", revision=9, json='{"name": 1}')
    assert config.apply(broken)
    assert "service/a" in config.rejected
    assert len(core_tables.services["a"].upstreams) == 1


def test_equal_tables_have_equal_digests(config, objects):
    empty = config.digest()
    config.apply(to_config_item(put_service(objects, 1)))
    assert config.digest() != empty


def test_drain_by_order_is_recorded_once(core_tables, clock, objects):
    recorder = Recorder(host="e1", zone="puno", clock=HybridClock(clock=clock))
    config = ConfigTable(tables=core_tables, recorder=recorder)
    config.apply(to_config_item(put_service(objects, 2)))
    spec = make_service("a", upstreams=2)
    leaving = spec.upstreams[0].model_copy(update={"draining": True})
    for _ in range(2):
        changed = spec.model_copy(update={"upstreams": (leaving, spec.upstreams[1])})
        known = objects.get("service", "a")
        stored = objects.put("service", "a", service_value(changed), known.revision)
        config.apply(to_config_item(stored))
    drains = [
        event.upstream
        for event in recorder.events()
        if event.kind is EventKind.UPSTREAM_DRAINING
    ]
    assert drains == ["u1"]
