"""Drives one `ServiceRouter` by events on a simulated clock and records its actions."""

import random
from collections import Counter

from cloverhook.fleet import Endpoint, Policy, Priority
from cloverhook.routing import ServiceRouter
from cloverhook.routing_events import (
    Arrival,
    AttemptEnded,
    AttemptResult,
    EndpointsChanged,
    PeerMessageReceived,
    Probe,
    Reject,
    SendMessage,
    Start,
    Tick,
)
from cloverhook.token_bucket import TokenBucket

TIMEOUT_MS = 10_000.0


def endpoints(count, slots=4, data_center="papine"):
    """Return this many endpoints, each with its own address."""
    return tuple(Endpoint(f"10.0.0.{index}:80", data_center, slots) for index in range(count))


class RouterDriver:
    """A router, its clock, and the attempts, rejections and messages that it has produced."""

    def __init__(self, fleet=(), policy=None, seed=1, peer_bytes=None):
        """Create a router with these endpoints; `peer_bytes` limits what it sends a second."""
        bucket = TokenBucket(peer_bytes, peer_bytes) if peer_bytes else None
        self.router = ServiceRouter(random.Random(seed), "brathwaite/booking", bucket)
        self.now_ms = 0.0
        self.active_attempts = {}
        self.starts = Counter()
        self.rejected = {}
        self.arrived_ms = {}
        self.rejected_after_ms = {}
        self.sent_messages = []
        self.probes = []
        self.attempts = Counter()
        self.arrived = 0
        if fleet:
            self.do(EndpointsChanged(tuple(fleet), policy or Policy()))

    def do(self, event):
        """Pass an event to the router; record its actions and return them."""
        actions = self.router.handle(event, self.now_ms)
        for action in actions:
            match action:
                case Start(request_id, address):
                    assert (
                        request_id not in self.active_attempts
                    ), "attempt started while another one of the request is in flight"
                    self.active_attempts[request_id] = (address, self.now_ms)
                    self.starts[address] += 1
                    self.attempts[request_id] += 1
                case Reject():
                    assert action.request_id not in self.rejected, "request rejected twice"
                    self.rejected[action.request_id] = action
                    waited_ms = self.now_ms - self.arrived_ms[action.request_id]
                    self.rejected_after_ms[action.request_id] = waited_ms
                case SendMessage():
                    self.sent_messages.append(action)
                case Probe(address):
                    self.probes.append((self.now_ms, address))
        return actions

    def arrive(self, priority=Priority.NORMAL, idempotent=True, timeout_ms=TIMEOUT_MS, attempt=1):
        """Add a request and return its identifier."""
        self.arrived += 1
        request_id = f"r{self.arrived}"
        deadline_ms = self.now_ms + timeout_ms
        self.arrived_ms[request_id] = self.now_ms
        self.do(Arrival(request_id, priority, deadline_ms, idempotent, attempt))
        return request_id

    def end(self, request_id, result=AttemptResult.ANSWERED, latency_ms=None, load=None):
        """End the attempt of a request; a request that got no answer is to be retried."""
        address, started_ms = self.active_attempts.pop(request_id)
        wants_retry = result in (AttemptResult.REFUSED, AttemptResult.NOT_SENT, AttemptResult.CUT)
        latency_ms = self.now_ms - started_ms if latency_ms is None else latency_ms
        return self.do(AttemptEnded(request_id, address, result, latency_ms, load, wants_retry))

    def waiting(self, request_id):
        """Return whether a request has been neither started nor rejected."""
        return request_id not in self.attempts and request_id not in self.rejected

    def receive(self, vm, message):
        """Pass a message of another VM to the router."""
        return self.do(PeerMessageReceived(vm, message))

    def pass_time(self, ms, step_ms=10.0):
        """Advance the clock, with a tick after each step."""
        end_ms = self.now_ms + ms
        while self.now_ms < end_ms:
            self.now_ms = min(end_ms, self.now_ms + step_ms)
            self.do(Tick())

    def run(self, ms, every_ms, work_ms, result_of=None):
        """Add requests at a fixed interval for a period of time, and end those that are due.

        `work_ms` returns the time that a request takes at an address, and `result_of` the result of
        an attempt there; without it every attempt is answered.
        """
        end_ms = self.now_ms + ms
        next_ms = self.now_ms
        next_tick_ms = self.now_ms
        while self.now_ms < end_ms:
            self.now_ms += 1.0
            self._end_due_attempts(work_ms, result_of)
            while next_ms <= self.now_ms:
                self.arrive()
                next_ms += every_ms
            if next_tick_ms <= self.now_ms:
                self.do(Tick())
                next_tick_ms += 10.0

    def _end_due_attempts(self, work_ms, result_of):
        due = [
            request_id
            for request_id, (address, started_ms) in self.active_attempts.items()
            if self.now_ms - started_ms >= work_ms(address)
        ]
        for request_id in due:
            address = self.active_attempts[request_id][0]
            result = result_of(address) if result_of else AttemptResult.ANSWERED
            self.end(request_id, result)


def typical_work(seed=7):
    """Return a function that returns a random work time of a request at an address."""
    source = random.Random(seed)
    return lambda address: 20.0 * source.uniform(0.6, 1.4)
