"""Steps for daemons of cloverhookd that lose their links to the endpoints."""

from contextlib import AsyncExitStack

from behave import given, then, when

from cloverhook import headers as h
from cloverhook.clock import monotonic_ms
from features.daemon_fleet import DaemonFleet
from features.http_peers import request
from features.shared import run

REQUESTS_PER_S = 60
SETTLE_MS = 1_500.0
FIRST = "vm-0"


@when("daemons lose their links to all endpoints for {time_s:g} s")
def step_lose(context, time_s):
    async def play(daemons, cut, endpoints, links):
        async with AsyncExitStack() as stack:
            fleet = await DaemonFleet.start(stack, daemons, endpoints)
            vms = [f"vm-{index}" for index in range(cut)]
            await fleet.load(REQUESTS_PER_S, 1.0)
            fleet.lose(vms, links)
            from_ms = monotonic_ms()
            await fleet.load(REQUESTS_PER_S, time_s)
            to_ms = from_ms + 1_000 * time_s
            others = set(fleet.daemons) - set(vms)
            return [fleet.served(names, from_ms + SETTLE_MS, to_ms) for names in (vms, others)]

    context.found = []
    for row in context.table:
        daemons, cut, endpoints, links = row.cells
        work = play(int(daemons), int(cut), int(endpoints), links)
        context.found.append(run(context, work))


@then(
    "from 1.5 s after the cut to its end all daemons serve {share:g} of their requests, the others"
    " {other_share:g} of theirs"
)
def step_served(context, share, other_share):
    for (served, sent), (others_served, others_sent) in context.found:
        assert sent and others_sent, context.found
        assert served >= share * sent, context.found
        assert others_served >= other_share * others_sent, context.found


@given(
    "{daemons:d} daemons and {endpoints:d} endpoints, where the first daemon has lost its links to"
    " all"
)
def step_cut(context, daemons, endpoints):
    async def start():
        context.fleet = await DaemonFleet.start(context.stack, daemons, endpoints)
        await context.fleet.load(REQUESTS_PER_S, 0.5)
        context.fleet.lose([FIRST], "reset")

    run(context, start())


def payment(number, *headers):
    """Return a payment with its own path."""
    length = b"Content-Length: 1"
    return request("POST", f"/echo/pay-{number}", length, *headers, body=b"x")


@when(
    "{count:d} payments are sent to the first daemon, half of them with a key, and each key again"
)
def step_payments(context, count):
    async def send():
        context.replies, context.again = {}, {}
        for number in range(count):
            key = (b"Idempotency-Key: k-%d" % number,) if number % 2 else ()
            context.replies[number] = await context.fleet.send(FIRST, payment(number, *key))
            if key:
                context.again[number] = await context.fleet.send(FIRST, payment(number, *key))

    run(context, send())


def runs(context, number):
    """Return how often a payment has run at any backend server."""
    return sum(len(backend.ran(f"/echo/pay-{number}")) for backend in context.fleet.backends)


@then("each payment has run once, and each that was sent again got the same answer")
def step_once(context):
    assert {number: runs(context, number) for number in context.replies} == dict.fromkeys(
        context.replies, 1
    )
    assert all(reply.status == 200 for reply in context.replies.values()), context.replies
    for number, reply in context.again.items():
        assert (reply.status, reply.body) == (200, context.replies[number].body), reply


@then("its time line names the daemon that sent it on")
def step_time_line(context):
    page = context.fleet.daemons[FIRST].events(0, 10_000, "", "", "")
    details = {item.detail for item in page.events}
    assert any("by way of vm-" in detail for detail in details), details


@when("a caller claims that its payment was passed on")
def step_claims(context):
    async def send():
        claim = (b"Idempotency-Key: forged", h.PROXIED + b": vm-1 00ff")
        context.replies = [
            await context.fleet.send(FIRST, payment("forged", *claim)) for _ in range(2)
        ]

    run(context, send())


@then("a key of that payment is still checked, and the payment still goes one hop")
def step_still_checked(context):
    assert [reply.status for reply in context.replies] == [200, 200], context.replies
    assert context.replies[1].header(h.REPLAYED) == [b"1"], context.replies[1]
    assert runs(context, "forged") == 1
