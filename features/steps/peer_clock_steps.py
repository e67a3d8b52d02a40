"""Steps for how long messages of other gateways were under way, on simulated clocks."""

import heapq
import itertools
import random

from behave import given, then, when

from cloverhook.gateway.broadcast import Broadcast
from cloverhook.gateway.counters import Counters
from cloverhook.gateway.gateway_state import GatewayState
from cloverhook.gateway.peer_clocks import PeerClocks
from cloverhook.gateway.peer_messages import (
    ClockAnswer,
    ClockRequest,
    Identity,
    StoreConfirmation,
    decode,
)
from cloverhook.gateway.store_confirmations import StoreConfirmations
from features.gateway_crowd import RecordingLink, members_of

OWN = Identity("vm-own", 1, "papine", "10.1.0.1:1", "10.1.0.1:2")
SENDER = "vm-reader"
START_MS = 10_000_000.0
EVERY_MS = 300.0
MESSAGE_MS = 1.0
MINUTE_MS = 60_000.0


class ClockReplay:
    """A VM that gets the confirmations of another one, each with a clock of its own.

    Messages and requests arrive in the order of their arrival times.  `as_of_ms` is the moment as
    of which the VM may take its state for current at most.
    """

    def __init__(self, ahead_ms):
        self.random = random.Random(7)
        self.ahead_ms = ahead_ms
        self.incarnation = 1
        self.now_ms = START_MS
        self.as_of_ms = float("-inf")
        self.too_young_ms = []
        self.excess_ms = []
        self.requests = 0
        self.state = GatewayState()
        self.link = RecordingLink()
        members = members_of(OWN.vm, [SENDER], START_MS)
        broadcast = Broadcast(OWN.vm, self.link, members)
        self.confirmations = StoreConfirmations(OWN, broadcast, members, self.state, Counters())
        self._events = []
        self._numbers = itertools.count()

    def at(self, at_ms, act, *values):
        """Call a function at a time of the receiver's clock."""
        heapq.heappush(self._events, (at_ms, next(self._numbers), act, values))

    def run(self):
        """Play all that is to happen."""
        while self._events:
            self.now_ms, _, act, values = heapq.heappop(self._events)
            act(*values)

    def confirm(self, age_ms, delay_ms, request_delay_ms):
        """Send a confirmation of a state that is `age_ms` old now."""
        message = self.message(self.now_ms, age_ms)
        as_of_ms = self.now_ms - age_ms
        self.at(self.now_ms + delay_ms, self._receive, message, as_of_ms, request_delay_ms)

    def message(self, sent_ms, age_ms):
        """Return the confirmation that is sent at a time of the receiver's clock."""
        return StoreConfirmation(
            SENDER, self.incarnation, sent_ms + self.ahead_ms, -1, -1, age_ms, -1, age_ms
        )

    def _receive(self, message, as_of_ms, request_delay_ms):
        before_ms = self.state.config_freshness.as_of_ms
        self.confirmations.received(message, self.now_ms)
        self._check(as_of_ms, before_ms)
        self.answer_requests(request_delay_ms)

    def _check(self, as_of_ms, before_ms):
        """Compare what the VM believes with the latest moment that it may believe."""
        self.as_of_ms = max(self.as_of_ms, as_of_ms)
        believed_ms = self.state.config_freshness.as_of_ms
        if believed_ms is None:
            return
        if believed_ms > self.as_of_ms + 0.001:
            self.too_young_ms.append(believed_ms - self.as_of_ms)
        if before_ms is not None:
            self.excess_ms.append(self.as_of_ms - believed_ms)

    def answer_requests(self, request_delay_ms):
        """Have the requests that were sent answered; a request and its answer take that long."""
        for _, data in self.link.sent:
            request = decode(data)
            assert isinstance(request, ClockRequest), request
            self.requests += 1
            there_ms = self.now_ms + request_delay_ms()
            self.at(there_ms, self._answer, request, request_delay_ms)
        self.link.sent.clear()

    def _answer(self, request, request_delay_ms):
        clock_ms = self.now_ms + self.ahead_ms
        answer = ClockAnswer(SENDER, self.incarnation, request.sent_ms, clock_ms)
        self.at(self.now_ms + request_delay_ms(), self._receive_answer, answer)

    def _receive_answer(self, answer):
        self.confirmations.received_answer(answer, self.now_ms)
        self._check(self.as_of_ms, None)


@given("a process whose clock is {ahead:d} ms ahead of the own one")
def step_process(context, ahead):
    context.replay = ClockReplay(float(ahead))
    context.delays_ms = context.ages_ms = (0, 0)


@when(
    "it confirms its state {count:d} times, {youngest:d} to {oldest:d} ms old, and each message"
    " takes {least:d} to {most:d} ms"
)
def step_confirms(context, count, youngest, oldest, least, most):
    context.count, context.ages_ms, context.delays_ms = count, (youngest, oldest), (least, most)
    context.request_delays_ms = (1, 1)


@when("each request to it takes {least:d} to {most:d} ms")
def step_requests(context, least, most):
    context.request_delays_ms = (least, most)


@when(
    "its VM starts a process whose clock is {ahead:d} ms ahead of the own one, with messages of"
    " {delay:d} ms"
)
def step_restarts(context, ahead, delay):
    play(context)
    replay = context.replay
    replay.late_message = replay.message(replay.now_ms, 0.0)
    replay.ahead_ms, replay.incarnation = float(ahead), 2
    context.delays_ms = (delay, delay)


