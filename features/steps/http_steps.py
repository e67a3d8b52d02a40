"""Steps for the request path: raw bytes sent through a real daemon to scripted backend servers."""

import asyncio
import os
import re

from behave import given, then, when

from cloverhook_emulator.fleet_runner import Fleet
from features.http_peers import (
    CHUNK,
    HOST,
    ScriptedBackend,
    by_attempt,
    call,
    connect,
    read_to_end,
    request,
    then_cut,
    then_hang,
)
from features.shared import CONFIG, eventually, run

OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = b"Transfer-Encoding: chunked"
ONE_MINUTE_POLICY = "[services.policy]\ntimeout_ms = 60000\nwait_limit_ms = 60000\n"
MEMORY_GROWTH_LIMIT_KB = 8 * 1024
ATTEMPT_HEADER = b"cloverhook-attempt: "
FORWARDED_REJECTION = (
    b"HTTP/1.1 503 No\r\nCloverhook-Outcome: not-run\r\nCloverhook-Error: overloaded\r\n"
    b"Content-Length: 0\r\n\r\n"
)
REJECTION = b"HTTP/1.1 503 No\r\nCloverhook-Outcome: not-run\r\nContent-Length: 0\r\n\r\n"

ANSWERS = {
    "/fixed": OK + b"Content-Length: 2\r\n\r\nok",
    "/chunked": OK + CHUNKED + b"\r\n\r\n2;x=y\r\nok\r\n0\r\nX-Trailer: t\r\n\r\n",
    "/until-close": then_cut(OK + b"\r\nok"),
    "/204": b"HTTP/1.1 204 No\r\n\r\n",
    "/304": b"HTTP/1.1 304 Same\r\nContent-Length: 7\r\nETag: e\r\n\r\n",
    "/early-hints": b"HTTP/1.1 103 Hints\r\nLink: a\r\n\r\n" + OK + b"Content-Length: 2\r\n\r\nok",
    "/repeated": OK
    + b"Set-Cookie: a=1\r\nX-Own: 1\r\nSet-Cookie: b=2\r\nConnection: x-own\r\n"
    + b"Cloverhook-Error: forged\r\nContent-Length: 0\r\n\r\n",
    "/head": OK + b"Content-Length: 5\r\n\r\n",
    "/hang": ScriptedBackend.hang,
    "/cut": ScriptedBackend.cut,
    "/flood": ScriptedBackend.flood,
    "/short": then_cut(OK + b"Content-Length: 9\r\n\r\nshort"),
    "/short-chunked": then_cut(OK + CHUNKED + b"\r\n\r\n5\r\nshort\r\n"),
    "/stalls": then_hang(OK + CHUNKED + b"\r\n\r\n5\r\nshort\r\n"),
    "/long": OK + b"Content-Length: 2\r\n\r\nok" + OK + b"Content-Length: 6\r\n\r\nforged",
    "/two-lengths": OK + b"Content-Length: 2\r\nContent-Length: 3\r\n\r\nok",
    "/length-and-coding": OK + b"Content-Length: 2\r\n" + CHUNKED + b"\r\n\r\n0\r\n\r\n",
    "/other-coding": OK + b"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
    "/upgrade": b"HTTP/1.1 101 Up\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n",
    "/bare-upgrade": b"HTTP/1.1 101 Up\r\n\r\n",
    "/not-http": b"hello\r\n\r\n",
    "/long-head": OK + b"X: " + b"y" * 70_000 + b"\r\n\r\n",
    "/refuses": REJECTION,
}

