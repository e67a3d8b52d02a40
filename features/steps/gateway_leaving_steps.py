"""Steps for backend servers that say in their answers that they leave."""

import asyncio
import contextlib
import math
from collections import Counter
from dataclasses import dataclass, replace

import cbor2
from behave import given, then, when

from cloverhook.clock import monotonic_ms
from cloverhook.errors import MessageError
from cloverhook.explain import explain_request, read_lines
from cloverhook.gateway.choice import CapacityRequirement
from cloverhook.gateway.drain_notices import DrainNotices
from cloverhook.gateway.gateway_state import GatewayState
from cloverhook.gateway.peer_messages import MESSAGE_TYPES, DrainNoticeUpdate, decode
from cloverhook.gateway.store import Feed
from features import gateway_fleet
from features.notice_fleet import NoticeFleet, decisions_of, register_endpoint
from features.shared import run

LEAVING_LINE = b"cloverhook-leaving: 1"
REQUESTS_PER_S = 60
USUAL_S = 1.0
LEAVING_S = 4.5
REQUESTS = 40
DRAIN_MS = 2_000.0
WORK_MS = 50.0
BORN_MS = 7


@dataclass(frozen=True, slots=True)
class LeavingRun:
    """A fleet whose first backend servers say from `begun_ms` on that they leave."""

    fleet: NoticeFleet
    begun_ms: float
    leaving: frozenset[str]

    @property
    def all_leave(self):
        """Whether no backend server is left that can serve."""
        return len(self.leaving) == len(self.fleet.backends)

    def has_passed_on_notices(self):
        """Return whether a VM has passed on an answer of each leaving backend server."""
        return all(self.fleet.first_passed_on_ms(name, self.begun_ms) for name in self.leaving)

    def arrivals_after_own_answer(self, delay_ms):
        """Return the late arrivals at the leaving backend servers.

        Their callers sent them later than `delay_ms` after the VM that sent them on had passed on
        an answer which says that the backend server leaves.
        """
        passed_on_ms = {
            name: self.fleet.first_passed_on_ms(name, self.begun_ms) for name in self.leaving
        }
        return [
            arrival
            for arrival in self._arrivals()
            if arrival.caller_sent_ms
            > passed_on_ms[arrival.incarnation].get(arrival.vm, math.inf) + delay_ms
        ]

    def arrivals_after_first_answer(self, delay_ms):
        """Return the same, from the first such answer to any VM on."""
        first_ms = {item.incarnation: item.first_notice_ms for item in self.fleet.backends}
        return [
            arrival
            for arrival in self._arrivals()
            if arrival.caller_sent_ms > first_ms[arrival.incarnation] + delay_ms
        ]

    def _arrivals(self):
        return [item for item in self.fleet.arrivals if item.incarnation in self.leaving]


@when(
    "callers send requests while the store is away and backend servers begin to say that they leave"
)
def step_leave(context):
    async def play(gateways, backends, leaving):
        fleet = await NoticeFleet.start(gateways, backends)
        try:
            fleet.stop_store()
            await fleet.load(REQUESTS_PER_S, USUAL_S)
            begun_ms = monotonic_ms()
            for backend in fleet.backends[:leaving]:
                backend.notice_lines = (LEAVING_LINE,)
            await fleet.load(REQUESTS_PER_S, LEAVING_S)
        finally:
            await fleet.close()
        names = frozenset(backend.incarnation for backend in fleet.backends[:leaving])
        return LeavingRun(fleet, begun_ms, names)

    context.runs = [run(context, play(*map(int, row.cells))) for row in context.table]


@then(
    "no VM sends them requests that callers sent later than {bound_ms:d} ms after it passed on such"
    " an answer"
)
def step_bound(context, bound_ms):
    late = [len(item.arrivals_after_own_answer(bound_ms)) for item in context.runs]
    assert not any(late), late
    # A notice in the answer to a probe may come first, so that no such answer is passed on.
    assert any(item.has_passed_on_notices() for item in context.runs)


@then(
    "where others can serve, they get no request from {delay_ms:d} ms after the first such answer,"
    " and all are answered"
)
def step_passed_over(context, delay_ms):
    for item in context.runs:
        if not item.all_leave:
            late = item.arrivals_after_first_answer(delay_ms)
            assert not late, len(late)
            statuses = Counter(call.answer.status for call in item.fleet.calls)
            assert set(statuses) == {200}, statuses


@then(
    "where all leave, requests are rejected within {most_ms:d} ms from then on, with a time to"
    " retry"
)
def step_rejected(context, most_ms):
    for item in context.runs:
        if item.all_leave:
            ended_ms = max(call.ended_ms for call in item.fleet.calls)
            last = [call for call in item.fleet.calls if call.sent_ms > ended_ms - 1_500.0]
            assert last and {call.answer.status for call in last} == {503}
            waits_ms = [item.fleet.waited_ms(call) for call in last]
            assert max(waits_ms) <= most_ms, max(waits_ms)
            assert all(float(call.answer.headers["retry-after"]) > 0 for call in last)


