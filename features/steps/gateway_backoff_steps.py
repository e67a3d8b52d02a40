"""Steps for backend servers that turn requests away and ask for a time without any."""

import asyncio
import contextlib
from collections import Counter, defaultdict
from dataclasses import dataclass
from types import SimpleNamespace

import cbor2
from behave import given, then, when

from cloverhook.errors import MessageError
from cloverhook.explain import explain_request, read_lines
from cloverhook.gateway.backoff_updates import BackoffUpdates
from cloverhook.gateway.call_headers import CallHeaders
from cloverhook.gateway.choice import CapacityRequirement
from cloverhook.gateway.counters import Counters
from cloverhook.gateway.endpoint_notice import EndpointNotice
from cloverhook.gateway.event_log import EventLog
from cloverhook.gateway.gateway_state import GatewayState
from cloverhook.gateway.peer_messages import MESSAGE_TYPES, BackoffUpdate, decode
from cloverhook.gateway.request_queue import QueuedRequest, RequestQueue
from features import gateway_fleet
from features.notice_fleet import NoticeFleet, decisions_of, register_endpoint
from features.shared import run

REQUESTS_PER_S = 60
USUAL_S = 3.0
"""By then each VM has had requests enough for its share of the retry budget."""
HALF_LOAD_WORK_MS = 200.0
"""With 6 backend servers this is half of what they can do."""
AFTERWARDS_S = 4.5
BACKOFF_MS = 3_000.0
OBJECTIVE_MS = 1_000.0
"""The latency objective of the fixture's routes."""
SPREAD_MS = 500.0
"""Callers that were rejected together get times that differ by at most this."""
TRANSIT_MS = 100.0
"""A VM may not have read a rejection yet that was sent this short a time ago."""
WORK_MS = 50.0
BORN_MS = 7


@dataclass(frozen=True, slots=True)
class BackoffRun:
    """A fleet whose first backend servers have turned requests away for some time."""

    fleet: NoticeFleet
    resting: frozenset[str]

    @property
    def all_rest(self):
        """Whether no backend server was left that could serve."""
        return len(self.resting) == len(self.fleet.backends)

    def rejections(self):
        """Return the times at which each backend server turned each VM away."""
        found = defaultdict(list)
        for arrival in self.fleet.arrivals:
            if arrival.rejected:
                found[arrival.incarnation, arrival.vm].append(arrival.at_ms)
        return found

    def most_in_backoff(self, grace_ms):
        """Return the most requests that reached a backend server within a time it asked for."""
        most = 0
        for (incarnation, vm), times_ms in self.rejections().items():
            arrived_ms = [
                item.at_ms
                for item in self.fleet.arrivals
                if (item.incarnation, item.vm) == (incarnation, vm)
            ]
            for start_ms in times_ms:
                first_ms, end_ms = start_ms + grace_ms, start_ms + BACKOFF_MS
                most = max(most, sum(first_ms < at_ms < end_ms for at_ms in arrived_ms))
        return most

    def idle_after_ms(self, incarnation):
        """Return how long a backend server got no request after the last time it asked for.

        If it got none at all, that is until the end of the load.
        """
        arrivals = [item for item in self.fleet.arrivals if item.incarnation == incarnation]
        last_ms = max(item.at_ms for item in arrivals if item.rejected)
        ended_ms = max(call.ended_ms for call in self.fleet.calls)
        next_ms = min((item.at_ms for item in arrivals if item.at_ms > last_ms), default=ended_ms)
        end_ms = last_ms + BACKOFF_MS
        return next_ms - end_ms - self.fleet.stalls.lost_ms(end_ms, next_ms)

    def first_end_ms(self, vm, at_ms):
        """Return when the first of the times ends that a VM has been asked for up to `at_ms`."""
        ends_ms = []
        for incarnation in self.resting:
            known = [item for item in self.rejections()[incarnation, vm] if item <= at_ms]
            if not known:
                return None
            ends_ms.append(max(known) + BACKOFF_MS)
        return min(ends_ms)