POST = f"POST /echo HTTP/1.1\r\nHost: {HOST}\r\n".encode()
GET = POST.replace(b"POST", b"GET")
INVALID_REQUESTS = {
    "two lengths": POST + b"Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
    "a list of lengths": POST + b"Content-Length: 3, 3\r\n\r\nabc",
    "a signed length": POST + b"Content-Length: +3\r\n\r\nabc",
    "length and coding": POST + b"Content-Length: 5\r\n" + CHUNKED + b"\r\n\r\n0\r\n\r\n",
    "coding and length": POST + CHUNKED + b"\r\nContent-Length: 5\r\n\r\n0\r\n\r\n",
    "unknown coding": POST + b"Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
    "two codings": POST + b"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
    "repeated coding": POST + CHUNKED + b"\r\n" + CHUNKED + b"\r\n\r\n0\r\n\r\n",
    "coding in HTTP/1.0": (POST + CHUNKED + b"\r\n\r\n0\r\n\r\n").replace(b"/1.1", b"/1.0"),
    "folded header": GET + b"X: a\r\n b\r\n\r\n",
    "bare LF": GET.replace(b"\r\n", b"\n") + b"\n",
    "bare CR": GET + b"X: a\rY: b\r\n\r\n",
    "space before colon": GET + b"X : a\r\n\r\n",
    "NUL in a value": GET + b"X: a\0b\r\n\r\n",
    "empty header name": GET + b": a\r\n\r\n",
    "no host": b"GET / HTTP/1.1\r\n\r\n",
    "two hosts": GET + b"Host: other.example\r\n\r\n",
    "HTTP/2.0": GET.replace(b"/1.1", b"/2.0") + b"\r\n",
    "tunnel": b"CONNECT a.example:443 HTTP/1.1\r\nHost: a.example\r\n\r\n",
    "fragment": GET.replace(b"/echo", b"/echo#f") + b"\r\n",
    "user in the target": GET.replace(b"/echo", b"http://u@" + HOST.encode() + b"/") + b"\r\n",
    "upgrade with a body": POST
    + b"Connection: upgrade\r\nUpgrade: h2c\r\nContent-Length: 3\r\n\r\nabc",
    "many headers": GET + b"X: y\r\n" * 200 + b"\r\n",
    "large header": GET + b"X: " + b"y" * 40_000 + b"\r\n\r\n",
    "long target": GET.replace(b"/echo", b"/" + b"a" * 9_000) + b"\r\n",
    "large length": POST + b"Content-Length: 99000000000\r\n\r\n",
    "large chunked body": POST + CHUNKED + b"\r\n\r\n" + b"100000\r\n" + b"x" * 0x100000 + b"\r\n",
    "bad chunk size": POST + CHUNKED + b"\r\n\r\nzz\r\n",
    "heavy chunk extensions": POST
    + CHUNKED
    + b"\r\n\r\n"
    + (b"1;" + b"e" * 9_000 + b"\r\nx\r\n") * 60,
    "slow head": GET + b"X: ",
    "slow body": POST + b"Content-Length: 9\r\n\r\nabc",
}


async def _start(context, **settings):
    context.fleet = await context.stack.enter_async_context(Fleet())
    context.backends = [
        await context.stack.enter_async_context(ScriptedBackend(dict(ANSWERS))) for _ in range(2)
    ]
    context.backend = context.backends[0]
    daemon = await context.fleet.start_daemon("vm-0", "papine", drain_ms=100, **settings)
    context.address = daemon.caller_address
    context.pid = daemon.process.process.pid


async def _publish(context, backends, policy=""):
    endpoints = ", ".join(f'"{backend.address}"' for backend in backends)
    path = context.fleet.folder / "brand.toml"
    path.write_text(CONFIG.format(host=HOST, endpoints=endpoints) + policy)
    code, output, errors = await context.fleet.run_tool("publish", str(path))
    assert code == 0, output + errors

    async def has_config():
        return "brathwaite" in (await context.fleet.status("vm-0"))["brands"]

    await eventually(has_config)


def _call(context, data):
    return run(context, call(context.address, data))


def _peak_kb(pid):
    with open(f"/proc/{pid}/status") as status:
        return int(re.search(r"VmHWM:\s+(\d+)", status.read()).group(1))


