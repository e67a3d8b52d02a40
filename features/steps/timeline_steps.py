"""Steps for the time line: merged in memory without I/O, and read from real daemons."""

import json
import random

from behave import given, then, when

from cloverhook.dispatch import Dispatcher
from cloverhook.event_view import merge_events, to_trace
from cloverhook.fleet import Priority
from cloverhook.fold import State, fold
from cloverhook.messages import Heartbeat, decode_stamped, encode
from cloverhook.observer import Observer
from cloverhook.platform_api import MemoryPlatform
from cloverhook.records import Change, Publish
from cloverhook.routing_events import Arrival, AttemptEnded, AttemptResult
from cloverhook.settings import DaemonSettings
from cloverhook.stamped_platform import StampedPlatform
from cloverhook.timeline import EventName, TimeLine
from features.shared import HOST, run

START_MS = 1_700_000_000_000.0
REQUEST_ID = "request-for-the-time-line"


@given("{count:d} time lines whose wall clocks are up to {skew:d} ms apart")
def step_skewed(context, count, skew):
    context.lines = [TimeLine(f"vm-{index}") for index in range(count)]
    context.skews_ms = [-skew * index / (count - 1) for index in range(count)]


@when("they exchange {count:d} messages by the random seed {seed:d}")
def step_exchange(context, count, seed):
    source = random.Random(seed)
    now_ms = START_MS
    in_transit = []
    context.sent = 0
    while context.sent < count or in_transit:
        now_ms += source.choice((0.0, 0.01, 1.0))
        if context.sent < count and source.random() < 0.5:
            in_transit.append(_send(context, source, now_ms))
        elif in_transit:
            _receive(context, in_transit.pop(source.randrange(len(in_transit))), now_ms)


def _send(context, source, now_ms):
    sender, receiver = source.sample(range(len(context.lines)), 2)
    line, wall_ms = context.lines[sender], now_ms + context.skews_ms[sender]
    number = str(context.sent)
    context.sent += 1
    line.add(wall_ms, EventName.MEMBER_JOINED, detail=number)
    return receiver, number, encode(Heartbeat("vm", 1, 1), line.clock.next_stamp(wall_ms))


def _receive(context, message, now_ms):
    receiver, number, data = message
    stamp, _ = decode_stamped(data)
    line = context.lines[receiver]
    line.clock.advance_past(stamp)
    line.add(now_ms + context.skews_ms[receiver], EventName.MEMBER_LEFT, detail=number)


@then("every message is received after it was sent in the merged order")
def step_sent_before_received(context):
    context.events = [event for line in context.lines for event in line.events()]
    sent = set()
    for event in merge_events(context.events):
        if event.name is EventName.MEMBER_JOINED:
            sent.add(event.detail)
        else:
            assert event.detail in sent, event
    assert len(sent) == context.sent


@then("the merged order is the same for every order of arrival")
def step_same_order(context):
    shuffled = list(context.events)
    random.Random(1).shuffle(shuffled)
    assert merge_events(shuffled) == merge_events(context.events)


@when("the one that is ahead appends a record and the other reads it")
def step_log(context):
    platform = MemoryPlatform()
    ahead, behind = context.lines
    behind_ms = START_MS + context.skews_ms[1]

    async def append_and_read():
        ahead.add(START_MS, EventName.CHANGE_SEEN)
        await StampedPlatform(platform, ahead.clock, lambda: START_MS).append("s", {"x": 1})
        found = await StampedPlatform(platform, behind.clock, lambda: behind_ms).read("s", 0)
        assert found.records[0]["x"] == 1
        behind.add(behind_ms, EventName.CHANGE_ACCEPTED)

    run(context, append_and_read())


@then("the append stands before the read in the merged order")
def step_log_order(context):
    names = [e.name for e in merge_events(e for line in context.lines for e in line.events())]
    assert names == [EventName.CHANGE_SEEN, EventName.CHANGE_ACCEPTED], names


