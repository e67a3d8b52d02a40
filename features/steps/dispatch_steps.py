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
    """An outlet that loses every message and probe."""

    def send_message(self, vm, message):
        """Lose a message."""

    def probe(self, target, address, health):
        """Lose a probe."""


def admit(context, request_id, priority=Priority.NORMAL):
    """Return a task that waits for a request's start."""
    now_ms = monotonic_ms()
    arrival = Arrival(request_id, priority, now_ms + 60_000, idempotent=False)
    work = context.dispatcher.admit(context.target, arrival, now_ms)
    return asyncio.ensure_future(work, loop=context.loop)


async def leave(task):
    """Cancel a task, as the listener does when the caller leaves."""
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
    async def started_then_left():
        assert await admit(context, "first") == ADDRESS
        task = admit(context, "left")
        await asyncio.sleep(0)
        ended = AttemptEnded("first", ADDRESS, AttemptResult.ANSWERED, 5.0)
        context.dispatcher.record_attempt_end(context.target, ended, monotonic_ms())
        await leave(task)

    run(context, started_then_left())


@when("the slot is in use and a caller leaves while its request waits")
def step_leave_waiting(context):
    async def waiting_then_left():
        assert await admit(context, "first") == ADDRESS
        gone = admit(context, "gone")
        context.behind = admit(context, "behind")
        await asyncio.sleep(0)
        await leave(gone)
        ended = AttemptEnded("first", ADDRESS, AttemptResult.ANSWERED, 5.0)
        context.dispatcher.record_attempt_end(context.target, ended, monotonic_ms())

    run(context, waiting_then_left())


@then("the next request gets the slot at once")
def step_next(context):
    async def next_one():
        task = admit(context, "next")
        for _ in range(3):
            await asyncio.sleep(0)
        return task.done() and task.result()

    assert run(context, next_one()) == ADDRESS


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
def step_refused_low(context):
    async def refused():
        try:
            await admit(context, "low", Priority.LOW)
        except RequestError as error:
            return error

    error = run(context, refused())
    assert error.kind is ErrorKind.OVERLOADED, error
    assert error.retry_after_ms > 0


@then("a request of high priority is started")
def step_started_high(context):
    async def started():
        return await admit(context, "high", Priority.HIGH)

    assert run(context, started()) == ADDRESS


@given("a watch of the load of this process")
def step_watch(context):
    context.limit = LoadShedder()
    context.told = []
    context.watch = LoadMonitor(context.limit, context.told.append)


@then("a load that grows to 80 percent is told in few steps, each a second apart")
def step_told(context):
    for check in range(200):
        context.limit.observe(0.0, busy=0.8)
        context.watch.report_if_changed(1_000.0 + 50.0 * check)
    assert context.told[-1] == 8, context.told
    assert len(context.told) <= 3, context.told
