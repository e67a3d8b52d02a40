"""Steps for requests that a gateway passes on to another one."""

import asyncio
import contextlib
import random
from collections import Counter

import cbor2
from behave import given, then, when

from cloverhook.clock import monotonic_ms
from cloverhook.errors import MessageError
from cloverhook.explain import explain_request, read_lines
from cloverhook.gateway.frames import write_frame
from cloverhook.gateway.peer_messages import LinkStatus, encode
from cloverhook.gateway.proxied_request import PROXIED_KEY, ProxiedAnswer, ProxiedRequest
from cloverhook.gateway.proxy_server import IN_FLIGHT_LIMIT
from features import gateway_fleet as fleet
from features.link_cuts import Cut
from features.link_fleet import LinkFleet
from features.shared import run

FIRST, SECOND, THIRD = "vm-0", "vm-1", "vm-2"
NOT_RUN_STATUSES = (429, 503)
LARGE_PARTS, PART_BYTES = 8, 100_000
SOON_S = 0.05
OWN_REQUESTS = 10
OWN_INTERVAL_S = 0.06


def address(context, vm):
    """Return the address for callers of a gateway."""
    return context.fleet.named([vm])[0][1].caller_address


def gateway(context, vm):
    """Return a gateway."""
    return context.fleet.named([vm])[0][0]


async def wait_for_offers(context, vms):
    """Wait until the first gateway is out of reach and has offers of exactly these gateways."""
    offers = gateway(context, FIRST)._peering.link_updates.offers
    await fleet.until(lambda: set(offers._offers) == set(vms))


@given(
    "{gateways:d} gateways and {backends:d} backend servers, where the first gateway has lost its"
    " links to both"
)
def step_cut_fleet(context, gateways, backends):
    async def start():
        context.fleet = await LinkFleet.start(gateways, backends, work_ms=20.0)
        context.stack.push_async_callback(context.fleet.close)
        await context.fleet.load(50, 0.5)
        context.fleet.cuts[FIRST].begin(Cut.RESET)
        await context.fleet.load(50, 0.3)
        await wait_for_offers(context, {SECOND, THIRD})
        for backend in context.fleet.backends:
            backend.seen.clear()
            backend.ran.clear()
            backend.on_request = None
        context.fleet.log.clear()
        context.since_ms = monotonic_ms()

    run(context, start())


def lines_of(context, kind, **fields):
    """Return the log lines of a kind that have these fields."""
    return [
        line
        for line in context.fleet.log_lines(kind)
        if all(line.get(name) == value for name, value in fields.items())
    ]


def runs(context, request_id):
    """Return how often a request has run."""
    return sum(backend.ran.count(request_id) for backend in context.fleet.backends)


@when("a caller sends it a payment with a body, headers and 1500 ms")
def step_payment(context):
    context.answer = run(
        context,
        fleet.call(
            address(context, FIRST),
            fleet.UNSAFE + "7?x=1",
            "POST",
            "pay-1",
            1_500,
            body=b"two lunches",
            lines=("X-Colour: green",),
        ),
    )


@then(
    "one backend server gets that method, path, body, identifier and header once, and {low:d} to"
    " {high:d} ms"
)
def step_as_sent(context, low, high):
    seen = [item for backend in context.fleet.backends for item in backend.seen]
    ((line, headers, body),) = seen
    assert line == f"POST {fleet.UNSAFE}7?x=1 HTTP/1.1".encode(), line
    assert body == b"two lunches"
    assert headers[fleet.NAMES.request_id] == b"pay-1"
    assert headers[b"x-colour"] == b"green"
    assert low <= int(headers[fleet.NAMES.timeout_ms]) <= high, headers


@then("the caller gets the endpoint's whole answer with its receipt and identifier")
def step_whole(context):
    answer = context.answer
    assert answer.status == 200 and answer.whole and answer.body.startswith(b"i-"), answer
    assert answer.headers[fleet.NAMES.receipt.decode()] == fleet.RECEIPT
    assert answer.headers[fleet.NAMES.request_id.decode()] == "pay-1"


@given("the second gateway has lost its links to both, and has not noticed")
def step_second_lost(context):
    async def lose():
        context.fleet.cuts[SECOND].begin(Cut.RESET)

    run(context, lose())


@when("{count:d} requests are sent to the first gateway")
def step_requests(context, count):
    async def send():
        work = (
            fleet.call(address(context, FIRST), request_id=f"p-{number}") for number in range(count)
        )
        return await asyncio.gather(*work)

    context.answers = run(context, send())


