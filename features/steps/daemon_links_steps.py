"""Steps for daemons of cloverhookd that lose their links to the endpoints."""

from contextlib import AsyncExitStack

from behave import then, when

from cloverhook.clock import monotonic_ms
from features.daemon_fleet import DaemonFleet
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
