"""Tests of the command line, run in the process of the tests."""

import contextlib
import importlib
import io
import json
import sys
import tempfile
from pathlib import Path
from unittest import mock

from mangohatch.admin.reply import ErrorAnswer, OrderAnswer, Reply, ReplyKind
from mangohatch.errors import HostUnanswered
from mangohatch.run import main
from tests.functions import fixture, function_tests

load_tests = function_tests(__name__)

ADDRESS = "127.0.0.1:9000"
EVENT = {
    "time_ms": 1000.0,
    "host": "himal-e1",
    "zone": "bagmati-a",
    "kind": "request_slow",
    "request_id": "himal-e1-42",
    "duration_ms": 1500.0,
}


@fixture
def folder():
    with tempfile.TemporaryDirectory() as name:
        yield Path(name)


def run_main(*args, reply=None, error=None):
    out, err = io.StringIO(), io.StringIO()
    query = mock.Mock(return_value=reply, side_effect=error)
    with contextlib.ExitStack() as stack:
        stack.enter_context(mock.patch.object(sys, "argv", ["mangohatch", *args]))
        stack.enter_context(mock.patch.dict("os.environ"))
        stack.enter_context(mock.patch("structlog.configure"))
        for command in ("ask", "order", "events"):
            name = f"mangohatch.commands.{command}"
            module = importlib.import_module(name)
            stack.enter_context(mock.patch.object(module, "query", query))
        stack.enter_context(contextlib.redirect_stdout(out))
        stack.enter_context(contextlib.redirect_stderr(err))
        try:
            main()
            status = 0
        except SystemExit as exc:
            status = int(exc.code or 0)
    return status, out.getvalue(), err.getvalue(), query


def write_settings(folder, **changes):
    settings = {
        "host_id": "himal-e1",
        "zone": "bagmati-a",
        "region": "bagmati",
        "entry": {"port": 8080},
    }
    path = folder / "host.json"
    path.write_text(json.dumps(settings | changes), encoding="utf-8")
    return str(path)


def test_check_accepts_a_valid_file(folder):
    status, out, _, _ = run_main("check", write_settings(folder))
    assert status == 0
    assert "host himal-e1, 0 services, no problem" in out


def test_check_rejects_invalid_values_with_path_and_reason(folder):
    path = write_settings(folder, entry={"port": 70_000}, colour="red")
    status, out, err, _ = run_main("check", path)
    assert (status, out) == (3, "")
    assert "settings_invalid" in err
    assert path in err
    assert "entry.port: " in err and "colour: " in err


def test_check_exits_with_the_worst_finding(folder):
    services = [{"name": name, "path_prefix": "/a"} for name in ("a", "b")]
    path = write_settings(folder, services=services)
    status, out, _, _ = run_main("check", path)
    assert status == 2
    assert "error route_hidden services[0].prefix" in out
    status, out, _, _ = run_main("check", path, "--as-json")
    assert (status, json.loads(out)[0]["code"]) == (2, "route_hidden")


def test_check_reads_the_format_of_an_adapter(folder):
    path = folder / "config.json"
    path.write_text('{"version": "r3", "resources": []}', encoding="utf-8")
    status, out, _, _ = run_main("check", str(path), "--adapter", "platform")
    assert (status, out) == (0, f"{path}: version 3, 0 services, no problem\n")
    status, _, err, _ = run_main("check", str(path), "--adapter", "none")
    assert status == 3
    assert "adapter 'none' has no configurations to check" in err


def test_check_lists_what_changes(folder):
    path, before = folder / "new.json", folder / "old.json"
    path.write_text('{"version": "r4", "resources": []}', encoding="utf-8")
    service = {
        "type": "services",
        "metadata": {"name": "desk"},
        "spec": {"health_check_path": "/h", "max_connections": 5},
    }
    document = {"version": "r3", "resources": [service]}
    before.write_text(json.dumps(document), encoding="utf-8")
    options = ["--adapter", "platform", "--in-force", str(before)]
    status, out, _, _ = run_main("check", str(path), *options)
    assert status == 0
    assert "change service_removed resources[0]: 'desk'" in out


def test_check_rejects_a_missing_file(folder):
    status, _, err, _ = run_main("check", str(folder / "none.json"))
    assert status == 3
    assert "none.json" in err