@then("no gateway has passed on a request that another one passed to it")
def step_one_hop(context):
    passed_on = {
        (line["vm"], line["id"]) for line in lines_of(context, "attempt") if "proxy" in line
    }
    got = {
        (line["vm"], line["id"]) for line in lines_of(context, "answer") if line.get("proxied_for")
    }
    assert passed_on and not passed_on & got, passed_on & got


@then("all of them are answered 200, or rejected as not run")
def step_all_answered(context):
    statuses = Counter(item.status for item in context.answers)
    assert set(statuses) <= {200, *NOT_RUN_STATUSES} and statuses[200] > 0, statuses


@when("a caller sends it a payment, and {what}")
def step_payment_breaks(context, what):
    async def send():
        backends = context.fleet.backends
        if what == "the endpoint resets it":
            for backend in backends:
                backend.script = ["reset"]
        elif what == "the endpoint rejects it":
            backends[0].script = backends[1].script = ["reject"]
        elif "reset" in what:
            for backend in backends:
                backend.work_ms = 300.0
            reset = SOON_S if "while" in what else 0.0
            work = asyncio.ensure_future(
                fleet.call(address(context, FIRST), fleet.UNSAFE, "POST", "pay-1", body=b"x")
            )
            await asyncio.sleep(reset)
            await reset_proxied(context)
            return await work
        return await fleet.call(address(context, FIRST), fleet.UNSAFE, "POST", "pay-1", body=b"x")

    context.answer = run(context, send())


async def reset_proxied(context):
    """Reset each connection by which the first gateway passes on a request, once there is one."""
    servers = [gateway(context, vm)._peering.link._server for vm in (SECOND, THIRD)]
    async with asyncio.timeout(fleet.WAIT_S):
        while not any(server._active_count for server in servers):
            await asyncio.sleep(0)
    for transport in _connections_to(servers):
        transport.abort()


def _connections_to(servers):
    """Return the open transports of this process that were accepted by some servers."""
    ports = {server.sockets[0].getsockname() for server in servers}
    loop = asyncio.get_running_loop()
    transports = list(loop._transports.values())
    return [
        item
        for item in transports
        if item.get_extra_info("sockname") in ports and item.get_extra_info("peername")
    ]


@then("the payment has run {most:d} times at most, and its caller gets {statuses}")
def step_ran(context, most, statuses):
    run(context, asyncio.sleep(0.4))
    assert runs(context, b"pay-1") <= most, runs(context, b"pay-1")
    assert str(context.answer.status) in statuses.split(), context.answer
    if context.answer.status in NOT_RUN_STATUSES:
        assert not runs(context, b"pay-1")


@when("a caller leaves while the endpoint works on its request")
def step_leaves(context):
    async def leave():
        for backend in context.fleet.backends:
            backend.default = "silent"
        work = asyncio.ensure_future(fleet.call(address(context, FIRST), request_id="p-1"))
        await fleet.until(lambda: runs(context, b"p-1"))
        work.cancel()
        context.left_ms = monotonic_ms()

    run(context, leave())


@then("the endpoint's connection is closed within {most_ms:d} ms")
def step_closed(context, most_ms):
    async def wait():
        await fleet.until(lambda: any(backend.cut for backend in context.fleet.backends))
        ended_ms = monotonic_ms()
        return ended_ms - context.left_ms - context.fleet.stalls.lost_ms(context.left_ms, ended_ms)

    waited_ms = run(context, wait())
    assert waited_ms <= most_ms, waited_ms


@when("a caller gives a request of 2000 ms work {time_ms:d} ms")
def step_deadline(context, time_ms):
    async def send():
        for backend in context.fleet.backends:
            backend.default = "silent"
        started_ms = monotonic_ms()
        context.answer = await fleet.call(
            address(context, FIRST), fleet.UNSAFE, "POST", "p-1", time_ms, body=b"x"
        )
        context.left_ms = monotonic_ms()
        context.took_ms = context.left_ms - started_ms
        context.took_ms -= context.fleet.stalls.lost_ms(started_ms, context.left_ms)

    run(context, send())


@then(
    "it is answered 504 within {most_ms:d} ms, and the endpoint's connection is closed within"
    " {closed_ms:d} ms"
)
def step_timed_out(context, most_ms, closed_ms):
    assert context.answer.status == 504 and context.took_ms <= most_ms, context.took_ms
    step_closed(context, closed_ms)


