"""Steps for requests that crash the endpoints that run them."""

import asyncio
import json

from behave import given, then, when

from cloverhook.clock import monotonic_ms
from cloverhook.explain import explain_request, read_lines
from features import gateway_fleet as fleet
from features.shared import run

FATAL = fleet.SAFE + "fatal"
RESTART_DELAY_S = 1.0
SOUND_REQUEST_INTERVAL_S = 0.02
WORK_MS = 20.0
CRASH_DELAY_MS = 15.0
LATE_ARRIVAL_MS = 3_000.0


def log_lines(context, kind):
    """Return the log lines of one kind that the gateways have written."""
    lines = (json.loads(line) for line in bytes(context.log).splitlines())
    return [line for line in lines if line["kind"] == kind]


async def start_crashing(context, gateways, backends):
    """Start a fleet whose backend servers crash on a fatal request and restart afterwards."""
    context.log = bytearray()
    prepare_crashes(context)

    def write(data):
        context.log.extend(data)
        return len(data)

    await fleet.start_fleet(context, backends, gateways, write_log=write)
    for backend in context.backends:
        backend.work_ms = WORK_MS
        backend.on_request = lambda *got: on_request(context, *got)
    await wait_for_membership(context)


def prepare_crashes(context):
    """Prepare the record of crashes, and cancel those not yet finished after the scenario."""
    context.ends_ms, context.fatal_arrivals_ms = [], []
    context.crash_timers, context.after_crash = [], set()
    context.stack.push_async_callback(cancel_all, context.crash_timers, context.after_crash)


async def cancel_all(timers, tasks):
    """Cancel timers and the tasks that they have started, and wait until the tasks have ended."""
    for timer in timers:
        timer.cancel()
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


async def wait_for_membership(context):
    """Wait until every gateway has all the others as members."""
    others = len(context.gateways) - 1
    await fleet.until(lambda: all(len(item._members) == others for item, _ in context.gateways))


def on_request(context, backend, head):
    """Schedule a crash of a backend server shortly after a fatal request has reached it.

    The delay counts from the request's arrival, so that the crash precedes the answer, which comes
    `WORK_MS` after it, even if this process stalls in between.
    """
    if b"fatal" not in head:
        return
    context.fatal_arrivals_ms.append(monotonic_ms())
    context.crash_timers.append(
        asyncio.get_running_loop().call_later(
            CRASH_DELAY_MS / 1000, start_crash, context, backend, backend.incarnation
        )
    )


def start_crash(context, backend, incarnation):
    """Start the task that crashes and restarts a backend server."""
    task = asyncio.get_running_loop().create_task(crash_and_restart(context, backend, incarnation))
    context.after_crash.add(task)
    task.add_done_callback(context.after_crash.discard)


async def crash_and_restart(context, backend, incarnation):
    """Crash a backend server if it is still this incarnation, and restart it as a new one."""
    if backend.incarnation != incarnation or not backend.listener.is_serving():
        return
    context.ends_ms.append(monotonic_ms())
    await backend.crash()
    context.store.remove_server(incarnation)
    await asyncio.sleep(RESTART_DELAY_S)
    await backend.restart(context, f"{incarnation}x")
    context.store.put_server(backend.entry())


async def send(context, number, path, request_id, **fields):
    """Send a request, to the gateways in turn by its number, and return the answer."""
    _, settings = context.gateways[number % len(context.gateways)]
    return await fleet.call(settings.caller_address, path, request_id=request_id, **fields)


async def send_fatal(context, count, every_s, paths=(FATAL,)):
    """Send fatal requests repeatedly, without waiting for answers in between.

    Those with different paths are sent together to the same gateway.
    """
    calls = []
    for number in range(count):
        for path in paths:
            request_id = f"{path}-{number}"
            calls.append(asyncio.create_task(send(context, number, path, request_id)))
        await asyncio.sleep(every_s)
    context.fatal_answers = await asyncio.gather(*calls)


