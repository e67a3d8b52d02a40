"""Steps that drive a dispatcher with one endpoint of one slot."""

import asyncio
import contextlib
import random

from behave import given, then, when

from cloverhook.clock import monotonic_ms
from cloverhook.dispatch import Dispatcher
from cloverhook.errors import ErrorKind, RequestError
from cloverhook.fleet import Priority
from cloverhook.fold import fold
from cloverhook.load_monitor import LoadMonitor
from cloverhook.load_shedder import LoadShedder
from cloverhook.records import Change, Publish
from cloverhook.routing_events import Arrival, AttemptEnded, AttemptResult
from cloverhook.state import State
from features.shared import run

ADDRESS = "127.0.0.1:9"
HOST = b"one.example"
DOCUMENT = {
    "brand": "one",
    "services": [
        {
            "name": "only",
            "hosts": [HOST.decode()],
            "places": [{"data_center": "papine", "slots": 1, "endpoints": [ADDRESS]}],
        }
    ],
}


class NoOutlet:
    """A transport that drops every message and probe."""

    def send_message(self, vm, message):
        """Drop a message."""

    def probe(self, target, address, health):
        """Drop a probe."""


def admit(context, request_id, priority=Priority.NORMAL):
    """Return a task that waits until a request may start and returns the address for it."""
    now_ms = monotonic_ms()
    arrival = Arrival(request_id, priority, now_ms + 60_000, idempotent=False)
    work = context.dispatcher.admit(context.target, arrival, now_ms)
    return asyncio.ensure_future(work, loop=context.loop)


async def cancel_and_wait(task):
    """Cancel a task, as the listener does when the caller disconnects."""
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await task


@given("a dispatcher with one slot")
def step_dispatcher(context):
    state = fold(State(), 0, Change("c1", "one", 0, "ann", Publish(DOCUMENT))).state
    context.dispatcher = Dispatcher(random.Random(1), NoOutlet())
    context.dispatcher.configure(state, monotonic_ms())
    context.target = context.dispatcher.target_for(HOST)


@when("a caller leaves between the start of its request and its next step")
def step_leave_started(context):
    async def start_then_leave():
        assert await admit(context, "first") == ADDRESS
        task = admit(context, "left")
        await asyncio.sleep(0)
        ended = AttemptEnded("first", ADDRESS, AttemptResult.ANSWERED, 5.0)
        context.dispatcher.record_attempt_end(context.target, ended, monotonic_ms())
        await cancel_and_wait(task)

    run(context, start_then_leave())


@when("the slot is in use and a caller leaves while its request waits")
def step_leave_waiting(context):
    async def wait_then_leave():
        assert await admit(context, "first") == ADDRESS
        left = admit(context, "gone")
        context.behind = admit(context, "behind")
        await asyncio.sleep(0)
        await cancel_and_wait(left)
        ended = AttemptEnded("first", ADDRESS, AttemptResult.ANSWERED, 5.0)
        context.dispatcher.record_attempt_end(context.target, ended, monotonic_ms())

    run(context, wait_then_leave())


@then("the next request gets the slot at once")
def step_next(context):
    async def admit_next():
        task = admit(context, "next")
        for _ in range(3):
            await asyncio.sleep(0)
        return task.done() and task.result()

    assert run(context, admit_next()) == ADDRESS


@then("the slot goes to the request behind it")
def step_behind(context):
    async def result():
        return await context.behind

    assert run(context, result()) == ADDRESS


@when("the event loop of the process runs late")
def step_late(context):
    for _ in range(20):
        context.dispatcher.load_shedder.observe(lag_ms=60.0, busy=1.0)


@then("a request of low priority is refused with a time to come back")
def step_rejected_low(context):
    async def rejection_of_low():
        try:
            await admit(context, "low", Priority.LOW)
        except RequestError as error:
            return error

    error = run(context, rejection_of_low())
    assert error.kind is ErrorKind.OVERLOADED, error
    assert error.retry_after_ms > 0


@then("a request of high priority is started")
def step_started_high(context):
    async def admit_high():
        return await admit(context, "high", Priority.HIGH)

    assert run(context, admit_high()) == ADDRESS


@given("a watch of the load of this process")
def step_load_monitor(context):
    context.load_shedder = LoadShedder()
    context.reported_tenths = []
    context.load_monitor = LoadMonitor(context.load_shedder, context.reported_tenths.append)


@then("a load that grows to 80 percent is told in few steps, each a second apart")
def step_reported(context):
    for step in range(200):
        context.load_shedder.observe(0.0, busy=0.8)
        context.load_monitor.report_if_changed(1_000.0 + 50.0 * step)
    assert context.reported_tenths[-1] == 8, context.reported_tenths
    assert len(context.reported_tenths) <= 3, context.reported_tenths