@when("backend servers turn requests away for {time_s:g} s and ask for 3 s each time")
def step_turn_away(context, time_s):
    async def play(gateways, backends, resting):
        fleet = await NoticeFleet.start(gateways, backends, work_ms=HALF_LOAD_WORK_MS)
        try:
            await fleet.load(REQUESTS_PER_S, USUAL_S)
            for backend in fleet.backends[:resting]:
                backend.default = "reject"
                backend.notice_lines = (b"retry-after: %g" % (BACKOFF_MS / 1000),)
            rejecting = asyncio.create_task(fleet.load(REQUESTS_PER_S, time_s))
            await asyncio.sleep(time_s)
            for backend in fleet.backends[:resting]:
                backend.default = "ok"
                backend.notice_lines = ()
            await fleet.load(REQUESTS_PER_S, AFTERWARDS_S)
            await rejecting
        finally:
            await fleet.close()
        return BackoffRun(fleet, frozenset(item.incarnation for item in fleet.backends[:resting]))

    context.runs = [run(context, play(*map(int, row.cells))) for row in context.table]


@then(
    "none of them gets more than {most:d} requests from a VM from {grace_ms:d} ms after it turned"
    " that VM away to the end of that time"
)
def step_bound(context, most, grace_ms):
    found = [item.most_in_backoff(grace_ms) for item in context.runs]
    assert all(item.rejections() for item in context.runs)
    assert max(found) <= most, found


@then("where others can serve, all requests are answered")
def step_answered(context):
    for item in context.runs:
        if not item.all_rest:
            statuses = Counter(call.answer.status for call in item.fleet.calls)
            assert set(statuses) == {200}, statuses


@then(
    "each of them gets a request within {most_ms:d} ms of the end of the time that it asked the"
    " last VM for"
)
def step_used_again(context, most_ms):
    idle_ms = [[round(item.idle_after_ms(name)) for name in item.resting] for item in context.runs]
    assert max(map(max, idle_ms)) <= most_ms, idle_ms


@then(
    "where all rest, requests that can't be in time are rejected within {most_ms:d} ms, with the"
    " time that is left to the first end"
)
def step_rejected(context, most_ms):
    for item in context.runs:
        if not item.all_rest:
            continue
        failed = [call for call in item.fleet.calls if call.answer.status != 200]
        assert {call.answer.status for call in failed} == {503}
        late = [
            call
            for call in item.fleet.calls
            if (item.first_end_ms(call.vm, call.sent_ms) or 0.0) > call.sent_ms + OBJECTIVE_MS
        ]
        assert late and {call.answer.body for call in late} == {b"backing-off"}
        waited_ms = [item.fleet.waited_ms(call) for call in late]
        assert max(waited_ms) <= most_ms, max(waited_ms)
        for call in failed:
            lost_ms = item.fleet.stalls.lost_ms(call.ended_ms - TRANSIT_MS, call.ended_ms)
            transit_ms = TRANSIT_MS + lost_ms
            known_ms = item.first_end_ms(call.vm, call.ended_ms - transit_ms)
            if known_ms is None:
                continue
            latest_ms = item.first_end_ms(call.vm, call.ended_ms)
            retry_after_ms = float(call.answer.headers["retry-after"]) * 1_000
            least_ms = known_ms - call.ended_ms - transit_ms
            most_ms = max(latest_ms - call.ended_ms, 0.0) + SPREAD_MS
            assert least_ms <= retry_after_ms <= most_ms, (least_ms, retry_after_ms, most_ms)


@given(
    "an idle endpoint that has asked {whom} for {backoff_ms:d} ms without requests, and one that is"
    " {state}"
)
def step_one_asked(context, whom, backoff_ms, state):
    step_only_asked(context, whom, backoff_ms)
    add_endpoint(context, "i-1", gateway_fleet.SLOTS if state == "full" else 0)
    if state == "suspended":
        breaker = context.known.load_table.get_or_create("i-1").circuit_breaker
        for _ in range(2):
            breaker.record_failure(backoff_ms - 100.0, began_ms=backoff_ms - 100.0)


@given(
    "an idle endpoint that has asked {whom} for {backoff_ms:d} ms without requests, and none"
    " besides"
)
def step_only_asked(context, whom, backoff_ms):
    context.known = GatewayState()
    context.backoff_ms = backoff_ms
    add_endpoint(context, "i-0", 0)
    backoffs = context.known.backoffs
    record = backoffs.record if whom == "this VM" else backoffs.record_for_peer
    assert record("i-0", backoff_ms)
    context.eligibility, context.balancer = decisions_of(context.known)


def add_endpoint(context, name, running):
    """Register an endpoint that reports a number of running requests just before the end."""
    register_endpoint(context.known, name, running, context.backoff_ms - 1.0)