@given("a daemon with a scripted backend server")
def step_daemon(context):
    run(context, _start(context))
    run(context, _publish(context, context.backends[:1]))


@given("a daemon whose requests may take a minute")
def step_long_timeouts(context):
    run(context, _start(context))
    run(context, _publish(context, context.backends[:1], ONE_MINUTE_POLICY))


@given("a daemon with two scripted backend servers")
def step_two(context):
    run(context, _start(context))
    run(context, _publish(context, context.backends))


@given("a daemon with small limits and a scripted backend server")
def step_limits(context):
    limits = {"header_timeout_ms": 1_000, "body_timeout_ms": 1_000, "body_limit_bytes": 500_000}
    run(context, _start(context, **limits))
    run(context, _publish(context, context.backends[:1]))


@then("these answers reach a caller")
def step_answers(context):
    for row in context.table:
        reply = _call(context, request(row["method"], row["path"]))
        assert reply.status == int(row["status"]), (row, reply)
        assert reply.body.decode() == row["body"].encode().decode("unicode_escape"), (row, reply)
        assert reply.header(b"cloverhook-outcome") == [row["outcome"].encode()], (row, reply)
        assert not reply.reset
        context.reply = reply


@then("a caller in HTTP/1.0 gets a chunked answer without its chunks")
def step_http_1_0_caller(context):
    reply = _call(context, request("GET", "/chunked").replace(b"HTTP/1.1", b"HTTP/1.0"))
    assert reply.body == b"ok", reply


@then("repeated headers keep their order and hop-by-hop and forged ones are dropped")
def step_repeated(context):
    reply = _call(context, request("GET", "/repeated"))
    assert reply.header(b"set-cookie") == [b"a=1", b"b=2"], reply
    assert reply.header(b"x-own") == reply.header(b"cloverhook-error") == [], reply


@then("the backend server gets each method, target and header as the caller sent it")
def step_forwarded_heads(context):
    for method in ("GET", "POST", "PUT", "PATCH", "DELETE", "OPTIONS", "PROPFIND"):
        target = "//a/%2e%2E/b;c?q=%20&q=1?"
        data = request(
            method,
            target,
            b"X-A: 1",
            b"X-Hop: 1",
            b"x-a: 2",
            b"TE: trailers",
            b"Keep-Alive: 5",
            b"Connection: x-hop, content-length, host",
            b"Content-Length: 2",
            b"X-Request-Id: id-" + method.encode(),
            b"Cloverhook-Outcome: ran",
            body=b"hi",
        )
        text = _call(context, data).body.decode().lower()
        assert text.startswith(f"{method} {target} http/1.1\r\nhost: {HOST}\r\n".lower()), text
        assert "x-a: 1\r\nx-a: 2\r\n" in text, text
        assert f"x-request-id: id-{method}\r\n".lower() in text, text
        assert text.endswith("\r\n\r\nhi") and "content-length: 2\r\n" in text, text
        for absent in ("x-hop", "\r\nte:", "keep-alive", "connection", "cloverhook-outcome"):
            assert absent not in text, (absent, text)


@then("an absolute target goes before the host header")
def step_absolute_target(context):
    data = request("GET", f"http://{HOST}/a?b", host="other.example")
    text = _call(context, data).body
    assert text.startswith(b"GET /a?b HTTP/1.1\r\nhost: " + HOST.encode()), text


@then("request identifiers that are unusable or in use are replaced")
def step_identifiers(context):
    for lines in ((b"X-Request-Id: a b",), (b"X-Request-Id: a", b"X-Request-Id: b")):
        reply = _call(context, request("GET", "/echo", *lines))
        (request_id,) = reply.header(b"x-request-id")
        assert re.fullmatch(rb"[0-9a-f]{32}", request_id), reply
        assert reply.body.count(b"x-request-id: " + request_id) == 1, reply

    async def send_both():
        first = asyncio.create_task(call(context.address, hanging_request))
        await context.backend.wait_for("/hang")
        second = await call(context.address, request("GET", "/echo", b"X-Request-Id: same"))
        first.cancel()
        return second

    hanging_request = request("GET", "/hang", b"X-Request-Id: same")
    (request_id,) = run(context, send_both()).header(b"x-request-id")
    assert request_id.startswith(b"same~"), request_id