@given("2 time lines that keep a tenth of the requests")
def step_sampled(context):
    context.lines = [TimeLine(f"vm-{index}", sample_ratio=0.1) for index in range(2)]


@when("each of {count:d} requests passes both and is cut at the second")
def step_cut(context, count):
    context.count = count
    first, second = context.lines
    for index in range(count):
        for line in (first, second):
            line.add(START_MS, EventName.REQUEST_ARRIVED, request_id=f"r{index}")
        first.add(START_MS, EventName.REQUEST_ANSWERED, request_id=f"r{index}")
        second.add(START_MS, EventName.REQUEST_CUT, request_id=f"r{index}")


def _request_ids(line, name):
    return {event.request_id for event in line.events() if event.name is name}


@then("both keep the arrivals of the same requests, about a tenth")
def step_same_sample(context):
    first, second = (_request_ids(line, EventName.REQUEST_ARRIVED) for line in context.lines)
    assert first == second
    assert context.count * 0.07 < len(first) < context.count * 0.13, len(first)


@then("every cut request is kept")
def step_cut_kept(context):
    assert len(_request_ids(context.lines[1], EventName.REQUEST_CUT)) == context.count


@given("a time line that keeps {count:d} events of requests")
def step_small(context, count):
    context.lines = [TimeLine("vm-0", kept_events=count)]


@when("a change is accepted and {count:d} requests arrive")
def step_flood(context, count):
    line = context.lines[0]
    line.add(START_MS, EventName.CHANGE_ACCEPTED, change_id="c1")
    for index in range(count):
        line.add(START_MS, EventName.REQUEST_ARRIVED, request_id=str(index))


@then("the change and the newest {count:d} requests are kept and the rest counted as dropped")
def step_kept(context, count):
    line = context.lines[0]
    kept = line.events()
    assert kept[0].change_id == "c1"
    assert [event.request_id for event in kept[1:]] == [str(i) for i in range(900, 1_000)]
    assert len(kept) == count + 1
    assert line.dropped == 900


@then("pages of {limit:d} events give each kept event once")
def step_pages(context, limit):
    line = context.lines[0]
    found, after = [], 0
    while True:
        page = line.page(after, limit)
        found.extend(page.events)
        after = page.after
        if after >= page.last:
            break
    assert tuple(found) == line.events()


@given("a time line of {count:d} requests that overlap")
def step_overlap(context, count):
    source = random.Random(count)
    line = TimeLine("vm-0")
    timed_events = []
    for index in range(count):
        begin_ms = START_MS + source.uniform(0, 100)
        end_ms = begin_ms + source.uniform(1, 20)
        timed_events.append((begin_ms, EventName.REQUEST_ARRIVED, str(index)))
        timed_events.append((begin_ms + 0.1, EventName.ATTEMPT_STARTED, str(index)))
        timed_events.append((end_ms - 0.1, EventName.ATTEMPT_ENDED, str(index)))
        timed_events.append((end_ms, EventName.REQUEST_ANSWERED, str(index)))
    for time_ms, name, request_id in sorted(timed_events):
        line.add(time_ms, name, request_id=request_id, address="10.0.0.1:80")
    context.lines, context.count = [line], count


@when("it is written as a trace")
def step_trace(context):
    document = to_trace(merge_events(context.lines[0].events()))
    context.trace = json.loads(json.dumps(document))["traceEvents"]


@then("each request is one bar and no two bars of requests overlap on a lane")
def step_lanes(context):
    bars = [e for e in context.trace if e["ph"] == "X" and e["name"].startswith("request ")]
    attempts = [e for e in context.trace if e["ph"] == "X" and e["name"].startswith("attempt ")]
    assert len(bars) == len(attempts) == context.count
    ends = {}
    for bar in sorted(bars, key=lambda bar: bar["ts"]):
        assert bar["ts"] >= ends.get(bar["tid"], 0), bar
        ends[bar["tid"]] = bar["ts"] + bar["dur"]


