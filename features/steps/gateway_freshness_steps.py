"""Steps for how old the state may be on which gateways act."""

import asyncio
import random
import sys
import time
from dataclasses import replace
from inspect import signature
from pathlib import Path
from unittest import mock

from behave import given, then, when

import features
from cloverhook.clock import monotonic_ms
from cloverhook.errors import MessageError, PlatformError
from cloverhook.explain import explain_request, read_lines
from cloverhook.follower import Follower
from cloverhook.gateway.backend_server import BackendServer, ServerRecord
from cloverhook.gateway.config_gate import ConfigGate
from cloverhook.gateway.config_sender import WAIT_S
from cloverhook.gateway.counters import Counters
from cloverhook.gateway.event_log import EventLog
from cloverhook.gateway.gateway_state import GatewayState
from cloverhook.gateway.peer_clocks import PeerClocks
from cloverhook.gateway.peer_link import FETCH_TIMEOUT_S
from cloverhook.gateway.state_fetch import StatePart
from cloverhook.gateway.store import Feed, HistoryLostError, MemoryStore
from cloverhook.gateway.store_follower import StoreFollower, offsets_to_versions
from cloverhook.gateway.transfer_queue import Refer
from cloverhook.gateway.versions import version_of
from features import gateway_fleet as fleet
from features.freshness_fleet import FreshnessFleet, StorePath
from features.shared import run

ROOT = Path(features.__file__).resolve().parent.parent
sys.path.append(str(ROOT / "platform"))

from cloverhook_platform.store_client import LENGTH, POSITIONS, HttpStore, Reply  # noqa: E402

LARGE_FLEET_VMS = 120
GATEWAYS = 5
SLOW_VM = "vm-slow"
FOLLOWING_S = 5.0
CALL_GAP_S = 0.05
REFRESH_LIMIT_S = 5.0
SUSPENSION_SLACK_MS = 1_000.0
LOST_S = 0.6
REGAINED_S = 0.5
SUCCESSOR_S = 1.3
ROUTES = 1_800
BOUND_MS = 2_000.0
NOW_MS = 100_000.0
HOUR_MS = 3_600_000
NEW_PATH = "/new/"
CONFIG = StatePart.CONFIG
ERA = 1


@when("changes are made in fleets with a bound of {bound_ms:d} ms while this goes on")
def step_changes(context, bound_ms):
    context.late = {}
    for row in context.table:
        work = play_changes(int(row["gateways"]), row["what goes on"], bound_ms)
        context.late[row["what goes on"]] = run(context, work)


@when("backend servers vanish in fleets with a bound of {bound_ms:d} ms in these ways")
def step_vanish(context, bound_ms):
    context.late = {}
    for row in context.table:
        work = play_vanishing(int(row["gateways"]), row["how"], bound_ms)
        context.late[row["how"]] = run(context, work)


@then("every gateway that reaches the store has them within {bound_ms:d} ms")
@then("no gateway uses one later than {bound_ms:d} ms after it has vanished")
def step_in_time(context, bound_ms):
    late = [
        f"{trouble}: {change} at {name} after {took_ms:.0f} ms"
        for trouble, changes in context.late.items()
        for change, gateways in changes.items()
        for name, took_ms in gateways.items()
        if took_ms > bound_ms
    ]
    assert not late, "\n".join(late)


@given(
    "a gateway that has known of a newer configuration for {behind:d} ms, confirmed {age:d} ms ago"
)
def step_behind(context, behind, age):
    gateway_state = GatewayState()
    gateway_state.confirm_config(gateway_state.config_versions, NOW_MS - age)
    context.call_failed = False
    context.gate = ConfigGate(
        gateway_state, BOUND_MS, lambda now_ms: float(behind), lambda: context.call_failed
    )


@given(
    "a fleet with a bound of {bound_ms:d} ms, and a gateway to which all datagrams take"
    " {delay_ms:d} ms from its start on"
)
def step_slow_link(context, bound_ms, delay_ms):
    async def start():
        fields = {"drain_s": bound_ms / 1000, "config_apply_s": bound_ms / 1000}
        context.known = await FreshnessFleet.start(GATEWAYS, LARGE_FLEET_VMS, **fields)
        context.stack.push_async_callback(context.known.close)
        context.way = await context.known.start_slow_gateway(
            SLOW_VM, delay_ms, LARGE_FLEET_VMS, **fields
        )

    run(context, start())


