"""Steps for backend servers that turn requests away and ask for a time without any."""

import asyncio
from collections import Counter, defaultdict
from dataclasses import dataclass

from behave import then, when

from features.notice_fleet import NoticeFleet
from features.shared import run

REQUESTS_PER_S = 60
USUAL_S = 1.0
AFTERWARDS_S = 4.5
BACKOFF_MS = 3_000.0
SPREAD_MS = 500.0
"""Callers that were rejected together are told times that differ by at most this."""
TRANSIT_MS = 100.0


@dataclass(frozen=True, slots=True)
class BackoffRun:
    """A fleet whose first backend servers have turned requests away for some time."""

    fleet: NoticeFleet
    resting: frozenset[str]

    @property
    def all_rest(self):
        """Whether no backend server was left that could serve."""
        return len(self.resting) == len(self.fleet.backends)

    def rejections(self):
        """Return the times at which each backend server turned each VM away."""
        found = defaultdict(list)
        for arrival in self.fleet.arrivals:
            if arrival.rejected:
                found[arrival.incarnation, arrival.vm].append(arrival.at_ms)
        return found

    def most_in_backoff(self, grace_ms):
        """Return the most requests that reached a backend server within a time it asked for."""
        most = 0
        for (incarnation, vm), times_ms in self.rejections().items():
            arrived_ms = [
                item.at_ms
                for item in self.fleet.arrivals
                if (item.incarnation, item.vm) == (incarnation, vm)
            ]
            for start_ms in times_ms:
                first_ms, end_ms = start_ms + grace_ms, start_ms + BACKOFF_MS
                most = max(most, sum(first_ms < at_ms < end_ms for at_ms in arrived_ms))
        return most

    def idle_after_ms(self, incarnation):
        """Return how long a backend server got no request after the last time it asked for.

        If it got none at all, that is until the end of the load.
        """
        arrivals = [item for item in self.fleet.arrivals if item.incarnation == incarnation]
        last_ms = max(item.at_ms for item in arrivals if item.rejected)
        ended_ms = max(call.ended_ms for call in self.fleet.calls)
        next_ms = min((item.at_ms for item in arrivals if item.at_ms > last_ms), default=ended_ms)
        return next_ms - last_ms - BACKOFF_MS

    def first_end_ms(self, vm, at_ms):
        """Return when the first of the times ends that a VM has been asked for up to `at_ms`."""
        ends_ms = []
        for incarnation in self.resting:
            known = [item for item in self.rejections()[incarnation, vm] if item <= at_ms]
            if not known:
                return None
            ends_ms.append(max(known) + BACKOFF_MS)
        return min(ends_ms)


@when("backend servers turn requests away for {time_s:g} s and ask for 3 s each time")
def step_turn_away(context, time_s):
    async def play(gateways, backends, resting):
        fleet = await NoticeFleet.start(gateways, backends)
        try:
            await fleet.load(REQUESTS_PER_S, USUAL_S)
            for backend in fleet.backends[:resting]:
                backend.default = "reject"
                backend.notice_lines = (b"retry-after: %g" % (BACKOFF_MS / 1000),)
            rejecting = asyncio.create_task(fleet.load(REQUESTS_PER_S, time_s))
            await asyncio.sleep(time_s)
            for backend in fleet.backends[:resting]:
                backend.default = "ok"
                backend.notice_lines = ()
            await fleet.load(REQUESTS_PER_S, AFTERWARDS_S)
            await rejecting
        finally:
            await fleet.close()
        return BackoffRun(fleet, frozenset(item.incarnation for item in fleet.backends[:resting]))

    context.runs = [run(context, play(*map(int, row.cells))) for row in context.table]


@then(
    "none of them gets more than {most:d} requests from a VM from {grace_ms:d} ms after it turned"
    " that VM away to the end of that time"
)
def step_bound(context, most, grace_ms):
    found = [item.most_in_backoff(grace_ms) for item in context.runs]
    assert all(item.rejections() for item in context.runs)
    assert max(found) <= most, found


@then("where others can serve, all requests are answered")
def step_answered(context):
    for item in context.runs:
        if not item.all_rest:
            statuses = Counter(call.answer.status for call in item.fleet.calls)
            assert set(statuses) == {200}, statuses


@then(
    "each of them gets a request within {most_ms:d} ms of the end of the time that it asked the"
    " last VM for"
)
def step_used_again(context, most_ms):
    idle_ms = [[round(item.idle_after_ms(name)) for name in item.resting] for item in context.runs]
    assert max(map(max, idle_ms)) <= most_ms, idle_ms


@then(
    "where all rest, requests are rejected within {most_ms:d} ms, with the time that is left to the"
    " first end"
)
def step_rejected(context, most_ms):
    for item in context.runs:
        if not item.all_rest:
            continue
        rejected = [call for call in item.fleet.calls if call.answer.status != 200]
        assert rejected and {call.answer.status for call in rejected} == {503}
        waited_ms = [call.ended_ms - call.sent_ms for call in rejected]
        assert max(waited_ms) <= most_ms, max(waited_ms)
        for call in rejected:
            end_ms = item.first_end_ms(call.vm, call.sent_ms)
            if end_ms is None:
                continue
            told_ms = float(call.answer.headers["retry-after"]) * 1_000
            left_ms = end_ms - call.ended_ms
            assert left_ms - TRANSIT_MS <= told_ms, (left_ms, told_ms)
            assert told_ms <= max(left_ms, 0.0) + SPREAD_MS, (left_ms, told_ms)