@then("{at_ms:d} ms later a first attempt or retry is placed at {retry}, a hedge at {hedge}")
def step_placed(context, at_ms, retry, hedge):
    context.at_ms = at_ms
    for required_capacity, expected in (
        (CapacityRequirement.FREE_SLOT, retry),
        (CapacityRequirement.NO_SLOWDOWN, hedge),
    ):
        choice = context.balancer.choose(
            gateway_fleet.SERVICE, WORK_MS, at_ms, (), required_capacity
        )
        name = "none" if choice is None else choice.server.name
        assert name == expected, (required_capacity, name)


@then("one that was placed at the first endpoint before is {sent}")
def step_sent(context, sent):
    server = context.known.registry.get("i-0")
    reason = context.eligibility.reason_not_to_send(server, context.at_ms)
    assert bool(reason) == (sent == "withheld"), reason


@when(
    "a request of {priority} priority with an objective of {objective_ms:d} ms arrives"
    " {before_ms:d} ms before the end"
)
def step_arrives(context, priority, objective_ms, before_ms):
    context.arrived_ms = context.backoff_ms - before_ms
    context.queue = RequestQueue(context.balancer)
    context.queue.add(
        QueuedRequest(
            gateway_fleet.SERVICE,
            1,
            WORK_MS,
            context.arrived_ms,
            objective_ms,
            context.arrived_ms + 2 * objective_ms,
            is_top_priority=priority == "top",
        )
    )


@then("the queue decides that it is {decision}")
def step_decided(context, decision):
    at_once = context.queue.next(gateway_fleet.SERVICE, context.arrived_ms)
    if decision == "rejected at once":
        assert at_once is not None and at_once.choice is None, at_once
        return
    assert at_once is None
    assert context.queue.next(gateway_fleet.SERVICE, context.backoff_ms - 1.0) is None
    placed = context.queue.next(gateway_fleet.SERVICE, context.backoff_ms)
    assert placed.choice.server.name == "i-0", placed


@then("an answer {status:d} with Retry-After {value} asks for {backoff_ms:g} ms and is {sound}")
def step_parsed(context, status, value, backoff_ms, sound):
    headers = [(b"retry-after", value.encode())]
    notice = EndpointNotice.from_response(status, headers, CallHeaders())
    assert notice.backoff_ms == backoff_ms, notice
    assert bool(notice.invalid) == (sound == "invalid"), notice


async def start_rejecting(context, gateways, backends, rejecting, time_s):
    """Start a fleet of which some backend servers turn requests away and ask for a time."""
    context.fleet = fleet = await NoticeFleet.start(gateways, backends)
    context.stack.push_async_callback(fleet.close)
    context.resting = fleet.backends[:rejecting]
    for backend in context.resting:
        backend.default = "reject"
        backend.notice_lines = (b"retry-after: %d" % time_s,)


@given(
    "{gateways:d} gateways and {backends:d} backend servers, of which one turns requests away and"
    " asks for {time_s:d} s without any"
)
def step_one_rejects(context, gateways, backends, time_s):
    run(context, start_rejecting(context, gateways, backends, 1, time_s))


@given(
    "{gateways:d} gateways and {backends:d} backend servers that all turn requests away and ask for"
    " {time_s:d} s without any"
)
def step_all_reject(context, gateways, backends, time_s):
    run(context, start_rejecting(context, gateways, backends, backends, time_s))


@when("one of the gateways has been turned away")
def step_turned_away(context):
    async def send():
        fleet = context.fleet
        (backend,) = context.resting
        async with asyncio.timeout(gateway_fleet.WAIT_S):
            while not backend.seen:
                await fleet.send([fleet.gateways[0]], gateway_fleet.SAFE)
        await gateway_fleet.until(lambda: all(knows_backoff(item) for item, _ in fleet.gateways))

    run(context, send())


def knows_backoff(gateway):
    """Return whether a gateway knows of any endpoint that wants no requests."""
    return bool(gateway._gateway_state.backoffs)