@when("its VM starts a process whose number is lower")
def step_restarts_lower(context):
    play(context)
    context.replay.incarnation -= 1


@then("it is confirmed by the process that runs")
def step_confirmed_by_running(context):
    start_ms = context.replay.now_ms
    play(context)
    assert context.replay.state.config_freshness.as_of_ms >= start_ms
    assert not context.replay.too_young_ms


@when("the own clock stops for {stopped:d} ms")
def step_stops(context, stopped):
    play(context)
    context.replay.ahead_ms += stopped


def play(context):
    """Send the confirmations, unless that was done."""
    replay, source = context.replay, context.replay.random
    start_ms = replay.now_ms
    for number in range(context.count):
        replay.at(
            start_ms + number * EVERY_MS,
            replay.confirm,
            float(source.randint(*context.ages_ms)),
            source.uniform(*context.delays_ms),
            lambda: source.uniform(*context.request_delays_ms),
        )
    replay.run()


@then("the state is never taken for younger than it is")
def step_never_younger(context):
    play(context)
    assert not context.replay.too_young_ms, max(context.replay.too_young_ms)
    assert context.replay.state.config_freshness.as_of_ms is not None


@then("for at most {excess:d} ms older once it has been asked for its time")
def step_excess(context, excess):
    # The first messages may arrive before the first answer.
    found = context.replay.excess_ms[len(context.replay.excess_ms) // 2 :]
    assert max(found) <= excess, max(found)


@when("its first message arrives, and then its answer to the request that this causes")
def step_first(context):
    replay = context.replay
    replay.sent_ms = replay.now_ms
    replay.at(replay.now_ms, replay.confirm, 0.0, MESSAGE_MS, lambda: MESSAGE_MS)
    replay.run()


@then("the state is confirmed as of that message")
def step_confirmed(context):
    as_of_ms = context.replay.state.config_freshness.as_of_ms
    assert 0.0 <= context.replay.sent_ms - as_of_ms < 2 * MESSAGE_MS, as_of_ms


@then("a late message of the earlier process confirms nothing")
def step_late_message(context):
    replay = context.replay
    before_ms = replay.state.config_freshness.as_of_ms
    replay.confirmations.received(replay.late_message, replay.now_ms)
    assert replay.state.config_freshness.as_of_ms == before_ms
    replay.link.sent.clear()


@given("a process that was asked for its time at {at:d} ms")
def step_asked(context, at):
    context.clocks, context.asked_ms = PeerClocks(random.Random(1)), float(at)
    context.clocks.earliest_sent_ms(SENDER, 1, 5.0, context.asked_ms)
    context.clocks.record_request(SENDER, 1, context.asked_ms)


@then("an answer to a request of {at:d} ms is ignored")
def step_unknown_request(context, at):
    check_ignored(context, 1, float(at))


@then("an answer of another process of its VM is ignored")
def step_other_process(context):
    check_ignored(context, 2, context.asked_ms)


def check_ignored(context, incarnation, requested_ms):
    """Check that an answer is not taken, and shows nothing."""
    now_ms = context.asked_ms + 2.0
    assert not context.clocks.record_answer(SENDER, incarnation, requested_ms, 7.0, now_ms)
    assert context.clocks.earliest_sent_ms(SENDER, 1, 9.0, now_ms) is None


@then("the same answer is taken once")
def step_once(context):
    now_ms = context.asked_ms + 2.0
    taken = [
        context.clocks.record_answer(SENDER, 1, context.asked_ms, 7.0, now_ms) for _ in range(2)
    ]
    assert taken == [True, False], taken


@when(
    "{processes:d} other processes of {vms:d} VMs each send a message, and it sends one after each"
    " {every:d} of them"
)
def step_roll(context, processes, vms, every):
    clocks, context.requests = PeerClocks(random.Random(1)), 0
    now_ms = START_MS
    for number in range(processes):
        now_ms += 1.0
        clocks.earliest_sent_ms(f"vm-{number % vms}", 1 + number // vms, 5.0, now_ms)
        if number % every == 0:
            known = clocks.earliest_sent_ms(SENDER, 1, now_ms, now_ms) is not None
            assert known or number == 0, number
            if clocks.is_request_due(SENDER, 1, now_ms):
                context.requests += 1
                clocks.record_request(SENDER, 1, now_ms)
                clocks.record_answer(SENDER, 1, now_ms, now_ms, now_ms + 1.0)


@given("a process that answers no request")
def step_no_answers(context):
    context.clocks, context.requests = PeerClocks(random.Random(1)), 0


@when("it sends a message each {every:d} ms for {minutes:d} minutes")
def step_many_messages(context, every, minutes):
    for number in range(round(minutes * MINUTE_MS) // every):
        now_ms = START_MS + number * every
        assert context.clocks.earliest_sent_ms(SENDER, 1, now_ms, now_ms) is None
        if context.clocks.is_request_due(SENDER, 1, now_ms):
            context.requests += 1
            context.clocks.record_request(SENDER, 1, now_ms)


@then("it is asked for its time once")
def step_asked_once(context):
    assert context.requests == 1, context.requests


@then("it is asked for its time at most {most:d} times")
def step_asked_at_most(context, most):
    assert 1 <= context.requests <= most, context.requests
