"""Tests of the decision to relay a connection for a peer."""

from mangohatch.core.paths import PathTable, RelayRefusal
from mangohatch.core.tables import Tables
from mangohatch.peer.messages.relay import RelayRequest
from mangohatch.relay.admission import MAX_CONNECTIONS, RelayAdmission
from tests.fixtures import make_service
from tests.functions import fixture, function_tests

load_tests = function_tests(__name__)


@fixture
def tables():
    tables = Tables()
    tables.apply(make_service("desk", upstreams=2), revision=1)
    return tables


@fixture
def row(tables):
    return tables.services["desk"].upstreams["u1"]


@fixture
def paths(clock, tables):
    return PathTable(clock=clock, tables=tables)


@fixture
def admission(tables, paths):
    return RelayAdmission(tables=tables, paths=paths)


def make_request(row, **fields):
    known = {
        "service_name": row.service,
        "upstream": row.name,
        "address": row.address,
        "port": row.port,
        "started_ms": row.started_ms,
    }
    return RelayRequest(**(known | fields))


def test_known_upstream_is_admitted(admission, row):
    assert admission.admit(make_request(row)) is row


def test_other_process_at_the_address_or_under_the_name_is_refused(admission, row):
    for fields in (
        {"service_name": "other"},
        {"upstream": "other"},
        {"address": "127.0.0.2"},
        {"port": row.port + 1},
        {"started_ms": row.started_ms + 1.0},
    ):
        refusal = admission.admit(make_request(row, **fields))
        assert refusal is RelayRefusal.UNKNOWN_UPSTREAM


def test_connection_is_never_relayed_twice(admission, row, paths):
    paths.record_detour(row, since_ms=0.0, relay="peer")
    assert admission.admit(make_request(row)) is RelayRefusal.CUT_OFF


def test_evacuated_zone_gets_no_connection_for_a_peer(admission, row, tables):
    """Guards against requests of peers that have not learnt of the evacuation."""
    tables.zones.set_evacuated(frozenset({row.zone}), revision=1)
    assert admission.admit(make_request(row)) is RelayRefusal.EVACUATED


def test_leaving_host_relays_no_new_connection(admission, row):
    admission.leaving = True
    assert admission.admit(make_request(row)) is RelayRefusal.LEAVING


def test_number_of_relayed_connections_is_bounded(admission, row):
    admission.open = MAX_CONNECTIONS
    assert admission.admit(make_request(row)) is RelayRefusal.BUSY