@when("datagrams to it begin to take {delay_ms:d} ms, and both readers end")
def step_readers_end(context, delay_ms):
    async def end():
        context.known.add_silent_members(context.known.gateways[SLOW_VM], LARGE_FLEET_VMS)
        context.way.delay_ms = delay_ms
        for name in context.known.readers():
            await context.known.end(name)

    run(context, end())


@given("that gateway gets the state of the store from the others")
@when("that gateway gets the state of the store from the others")
def step_follows_others(context):
    async def follow():
        gateway = context.known.gateways[SLOW_VM]
        await fleet.until(gateway._is_ready)
        await fleet.until(lambda: len(context.known.readers()) == 2)
        await asyncio.sleep(FOLLOWING_S)
        assert SLOW_VM not in context.known.readers()

    run(context, follow())


@given("its reads of the store take {delay_ms:d} ms")
def step_slow_reads(context, delay_ms):
    context.known.paths[SLOW_VM].delay_ms = delay_ms


@when("changes are made, and it gets no datagram that is sent afterwards")
def step_changes_unheard(context):
    async def change():
        context.known.add_silent_members(context.known.gateways[SLOW_VM], LARGE_FLEET_VMS)
        context.way.loses = True
        calls = asyncio.ensure_future(record_unknown_route(context))
        await asyncio.gather(
            context.known.publish(2, fleet.route("new", NEW_PATH, True)),
            context.known.drain(context.known.backends[0]),
        )
        calls.cancel()

    run(context, change())
    context.late = {"slow from the start": context.known.late_ms}


async def record_unknown_route(context):
    """Ask the slow gateway for the new route until cancelled; record when it answered 404."""
    address = context.known.gateways[SLOW_VM]._settings.caller_address
    changed_ms, context.unknown_ms = monotonic_ms(), []
    while True:
        sent_ms = monotonic_ms()
        answer = await fleet.call(address, NEW_PATH, request_id=f"new-{sent_ms:.0f}")
        if answer.status == 404:
            lost_ms = context.known.stalls.lost_ms(changed_ms, sent_ms)
            context.unknown_ms.append(sent_ms - changed_ms - lost_ms)
        await asyncio.sleep(CALL_GAP_S)


@then(
    "no request for the new route that is sent later than {bound_ms:d} ms after the change gets 404"
)
def step_no_late_404(context, bound_ms):
    late_ms = [round(sent_ms) for sent_ms in context.unknown_ms if sent_ms > bound_ms]
    assert not late_ms, late_ms


@given("its last call to the store {outcome}")
def step_call(context, outcome):
    context.call_failed = outcome == "failed"


@then("it handles requests by its configuration: {handles}")
def step_handles(context, handles):
    assert context.gate.is_open(NOW_MS) is (handles == "yes")


@then("it answers 404 for a route that it does not know: {answers}")
def step_answers(context, answers):
    is_unknown = context.gate.is_open(NOW_MS) and not context.gate.may_lack_routes(NOW_MS)
    assert is_unknown is (answers == "yes")


@when("a new route is published, and one gateway gets no copy of the configuration yet")
def step_published(context):
    async def publish():
        reader = next(item for item, _ in context.gateways if item._follower.reading)
        context.waiting = next(item for item in context.gateways if item[0] is not reader)
        gateway, settings = context.waiting
        await fleet.until(lambda: gateway._gateway_state.config_freshness.as_of_ms is not None)
        gateway._follower.stop("the test has it wait")
        gateway._members.should_read_store = lambda reading, now_ms: False
        gateway._refresher.start_due = lambda now_ms: None
        gateway._peering.link.fetch = hang
        context.store.put_config(fleet.config(2, fleet.route("new", NEW_PATH, True)))
        await fleet.until(lambda: gateway._peering.state_fetch.behind_ms(CONFIG, monotonic_ms()))
        gateway._log.flush = lambda: None  # Keep the lines for the last step.
        context.answer = await fleet.call(settings.caller_address, NEW_PATH, request_id="new-1")
        context.served = await fleet.call(settings.caller_address, request_id="old-1")

    run(context, publish())


async def hang(address, request):
    """Receive no state from a peer."""
    await asyncio.sleep(FETCH_TIMEOUT_S)
    raise MessageError("no state")