async def send_sound(context, until):
    """Send harmless requests, each with different content, until a task has ended."""
    calls, number = [], 0
    while not until.done():
        path = f"{fleet.SAFE}{number}"
        calls.append(asyncio.create_task(send(context, number, path, f"sound-{number}")))
        number += 1
        await asyncio.sleep(SOUND_REQUEST_INTERVAL_S)
    context.sound_answers = await asyncio.gather(*calls)


@given("the first backend server {ends} under what it gets")
def step_ends(context, ends):
    backend = context.backends[0]
    if ends == "resets connections":
        backend.default = "reset"
        return
    prepare_crashes(context)
    backend.on_request = lambda server, _: on_request(context, server, b"fatal")
    backend.work_ms = 1_000.0


@when("a request that it gets has been cut")
def step_cut(context):
    async def send_until_cut():
        context.log = bytearray()
        gateway, _ = context.gateways[0]
        gateway._log._write = lambda data: context.log.extend(data) or len(data)
        while not context.backends[0].seen:
            await send(context, 0, fleet.SAFE, "r-1")
        await send(context, 0, fleet.SAFE, "r-2")
        await fleet.until(lambda: len(log_lines(context, "attempt")) >= 2)

    run(context, send_until_cut())


@then("the log says of that attempt whether the endpoint has ended: {ended}")
def step_log_says(context, ended):
    cut = [line for line in log_lines(context, "attempt") if line["outcome"] == "cut"]
    assert cut
    assert cut[0]["crashed"] == (ended == "true"), cut


@then("it names the caller, and the same content for the same request sent again")
def step_content(context):
    lines = log_lines(context, "attempt")
    assert {line["caller"] for line in lines} == {"127.0.0.1"}
    assert len({line["content"] for line in lines}) == 1


@given(
    "{gateways:d} gateways and {backends:d} backend servers that are back a second after they end"
)
def step_crashing_fleet(context, gateways, backends):
    run(context, start_crashing(context, gateways, backends))


