"""Steps that read the examples, and start and interrupt the demo."""

import asyncio
import os
import signal
import sys
from pathlib import Path

from behave import given, then, when

from cloverhook_emulator.deployment import EXAMPLES, Deployment

WAIT_S = 30


def _run(context, work):
    async def bounded():
        async with asyncio.timeout(WAIT_S):
            return await work

    return context.loop.run_until_complete(bounded())


@given('the example "{name}"')
def step_example(context, name):
    context.deployment = Deployment.from_file(EXAMPLES / name)


@then("its services have these endpoints and slots: {wanted}")
def step_sizes(context, wanted):
    found = [
        f"{service.name} {len(service.endpoints)}x{service.endpoints[0].slots}"
        for service in context.deployment.brand.services
    ]
    assert ", ".join(found) == wanted, found
    assert len(context.deployment.data_centers) == 3


@given('a demo that has said "{words}"')
def step_demo(context, words):
    async def start():
        context.demo = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "cloverhook_emulator.demo",
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
            start_new_session=True,
        )
        context.stack.callback(_kill, context.demo)
        while words not in (line := (await context.demo.stdout.readline()).decode()):
            assert line, "the demo ended before it printed the expected words"

    _run(context, start())


@when("it is sent {name}")
def step_signal(context, name):
    context.demo.send_signal(signal.Signals[name])


@then("it ends with exit code {code:d}")
def step_exit(context, code):
    async def end():
        output, _ = await context.demo.communicate()
        return output.decode()

    output = _run(context, end())
    assert context.demo.returncode == code, (context.demo.returncode, output)


@then("no process of it is left")
def step_none_left(context):
    remaining = [
        path.name for path in Path("/proc").glob("[0-9]*") if _is_in_session(path, context.demo.pid)
    ]
    assert not remaining, remaining


def _is_in_session(path, session):
    """Return whether a process belongs to a session and is not a zombie."""
    try:
        state, _, _, own_session = (path / "stat").read_text().rpartition(")")[2].split()[:4]
    except OSError:
        return False
    return state != "Z" and int(own_session) == session


def _kill(process):
    if process.returncode is None:
        os.kill(process.pid, signal.SIGTERM)