@then("that one answers 503 with a time to retry after for the new route, and serves the others")
def step_rejected(context):
    assert context.answer.status == 503, context.answer
    assert float(context.answer.headers["retry-after"]) > 0, context.answer
    assert context.served.status == 200, context.served


@then("explain names an outdated configuration as the cause")
def step_explained(context):
    log = bytearray()
    context.waiting[0]._log._write = lambda data: log.extend(data) or len(data)
    EventLog.flush(context.waiting[0]._log)
    lines = read_lines(log.decode().splitlines())
    explanation = explain_request("new-1", lines)
    assert explanation.cause.startswith("outdated (503)"), explanation.cause
    fields = explanation.lines[-1].fields
    assert fields["config_confirmed_age_ms"] >= 0, fields
    others = {item._settings.vm for item, _ in context.gateways if item is not context.waiting[0]}
    assert fields["config_confirmed_by"] in {"store", *others}, fields


async def play_changes(gateways, trouble, bound_ms):
    """Make changes during a trouble; return how late each gateway had them, by change."""
    silent_members = LARGE_FLEET_VMS if "large fleet" in trouble else 0
    fields = {"drain_s": bound_ms / 1000}
    known = await FreshnessFleet.start(gateways, silent_members, **fields)
    try:
        excused = await begin(known, trouble)
        routes = [fleet.route(f"r-{number}", f"/r{number}/", True) for number in range(ROUTES)]
        changes = [
            known.publish(2, *(routes if "1800 routes" in trouble else ())),
            known.drain(known.backends[0]),
        ]
        if "follow them" in trouble:
            changes.append(end_successors(known))
        await asyncio.gather(*changes)
    finally:
        await known.close()
    return {
        change: {name: took for name, took in late_ms.items() if name not in excused}
        for change, late_ms in known.late_ms.items()
    }


async def begin(known, trouble):
    """Begin a trouble; return the gateways that don't reach the store in it."""
    if "gets no message" in trouble:
        known.deafen(known.others()[0])
    if "one reader ends" in trouble:
        await known.end(known.readers()[0])
    if "calls to the store are silent" in trouble:
        readers = known.readers()
        for name in readers:
            known.paths[name].path = StorePath.SILENT
        return readers
    if "both readers end" in trouble:
        for name in known.readers():
            await known.end(name)
    if "hands it out" in trouble:
        for gateway in known.gateways.values():
            gateway._peering._config_sender.wait_for_turn = refuse_turn
    return ()


async def refuse_turn(requester, version):
    """Send no copy of a configuration to a neighbour."""
    await asyncio.sleep(WAIT_S)
    return Refer(requester, None)


async def end_successors(known):
    """End the gateways that have begun to read in place of those that ended."""
    await asyncio.sleep(SUCCESSOR_S)
    for name in known.readers():
        await known.end(name)


async def play_vanishing(gateways, how, bound_ms):
    """Let backend servers vanish; return how long each gateway used them, by backend server."""
    silent_members = LARGE_FLEET_VMS if "large fleet" in how else 0
    known = await FreshnessFleet.start(gateways, silent_members, drain_s=bound_ms / 1000)
    try:
        if "gets no message" in how:
            known.deafen(known.others()[0])
        if "lost the store" in how:
            name, other = known.readers()
            known.paths[name].path = StorePath.REFUSED
            await asyncio.sleep(LOST_S)
            known.paths[name].path = StorePath.OPEN
            await asyncio.sleep(REGAINED_S)
            await known.end(other)
        count = len(known.backends) // 2 if "half of a service" in how else 1
        await known.remove(*known.backends[:count])
    finally:
        await known.close()
    return known.late_ms


@given(
    "a VM that gets a message each {every:d} ms for an hour from one whose clock runs {ppm:d} ppm"
    " faster"
)
def step_drift(context, every, ppm):
    context.clocks, context.rate = PeerClocks(random.Random(1)), 1 + ppm / 1_000_000
    found = [message_delay_ms(context, float(at), float(at)) for at in range(0, HOUR_MS, every)]
    context.longest_ms = max(delay_ms for delay_ms in found if delay_ms is not None)


def message_delay_ms(context, sent_ms, now_ms):
    """Return how long a message may have been under way; a request, if due, is answered at once.

    Both times are those of the receiver's clock.
    """
    sender = "vm-1", 1
    earliest_ms = context.clocks.earliest_sent_ms(*sender, sent_ms * context.rate, now_ms)
    if context.clocks.is_request_due(*sender, now_ms):
        context.clocks.record_request(*sender, now_ms)
        context.clocks.record_answer(*sender, now_ms, now_ms * context.rate, now_ms)
    return None if earliest_ms is None else now_ms - earliest_ms


