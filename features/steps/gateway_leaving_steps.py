"""Steps for backend servers that say in their answers that they leave."""

from collections import Counter
from dataclasses import dataclass

from behave import then, when

from cloverhook.clock import monotonic_ms
from features.notice_fleet import NoticeFleet
from features.shared import run

LEAVING_LINE = b"cloverhook-leaving: 1"
REQUESTS_PER_S = 60
USUAL_S = 1.0
LEAVING_S = 4.5


@dataclass(frozen=True, slots=True)
class LeavingRun:
    """A fleet whose first backend servers say from `begun_ms` on that they leave."""

    fleet: NoticeFleet
    begun_ms: float
    leaving: frozenset[str]

    @property
    def all_leave(self):
        """Whether no backend server is left that can serve."""
        return len(self.leaving) == len(self.fleet.backends)

    def told_ms(self, incarnation):
        """Return, by VM, when it first passed on an answer that says so."""
        return self.fleet.first_passed_on_ms(incarnation, self.begun_ms)

    def arrivals_after(self, delay_ms, by_vm):
        """Return the late arrivals at the leaving backend servers.

        An arrival is late if its caller sent it later than `delay_ms` after an answer that says so
        was passed on by the VM that sent it, or by any VM if not `by_vm`.
        """
        found = []
        for arrival in self.fleet.arrivals:
            if arrival.incarnation not in self.leaving:
                continue
            told_ms = self.told_ms(arrival.incarnation)
            known_ms = told_ms.get(arrival.vm) if by_vm else min(told_ms.values(), default=None)
            if known_ms is not None and arrival.caller_sent_ms > known_ms + delay_ms:
                found.append(arrival)
        return found


@when(
    "callers send requests while the store is away and backend servers begin to say that they leave"
)
def step_leave(context):
    async def play(gateways, backends, leaving):
        fleet = await NoticeFleet.start(gateways, backends)
        try:
            fleet.stop_store()
            await fleet.load(REQUESTS_PER_S, USUAL_S)
            begun_ms = monotonic_ms()
            for backend in fleet.backends[:leaving]:
                backend.notice_lines = (LEAVING_LINE,)
            await fleet.load(REQUESTS_PER_S, LEAVING_S)
        finally:
            await fleet.close()
        names = frozenset(backend.incarnation for backend in fleet.backends[:leaving])
        return LeavingRun(fleet, begun_ms, names)

    context.runs = [run(context, play(*map(int, row.cells))) for row in context.table]


@then(
    "no VM sends them requests that callers sent later than {bound_ms:d} ms after it passed on such"
    " an answer"
)
def step_bound(context, bound_ms):
    late = [len(item.arrivals_after(bound_ms, by_vm=True)) for item in context.runs]
    assert all(item.told_ms(name) for item in context.runs for name in item.leaving)
    assert not any(late), late


@then(
    "where others can serve, they get no request from {delay_ms:d} ms after the first such answer,"
    " and all are answered"
)
def step_passed_over(context, delay_ms):
    for item in context.runs:
        if not item.all_leave:
            late = item.arrivals_after(delay_ms, by_vm=False)
            assert not late, len(late)
            statuses = Counter(call.answer.status for call in item.fleet.calls)
            assert set(statuses) == {200}, statuses


@then(
    "where all leave, requests are rejected within {most_ms:d} ms from then on, with a time to"
    " retry"
)
def step_rejected(context, most_ms):
    for item in context.runs:
        if item.all_leave:
            ended_ms = max(call.ended_ms for call in item.fleet.calls)
            last = [call for call in item.fleet.calls if call.sent_ms > ended_ms - 1_500.0]
            assert last and {call.answer.status for call in last} == {503}
            waits_ms = [call.ended_ms - call.sent_ms for call in last]
            assert max(waits_ms) <= most_ms, max(waits_ms)
            assert all(float(call.answer.headers["retry-after"]) > 0 for call in last)