@when("the endpoint's answer is {answer}")
def step_answer(context, answer):
    async def send():
        for backend in context.fleet.backends:
            backend.script = [answer]
        context.first_part_first = None
        if answer == "large":
            return await read_large(context)
        work = asyncio.ensure_future(
            fleet.call(address(context, FIRST), fleet.UNSAFE, "POST", "p-1", body=b"x")
        )
        if answer == "paused":
            await fleet.until(lambda: runs(context, b"p-1"))
            await asyncio.sleep(SOON_S)
            for backend in context.fleet.backends:
                backend.resume.set()
        return await work

    context.answer = run(context, send())


async def read_large(context):
    """Read an answer that the endpoint ends only after the caller has its first part."""
    sent_last = asyncio.Event()

    async def answer(backend, outcome, request_id, reader, writer):
        backend.ran.append(request_id)
        writer.write(backend._head(200, LARGE_PARTS * PART_BYTES, request_id))
        for _ in range(LARGE_PARTS - 1):
            writer.write(bytes(PART_BYTES))
            await writer.drain()
        await backend.resume.wait()
        sent_last.set()
        writer.write(bytes(PART_BYTES))
        return True

    for backend in context.fleet.backends:
        backend._answer = lambda *values, backend=backend: answer(backend, *values)
    host, _, port = address(context, FIRST).rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    head = f"GET {fleet.SAFE} HTTP/1.1\r\nHost: {fleet.HOST}\r\nConnection: close\r\n"
    writer.write(f"{head}{fleet.NAMES.request_id.decode()}: p-1\r\n\r\n".encode())
    data = await reader.readuntil(b"\r\n\r\n") + await reader.read(PART_BYTES)
    context.first_part_first = not sent_last.is_set()
    for backend in context.fleet.backends:
        backend.resume.set()
    with contextlib.suppress(OSError):
        while part := await reader.read(PART_BYTES):
            data += part
    writer.close()
    return fleet._answer(data, False)


@then("the caller's answer is {expected}")
def step_answer_is(context, expected):
    answer = context.answer
    if expected == "not complete":
        assert answer.status != 200 or not answer.whole, answer
    else:
        assert answer.status == 200 and answer.whole, answer
    if "before the endpoint" in expected:
        assert context.first_part_first
        assert len(answer.body) == LARGE_PARTS * PART_BYTES


@then(
    "its retry budget has no request and no retry, and those of the others have {count:d} requests"
    " and none"
)
def step_budget(context, count):
    def windows(vm):
        budget = gateway(context, vm)._forwarder._retry_budget
        since_ms = context.since_ms
        window = budget._windows.get(fleet.SERVICE)
        if window is None:
            return 0, 0
        return (
            sum(at_ms >= since_ms for at_ms in window.requests),
            sum(at_ms >= since_ms for at_ms in window.retries),
        )

    assert all(item.status == 200 for item in context.answers)
    assert windows(FIRST) == (0, 0), windows(FIRST)
    others = [windows(vm) for vm in (SECOND, THIRD)]
    assert sum(requests for requests, _ in others) == count, others
    assert not any(retries for _, retries in others), others


@when("{count:d} requests of {work_ms:d} ms work are sent to the first gateway at once")
def step_crowd(context, count, work_ms):
    async def send():
        for backend in context.fleet.backends:
            backend.work_ms = float(work_ms)
        servers = [gateway(context, vm)._proxy_server for vm in (SECOND, THIRD)]
        await wait_for_offers(context, {SECOND, THIRD})
        context.most = 0

        async def watch():
            while True:
                context.most = max(context.most, *(item.in_flight for item in servers))
                await asyncio.sleep(0)

        watching = asyncio.ensure_future(watch())
        work = [
            asyncio.ensure_future(fleet.call(address(context, FIRST), request_id=f"p-{number}"))
            for number in range(count)
        ]
        await asyncio.sleep(SOON_S)
        own = []
        for number in range(OWN_REQUESTS):
            own += [
                asyncio.ensure_future(
                    fleet.call(address(context, vm), request_id=f"own-{vm}-{number}")
                )
                for vm in (SECOND, THIRD)
            ]
            await asyncio.sleep(OWN_INTERVAL_S)
        context.own_answers = await asyncio.gather(*own)
        context.answers = await asyncio.gather(*work)
        watching.cancel()

    run(context, send())


