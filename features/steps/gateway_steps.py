"""Steps that send requests through a gateway in this process."""

import asyncio
import tempfile
from dataclasses import replace
from pathlib import Path

from behave import given, then, when

from cloverhook.clock import monotonic_ms
from cloverhook.errors import SettingsError
from cloverhook.gateway.attempt import LOAD_MAX_AGE_MS
from cloverhook.gateway.daemon import Gateway
from cloverhook.gateway.program import serve
from cloverhook.gateway.server_load import LoadReport
from cloverhook.gateway.settings import GatewaySettings
from cloverhook.gateway.store import MemoryStore
from cloverhook.settings import DaemonSettings
from cloverhook.tool_settings import ToolSettings
from features import gateway_fleet as fleet
from features.shared import run

LONG_TIMEOUT_MS = 5_000


def caller_address(context):
    """Return the address at which the first gateway listens for callers."""
    return context.gateways[0][1].caller_address


def send(context, path, method="GET", **fields):
    """Send a request to the first gateway and keep its answer in the context."""
    work = fleet.call(caller_address(context), path, method, **fields)
    context.answer = run(context, work)


def run_count(context):
    """Return how many requests the backend servers have run in total."""
    return sum(len(backend.ran) for backend in context.backends)


@given("a gateway and {count:d} backend servers")
def step_gateway(context, count):
    run(context, fleet.start_fleet(context, count))


@given("a gateway and {count:d} backend servers of which {full:d} have no slot free")
def step_some_full(context, count, full):
    async def start():
        await fleet.start_fleet(context, count)
        table = context.gateways[0][0]._gateway_state.load_table
        for backend in context.backends[:full]:
            backend.running = fleet.SLOTS
        await fleet.until(
            lambda: all(
                table.get_or_create(item.incarnation).load(monotonic_ms()) == fleet.SLOTS
                for item in context.backends[:full]
            )
        )

    run(context, start())


@then("{count:d} backend servers have seen it")
def step_seen_by(context, count):
    assert sum(bool(backend.seen) for backend in context.backends) == count


@given("a gateway whose store holds nothing")
def step_empty(context):
    async def start():
        context.store = MemoryStore()
        context.backends = []
        context.gateways = [await fleet.start_gateway(context)]
        await asyncio.sleep(0.2)

    run(context, start())


@given("the first backend server to be asked does {what}")
def step_first(context, what):
    script = [what]
    for backend in context.backends:
        backend.script = script


@given("every backend server rejects all requests")
def step_reject(context):
    for backend in context.backends:
        backend.default = "reject"


@given("every backend server stays silent")
def step_silent(context):
    for backend in context.backends:
        backend.default = "silent"


@given("a route of {timeout_ms:d} ms to a backend server that stays silent")
def step_short_route(context, timeout_ms):
    step_silent(context)
    short = fleet.route("short", "/short/", False, timeout_ms=float(timeout_ms))
    context.store.put_config(fleet.config(2, short))
    gateway_state = context.gateways[0][0]._gateway_state
    run(context, fleet.until(lambda: gateway_state.config_version == 2))


@given("its address belongs to another incarnation now")
def step_reused(context):
    context.backends[0].incarnation = "i-new"


@given("each request takes {work_ms:d} ms")
def step_work(context, work_ms):
    for backend in context.backends:
        backend.work_ms = work_ms


@when("a caller sends a request with a body and headers of its own")
def step_full_request(context):
    lines = (
        "X-Own: kept",
        "Connection: x-gone",
        "X-Gone: dropped",
        f"{fleet.NAMES.incarnation_wanted.decode()}: i-forged",
    )
    path = fleet.UNSAFE + "a%20b?c=d"
    send(context, path, "POST", body=b"payload", lines=lines, timeout_ms=1_500)


@then("the backend server gets method, path, query, body and identifier unchanged")
def step_unchanged(context):
    (seen,) = [item for backend in context.backends for item in backend.seen]
    line, headers, body = seen
    assert line == f"POST {fleet.UNSAFE}a%20b?c=d HTTP/1.1".encode(), line
    assert body == b"payload"
    assert headers[fleet.NAMES.request_id] == b"r-1"
    assert headers[b"x-own"] == b"kept"


@then("it gets the time that is left, its own incarnation and no header of a connection")
def step_added(context):
    (seen,) = [(item, backend) for backend in context.backends for item in backend.seen]
    (_, headers, _), backend = seen
    assert 0 < int(headers[fleet.NAMES.timeout_ms]) <= 1_500
    assert headers[fleet.NAMES.incarnation_wanted].decode() == backend.incarnation
    assert b"connection" not in headers and b"x-gone" not in headers


