"""Steps that drive the gateway's decisions with a simulated clock."""

import itertools
import random

from behave import given, then, when

from cloverhook.errors import MessageError
from cloverhook.gateway.backend_server import BackendServer, ServerRecord
from cloverhook.gateway.balancer import Balancer
from cloverhook.gateway.choice import WorkEstimates
from cloverhook.gateway.event_log import BUFFER_LIMIT_BYTES, EventKind, EventLog
from cloverhook.gateway.gateway_state import GatewayState
from cloverhook.gateway.links import LinkFailure, Links
from cloverhook.gateway.members import Members
from cloverhook.gateway.peer_messages import (
    Heartbeat,
    InFlightCounts,
    LoadReports,
    Relay,
    decode,
    encode,
)
from cloverhook.gateway.registry import Registry
from cloverhook.gateway.request_queue import QueuedRequest, RequestQueue
from cloverhook.gateway.retry_budget import RetryBudget
from cloverhook.gateway.routes import WeightedService
from cloverhook.gateway.server_load import LoadReport, LoadTable
from cloverhook.gateway.weighted_round_robin import WeightedRoundRobin
from features import gateway_fleet as fleet

LOCAL = "papine"
REMOTE = "halfway-tree"
SLOTS = 4
WORK_MS = 50.0
TIMEOUT_MS = 1_000
OBJECTIVE_MS = 400.0


def server(name, data_center=LOCAL, **fields):
    """Return a backend server that is warm from 20 s on the scenario's clock."""
    fields = {"warm_at_ms": 20_000.0, **fields}
    return BackendServer(name, fleet.SERVICE, "10.0.0.1:9000", data_center, SLOTS, **fields)


def fill_servers(context, *names):
    """Record load reports that say that all slots of these backend servers are in use."""
    for name in names:
        context.load_table.get_or_create(name).update(LoadReport(SLOTS, 0, 1.0), context.now_ms)


def chosen_servers(context, count=100):
    """Return the backend servers chosen for `count` requests, each of which ends at once."""
    choices = [
        context.balancer.choose(fleet.SERVICE, WORK_MS, context.now_ms) for _ in range(count)
    ]
    return {choice.server.incarnation for choice in choices}


@given('routes for "/", "/a/" and "/a/b/" of one host and "/" of another')
def step_routes(context):
    made = [fleet.route(prefix, prefix, True) for prefix in ("/", "/a/", "/a/b/")]
    made.append(fleet.route("other", "/", True, host=fleet.OTHER_HOST))
    context.gateway_config = fleet.config(3, *made)


@then("each path of either host finds its own route, and an unknown host none")
def step_found(context):
    find = context.gateway_config.find
    expected = {"/": "/", "/x": "/", "/a": "/", "/a/": "/a/", "/a/b": "/a/", "/a/b/c/": "/a/b/"}
    for path, name in expected.items():
        assert find(fleet.HOST, path).name == name, path
    assert find(fleet.OTHER_HOST, "/a/b/").name == "other"
    assert find("unknown.example", "/") is None


@then("its document gives the same configuration")
def step_document(context):
    assert (
        type(context.gateway_config).from_document(context.gateway_config.to_document())
        == context.gateway_config
    )


@given("a route with parts of weight 90 and 10")
def step_parts(context):
    parts = (WeightedService("a", 90), WeightedService("b", 10))
    context.route = fleet.route("split", "/", True, parts=parts)


@then("of 200 requests within 2 go to the part of weight 10 as its share says")
def step_shares(context):
    for seed in range(20):
        splitter = WeightedRoundRobin(random.Random(seed))
        services = [splitter.next_service(context.route) for _ in range(200)]
        assert abs(services.count("b") - 20) <= 2


@given("a registry")
def step_registry(context):
    context.now_ms = 10_000.0
    context.registry = Registry()


@when("the records of an incarnation come in every order")
def step_orders(context):
    records = (
        ServerRecord("i", 3, server("i")),
        ServerRecord("i", 5, server("i", draining=True)),
        ServerRecord("i", 7, None),
    )
    context.ends = []
    for order in itertools.permutations(records):
        registry = Registry()
        for record in order:
            registry.apply(record, context.now_ms, False)
        registry.expire_grace_periods(context.now_ms + 10_000)
        context.ends.append(registry.get("i"))


