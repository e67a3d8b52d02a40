"""Steps that ask the logs of gateways why a request ended so."""

import random
import subprocess
import sys
import tempfile
from pathlib import Path

from behave import given, then, when

from cloverhook.explain import explain_request, read_lines
from features import gateway_fleet as fleet
from features.shared import run

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
    context.asked = [backend for backend in context.backends if backend.seen]
    context.gateways[0][0]._log.flush()


def explanation(context, request_id=REQUEST_ID):
    """Return the story, from lines in another order and with a collector's words before them."""
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
    assert {line.fields["address"] for line in attempts} == {x.address for x in context.asked}
    for line in attempts:
        assert {"load", "pace", "figure_age_ms", "outcome", "latency_ms"} <= line.fields.keys()


@then("it says what the gateway had learned before")
def step_beliefs(context):
    kinds = {line.kind for line in explanation(context).state_changes}
    assert {"started", "config", "server"} <= kinds, kinds


@then("the story of an unknown identifier says that nothing names it")
def step_unknown(context):
    assert "no line names it" in explanation(context, "r-unknown").to_text()


def tool(*arguments):
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
    found = tool("explain", REQUEST_ID, str(folder))
    assert found.returncode == 0 and "refused (503)" in found.stdout, found
    assert tool("explain", "r-unknown", str(folder)).returncode == NOT_FOUND


@then("it complains about a file that is not there")
def step_missing(context):
    found = tool("explain", REQUEST_ID, "nowhere.log")
    assert found.returncode == USAGE and "can't be read" in found.stderr, found