@then(
    "a proxy has {most:d} of them at most at a time, and each one is answered 200 or rejected as"
    " not run"
)
def step_not_drowned(context, most):
    assert most == IN_FLIGHT_LIMIT
    assert 0 < context.most <= most, context.most
    statuses = Counter(item.status for item in context.answers)
    assert set(statuses) <= {200, *NOT_RUN_STATUSES}, statuses
    ids = {
        f"p-{number}".encode() for number, item in enumerate(context.answers) if item.status != 200
    }
    ran = {item for backend in context.fleet.backends for item in backend.ran}
    assert not ids & ran, ids & ran


@then("of 10 requests of each proxy's own callers as large a share is served meanwhile")
def step_own_served(context):
    own = [item.status for item in context.own_answers]
    passed_on = [item.status for item in context.answers]
    own_share, share = (found.count(200) / len(found) for found in (own, passed_on))
    assert own_share >= share > 0.0, (Counter(own), Counter(passed_on))


@given("the third gateway has lost its links as well, so that only the second one offers to help")
def step_one_proxy(context):
    async def lose():
        context.fleet.cuts[THIRD].begin(Cut.RESET)
        await context.fleet.load(50, 0.3)
        await wait_for_offers(context, {SECOND})

    run(context, lose())


@when(
    "{first:d} requests are sent to the first gateway at once, and {more:d} more after they have"
    " ended"
)
def step_full_before(context, first, more):
    async def send():
        context.answers = await asyncio.gather(
            *(fleet.call(address(context, FIRST), request_id=f"p-{n}") for n in range(first))
        )
        context.later = [
            await fleet.call(address(context, FIRST), request_id=f"later-{number}")
            for number in range(more)
        ]

    run(context, send())


@then("some of the {first:d} were rejected as not run, and the {more:d} are answered 200")
def step_has_room(context, first, more):
    statuses = Counter(item.status for item in context.answers)
    assert statuses[200] and any(statuses[item] for item in NOT_RUN_STATUSES), statuses
    later = Counter((item.status, item.body) for item in context.later if item.status != 200)
    assert len(context.later) == more and not later, later


@when("a proxy begins a planned stop while it has a request")
def step_proxy_stops(context):
    async def stop():
        for backend in context.fleet.backends:
            backend.work_ms = 300.0
        work = asyncio.ensure_future(fleet.call(address(context, FIRST), request_id="p-1"))
        servers = {vm: gateway(context, vm) for vm in (SECOND, THIRD)}
        await fleet.until(lambda: any(item._proxy_server.in_flight for item in servers.values()))
        stopped = next(vm for vm, item in servers.items() if item._proxy_server.in_flight)
        servers[stopped].begin_shutdown()
        context.other = next(vm for vm in servers if vm != stopped)
        for backend in context.fleet.backends:
            backend.work_ms = 20.0
        context.answer = await work
        context.fleet.log.clear()
        context.answers = [
            await fleet.call(address(context, FIRST), request_id=f"next-{number}")
            for number in range(20)
        ]

    run(context, stop())


@then("that request is answered 200, and the next {count:d} are served by way of the other one")
def step_served_by_other(context, count):
    assert context.answer.status == 200, context.answer
    assert [item.status for item in context.answers] == [200] * count
    served = [
        line
        for line in lines_of(context, "answer", proxied_for=FIRST, cause="answered")
        if line["id"].startswith("next-")
    ]
    assert {line["vm"] for line in served} == {context.other}, served


@given("the second gateway ignores what it doesn't know, like one of an earlier version")
def step_earlier_version(context):
    async def ignore():
        peering = gateway(context, SECOND)._peering
        on_message = peering.link._on_message

        def without_links(message, sender):
            if not isinstance(message, LinkStatus):
                on_message(message, sender)

        peering.link._on_message = without_links
        peering.link.serve_proxied = None
        await asyncio.sleep(1.6)
        await wait_for_offers(context, {THIRD})
        context.fleet.log.clear()

    run(context, ignore())


@then("all are answered 200 by way of the third, and none was passed to the second")
def step_by_third(context):
    assert all(item.status == 200 for item in context.answers), context.answers
    proxies = {line["proxy"] for line in lines_of(context, "attempt") if "proxy" in line}
    assert proxies == {THIRD}, proxies


@when("a request is sent to the first gateway")
def step_one_request(context):
    context.answer = run(context, fleet.call(address(context, FIRST), request_id="p-1"))


@then("the first gateway's log names the proxy, and the proxy's log the first gateway")
def step_logged(context):
    async def found():
        await context.fleet.wait_for_log("answer", 2, id="p-1")

    run(context, found())
    (passed_on,) = lines_of(context, "attempt", vm=FIRST, id="p-1")
    context.proxy = passed_on["proxy"]
    (served,) = lines_of(context, "answer", vm=context.proxy, id="p-1")
    assert served["proxied_for"] == FIRST
    assert passed_on["executions"] == 1