@when("a caller sends the same request identifier to each daemon")
def step_same_request(context):
    async def calls():
        for daemon in context.fleet.daemons.values():
            headers = {"Host": HOST, "X-Request-Id": REQUEST_ID}
            url = f"http://{daemon.caller_address}/open"
            async with context.session.get(url, headers=headers) as answer:
                assert answer.status == 200, await answer.text()

    run(context, calls())


def _tool_events(context, *arguments):
    code, output, errors = run(
        context, context.fleet.run_tool("events", "--output=json", *arguments)
    )
    assert code == 0, output + errors
    return [json.loads(line) for line in output.splitlines()]


@then("the tool shows the request on both daemons, from arrival to answer")
def step_tool_request(context):
    events = _tool_events(context, f"--request={REQUEST_ID}")
    expected = ["request-arrived", "attempt-started", "attempt-ended", "request-answered"]
    for vm in context.fleet.daemons:
        names = [event["name"] for event in events if event["vm"] == vm]
        assert names == expected, names
    code, text, _ = run(context, context.fleet.run_tool("events", f"--request={REQUEST_ID}"))
    assert code == 0
    assert len(text.splitlines()) == len(events)


@then("the tool shows the change on both daemons")
def step_tool_change(context):
    accepted = [e for e in _tool_events(context) if e["name"] == "change-accepted"]
    assert {event["vm"] for event in accepted} == set(context.fleet.daemons)
    found = _tool_events(context, f"--change={accepted[0]['change_id']}")
    assert [event["name"] for event in found].count("change-seen") == len(context.fleet.daemons)


@then("the tool shows only one backend server's events when asked")
def step_tool_endpoint(context):
    address = _tool_events(context, f"--request={REQUEST_ID}")[1]["address"]
    events = _tool_events(context, f"--endpoint={address}")
    assert events
    assert {event["address"] for event in events} == {address}


@then("the tool writes a trace with a process for each daemon")
def step_tool_trace(context):
    path = context.fleet.folder / "trace.json"
    code, output, errors = run(context, context.fleet.run_tool("events", f"--trace={path}"))
    assert code == 0, output + errors
    entries = json.loads(path.read_text())["traceEvents"]
    names = {e["args"]["name"] for e in entries if e["name"] == "process_name"}
    assert names == set(context.fleet.daemons)


@given("a dispatcher with 2 endpoints")
@given("a dispatcher with an endpoint that refuses connections")
def step_dispatcher(context):
    settings = DaemonSettings("vm-0", "papine", "a", "b", "c", "d")
    context.observer = Observer(settings)
    context.dispatcher = Dispatcher(random.Random(1), None, context.observer)
    document = {
        "brand": "brathwaite",
        "services": [
            {
                "name": "booking",
                "hosts": [HOST],
                "places": [{"data_center": "papine", "endpoints": ["10.0.0.1:80", "10.0.0.2:80"]}],
            }
        ],
    }
    change = Change("c1", "brathwaite", 0, "operator", Publish(document))
    context.dispatcher.configure(fold(State(), 0, change).state, 0.0)


@when("requests are sent there until they are refused")
def step_unreachable(context):
    target = context.dispatcher.target_for(HOST.encode())

    async def calls():
        for index in range(40):
            now_ms = index * 500.0
            arrival = Arrival(f"r{index}", Priority.NORMAL, now_ms + 1_000, idempotent=True)
            address = await context.dispatcher.admit(target, arrival, now_ms)
            bad = address == "10.0.0.1:80"
            result = AttemptResult.NOT_SENT if bad else AttemptResult.ANSWERED
            ended = AttemptEnded(f"r{index}", address, result, 5.0)
            context.dispatcher.record_attempt_end(target, ended, now_ms)

    run(context, calls())


@then('the time line shows the endpoint as "{trouble}" once')
def step_probation_reason(context, trouble):
    found = [
        (event.address, event.detail)
        for event in context.observer.time_line.events()
        if event.name is EventName.ENDPOINT_STATE
    ]
    assert found == [("10.0.0.1:80", trouble)], found