@when(
    "a request that crashes who runs it is sent every {every_ms:d} ms for {for_s:d} s, "
    "beside sound ones"
)
def step_send_fatal(context, every_ms, for_s):
    async def send_both():
        fatal = asyncio.create_task(send_fatal(context, for_s * 1000 // every_ms, every_ms / 1000))
        await send_sound(context, fatal)

    run(context, send_both())


@when(
    "two requests that crash who runs them are sent together every {every_ms:d} ms for {for_s:d} s,"
    " beside sound ones"
)
def step_send_two_fatal(context, every_ms, for_s):
    async def send_all():
        paths = (FATAL, FATAL + "-too")
        count = for_s * 1000 // every_ms
        fatal = asyncio.create_task(send_fatal(context, count, every_ms / 1000, paths))
        await send_sound(context, fatal)

    run(context, send_all())


@then("at most {most:d} endpoints have ended")
def step_ended(context, most):
    assert 0 < len(context.ends_ms) <= most, len(context.ends_ms)


@then("it reached at most {most:d} endpoints later than 3 s after the third of them had ended")
def step_retries(context, most):
    if len(context.ends_ms) < 3:
        return
    since_ms = context.ends_ms[2] + LATE_ARRIVAL_MS
    late = [at_ms for at_ms in context.fatal_arrivals_ms if at_ms > since_ms]
    assert len(late) <= most, len(late)


@then("each sound request was answered well")
def step_sound(context):
    statuses = [answer.status for answer in context.sound_answers]
    assert set(statuses) == {200}, {status: statuses.count(status) for status in set(statuses)}


@then("no sound request was rejected")
def step_none_rejected(context):
    rejected = [answer.body for answer in context.sound_answers if answer.status == 503]
    assert context.sound_answers and not rejected, rejected


@when("a payment that crashes who runs it is sent every {every_ms:d} ms for {for_s:d} s")
def step_send_payment(context, every_ms, for_s):
    async def pay():
        path = fleet.UNSAFE + "fatal"
        fields = {"method": "POST", "body": b"pay"}
        calls = []
        for number in range(for_s * 1000 // every_ms):
            calls.append(asyncio.create_task(send(context, number, path, f"p-{number}", **fields)))
            await asyncio.sleep(every_ms / 1000)
        context.fatal_answers = await asyncio.gather(*calls)

    run(context, pay())


@then("it was answered 502 at most {most:d} times, and 503 with a time to come back otherwise")
def step_payment_answers(context, most):
    cut = [answer for answer in context.fatal_answers if answer.status == 502]
    refused = [answer for answer in context.fatal_answers if answer.status == 503]
    assert len(cut) <= most and len(cut) + len(refused) == len(context.fatal_answers)
    for answer in refused:
        assert answer.body == b"quarantined" and "retry-after" in answer.headers, answer


@given("a request that is in quarantine")
def step_quarantined(context):
    async def send_until_refused():
        answer = await send(context, 0, FATAL, "fatal-first")
        while answer.body != b"quarantined":
            answer = await send(context, 1, FATAL, "fatal-again")
        context.arrivals = len(context.fatal_arrivals_ms)
        context.ended = len(context.ends_ms)

    run(context, send_until_refused())


@when("another gateway starts, and gets that request")
def step_late(context):
    async def start():
        context.gateways.append(await fleet.start_gateway(context, "vm-late"))
        await wait_for_membership(context)
        await fleet.until(context.gateways[-1][0]._is_ready)
        context.late_answers = [await send(context, len(context.gateways) - 1, FATAL, "late")]

    run(context, start())


@when("all gateways are lost, and others start and get that request")
def step_all_lost(context):
    async def restart():
        await fleet.until(lambda: context.store.quarantined)
        for gateway, _ in context.gateways:
            await fleet.stop_gateway(gateway)
        context.gateways = [await fleet.start_gateway(context, f"vm-new-{n}") for n in range(3)]
        await fleet.until(lambda: all(item._is_ready() for item, _ in context.gateways))
        context.late_answers = [await send(context, n, FATAL, f"late-{n}") for n in range(3)]

    run(context, restart())


@then("it refuses the request, and no endpoint has got it")
@then("they refuse the request, and no endpoint has got it")
def step_late_refused(context):
    assert {answer.body for answer in context.late_answers} == {b"quarantined"}
    assert len(context.fatal_arrivals_ms) == context.arrivals


@when(
    "one sound request is sent every {every_ms:d} ms, and {count:d} endpoints crash each second "
    "for {for_s:d} s"
)
def step_popular(context, every_ms, count, for_s):
    async def crash_some():
        await asyncio.sleep(0.5)
        for _ in range(for_s):
            serving = [item for item in context.backends if item.listener.is_serving()]
            for backend in serving[:count]:
                on_request(context, backend, b"fatal")
            await asyncio.sleep(1.0)

    async def send_popular():
        crashing = asyncio.create_task(crash_some())
        calls, number = [], 0
        while not crashing.done():
            path = fleet.SAFE + "popular"
            calls.append(asyncio.create_task(send(context, number, path, f"s-{number}")))
            number += 1
            await asyncio.sleep(every_ms / 1000)
        context.sound_answers = await asyncio.gather(*calls)

    run(context, send_popular())


@then("no request was refused for its content")
def step_not_quarantined(context):
    refused = [item for item in context.sound_answers if item.body == b"quarantined"]
    assert context.ends_ms and not refused, len(refused)
    crashed = [line for line in log_lines(context, "attempt") if line["crashed"]]
    assert crashed, "no request was under way where an endpoint crashed"


@when("callers send it again {after_s:d} s later")
def step_sent_later(context, after_s):
    async def later():
        await asyncio.sleep(after_s)
        context.answer = await send(context, 0, FATAL, "fatal-later")
        for gateway, _ in context.gateways:
            gateway._log.flush()

    run(context, later())


@then("its story says that it is in quarantine, and where endpoints crashed")
def step_story(context):
    lines = bytes(context.log).decode().splitlines()
    report = explain_request("fatal-later", read_lines(lines))
    assert report.cause.startswith("quarantined (503)"), report.to_text()
    rows = [line for line in report.state_changes if line.kind == "quarantine"]
    assert max(row.fields["crashes"] for row in rows) == 2, report.to_text()
    ended = {line["server"] for line in log_lines(context, "attempt") if line["crashed"]}
    assert ended and ended == {row.fields.get("server") for row in rows} - {None}, report.to_text()