@then("the registry always ends as the newest says")
def step_newest(context):
    assert context.ends == [None] * 6


@given("a registry with {count:d} backend servers")
def step_filled(context, count):
    step_registry(context)
    for offset in range(count):
        name = f"i-{offset}"
        context.registry.apply(ServerRecord(name, offset, server(name)), context.now_ms, False)


@when("one is gone and a list from before that is read")
def step_old_list(context):
    registry, now_ms = context.registry, context.now_ms
    registry.apply(ServerRecord("i-1", 9, None), now_ms, False)
    registry.expire_grace_periods(now_ms + 2_000)
    registry.apply(ServerRecord("i-1", 1, server("i-1")), now_ms + 2_000, False)


@then("it stays gone after its hold time")
def step_gone(context):
    assert context.registry.get("i-1") is None and len(context.registry) == 3


@when("one of them vanishes")
def step_vanish(context):
    context.registry.apply(ServerRecord("i-1", 9, None), context.now_ms, False)


@then("it is held at first and gone 1.9 seconds later")
def step_in_grace_period(context):
    assert context.registry.in_grace_period(context.registry.get("i-1"))
    assert context.registry.expire_grace_periods(context.now_ms + 1_900) == ("i-1",)


@when("all of them vanish")
def step_all_vanish(context):
    for offset in range(4):
        record = ServerRecord(f"i-{offset}", 10 + offset, None)
        context.registry.apply(record, context.now_ms + offset, False)


@then("all are held 2.2 seconds later and those that come back stay")
def step_all_in_grace_period(context):
    registry, now_ms = context.registry, context.now_ms + 2_200
    assert registry.expire_grace_periods(now_ms) == ()
    registry.apply(ServerRecord("i-2", 20, server("i-2")), now_ms, False)
    assert set(registry.expire_grace_periods(now_ms + 1_000)) == {"i-0", "i-1", "i-3"}
    assert registry.get("i-2") is not None and not registry.in_grace_period(registry.get("i-2"))


@when("one of them drains and vanishes")
def step_drain_vanish(context):
    registry, now_ms = context.registry, context.now_ms
    registry.apply(ServerRecord("i-1", 9, server("i-1", draining=True)), now_ms, False)
    registry.apply(ServerRecord("i-1", 10, None), now_ms, False)


@then("it is gone at once")
def step_gone_at_once(context):
    assert context.registry.get("i-1") is None


@when("a VM reads a whole list without one of them and tells a peer what changed")
def step_list_without(context):
    entries = tuple(ServerRecord(f"i-{x}", x, server(f"i-{x}")) for x in range(4))
    context.states = GatewayState(), GatewayState()
    for state in context.states:
        state.apply_server_list(entries, 4, context.now_ms)
    context.list = (*entries[1:], ServerRecord("i-9", 5, server("i-9")))
    reader, peer = context.states
    changed_names = reader.apply_server_list(context.list, 6, context.now_ms)
    peer.registry.adopt(reader.registry.to_document(context.now_ms, changed_names), context.now_ms)


@then("both drop that one, also when the peer reads the same list")
def step_both_drop(context):
    context.states[1].apply_server_list(context.list, 6, context.now_ms)
    for state in context.states:
        state.expire(context.now_ms + 3_000)
        names = {item.incarnation for item in state.registry.servers()}
        assert names == {"i-1", "i-2", "i-3", "i-9"}, names


@given("two VMs that know 4 backend servers, of which one has read a later report of the first")
def step_later_report(context):
    context.now_ms = 10_000.0
    entries = tuple(ServerRecord(f"i-{x}", x, server(f"i-{x}")) for x in range(4))
    context.states = GatewayState(), GatewayState()
    for state in context.states:
        state.apply_server_list(entries, 4, context.now_ms)
    report = ServerRecord("i-0", 5, server("i-0", sequence=1))
    assert not context.states[1].apply_server_record(report, context.now_ms)


@when("the other one finds the first missing in a whole list and tells it")
def step_missing(context):
    reader, peer = context.states
    rest = tuple(ServerRecord(f"i-{x}", x, server(f"i-{x}")) for x in range(1, 4))
    changed_names = reader.apply_server_list(rest, 7, context.now_ms)
    peer.registry.adopt(reader.registry.to_document(context.now_ms, changed_names), context.now_ms)