@then("a chunked body and one after 100-continue arrive whole, without trailers")
def step_bodies(context):
    body = b"2;ext=1\r\nab\r\n1\r\nc\r\n0\r\nX-Late: 1\r\n\r\n"
    text = _call(context, request("POST", "/echo", CHUNKED, body=body)).body
    assert text.endswith(b"\r\n\r\nabc") and b"x-late" not in text.lower(), text

    async def expecting():
        reader, writer = await connect(context.address)
        head = request("POST", "/echo", b"Content-Length: 3", b"Expect: 100-continue")
        writer.write(head)
        assert await reader.readuntil(b"\r\n\r\n") == b"HTTP/1.1 100 Continue\r\n\r\n"
        writer.write(b"abc")
        reply = await read_to_end(reader)
        writer.close()
        return reply

    reply = run(context, expecting())
    assert reply.status == 200 and reply.body.endswith(b"abc"), reply


@then("answers on one connection come in order, also when a later request is refused")
def step_pipeline(context):
    first = request("GET", "/fixed", close=False)
    second = request("GET", "/echo", b"X-Request-Id: second", close=False)
    reply = _call(context, first + second + b"GET / HTTP/1.1\nbroken\n\n")
    statuses = re.findall(rb"HTTP/1.1 (\d+) ", reply.data)
    assert statuses == [b"200", b"200", b"400"], reply
    assert b"\r\n\r\nokHTTP/1.1 200" in reply.data, reply


@then("{direction} of 64 MB grows the daemon's memory by a few MB at most")
def step_memory(context, direction):
    _call(context, request("GET", "/fixed"))
    before_kb = _peak_kb(context.pid)
    received = run(context, _upload(context) if direction == "an upload" else _download(context))
    assert received == 1_024 * len(CHUNK), received
    grown_kb = _peak_kb(context.pid) - before_kb
    print(f"{direction}: peak memory grew by {grown_kb} kB")
    assert grown_kb < MEMORY_GROWTH_LIMIT_KB, grown_kb


async def _upload(context):
    reader, writer = await connect(context.address)
    writer.write(request("POST", "/slow-up", b"Content-Length: %d" % (1_024 * len(CHUNK))))
    for _ in range(1_024):
        writer.write(CHUNK)
        await writer.drain()
    reply = await read_to_end(reader)
    writer.close()
    assert reply.status == 200, reply.data[:500]
    return context.backend.ran("/slow-up")[0].body_bytes


async def _download(context):
    reader, writer = await connect(context.address)
    writer.write(request("GET", "/flood").replace(b"HTTP/1.1", b"HTTP/1.0"))
    await reader.readuntil(b"\r\n\r\n")
    received = 0
    while part := await reader.read(65_536):
        received += len(part)
    writer.close()
    return received


@then("these requests are refused")
def step_invalid_requests(context):
    for row in context.table:
        reply = _call(context, INVALID_REQUESTS[row["form"]])
        assert reply.status == int(row["status"]), (row, reply)
        assert reply.header(b"connection") == [b"close"], (row, reply)
        assert reply.header(b"cloverhook-outcome") == [row["outcome"].encode()], (row, reply)
        assert reply.data.count(b"HTTP/1.1 ") == 1, (row, reply)
    assert _call(context, request("GET", "/fixed")).body == b"ok"


