"""Steps that drive a router whose endpoints all become slower at once."""

import random

from behave import given, then, when

from cloverhook.fleet import Endpoint, Policy, Priority
from cloverhook.routing import ServiceRouter
from cloverhook.routing_events import (
    Arrival,
    AttemptEnded,
    AttemptResult,
    EndpointsChanged,
    Reject,
    Start,
    Tick,
)

ARRIVAL_INTERVAL_MS = 5.0
TIMEOUT_MS = 10_000


def _apply(context, actions, work_ms):
    for action in actions:
        if isinstance(action, Start):
            context.in_flight.append((context.now_ms + work_ms, action))
            context.waiting.discard(action.request_id)
        elif isinstance(action, Reject):
            context.waiting.discard(action.request_id)


def _arrive(context, request_id, work_ms):
    context.now_ms += ARRIVAL_INTERVAL_MS
    context.waiting.add(request_id)
    deadline_ms = context.now_ms + TIMEOUT_MS
    arrival = Arrival(request_id, Priority.NORMAL, deadline_ms, idempotent=True)
    _apply(context, context.router.handle(arrival, context.now_ms), work_ms)


def _end_due(context, work_ms):
    for end_ms, start in [item for item in context.in_flight if item[0] <= context.now_ms]:
        context.in_flight.remove((end_ms, start))
        ended = AttemptEnded(start.request_id, start.address, AttemptResult.ANSWERED, work_ms)
        _apply(context, context.router.handle(ended, context.now_ms), work_ms)
    _apply(context, context.router.handle(Tick(), context.now_ms), work_ms)


def _drive(context, count, work_ms):
    for index in range(count):
        _end_due(context, work_ms)
        _arrive(context, f"{work_ms}-{index}", work_ms)
        if context.waiting and not context.in_flight:
            context.idle_with_waiting += 1


@given(
    "a router with {endpoints:d} endpoints of {slots:d} slots that answered {count:d} requests "
    "in {work_ms:d} ms each"
)
def step_router(context, endpoints, slots, count, work_ms):
    context.router = ServiceRouter(random.Random(1))
    places = tuple(Endpoint(f"10.0.0.{i}:80", "papine", slots) for i in range(endpoints))
    context.router.handle(EndpointsChanged(places, Policy()), 0.0)
    context.now_ms, context.in_flight, context.waiting = 0.0, [], set()
    context.idle_with_waiting = 0
    _drive(context, count, work_ms)


@when("{count:d} requests, 5 ms apart, take {work_ms:d} ms each")
def step_slower(context, count, work_ms):
    _drive(context, count, work_ms)


@then("no request waits while nothing is in flight")
def step_no_waiting(context):
    assert (
        not context.idle_with_waiting
    ), f"{context.idle_with_waiting} arrivals with requests queued while nothing was in flight"