@then("neither uses the first 3 s later")
def step_neither(context):
    for state in context.states:
        state.expire(context.now_ms + 3_000)
        assert state.registry.get("i-0") is None


@given("a registry with 4 backend servers and a copy of it from before a change")
def step_copy(context):
    step_filled(context, 4)
    context.copy = context.registry.to_document(context.now_ms)
    changed = ServerRecord("i-1", 9, server("i-1", draining=True))
    context.registry.apply(changed, context.now_ms, False)


@when("the copy is adopted")
def step_adopt(context):
    assert not context.registry.adopt(context.copy, context.now_ms)


@then("the registry is as before")
def step_unchanged(context):
    assert context.registry.get("i-1").draining and context.registry.version == 9


@then("another one that adopts all of it, or only the changes, holds the same")
def step_same(context):
    registry, now_ms = context.registry, context.now_ms
    before = registry.to_document(now_ms)
    changed_names = ("i-0", "i-1", "i-9")
    registry.apply(ServerRecord("i-0", 10, server("i-0", draining=True)), now_ms, False)
    registry.apply(ServerRecord("i-1", 11, None), now_ms, False)
    registry.apply(ServerRecord("i-9", 12, server("i-9")), now_ms, False)
    by_whole, by_changes = Registry(), Registry()
    by_changes.adopt(before, now_ms)
    by_changes.adopt(registry.to_document(now_ms, changed_names), now_ms)
    by_whole.adopt(before, now_ms)
    by_whole.adopt(registry.to_document(now_ms), now_ms)
    for other in (by_whole, by_changes):
        other.expire_grace_periods(now_ms + 3_000)
    registry.expire_grace_periods(now_ms + 3_000)
    expected = {item.incarnation: item for item in registry.servers()}
    for other in (by_whole, by_changes):
        assert {item.incarnation: item for item in other.servers()} == expected
        assert other.version == registry.version


@given("a balancer over 6 backend servers, 3 of them in another data centre")
def step_balancer(context):
    step_registry(context)
    context.load_table = LoadTable()
    for offset in range(6):
        name = f"{'near' if offset < 3 else 'far'}-{offset % 3}"
        entry = server(name, LOCAL if offset < 3 else REMOTE)
        context.registry.apply(ServerRecord(name, offset, entry), context.now_ms, False)
    context.balancer = Balancer(
        context.registry, context.load_table, WorkEstimates(), LOCAL, random.Random(1)
    )


@when("one of the own data centre works 7 times as long and one is full")
def step_slow(context):
    context.load_table.get_or_create("near-0").update(LoadReport(0, 0, 7.0), context.now_ms)
    fill_servers(context, "near-1")


@when("this VM can't reach two of the own data centre, and a peer reports their load")
def step_unreachable(context):
    links = Links(context.registry, context.load_table)
    for name in ("near-0", "near-1"):
        links.record_failure(context.registry.get(name), LinkFailure.REFUSED, context.now_ms)
        links.record_contact(context.registry.get("near-2"), context.now_ms)
    idle = LoadReport(0, 0, 1.0)
    message = LoadReports("vm-2", (("near-0", idle, 0.0), ("near-1", idle, 0.0)))
    for name, report, age_ms in decode(encode(message)).reports:
        context.load_table.get_or_create(name).update_from_probe(report, context.now_ms - age_ms)


@then("all requests go to the third of them")
def step_third(context):
    assert chosen_servers(context) == {"near-2"}


@then("with the own ones full they go to the other data centre")
def step_far(context):
    fill_servers(context, "near-1", "near-2")
    assert chosen_servers(context) <= {"far-0", "far-1", "far-2"}


@when("a figure that says 7 times as long is 1600 ms old")
def step_stale(context):
    context.load_table.get_or_create("near-0").update(LoadReport(0, 0, 7.0), context.now_ms)
    assert "near-0" not in chosen_servers(context)
    context.now_ms += 1_600