@then("the caller gets its body and receipt, and not its load")
def step_receipt(context):
    answer = context.answer
    assert answer.status == 200 and answer.whole
    assert answer.headers[fleet.NAMES.receipt.decode()] == fleet.RECEIPT
    assert fleet.NAMES.load.decode() not in answer.headers


@when("a caller reads")
def step_read(context):
    send(context, fleet.SAFE)


@when("a caller writes")
def step_write(context):
    send(context, fleet.UNSAFE, "POST", body=b"pay")


@when("a caller writes on that route")
def step_write_short(context):
    send(context, "/short/", "POST", body=b"pay", timeout_ms=LONG_TIMEOUT_MS)


@then("the answer is 200, whole and its own")
def step_good(context):
    answer = context.answer
    assert answer.status == 200, answer
    assert answer.whole and answer.body != b"not yours", answer


@then("the answer is {status:d}")
def step_status(context, status):
    assert context.answer.status == status, context.answer


@then("the answer is 503 with a time to come back")
def step_refused(context):
    assert context.answer.status == 503, context.answer
    assert 0 < float(context.answer.headers["retry-after"]) < 1
    assert fleet.NAMES.receipt.decode() not in context.answer.headers


@then("the request ran {runs:d} times")
def step_ran(context, runs):
    assert run_count(context) == runs, [backend.ran for backend in context.backends]


@then("the work at the backend server has ended")
def step_ended(context):
    run(context, fleet.until(lambda: sum(item.cut for item in context.backends) == 1))


@when("a caller leaves after its request has arrived there")
def step_leave(context):
    async def leave():
        work = fleet.call(caller_address(context), fleet.SAFE, timeout_ms=LONG_TIMEOUT_MS)
        task = asyncio.ensure_future(work)
        await fleet.until(lambda: run_count(context) == 1)
        task.cancel()
        await asyncio.wait({task})

    run(context, leave())


@when("a version adds a route and an older version follows it")
def step_versions(context):
    async def change():
        added = fleet.route("added", "/added/", True)
        context.store.put_config(fleet.config(7, added))
        gateway_state = context.gateways[0][0]._gateway_state
        await fleet.until(lambda: gateway_state.config_version == 7)
        context.store.put_config(fleet.config(5))
        calls = context.store.calls
        await fleet.until(lambda: context.store.calls > calls + 1)

    run(context, change())


@then("the route stays in force")
def step_in_force(context):
    send(context, "/added/x")
    assert context.answer.status == 200, context.answer


@then("a host without a route gets 404")
def step_unknown(context):
    send(context, "/added/x", host=fleet.OTHER_HOST)
    assert context.answer.status == 404, context.answer


@then("the gateway is not ready")
def step_not_ready(context):
    answer = run(context, fleet.call(context.gateways[0][1].ready_address, "/ready"))
    assert answer.status == 503, answer


@when("one backend server reports that it drains")
def step_drain(context):
    async def drain():
        backend = context.backends[0]
        context.store.put_server(replace(backend.entry(), draining=True))
        registry = context.gateways[0][0]._gateway_state.registry
        await fleet.until(lambda: registry.get(backend.incarnation).draining)

    run(context, drain())


@then("{count:d} further requests all go to the other one")
def step_other(context, count):
    for number in range(count):
        send(context, fleet.SAFE, request_id=f"r-{number}")
        assert context.answer.status == 200
    assert not context.backends[0].ran and len(context.backends[1].ran) == count


@when("the gateway is told to leave while {count:d} requests run")
def step_stop(context, count):
    async def stop():
        gateway, settings = context.gateways[0]
        calls = [
            asyncio.ensure_future(fleet.call(settings.caller_address, request_id=f"r-{number}"))
            for number in range(count)
        ]
        await fleet.until(lambda: run_count(context) >= min(count, 4))
        gateway.begin_shutdown()
        gateway.begin_shutdown()
        context.ready = await fleet.call(settings.ready_address, "/ready")
        context.late = await fleet.call(settings.caller_address, request_id="late")
        context.answers = await asyncio.gather(*calls)
        await fleet.until(gateway._stopped.is_set)

    run(context, stop())


@then("it is not ready, serves the next caller and closes that connection")
def step_left(context):
    assert context.ready.status == 503
    assert context.late.status == 200 and context.late.headers["connection"] == "close"


@then("all requests were answered and the gateway has ended")
def step_all_answered(context):
    assert all(answer.status == 200 and answer.whole for answer in context.answers)
    assert context.gateways[0][0]._stopped.is_set()


@then("a request with two lengths, or a length and chunks, or two hosts is refused")
def step_smuggle(context):
    for lines in (
        ("Content-Length: 1", "Content-Length: 2"),
        ("Content-Length: 4", "Transfer-Encoding: chunked"),
        ("Host: second.example",),
    ):
        send(context, fleet.SAFE, lines=lines)
        assert context.answer.status == 400, (lines, context.answer)


