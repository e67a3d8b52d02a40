"""Steps on how a gateway reads the requests of its callers."""

import asyncio
from unittest.mock import patch

from behave import then, when

from cloverhook.gateway.request_reader import RequestReader
from features import gateway_fleet as fleet
from features.shared import run

BODY = b"child=1&place=1"
OFFERS = {
    "h2c": (
        "Connection: Upgrade, HTTP2-Settings",
        "Upgrade: h2c",
        "HTTP2-Settings: AAMAAABkAAQAoAAAAAIAAAAA",
    ),
    "websocket": ("Connection: keep-alive, upgrade", "Upgrade: websocket"),
}
OFFER_HEADERS = (b"connection", b"upgrade", b"http2-settings")
FRAMINGS = {
    "with a length": (f"Content-Length: {len(BODY)}", BODY),
    "in chunks": ("Transfer-Encoding: chunked", b"5\r\nchild\r\na\r\n=1&place=1\r\n0\r\n\r\n"),
    "without a body": ("X-Body: none", b""),
}


async def exchange(context, head, body, sent):
    """Send a request as `sent` says, read until the connection closes, and return the answer."""
    host, _, port = context.gateways[0][1].caller_address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    size = {"in pieces of 1 byte": 1, "in pieces of 7 bytes": 7}.get(sent, len(head + body))
    if sent == "after a 100 Continue":
        writer.write(head)
        assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 100 ")
        writer.write(body)
    else:
        data = head + body
        for start in range(0, len(data), size):
            writer.write(data[start : start + size])
            await writer.drain()
            await asyncio.sleep(0)
    data = await asyncio.wait_for(reader.read(), fleet.WAIT_S)
    writer.close()
    return fleet._answer(data, False)


def head_of(method, target, *lines):
    """Return the head of a request with these further lines."""
    rows = [
        f"{method} {target} HTTP/1.1",
        f"Host: {fleet.HOST}",
        f"{fleet.NAMES.request_id.decode()}: r-1",
        f"{fleet.NAMES.timeout_ms.decode()}: 2000",
        *lines,
    ]
    return "\r\n".join(rows).encode() + b"\r\n\r\n"


@when("a caller writes with a body and the offer {offer}, {framing} and {sent}")
def step_offer(context, offer, framing, sent):
    line, body = FRAMINGS[framing]
    lines = [line, *OFFERS[offer]]
    if sent == "after a 100 Continue":
        lines.append("Expect: 100-continue")
    context.body = BODY if body else b""
    head = head_of("POST", fleet.UNSAFE, *lines)
    context.answer = run(context, exchange(context, head, body, sent))


@then("its endpoint got the body, its length, and no header of the offer")
def step_body(context):
    ((line, headers, body),) = context.backends[0].seen
    assert line == f"POST {fleet.UNSAFE} HTTP/1.1".encode(), line
    assert body == context.body, body
    assert not any(name in headers for name in OFFER_HEADERS), headers


@then("the caller's connection closes after the answer")
def step_closes(context):
    assert context.answer.whole and context.answer.headers["connection"] == "close", context.answer


@when("a caller sends a CONNECT request")
def step_connect(context):
    head = head_of("CONNECT", f"{fleet.HOST}:443")
    context.answer = run(context, exchange(context, head, b"", "at once"))


PIECE = b"x" * 16_384
CHUNKED = head_of("POST", fleet.UNSAFE, "Transfer-Encoding: chunked")
ENDLESS = {
    "a header's value": (head_of("GET", fleet.SAFE)[:-2] + b"X-Long: ", PIECE),
    "a header's name": (head_of("GET", fleet.SAFE)[:-2], PIECE),
    "a request target": (b"GET /", PIECE),
    "blank lines": (b"", b"\r\n" * 8_192),
    "the extension of a chunk": (CHUNKED + b"1;x=", PIECE),
    "a trailer's value": (CHUNKED + b"1\r\nx\r\n0\r\nX-Long: ", PIECE),
    "trailers": (CHUNKED + b"1\r\nx\r\n0\r\n", b"X-Trailer: 1\r\n" * 1_000),
}
"""How a request begins, and what is then sent until the connection is closed."""


@when("a caller sends {part} without end")
def step_endless(context, part):
    context.parsed_bytes = 0
    feed = RequestReader.feed

    def count(reader, data, may_continue):
        context.parsed_bytes += len(data)
        return feed(reader, data, may_continue)

    context.stack.enter_context(patch.object(RequestReader, "feed", count))

    async def send():
        host, _, port = context.gateways[0][1].caller_address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        start, piece = ENDLESS[part]
        writer.write(start)
        answering = asyncio.ensure_future(reader.readuntil(b"\r\n\r\n"))
        async with asyncio.timeout(fleet.WAIT_S):
            while not answering.done():
                writer.write(piece)
                await writer.drain()
                await asyncio.sleep(0)
            context.answer = fleet._answer(await answering, False)
        writer.transport.abort()

    run(context, send())


@then("it is answered {status:d}, and less than {limit:d} bytes have been parsed")
def step_rejected(context, status, limit):
    assert context.answer.status == status, context.answer
    assert context.parsed_bytes < limit, context.parsed_bytes


@when("a caller writes with headers of {size:d} bytes in {count:d} of them")
def step_many_headers(context, size, count):
    value_bytes = size // count - len("X-000: ") - len("\r\n")
    lines = [f"X-{index:03}: {'x' * value_bytes}" for index in range(count)]
    head = head_of("POST", fleet.UNSAFE, "Connection: close", "Content-Length: 0", *lines)
    context.answer = run(context, exchange(context, head, b"", "at once"))


@when("a caller writes with a body of {count:d} chunks of 1 byte")
def step_many_chunks(context, count):
    head = head_of("POST", fleet.UNSAFE, "Connection: close", "Transfer-Encoding: chunked")
    body = b"1\r\nx\r\n" * count + b"0\r\n\r\n"
    context.answer = run(context, exchange(context, head, body, "at once"))