@then("its backend server is taken for neither the best nor the worst")
def step_stale_report(context):
    assert "near-0" not in chosen_servers(context)
    for name in ("near-1", "near-2", "far-0", "far-1", "far-2"):
        context.load_table.get_or_create(name).update(LoadReport(0, 0, 7.0), context.now_ms)
    assert chosen_servers(context) == {"near-0"}


@when("one of them fails 5 requests")
def step_fail(context):
    for _ in range(5):
        context.load_table.get_or_create("near-0").record_failure(context.now_ms)


@then("it gets none of the next 100 requests")
def step_none(context):
    assert "near-0" not in chosen_servers(context)


@then("10 seconds later it gets some")
def step_some(context):
    context.now_ms += 20_000
    assert "near-0" in chosen_servers(context, 1_000)


@given("a load figure of 1 request")
def step_figure(context):
    context.now_ms = 1_000.0
    context.load = LoadTable().get_or_create("i")
    context.load.update(LoadReport(1, 0, 1.0), context.now_ms)


@when("a neighbour starts 2 requests and this VM 1")
def step_started(context):
    context.load.set_peer_in_flight("vm-2", 2, context.now_ms)
    context.load.in_flight += 1


@then("the load is {load:d}")
def step_load(context, load):
    assert context.load.load(context.now_ms) == load


@then("it is 1 again when the next figure says so")
def step_next_figure(context):
    context.load.in_flight = 0
    context.load.set_peer_in_flight("vm-2", 0, context.now_ms)
    context.load.update(LoadReport(1, 0, 1.0), context.now_ms + 50)
    assert context.load.load(context.now_ms + 50) == 1


@given("{vms:d} VMs with an allowance of {ratio:g} of the requests and {extra:d} more in 10 s")
def step_allowance(context, vms, ratio, extra):
    context.ratio, context.extra = ratio, extra
    context.retry_budgets = [RetryBudget(ratio, extra, 10_000) for _ in range(vms)]


@when("each repeats as much as it may over {windows:d} windows of {count:d} requests")
def step_repeat(context, windows, count):
    context.requests, context.retries = [], []
    for step in range(windows * count):
        now_ms = step * 10_000 / count
        for budget in context.retry_budgets:
            budget.count_request(fleet.SERVICE, now_ms)
            context.requests.append(now_ms)
            while budget.try_take(fleet.SERVICE, now_ms, len(context.retry_budgets)):
                context.retries.append(now_ms)


@then("no window of any length 10 s has more repeats than are allowed")
def step_within(context):
    assert context.retries
    for end_ms in sorted(set(context.retries)):
        retries_in_window = [
            at_ms for at_ms in context.retries if end_ms - 10_000 < at_ms <= end_ms
        ]
        requests_in_window = [
            at_ms for at_ms in context.requests if end_ms - 10_000 < at_ms <= end_ms
        ]
        assert len(retries_in_window) <= context.ratio * len(requests_in_window) + context.extra


@given("a waiting line before {count:d} backend servers that are full")
def step_line(context, count):
    step_registry(context)
    context.load_table = LoadTable()
    for offset in range(count):
        name = f"i-{offset}"
        context.registry.apply(ServerRecord(name, offset, server(name)), context.now_ms, False)
        fill_servers(context, name)
    balancer = Balancer(
        context.registry, context.load_table, WorkEstimates(), LOCAL, random.Random(1)
    )
    context.queue = RequestQueue(balancer)
    context.decisions = []


def enqueue(context, priority, top_priority):
    """Add a request to the queue, collect the decisions that are due, and return the request."""
    request = QueuedRequest(
        fleet.SERVICE,
        priority,
        WORK_MS,
        context.now_ms,
        OBJECTIVE_MS,
        context.now_ms + TIMEOUT_MS,
        is_top_priority=top_priority,
    )
    context.queue.add(request)
    collect_decisions(context)
    return request


def collect_decisions(context, later_ms=0.0):
    """Advance the clock and collect the queue's decisions that are due."""
    context.now_ms += later_ms
    while (decision := context.queue.next(fleet.SERVICE, context.now_ms)) is not None:
        context.decisions.append(decision)


@when("two requests that can be put off and an urgent one want it")
def step_wait(context):
    context.queued_requests = [enqueue(context, 2, False), enqueue(context, 2, False)]