def test_invalid_usage_exits_with_2():
    for args in (["no-such-command"], ["check"], ["ask", "show hosts"]):
        status, _, _, query = run_main(*args)
        assert status == 2, args
        assert not query.called


def test_version_and_help_name_every_command():
    assert run_main("version")[1].strip() == run_main("--version")[1].strip()
    _, out, _, _ = run_main("--help")
    for command in ("run", "check", "ask", "order", "events", "version"):
        assert f" {command} " in out
    assert "--install-completion" in out


def test_question_is_printed_as_a_table_or_as_json():
    reply = Reply(
        sentence="show hosts",
        kind=ReplyKind.ROWS,
        columns=("host",),
        rows=({"host": "himal-e1"},),
        silent_hosts=("himal-e2",),
    )
    status, out, _, query = run_main(
        "ask", "show hosts", "--host", ADDRESS, reply=reply
    )
    assert status == 0
    assert "himal-e1" in out and "# no answer from himal-e2" in out
    query.assert_called_once_with(ADDRESS, "show hosts")
    _, out, _, _ = run_main(
        "ask", "show hosts", "--host", ADDRESS, "--json", reply=reply
    )
    assert Reply.model_validate_json(out) == reply


def test_sentence_of_the_wrong_command_is_not_sent():
    drain = "drain upstream u1 of booking-desk"
    for command, sentence in (("ask", drain), ("order", "show hosts")):
        status, _, err, query = run_main(command, sentence, "--host", ADDRESS)
        assert status == 2
        assert "sentence_invalid" in err
        assert not query.called


def test_misspelt_sentence_is_reported_with_its_position_and_not_sent():
    status, _, err, query = run_main("ask", "show hosst", "--host", ADDRESS)
    assert status == 2
    assert "^" in err
    assert not query.called


def test_exit_code_follows_the_state_of_an_order():
    drain = "drain upstream u1 of booking-desk"
    cases = (
        ("accepted", "", 0),
        ("refused", "order_conflict", 5),
        ("refused", "order_store_unavailable", 4),
        ("refused", "code_of_a_newer_host", 5),
        ("pending", "order_pending", 1),
    )
    for state, code, expected in cases:
        answer = OrderAnswer(
            order_id="o1", state=state, service="booking-desk", code=code
        )
        reply = Reply(sentence=drain, kind=ReplyKind.ORDER, order=answer)
        status, out, _, _ = run_main("order", drain, "--host", ADDRESS, reply=reply)
        assert status == expected, state
        assert state in out


def test_error_answer_goes_to_standard_error():
    error = ErrorAnswer(code="order_unsupported", message="no store")
    reply = Reply(sentence="x", kind=ReplyKind.ERROR, error=error)
    drain = "drain upstream u1 of booking-desk"
    status, out, err, _ = run_main("order", drain, "--host", ADDRESS, reply=reply)
    assert (status, out) == (5, "")
    assert "order_unsupported: no store" in err


def test_lost_answer_to_an_order_reports_the_id_for_a_retry():
    error = HostUnanswered("no answer")
    drain = "drain upstream u1 of booking-desk"
    status, _, err, query = run_main("order", drain, "--host", ADDRESS, error=error)
    assert status == 4
    assert f"--order-id {query.call_args.kwargs['order_id']}" in err


def test_time_line_is_queried_and_rendered(folder):
    newer = EVENT | {"kind": "kind_of_a_newer_host"}
    reply = Reply(sentence="x", kind=ReplyKind.EVENTS, rows=(EVENT, newer))
    path = folder / "events.html"
    status, out, _, query = run_main(
        *("events", "--host", ADDRESS, "--request", "himal-e1-42", "--since", "5m"),
        reply=reply,
    )
    assert status == 0
    assert "himal-e1-42" in out and "kind_of_a_newer_host" not in out
    sentence = 'show events of request "himal-e1-42" since 5m'
    query.assert_called_once_with(ADDRESS, sentence)
    run_main(
        *("events", "--host", ADDRESS, "--format", "html", "--out", str(path)),
        reply=reply,
    )
    assert "<svg" in path.read_text(encoding="utf-8")


def test_invalid_age_of_events_is_not_sent():
    status, _, err, query = run_main("events", "--host", ADDRESS, "--since", "5 years")
    assert status == 2
    assert not query.called