@then("these failures end as told")
def step_failures(context):
    for row in context.table:
        timeout_ms = b"400" if row["path"] == "/hang" else b"20000"
        data = request(row["method"], row["path"], b"Cloverhook-Timeout-Ms: " + timeout_ms)
        reply = _call(context, data)
        assert reply.status == int(row["status"]), (row, reply)
        assert reply.header(b"cloverhook-outcome") == [row["outcome"].encode()], (row, reply)
        assert reply.header(b"cloverhook-error") == [row["error"].encode()], (row, reply)
        assert len(context.backend.ran(row["path"])) == int(row["ran"]), (row, reply)
        retry_after = reply.header(b"retry-after")
        assert bool(retry_after) == (row["retry"] == "yes"), (row, reply)


@then("an answer that breaks after its head breaks the caller's connection")
def step_broken(context):
    for path in ("/short", "/short-chunked", "/stalls"):
        reply = _call(context, request("POST", path, b"Cloverhook-Timeout-Ms: 1500"))
        assert reply.status == 200 and reply.reset, (path, reply)
        assert b"\r\n0\r\n" not in reply.data, (path, reply)


@then("bytes that nobody asked for reach no caller")
def step_unrequested_bytes(context):
    for _ in range(3):
        assert _call(context, request("GET", "/long")).body == b"ok"
    reply = _call(context, request("GET", "/echo"))
    assert b"forged" not in reply.data and b"GET /echo" in reply.body, reply


@then("stale answers on an idle connection reach no later caller")
def step_stale(context):
    may_send_stale, sent = asyncio.Event(), asyncio.Event()
    client_addresses = []

    async def answer_then_send_stale(item, reader, writer):
        client_addresses.append(writer.get_extra_info("peername"))
        writer.write(ANSWERS["/fixed"])
        await may_send_stale.wait()
        writer.write(OK + b"Content-Length: 6\r\n\r\nforged")
        await writer.drain()
        sent.set()

    async def answer_later(item, reader, writer):
        client_addresses.append(writer.get_extra_info("peername"))
        writer.write(OK + b"Content-Length: 5\r\n\r\nlater")

    context.backend.answers.update({"/late": answer_then_send_stale, "/later": answer_later})
    assert _call(context, request("GET", "/late")).body == b"ok"
    may_send_stale.set()
    run(context, sent.wait())
    assert _call(context, request("GET", "/later")).body == b"later"
    assert client_addresses[0] != client_addresses[1], client_addresses


@then("connections of whole exchanges are used again, also after HEAD")
def step_reuse(context):
    for _ in range(3):
        _call(context, request("GET", "/fixed"))
        before = context.backend.connections
        for method, path in (("HEAD", "/head"), ("GET", "/204"), ("GET", "/304")):
            _call(context, request(method, path))
        if context.backend.connections == before:
            return
    raise AssertionError(
        "a connection was closed after a complete exchange in each of three attempts"
    )


@then("the time spent is taken off the deadline that the backend server gets")
def step_deadline(context):
    text = _call(context, request("GET", "/echo", b"Cloverhook-Timeout-Ms: 5000")).body.lower()
    (remaining_ms,) = re.findall(rb"cloverhook-timeout-ms: (\d+)", text)
    assert 0 < int(remaining_ms) < 5_000, remaining_ms
    text = _call(context, request("GET", "/echo")).body.lower()
    (remaining_ms,) = re.findall(rb"cloverhook-timeout-ms: (\d+)", text)
    assert 0 < int(remaining_ms) <= 10_000, remaining_ms
    reply = _call(context, request("GET", "/echo", b"Cloverhook-Timeout-Ms: x"))
    assert reply.status == 400, reply


@when("callers leave with a running and with waiting requests")
def step_callers_disconnect(context):
    async def disconnect():
        writers = []
        for index in range(6):
            _, writer = await connect(context.address)
            writer.write(request("POST", "/hang", b"X-Request-Id: left-%d" % index))
            writers.append(writer)
            if index == 3:
                await context.backend.wait_for("/hang", 4)
        for writer in writers[4:]:
            writer.close()
        for _ in range(3):
            await call(context.address, request("GET", "/.well-known/cloverhook/addresses"))
        for writer in writers[:4]:
            writer.close()

    run(context, disconnect())


