"""Drives one `ServiceRouter` by events on a clock of its own, and keeps what it did."""

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
    """Return endpoints with addresses of their own."""
    return tuple(Endpoint(f"10.0.0.{index}:80", data_center, slots) for index in range(count))


class Driver:
    """A router, its clock and what it has started, refused and sent."""

    def __init__(self, fleet=(), policy=None, seed=1, peer_bytes=None):
        """Make a router with these endpoints."""
        bucket = TokenBucket(peer_bytes, peer_bytes) if peer_bytes else None
        self.router = ServiceRouter(random.Random(seed), "brathwaite/booking", bucket)
        self.now_ms = 0.0
        self.open = {}
        self.starts = Counter()
        self.refused = {}
        self.arrived_ms = {}
        self.refused_after_ms = {}
        self.told = []
        self.probes = []
        self.attempts = Counter()
        self.arrived = 0
        if fleet:
            self.do(EndpointsChanged(tuple(fleet), policy or Policy()))

    def do(self, event):
        """Hand the router an event and keep its actions."""
        actions = self.router.handle(event, self.now_ms)
        for action in actions:
            match action:
                case Start(request_id, address):
                    assert request_id not in self.open, "started while in flight"
                    self.open[request_id] = (address, self.now_ms)
                    self.starts[address] += 1
                    self.attempts[request_id] += 1
                case Reject():
                    assert action.request_id not in self.refused, "refused twice"
                    self.refused[action.request_id] = action
                    waited_ms = self.now_ms - self.arrived_ms[action.request_id]
                    self.refused_after_ms[action.request_id] = waited_ms
                case SendMessage():
                    self.told.append(action)
                case Probe(address):
                    self.probes.append((self.now_ms, address))
        return actions

    def arrive(self, priority=Priority.NORMAL, idempotent=True, timeout_ms=TIMEOUT_MS, attempt=1):
        """Let a request arrive and return its identifier."""
        self.arrived += 1
        request_id = f"r{self.arrived}"
        deadline_ms = self.now_ms + timeout_ms
        self.arrived_ms[request_id] = self.now_ms
        self.do(Arrival(request_id, priority, deadline_ms, idempotent, attempt))
        return request_id

    def end(self, request_id, result=AttemptResult.ANSWERED, latency_ms=None, load=None):
        """End the attempt of a request; one without an answer wants another attempt."""
        address, started_ms = self.open.pop(request_id)
        again = result in (AttemptResult.REFUSED, AttemptResult.NOT_SENT, AttemptResult.CUT)
        latency_ms = self.now_ms - started_ms if latency_ms is None else latency_ms
        return self.do(AttemptEnded(request_id, address, result, latency_ms, load, again))

    def waiting(self, request_id):
        """Return whether a request is neither started nor refused."""
        return request_id not in self.attempts and request_id not in self.refused

    def receive(self, vm, message):
        """Hand the router another VM's message."""
        return self.do(PeerMessageReceived(vm, message))

    def pass_time(self, ms, step_ms=10.0):
        """Let time pass with ticks."""
        end_ms = self.now_ms + ms
        while self.now_ms < end_ms:
            self.now_ms = min(end_ms, self.now_ms + step_ms)
            self.do(Tick())

    def run(self, ms, every_ms, work_ms, result_of=None):
        """Let requests arrive for a while.

        `work_ms` gives the time that a request takes at an address, `result_of` how it ends there.
        """
        end_ms = self.now_ms + ms
        next_ms = self.now_ms
        next_tick_ms = self.now_ms
        while self.now_ms < end_ms:
            self.now_ms += 1.0
            self._end_those_due(work_ms, result_of)
            while next_ms <= self.now_ms:
                self.arrive()
                next_ms += every_ms
            if next_tick_ms <= self.now_ms:
                self.do(Tick())
                next_tick_ms += 10.0

    def _end_those_due(self, work_ms, result_of):
        due = [
            request_id
            for request_id, (address, started_ms) in self.open.items()
            if self.now_ms - started_ms >= work_ms(address)
        ]
        for request_id in due:
            address = self.open[request_id][0]
            result = result_of(address) if result_of else AttemptResult.ANSWERED
            self.end(request_id, result)


def usual_work(seed=7):
    """Return a function that gives the time of a request's work at an address."""
    source = random.Random(seed)
    return lambda address: 20.0 * source.uniform(0.6, 1.4)