@then("no message counts as delayed by more than {limit:d} ms")
def step_no_delay(context, limit):
    assert context.longest_ms <= limit, context.longest_ms


@then("one that waited for {waited:d} ms counts as delayed by {least:d} to {most:d} ms")
def step_delay(context, waited, least, most):
    delay_ms = message_delay_ms(context, float(HOUR_MS), float(HOUR_MS + waited))
    assert least <= delay_ms <= most, delay_ms


@given("a gateway, and a daemon of cloverhookd, that have just read the newest state")
def step_just_read(context):
    context.gateway_state = GatewayState()
    context.gateway_state.confirm_config(context.gateway_state.config_versions, monotonic_ms())
    context.daemon_read_ms = follower_clock_ms()


def follower_clock_ms():
    """Return the time on the clock by which a daemon of cloverhookd measures the age of its log."""
    return signature(Follower).parameters["clock_ms"].default()


@when("their machine is suspended for {suspended:d} ms")
def step_suspended(context, suspended):
    read_clock = time.clock_gettime
    patch = mock.patch(
        "time.clock_gettime",
        lambda clock: read_clock(clock) + suspended / 1000 * (clock == time.CLOCK_BOOTTIME),
    )
    patch.start()
    context.add_cleanup(patch.stop)


@then("the state of both counts as {age:d} ms old")
def step_both_ages(context, age):
    ages_ms = (
        context.gateway_state.config_freshness.age_ms(monotonic_ms()),
        follower_clock_ms() - context.daemon_read_ms,
    )
    assert all(age <= age_ms < age + SUSPENSION_SLACK_MS for age_ms in ages_ms), ages_ms


@given("a VM that has known nothing of the store for {time_ms:d} ms")
def step_outage(context, time_ms):
    context.gateway_state = GatewayState()
    context.now_ms = float(time_ms)
    entries = (BackendServer(f"i-{n}", fleet.SERVICE, f"10.0.0.{n}:1", "papine") for n in range(8))
    records = tuple(ServerRecord(item.name, n, item) for n, item in enumerate(entries))
    context.gateway_state.apply_server_list(records, len(records), 0.0)


@given(
    "a VM whose process did not run for {paused_ms:d} of the {gap_ms:d} ms without a confirmation"
)
def step_paused(context, paused_ms, gap_ms):
    step_outage(context, gap_ms)
    context.gateway_state.record_process_pause(100.0, 100.0 + paused_ms)
    context.gateway_state.registry.position.confirm_current(7, context.now_ms)


@when("it learns {later_ms:d} ms later that one of 8 backend servers has vanished")
def step_vanished_later(context, later_ms):
    for _ in range(4):
        context.now_ms += later_ms / 4
        context.gateway_state.registry.position.confirm_current(7, context.now_ms)
    remove_server(context, "i-0", 8)


def remove_server(context, name, offset):
    """Apply the removal of an entry, and the confirmation that comes with it."""
    state, now_ms = context.gateway_state, context.now_ms
    state.apply_server_record(ServerRecord(name, offset, None), now_ms)
    state.registry.position.confirm_current(offset, now_ms)


@when("it learns that one of 8 backend servers has vanished")
def step_one_vanished(context):
    remove_server(context, "i-0", 8)


@then("it uses that one for {held_ms:d} ms")
def step_held(context, held_ms):
    check_held(context, "i-0", held_ms)


@then("one that vanishes {later_ms:d} ms later for {held_ms:d} ms")
def step_held_later(context, later_ms, held_ms):
    position = context.gateway_state.registry.position
    for _ in range(5):
        context.now_ms += later_ms / 5
        position.confirm_current(8, context.now_ms)
    remove_server(context, "i-1", 9)
    check_held(context, "i-1", held_ms)


def check_held(context, name, held_ms):
    """Check for how long an entry that has just vanished stays in use."""
    state = context.gateway_state
    state.expire(context.now_ms + held_ms - 1)
    assert state.registry.get(name) is not None, name
    state.expire(context.now_ms + held_ms)
    assert state.registry.get(name) is None, name