@then("the backend server's connections close and no waiting request is started")
def step_disconnected(context):
    async def all_closed():
        return all(item.disconnected.is_set() for item in context.backend.ran("/hang"))

    run(context, eventually(all_closed))
    assert _call(context, request("GET", "/echo")).status == 200
    assert len(context.backend.ran("/hang")) == 4, context.backend.received


@then("a small refused POST is sent again and a large one is answered at once")
def step_refused(context):
    answer = by_attempt(REJECTION, ScriptedBackend.echo)
    for backend in context.backends:
        backend.answers["/pay"] = answer
    for size in (4, 60_000):
        data = request("POST", "/pay", b"Content-Length: %d" % size, body=b"p" * size)
        reply = _call(context, data)
        assert reply.status == 200, reply
        assert [item.body_bytes for item in _received_requests(context, "/pay")] == [size, size]
        _clear_received(context)
    data = request("POST", "/pay", b"Content-Length: 100000", body=b"p" * 100_000)
    reply = _call(context, data)
    assert reply.status == 503 and len(_received_requests(context, "/pay")) == 1, reply
    assert reply.header(b"cloverhook-error") == [b"refused"], reply
    assert reply.header(b"cloverhook-outcome") == [b"not-run"], reply
    assert reply.header(b"cloverhook-retry-after-ms"), reply


@then("of a chain of calls only the layer next to the refusal sends again")
def step_one_layer_retries(context):
    reject_first_attempt = by_attempt(REJECTION, ScriptedBackend.echo)
    for backend in context.backends:
        backend.answers["/next"] = reject_first_attempt
        backend.answers["/passed-on"] = FORWARDED_REJECTION
    reply = _call(context, request("GET", "/next"))
    assert reply.status == 200, reply
    attempt_numbers = [
        item.head.lower().partition(ATTEMPT_HEADER)[2][:1]
        for item in _received_requests(context, "/next")
    ]
    assert sorted(attempt_numbers) == [b"", b"2"], attempt_numbers
    _clear_received(context)
    second_attempt = request("GET", "/next", b"Cloverhook-Attempt: 2")
    reply = _call(context, second_attempt)
    assert reply.status == 503, reply
    heads = [item.head.lower() for item in _received_requests(context, "/next")]
    assert [ATTEMPT_HEADER + b"2" in head for head in heads] == [True], heads
    _clear_received(context)
    reply = _call(context, request("GET", "/passed-on"))
    assert reply.status == 503 and len(_received_requests(context, "/passed-on")) == 1, reply
    assert reply.header(b"cloverhook-outcome") == [b"unknown"], reply


@then("a request that may have run is not told as not run after a later refusal")
def step_outcome_unknown(context):
    answer = by_attempt(ScriptedBackend.cut, REJECTION, REJECTION, REJECTION)
    for backend in context.backends:
        backend.answers["/mixed"] = answer
    reply = _call(context, request("GET", "/mixed"))
    assert reply.status == 503 and len(_received_requests(context, "/mixed")) > 1, reply
    assert reply.header(b"cloverhook-outcome") == [b"unknown"], reply


def _received_requests(context, target):
    return [item for backend in context.backends for item in backend.ran(target)]


def _clear_received(context):
    for backend in context.backends:
        backend.received.clear()


@then("no descriptor of the daemon is an io_uring")
def step_no_io_uring(context):
    folder = f"/proc/{context.pid}/fd"
    links = []
    for name in os.listdir(folder):
        try:
            links.append(os.readlink(f"{folder}/{name}"))
        except FileNotFoundError:
            continue
    assert any("eventpoll" in link for link in links), links
    assert not any("io_uring" in link for link in links), links