@then("no backend server has seen anything")
def step_unseen(context):
    assert not any(backend.seen for backend in context.backends)


@given("a gateway that measures nothing and {count:d} backend servers")
def step_unmeasured(context, count):
    run(context, fleet.start_fleet(context, count, probes_per_s=0))


def read_from_all(context):
    """Send reads until each backend server has run 3, then wait twice `LOAD_MAX_AGE_MS`."""
    while not all(len(backend.ran) >= 3 for backend in context.backends):
        calls_at_once = [fleet.call(caller_address(context), fleet.SAFE) for _ in range(8)]
        run(context, gather(calls_at_once))
    run(context, asyncio.sleep(2 * LOAD_MAX_AGE_MS / 1000))


async def gather(calls):
    """Make calls concurrently."""
    return await asyncio.gather(*calls)


@when("callers have read from both of them, and then one works 7 times as long")
def step_turns_slow(context):
    for backend in context.backends:
        backend.work_ms = 10.0
    read_from_all(context)
    context.backends[0].slowdown_percent = 700
    context.backends[0].ran.clear()


@when("callers have read from both of them, and then one answers no question")
def step_turns_deaf(context):
    for backend in context.backends:
        backend.work_ms = 10.0
    read_from_all(context)
    context.backends[0].ignores_probes = True
    context.backends[0].ran.clear()


@when("a caller writes {count:d} times")
def step_writes(context, count):
    calls = [
        fleet.call(caller_address(context), fleet.UNSAFE, "POST", request_id=f"w-{number}")
        for number in range(count)
    ]

    async def one_by_one():
        return [await call for call in calls]

    context.answers = run(context, one_by_one())


@then("all answers are 200 and the slow one ran none of them")
def step_slow_unused(context):
    assert [answer.status for answer in context.answers] == [200] * len(context.answers)
    assert context.backends[0].ran == [], context.backends[0].ran


@when("another one is started at its callers' address")
def step_taken(context):
    lines = []
    taken = caller_address(context)
    settings = fleet.gateway_settings("vm-late", caller_address=taken)
    context.taken, context.lines = taken, lines

    def write(data):
        lines.append(data.decode())
        return len(data)

    async def start():
        gateway = Gateway(settings, context.store, fleet.NAMES, fleet.answer_directory, write)
        return await serve(gateway, lambda: settings)

    context.exit_code = run(context, start())


@then("it ends with {code:d} and a line that names the address")
def step_ended(context, code):
    assert context.exit_code == code
    fault = next(line for line in context.lines if '"fault"' in line)
    assert context.taken.partition(":")[2] in fault, fault


@given("work that takes {work_ms:d} ms")
def step_work_takes(context, work_ms):
    for backend in context.backends:
        backend.work_ms = float(work_ms)


@when("the pace of its backend server falls {after_ms:d} ms after a read has begun")
def step_pace_falls(context, after_ms):
    gateway = context.gateways[0][0]
    table = gateway._gateway_state.load_table

    async def read():
        for backend in context.backends:
            backend.seen.clear()
            table.get_or_create(backend.incarnation).update(LoadReport(0, 0, 1.0), monotonic_ms())
        answer = asyncio.ensure_future(fleet.call(caller_address(context), fleet.SAFE))
        await fleet.until(lambda: any(backend.seen for backend in context.backends))
        busy = next(backend for backend in context.backends if backend.seen)
        (forwarding,) = gateway._forwarder._running[busy.incarnation]
        forwarding.attempts[-1].began_ms = monotonic_ms() - after_ms  # Stalls don't count.
        server = gateway._gateway_state.registry.get(busy.incarnation)
        gateway._on_load_report(server, LoadReport(1, 0, 7.0), monotonic_ms())
        assert (await answer).status == 200

    run(context, read())


@then("{count:d} backend servers have seen the read")
def step_seen(context, count):
    assert sum(bool(backend.seen) for backend in context.backends) == count


@then("the connection over which it was asked is kept for use")
def step_kept(context):
    pool = context.gateways[0][0]._pool
    for backend in context.backends:
        idle = len(pool._idle.get(backend.incarnation, ()))
        assert idle == pool._open.get(backend.incarnation, 0), (backend.incarnation, idle)


@given("a settings file that is no text")
def step_no_text(context):
    folder = context.stack.enter_context(tempfile.TemporaryDirectory())
    context.path = Path(folder) / "settings.toml"
    context.path.write_bytes(b'vm = "\xff\xfe"')


@then("a gateway, a daemon and the tool refuse it with one fault that names it")
def step_no_text_refused(context):
    for settings in (GatewaySettings, DaemonSettings, ToolSettings):
        try:
            settings.from_file(str(context.path))
        except SettingsError as error:
            assert str(context.path) in str(error), error
        else:
            raise AssertionError(settings)