async def start_notice_fleet(context, gateways, backends):
    """Start a fleet that is closed after the scenario."""
    context.fleet = await NoticeFleet.start(gateways, backends)
    context.stack.push_async_callback(context.fleet.close)
    return context.fleet


def has_notice(gateway, incarnation):
    """Return whether a gateway knows that an endpoint leaves."""
    return incarnation in gateway._gateway_state.drain_notices


async def send_to_each(fleet):
    """Send some requests to each gateway, one after the other."""
    for _ in range(REQUESTS // len(fleet.gateways)):
        for item in fleet.gateways:
            await fleet.send([item])


@given(
    "{gateways:d} gateways and {backends:d} backend servers, of which one says in its answers that"
    " it leaves"
)
def step_one_leaves(context, gateways, backends):
    async def start():
        fleet = await start_notice_fleet(context, gateways, backends)
        context.leaving = fleet.backends[0]
        context.leaving.notice_lines = (LEAVING_LINE,)
        name = context.leaving.incarnation
        await gateway_fleet.until(lambda: all(has_notice(item, name) for item, _ in fleet.gateways))

    run(context, start())


@when(
    "its entry is read again as ready, from the store's older copy too, and a gateway starts anew"
    " while the store is away"
)
def step_read_again(context):
    async def read_again():
        fleet, store = context.fleet, context.fleet.store
        store.put_server(context.leaving.entry(sequence=2))
        store.restore_older_copy({Feed.SERVERS: 0})
        await gateway_fleet.until(
            lambda: all(item._gateway_state.store_era > 1 for item, _ in fleet.gateways)
        )
        fleet.stop_store()
        late, settings = await gateway_fleet.start_gateway(
            fleet.fixture, "vm-late", write_log=fleet.write_log
        )
        late._peering.add_address(fleet.gateways[0][1].peer_address)
        await gateway_fleet.until(late._is_ready)
        fleet.gateways.append((late, settings))

    run(context, read_again())


@then("all gateways know of the notice, and none sends it a request")
def step_notice_kept(context):
    async def check():
        fleet, name = context.fleet, context.leaving.incarnation
        await gateway_fleet.until(lambda: all(has_notice(item, name) for item, _ in fleet.gateways))
        await asyncio.sleep(DRAIN_MS / 2 / 1000)
        count = len(context.leaving.seen)
        await send_to_each(fleet)
        assert len(context.leaving.seen) == count
        assert {call.answer.status for call in fleet.calls} == {200}

    run(context, check())


@when("it starts again at its address as another incarnation")
def step_starts_again(context):
    context.fleet.store.failure = None
    context.leaving.notice_lines = ()
    context.fleet.store.put_server(context.leaving.entry(born_ms=BORN_MS))


@then("it gets requests again")
def step_used_again(context):
    async def check():
        count = len(context.leaving.seen)
        async with asyncio.timeout(gateway_fleet.WAIT_S):
            while len(context.leaving.seen) == count:
                await send_to_each(context.fleet)

    run(context, check())


@given("a gateway and 2 backend servers of which one answers in parts")
def step_in_parts(context):
    async def start():
        fleet = await start_notice_fleet(context, 1, 2)
        context.leaving, other = fleet.backends
        context.leaving.ignores_probes = True
        context.leaving.default = "paused"
        other.default = "reject"

    run(context, start())


@when("it says that it leaves in the head of an answer whose body goes on")
def step_head(context):
    context.leaving.notice_lines = (LEAVING_LINE,)
    context.call = context.loop.create_task(context.fleet.send(path=gateway_fleet.SAFE))
    run(context, gateway_fleet.until(lambda: context.leaving.ran))


@then("the gateway knows of the notice before that answer ends")
def step_known_early(context):
    async def check():
        ((gateway, _),) = context.fleet.gateways
        await gateway_fleet.until(lambda: has_notice(gateway, context.leaving.incarnation))
        assert not context.call.done()
        context.leaving.resume.set()
        assert (await context.call).answer.whole

    run(context, check())


@then("an answer without a notice ends it only if its request was sent after the notice")
def step_revoked(context):
    notices = DrainNotices(DRAIN_MS)
    assert notices.record("i-1", 100.0, 100.0)
    assert not notices.revoke("i-1", 99.0) and not notices.revoke("i-1", 100.0)
    assert notices.revoke("i-1", 101.0) and "i-1" not in notices


@then("a notice that is not repeated for {time_s:d} s has ended, one that is repeated has not")
def step_expired(context, time_s):
    notices = DrainNotices(DRAIN_MS)
    notices.record("i-1", 0.0, 0.0)
    notices.record("i-2", 0.0, 0.0)
    assert not notices.record("i-2", 50.0, 50.0)
    assert notices.expire(time_s * 1_000.0) == ()
    assert notices.expire(time_s * 1_000.0 + 1.0) == ("i-1",)
    assert notices.get("i-2").first_ms == 0.0


@given("an idle endpoint that leaves and one that is full")
def step_last_resort(context):
    context.known = GatewayState(DRAIN_MS)
    register_endpoint(context.known, "i-0", 0)
    register_endpoint(context.known, "i-1", gateway_fleet.SLOTS)
    context.known.drain_notices.record("i-0", 0.0, 0.0)
    context.eligibility, context.balancer = decisions_of(context.known)


def choose(context, now_ms, required_capacity):
    """Return the name of the endpoint chosen at a time, or None."""
    choice = context.balancer.choose(gateway_fleet.SERVICE, WORK_MS, now_ms, (), required_capacity)
    return None if choice is None else choice.server.name


@then("{at_ms:d} ms after the notice a request is placed at the first one, and no hedge is")
def step_placed(context, at_ms):
    assert choose(context, at_ms, CapacityRequirement.FREE_SLOT) == "i-0"
    assert choose(context, at_ms, CapacityRequirement.NO_SLOWDOWN) is None
    server = context.known.registry.get("i-0")
    assert not context.eligibility.reason_not_to_send(server, at_ms)


@then("{at_ms:d} ms after the notice none is placed, and none that was placed before is sent")
def step_not_placed(context, at_ms):
    assert choose(context, at_ms, CapacityRequirement.FREE_SLOT) is None
    assert context.eligibility.reason_not_to_send(context.known.registry.get("i-0"), at_ms)


@given(
    "{gateways:d} gateways and {backends:d} backend servers, of which one says leaving with the"
    " value {value}"
)
def step_invalid(context, gateways, backends, value):
    async def start():
        fleet = await start_notice_fleet(context, gateways, backends)
        fleet.backends[0].notice_lines = (b"cloverhook-leaving: " + value.encode(),)
        # More at once than one backend server has slots: an open connection is preferred.
        await asyncio.gather(*(fleet.send() for _ in range(gateway_fleet.SLOTS + 1)))

    run(context, start())


@then("it gets requests, and a log line and a metric name the value")
def step_invalid_logged(context):
    async def metrics():
        return (await context.fleet.gateways[0][0]._serve_metrics(None)).body

    assert context.fleet.backends[0].seen
    line = context.fleet.log_lines("invalid-header")[0]
    assert (line["header"], line["value"], line["server"]) == ("cloverhook-leaving", "no", "i-0")
    assert b"cloverhook_gateway_invalid_headers" in run(context, metrics())


@then("a datagram with a notice of another type or range is no message")
def step_no_datagram(context):
    kind = MESSAGE_TYPES.index(DrainNoticeUpdate)
    assert decode(cbor2.dumps([kind, "vm-1", [["i-1", 20, 10.0]]])).rows[0].first_age_ms == 20
    assert decode(cbor2.dumps([kind, "vm-1", [["i-1", None, 10.0]]])).rows[0].first_age_ms is None
    invalid_rows = (["i-1", -1, 0], ["i-1", "2", 0], [7, 2, 0], ["i-1", 2, -1], ["i-1", 2])
    for row in (*invalid_rows, ["i-1", float("nan"), 0], ["i-1", 0, float("inf")], ["i", True, 0]):
        with contextlib.suppress(MessageError):
            decode(cbor2.dumps([kind, "vm-1", [row]]))
            raise AssertionError(row)


@given(
    "{gateways:d} gateways and {backends:d} backend servers that all say in their answers that they"
    " leave"
)
def step_all_leave(context, gateways, backends):
    async def start():
        fleet = await start_notice_fleet(context, gateways, backends)
        for backend in fleet.backends:
            backend.notice_lines = (LEAVING_LINE,)

    run(context, start())


@when("requests are sent until one is rejected for that")
def step_until_rejected(context):
    async def send():
        fleet = context.fleet
        async with asyncio.timeout(gateway_fleet.WAIT_S):
            while (await fleet.send()).answer.body != b"draining":
                await asyncio.sleep(0.05)
        for gateway, _ in fleet.gateways:
            gateway._log.flush()

    run(context, send())
    context.rejected = f"r-{len(context.fleet.calls)}"


@then("explain gives that cause and shows when the gateway learned of each notice")
def step_explained(context):
    lines = read_lines(bytes(context.fleet.log).decode().splitlines())
    explanation = explain_request(context.rejected, lines)
    assert explanation.cause.startswith("draining (503)"), explanation.cause
    shown = [line for line in explanation.state_changes if line.kind == "draining"]
    assert {line.fields["server"] for line in shown} == {"i-0", "i-1"}, shown
    late = max(line.time_ms for line in explanation.lines) + 3_600_000.0
    later = [replace(line, time_ms=late) if "id" in line.fields else line for line in lines]
    shown = explain_request(context.rejected, later).state_changes
    assert {line.fields["server"] for line in shown if line.kind == "draining"} == {"i-0", "i-1"}