@then(
    "the other gateways send it nothing while another can serve, and logs and metrics name the time"
)
def step_passed_over(context):
    async def check():
        fleet = context.fleet
        (backend,) = context.resting
        count = len(backend.seen)
        for _ in range(10):
            for item in fleet.gateways:
                assert (await fleet.send([item], gateway_fleet.SAFE)).answer.status == 200
        assert len(backend.seen) == count
        for gateway, _ in fleet.gateways:
            gateway._log.flush()
        found = {(line["vm"], line["source"]) for line in fleet.log_lines("backoff")}
        assert found == {("vm-0", "answer"), ("vm-1", "vm-0"), ("vm-2", "vm-0")}, found
        page = (await fleet.gateways[0][0]._serve_metrics(None)).body
        assert b"cloverhook_gateway_backoffs 1\n" in page, page
        assert b"cloverhook_gateway_backoffs_requested" in page

    run(context, check())


@then("a gateway that starts anew learns of it from the others")
def step_learns(context):
    async def start():
        fleet = context.fleet
        late, _ = await gateway_fleet.start_gateway(fleet.fixture, "vm-late")
        late._peering.add_address(fleet.gateways[0][1].peer_address)
        await gateway_fleet.until(lambda: knows_backoff(late))

    run(context, start())


@when("it starts again as another incarnation that serves")
def step_new_incarnation(context):
    (backend,) = context.resting
    backend.default, backend.notice_lines = "ok", ()
    context.fleet.store.put_server(backend.entry(born_ms=BORN_MS))


@then("each gateway that had been turned away uses it again")
def step_uses_again(context):
    async def check():
        fleet = context.fleet
        (backend,) = context.resting
        count = len(backend.seen)
        burst = gateway_fleet.SLOTS + 1
        async with asyncio.timeout(BACKOFF_MS / 1000):
            while len(backend.seen) == count:
                sends = [fleet.send([fleet.gateways[0]], gateway_fleet.SAFE) for _ in range(burst)]
                await asyncio.gather(*sends)

    run(context, check())


@given(
    "a gateway that knows of 2 endpoints, one of which has asked it for {own_ms:d} ms and the other"
    " another gateway for {peer_ms:d} ms"
)
def step_both_known(context, own_ms, peer_ms):
    context.known = GatewayState()
    context.known.backoffs.record("i-0", own_ms)
    context.known.backoffs.record_for_peer("i-1", peer_ms)


@when("{at_ms:d} ms later a gateway joins")
def step_joins(context, at_ms):
    context.sent = []
    broadcast = SimpleNamespace(
        is_join_sender=lambda member, now_ms: True,
        send_to=lambda members, data: context.sent.append(decode(data)),
    )
    updates = BackoffUpdates("vm-0", broadcast, context.known, EventLog("vm-0", len), Counters())
    updates.send_backoffs_to(None, at_ms)


@then("it is sent that they want no requests for {own_ms:d} and {peer_ms:d} ms")
def step_sent_to_joined(context, own_ms, peer_ms):
    (message,) = context.sent
    found = {row.incarnation: row.remaining_ms for row in message.rows}
    assert found == {"i-0": own_ms, "i-1": peer_ms}, found


@when("a request is rejected for that")
def step_until_rejected(context):
    async def send():
        fleet = context.fleet
        async with asyncio.timeout(gateway_fleet.WAIT_S):
            while (await fleet.send(path=gateway_fleet.SAFE)).answer.body != b"backing-off":
                await asyncio.sleep(0.02)
        for gateway, _ in fleet.gateways:
            gateway._log.flush()

    run(context, send())
    context.rejected = f"r-{len(context.fleet.calls)}"


@then("explain names that cause and shows what each endpoint has asked for")
def step_explained(context):
    lines = read_lines(bytes(context.fleet.log).decode().splitlines())
    explanation = explain_request(context.rejected, lines)
    assert explanation.cause.startswith("backing-off (503)"), explanation.cause
    shown = [line.fields for line in explanation.state_changes if line.kind == "backoff"]
    assert {(item["server"], item["left_ms"]) for item in shown} == {("i-0", 5_000), ("i-1", 5_000)}


@then("a datagram with a time of another type or range is no message")
def step_no_datagram(context):
    kind = MESSAGE_TYPES.index(BackoffUpdate)
    assert decode(cbor2.dumps([kind, "vm-1", [["i-1", 2.5]]])).rows[0].remaining_ms == 2.5
    invalid_rows = (["i-1", -1], ["i-1", "2"], [7, 2], ["i-1"], ["i-1", True], ["i-1", 3_600_001])
    for row in (*invalid_rows, ["i-1", float("nan")], ["i-1", float("inf")], ["i-1", None]):
        with contextlib.suppress(MessageError):
            decode(cbor2.dumps([kind, "vm-1", [row]]))
            raise AssertionError(row)