def explanation(context, request_id):
    """Return what explain prints of a request."""
    lines = read_lines(bytes(context.fleet.log).decode().splitlines())
    return explain_request(request_id, lines).to_text()


@then("explain shows both, and that an endpoint has answered")
def step_explained(context):
    text = explanation(context, "p-1")
    assert text.startswith("request p-1: answered (200)"), text
    assert f"proxy={context.proxy}" in text and f"proxied_for={FIRST}" in text, text
    assert "server=i-" in text, text


@when("the other gateways lose their links as well")
def step_all_lost(context):
    async def lose():
        for vm in (SECOND, THIRD):
            context.fleet.cuts[vm].begin(Cut.RESET)
        await fleet.until(
            lambda: all(
                gateway(context, vm)._links.is_out_of_reach(fleet.SERVICE) for vm in (SECOND, THIRD)
            )
        )
        await asyncio.sleep(0.3)
        context.answer = await fleet.call(address(context, FIRST), request_id="p-1")
        await context.fleet.wait_for_log("answer", 1, id="p-1")

    run(context, lose())


@then("a request is rejected as unreachable, with a time to retry after")
def step_unreachable(context):
    answer = context.answer
    assert (answer.status, answer.body) == (503, b"unreachable"), answer
    assert 0.2 <= float(answer.headers["retry-after"]) <= 0.5, answer.headers


@then("explain shows the links that were lost and the service that is out of reach")
def step_unreachable_explained(context):
    async def wait():
        context.fleet.cuts[FIRST].end()
        await context.fleet.wait_for_log("reach", 1, vm=FIRST, lost=False)
        context.fleet.cuts[FIRST].begin(Cut.RESET)
        await fleet.call(address(context, FIRST), request_id="p-2")
        await asyncio.sleep(0.5)
        await fleet.call(address(context, FIRST), request_id="p-3")
        await context.fleet.wait_for_log("answer", 1, id="p-3")

    run(context, wait())
    text = explanation(context, "p-3")
    assert text.startswith("request p-3: unreachable (503)"), text
    assert "link: server=i-" in text and "reach: service=" in text, text


@when("invalid requests and answers are sent between gateways")
def step_invalid(context):
    source = random.Random(7)
    request = ProxiedRequest(
        FIRST, b"GET", b"/read/", fleet.HOST, [(b"x", b"1")], b"", False, "c", "s", 1.0, 1, 1
    )
    values = cbor2.loads(request.encode())[PROXIED_KEY]
    answer = cbor2.loads(ProxiedAnswer(200, [], "", 1, None, False, b"").encode())
    wrong = (None, -1, 2**70, float("nan"), "", b"\r\n", [[b"a", b"b\r\nc: d"]], [1], {}, True)
    context.frames = []
    for _ in range(200):
        index = source.randrange(len(values))
        replaced = [*values[:index], source.choice(wrong), *values[index + 1 :]]
        context.frames.append({PROXIED_KEY: source.choice((replaced, values[1:], None, "x"))})
        index = source.randrange(len(answer))
        replaced = [*answer[:index], source.choice(wrong), *answer[index + 1 :]]
        try:
            ProxiedAnswer.decode(cbor2.dumps(replaced))
        except MessageError:
            continue

    async def send_all():
        settings = context.fleet.named([SECOND])[0][1]
        host, _, port = settings.peer_address.rpartition(":")
        tag = gateway(context, SECOND)._peering.link.fleet_tag
        for frame in context.frames:
            reader, writer = await asyncio.open_connection(host, int(port))
            write_frame(writer, tag + cbor2.dumps(frame))
            writer.write_eof()
            with contextlib.suppress(OSError):
                await reader.read()
            writer.close()
        peering = gateway(context, SECOND)._peering
        for rows in ([["i", -1]], [["i", float("nan")]], [["i", 2**70]], [7], None, {}):
            for services in (["s"], [7], None):
                peering.link._on_datagram(
                    tag + encode(LinkStatus("vm-9", rows, services, services)), ("127.0.0.1", 9)
                )

    run(context, send_all())


@then("each is refused, and the gateways go on passing requests on")
def step_unharmed(context):
    assert not lines_of(context, "fault"), lines_of(context, "fault")
    step_requests(context, 10)
    assert all(item.status == 200 for item in context.answers), context.answers