@then("those that can be put off are refused after a 25th of their objective")
def step_refused_early(context):
    assert not context.decisions
    collect_decisions(context, OBJECTIVE_MS / 25 - 1)
    assert not context.decisions
    collect_decisions(context, 2)
    assert [item.request for item in context.decisions] == context.queued_requests
    assert all(item.choice is None for item in context.decisions)


@then("the urgent one starts as soon as there is room")
def step_starts(context):
    context.queued_requests.append(enqueue(context, 1, True))
    assert len(context.decisions) == 2
    context.now_ms += 10
    context.load_table.get_or_create("i-0").update(LoadReport(SLOTS - 1, 0, 1.0), context.now_ms)
    collect_decisions(context)
    assert (
        context.decisions[-1].request is context.queued_requests[2]
        and context.decisions[-1].choice is not None
    )


@when("a request of priority 1 waits past its objective and for half of its time")
def step_overdue(context):
    context.queued_requests = [enqueue(context, 1, True)]
    assert not context.decisions
    for _ in range(5):
        fill_servers(context, "i-0")
        collect_decisions(context, TIMEOUT_MS / 10 - 1)
    assert not context.decisions
    collect_decisions(context, 6)


@then("it is started or refused, and not held to its deadline")
def step_decided(context):
    assert [item.request for item in context.decisions] == context.queued_requests


class Fleet:
    """VMs that receive each other's heartbeats every 100 ms and read the store if they should."""

    def __init__(self, count):
        self.now_ms = 0.0
        self.silent = set()
        self.members = {}
        for name in (f"vm-{index}" for index in range(count)):
            self.members[name] = Members(name, LOCAL, 0.0)
        self.reading = dict.fromkeys(self.members, False)
        for own, members in self.members.items():
            for name in self.members.keys() - {own}:
                members.record_heartbeat(self.heartbeat(name), 0.0)

    def heartbeat(self, name):
        """Return a heartbeat of a VM."""
        reading = self.reading[name]
        return Heartbeat(name, 1, LOCAL, f"{name}:1", f"{name}:2", True, reading, False, 1, 1)

    def pass_time(self, duration_ms):
        """Advance the clock in steps of 100 ms; VMs that aren't silent send heartbeats in each."""
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += 100
            for name in self.members.keys() - self.silent:
                own = self.members[name]
                self.reading[name] = own.should_read_store(self.reading[name], self.now_ms)
                heartbeat = self.heartbeat(name)
                for other in self.members.keys() - self.silent - {name}:
                    self.members[other].record_heartbeat(heartbeat, self.now_ms)

    def readers(self):
        """Return the VMs that read the store and aren't silent."""
        return {name for name, reads in self.reading.items() if reads} - self.silent


@given("{count:d} VMs that hear each other")
def step_fleet(context, count):
    context.vms = Fleet(count)


@then("two of them read the store within {time_s:d} seconds")
def step_reads(context, time_s):
    context.vms.pass_time(time_s * 1_000)
    assert len(context.vms.readers()) == 2, context.vms.readers()


@when("a reader falls silent")
def step_reader_silent(context):
    context.vms.silent = {min(context.vms.readers())}


@when("both readers fall silent")
def step_readers_silent(context):
    context.vms.silent = context.vms.readers()


@then("two others read within {time_s:d} seconds")
def step_takeover(context, time_s):
    context.vms.pass_time(time_s * 1_000)
    assert len(context.vms.readers()) == 2, context.vms.readers()


@then("another one reads within {time_s:d} seconds")
def step_one_reads(context, time_s):
    context.vms.pass_time(time_s * 1_000 + 100)
    assert context.vms.readers()


@when("the former reader comes back")
def step_back(context):
    context.vms.silent = set()


@when("one of them hears nobody for 10 seconds")
def step_cut_off(context):
    context.vms.pass_time(1_000)
    context.vms.silent = {"vm-0"}
    context.vms.pass_time(10_000)


@then("it still names all others to callers if the store doesn't answer it either, else nobody")
def step_names(context):
    members, now_ms = context.vms.members["vm-0"], context.vms.now_ms
    assert len(members.caller_addresses(now_ms, fully_isolated=True)) == 4
    assert members.caller_addresses(now_ms) == []


