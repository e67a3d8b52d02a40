"""Steps that ask the logs of gateways why a request failed."""

import json
import random
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from types import SimpleNamespace

from behave import given, then, when

from cloverhook.explain import explain_request, read_lines
from cloverhook.gateway.event_log import EventKind
from features import gateway_fleet as fleet
from features.shared import run
from features.steps.gateway_account_steps import (
    MILL_KEY,
    UNKNOWN_KEY,
    accounts_config,
    with_key,
)

REQUEST_ID = "r-failed"
NOT_FOUND = 1
USAGE = 2


@given("gateways and backend servers whose log lines are kept")
def step_fleet(context):
    context.log = bytearray()

    def keep(data):
        context.log += data
        return len(data)

    run(context, fleet.start_fleet(context, 2, write_log=keep))


@when("a request fails because {trouble}")
def step_fail(context, trouble):
    script = {
        "every backend server rejects it": "reject",
        "its backend server stays silent": "silent",
        "its backend server breaks off": "reset",
    }
    for backend in context.backends:
        backend.default = script.get(trouble, "ok")
    host = fleet.OTHER_HOST if trouble == "no route matches it" else fleet.HOST
    address = context.gateways[0][1].caller_address
    work = fleet.call(
        address, fleet.UNSAFE, "POST", REQUEST_ID, timeout_ms=300, host=host, body=b"pay"
    )
    context.answer = run(context, work)
    context.asked_servers = [backend for backend in context.backends if backend.seen]
    context.gateways[0][0]._log.flush()


def explanation(context, request_id=REQUEST_ID):
    """Return the explanation, from shuffled log lines that have a log collector's prefix."""
    lines = [f"2026-01-01 vm-x {line}" for line in context.log.decode().splitlines()]
    random.Random(3).shuffle(lines)
    return explain_request(
        request_id, read_lines([*lines, "", "no log line", '{"time_ms": broken'])
    )


@then("its story names the cause {cause}")
def step_cause(context, cause):
    found = explanation(context)
    assert found.cause.startswith(f"{cause} ({context.answer.status})"), found.to_text()
    assert REQUEST_ID in found.to_text()


@then("it names each backend server that was asked, its load, the age of that and the outcome")
def step_attempts(context):
    attempts = [line for line in explanation(context).lines if line.kind == "attempt"]
    assert {line.fields["address"] for line in attempts} == {
        x.address for x in context.asked_servers
    }
    for line in attempts:
        assert {"load", "pace", "figure_age_ms", "outcome", "latency_ms"} <= line.fields.keys()


@then("it says what the gateway had learned before")
def step_state_changes(context):
    kinds = {line.kind for line in explanation(context).state_changes}
    assert {"started", "config", "server"} <= kinds, kinds


@given("gateways with client accounts whose log lines are kept")
def step_fleet_with_accounts(context):
    step_fleet(context)
    context.store.put_config(accounts_config(2))
    gateway, _ = context.gateways[0]
    run(context, fleet.until(lambda: gateway._gateway_state.config_version == 2))


def request_with_key(context, key):
    """Send a request with a key, which is expected to fail, and flush the log."""
    gateway, settings = context.gateways[0]
    work = fleet.call(
        settings.caller_address,
        fleet.UNSAFE,
        "POST",
        REQUEST_ID,
        timeout_ms=300,
        lines=[with_key(key)],
        body=b"pay",
    )
    context.answer = run(context, work)
    gateway._log.flush()


@when("a request of the account mill fails because every backend server rejects it")
def step_fail_of_mill(context):
    gateway, _ = context.gateways[0]
    for account, fields in (
        ("mill", {"over_allotment": False}),
        ("mill", {"state": "starved"}),
        ("mill", {"over_allotment": True}),
        ("mill", {"state": "served"}),
        ("farm", {"state": "starved"}),
    ):
        gateway._log.note(EventKind.ACCOUNT, account=account, **fields)
        time.sleep(0.002)  # The lines' times have a resolution of 0.1 ms.
    for backend in context.backends:
        backend.default = "reject"
    request_with_key(context, MILL_KEY)


@when("a request with an unknown key fails")
def step_fail_unknown_key(context):
    request_with_key(context, UNKNOWN_KEY)


@given("the log line of a request of mill that ended with 429 and the cause over-allotment")
def step_line_over_allotment(context):
    fields = {"id": REQUEST_ID, "status": 429, "cause": "over-allotment", "account": "mill"}
    context.log = json.dumps({"time_ms": 1.0, "vm": "vm-1", "kind": "answer", **fields}).encode()
    context.answer = SimpleNamespace(status=429)


@then("its story and its document name the account mill")
def step_account_named(context):
    found = explanation(context)
    assert f"request {REQUEST_ID} of the account mill: " in found.to_text(), found.to_text()
    assert found.to_document()["account"] == "mill"


@then("of the lines on accounts its story has only the last one of each sort on mill")
def step_account_state(context):
    found = [line.fields for line in explanation(context).state_changes if line.kind == "account"]
    assert found == [
        {"account": "mill", "over_allotment": True},
        {"account": "mill", "state": "served"},
    ], found


@then(
    "it says that the request has not run, names its caller but no account, and has the"
    " configuration's version"
)
def step_unknown_key(context):
    found = explanation(context)
    assert "it has not run" in found.cause and not found.account, found.to_text()
    text = found.to_text()
    assert "config=2" in text and "caller=127.0.0.1" in text, text
    assert UNKNOWN_KEY not in found.to_text()


@then("the story of an unknown identifier says that nothing names it")
def step_unknown(context):
    assert "no line names it" in explanation(context, "r-unknown").to_text()


def run_tool(*arguments):
    """Run the operators' tool."""
    command = [sys.executable, "-m", "cloverhook.cli", *arguments]
    return subprocess.run(command, capture_output=True, text=True, check=False)


@then("the command tells its story from a folder of logs of two collectors")
def step_folder(context):
    folder = Path(context.stack.enter_context(tempfile.TemporaryDirectory()))
    lines = context.log.decode().splitlines(keepends=True)
    (folder / "deep").mkdir()
    (folder / "a.log").write_text("".join(lines[::2]))
    (folder / "deep" / "b.log").write_text("".join(lines[1::2]))
    found = run_tool("explain", REQUEST_ID, str(folder))
    assert found.returncode == 0 and "refused (503)" in found.stdout, found
    assert run_tool("explain", "r-unknown", str(folder)).returncode == NOT_FOUND


@then("it complains about a file that is not there")
def step_missing(context):
    found = run_tool("explain", REQUEST_ID, "nowhere.log")
    assert found.returncode == USAGE and "can't be read" in found.stderr, found