class OneRecordStore(MemoryStore):
    """A store whose answers to a read of changes hold one record of a backend server each."""

    async def changes(self, feed, from_offset, wait_ms):
        """Return the first record from an offset on."""
        found = await super().changes(feed, from_offset, wait_ms)
        first = found.servers[:1]
        end_offset = first[0].offset + 1 if first else found.end_offset
        is_complete = end_offset >= found.end_offset
        return replace(found, servers=first, end_offset=end_offset, is_complete=is_complete)


class NoRecordStore(MemoryStore):
    """A store whose answers to a read of changes leave out all records."""

    async def changes(self, feed, from_offset, wait_ms):
        """Return no record, of a log that goes on."""
        found = await super().changes(feed, from_offset, wait_ms)
        return replace(found, servers=(), end_offset=from_offset, is_complete=False)


@given(
    "a store whose answers hold no record, and {count:d} backend servers that a gateway does not"
    " know"
)
def step_no_record(context, count):
    follow(context, NoRecordStore(), count)


@given(
    "a store whose answers hold one record each, and {count:d} backend servers that a gateway does"
    " not know"
)
def step_one_record(context, count):
    follow(context, OneRecordStore(), count)


def follow(context, store, count):
    """Set up the following of a store that has backend servers."""
    context.store = store
    for number in range(count):
        name = f"i-{number}"
        context.store.put_server(BackendServer(name, fleet.SERVICE, f"10.0.0.{number}:1", "papine"))
    context.gateway_state = GatewayState()
    context.gateway_state.registry.position.advance_to(version_of(ERA, -1))
    context.follower = StoreFollower(
        context.store,
        context.gateway_state,
        lambda names, base_version: None,
        lambda: None,
        EventLog("vm-1", len),
        Counters(),
    )


@when("the gateway applies the first answer")
def step_first_answer(context):
    found = run(context, context.store.changes(Feed.SERVERS, 0, 0))
    context.follower._apply(Feed.SERVERS, offsets_to_versions(found, ERA), 50.0, whole=False)


@then("its state is not confirmed by that")
def step_not_confirmed(context):
    assert len(context.gateway_state.registry) == 1
    assert context.gateway_state.registry.position.freshness.as_of_ms is None


@when("it refreshes its state")
def step_refresh(context):
    run(context, context.follower.refresh(Feed.SERVERS))


@when("the gateway refreshes its state, that fails")
def step_refresh_fails(context):
    async def refresh():
        async with asyncio.timeout(REFRESH_LIMIT_S):
            await context.follower.refresh(Feed.SERVERS)

    try:
        run(context, refresh())
    except PlatformError:
        return
    raise AssertionError("the refresh has succeeded")


@then("it knows {count:d} backend servers, and its state is not confirmed")
def step_known_unconfirmed(context, count):
    assert len(context.gateway_state.registry) == count
    assert context.gateway_state.registry.position.freshness.as_of_ms is None


@then("it knows {count:d} backend servers, and its state is confirmed")
def step_confirmed(context, count):
    assert len(context.gateway_state.registry) == count
    assert context.gateway_state.registry.position.freshness.as_of_ms is not None


@given("an answer to a read from {start:d} with {count:d} records of a log that ends at {end:d}")
def step_answer(context, start, count, end):
    context.found = run(context, store_with(end, 0, count).changes(Feed.SERVERS, start, 0))


@given(
    "an answer to a read from {start:d} with {count:d} records of a log that begins at {first:d}"
)
def step_answer_begins(context, start, count, first):
    context.work = store_with(first + count, first, count).changes(Feed.SERVERS, start, 0)


def store_with(end, first, count):
    """Return an adapter that gets an answer with so many records, and these limits of the log."""
    record = bytes([1]) + b"k" + b"{}"
    records = count * (LENGTH.pack(len(record)) + record)

    async def answer(method, target, body, timeout_ms):
        return Reply(200, POSITIONS.pack(end, first) + records, ERA)

    store = HttpStore("127.0.0.1:1")
    store._call = answer
    return store


@then("it is read up to {read_to:d}, and complete: {complete:w}")
def step_complete(context, read_to, complete):
    assert context.found.end_offset == read_to
    assert context.found.is_complete is (complete == "yes")


@then("the history from there on is lost")
def step_history_lost(context):
    try:
        found = run(context, context.work)
    except HistoryLostError:
        return
    raise AssertionError(found)