@then("the others no longer name it")
def step_not_named(context):
    for name in ("vm-1", "vm-4"):
        assert "vm-0:1" not in context.vms.members[name].caller_addresses(context.vms.now_ms)


@given("datagrams that are cut short, swapped or random")
def step_invalid_datagrams(context):
    source = random.Random(5)
    messages = (
        Heartbeat(
            "vm", 1, LOCAL, "10.0.0.1:1", "10.0.0.2:2", True, False, False, 1, 1, 3_000.0, True
        ),
        Relay("vm", b"inner"),
        LoadReports("vm", (("i", LoadReport(1, 2, 7.0), 3.0),)),
        InFlightCounts("vm", {"i": 2}),
    )
    whole = [encode(message) for message in messages]
    assert [decode(data) for data in whole] == list(messages)
    context.datagrams = [data[:length] for data in whole for length in range(len(data) - 1)]
    context.datagrams += [source.randbytes(source.randrange(40)) for _ in range(500)]


@then("each raises the one error for them")
def step_error(context):
    for data in context.datagrams:
        try:
            decode(data)
        except MessageError:
            continue
        assert data not in context.datagrams[:50], data


@given("an event log whose reader never reads")
def step_log(context):
    context.log = EventLog("vm-1", write=lambda data: 0)


@when("{count:d} lines are noted")
def step_flood(context, count):
    for number in range(count):
        context.log.note(EventKind.ATTEMPT, id=f"r-{number}")
        context.log.flush()
    context.lines = count


@then("memory stays bounded, the drops are counted and nothing has blocked")
def step_bounded(context):
    kept = context.log._buffer.count(b'"kind":"attempt"')
    assert len(context.log._buffer) < 2 * BUFFER_LIMIT_BYTES
    assert kept + context.log.dropped_total == context.lines
    assert context.log.dropped_total > 0


@then("lines of one request are kept or dropped together")
def step_together(context):
    other = EventLog("vm-2", write=len)
    names = [f"r-{number}" for number in range(1_000)]
    assert [context.log.is_sampled(name) for name in names] == [other.is_sampled(n) for n in names]
    assert 0 < sum(other.is_sampled(name) for name in names) < 100


@given("a load figure of pace 1 at 0 ms, 7 at 100 ms and 2 at 800 ms")
def step_figures(context):
    context.load = LoadTable().get_or_create("i-0")
    for at_ms, slowdown in ((0.0, 1.0), (100.0, 7.0), (800.0, 2.0)):
        context.load.update(LoadReport(0, 0, slowdown), at_ms)


@then("at {at_ms:d} ms it should have done {work_ms:d} ms of work at the usual pace")
def step_progress(context, at_ms, work_ms):
    context.expected = at_ms, work_ms
    assert (
        abs(context.load.expected_progress_ms(at_ms) - work_ms) < 0.01
    ), context.load.expected_progress_ms(at_ms)


@then("a figure of 50 ms that comes late changes nothing")
def step_late_figure(context):
    context.load.update(LoadReport(0, 0, 50.0), 50.0)
    step_progress(context, *context.expected)


@when("only one of the own data centre has an idle connection")
def step_one_connection(context):
    context.balancer._has_connection = lambda incarnation: incarnation == "near-1"


@then("it gets most of 100 requests, and none once it is full")
def step_preferred(context):
    choose = context.balancer.choose
    names = [choose(fleet.SERVICE, WORK_MS, context.now_ms).server.incarnation for _ in range(100)]
    assert names.count("near-1") > 50, names.count("near-1")
    fill_servers(context, "near-1")
    assert "near-1" not in chosen_servers(context)


@given("an allowance that counts over 10 s")
def step_rate_allowance(context):
    context.now_ms = 0.0
    context.retry_budget = RetryBudget(0.2, 10, 10_000)


@when("50 requests have come in 5 s")
def step_rate_requests(context):
    for _ in range(50):
        context.retry_budget.count_request("s", context.now_ms)
        context.now_ms += 100.0


@when("{time_s:d} seconds pass without any")
def step_rate_idle(context, time_s):
    context.now_ms += time_s * 1_000


@then("their rate is {rate:d} a second")
def step_rate(context, rate):
    assert abs(context.retry_budget.requests_per_s("s", context.now_ms) - rate) < 0.5
