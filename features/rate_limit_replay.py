"""Replays, without sockets, endpoints that advertise rate limits, under a surplus of requests."""

import random

from cloverhook.gateway.backend_server import BackendServer
from cloverhook.gateway.rate_limits import RateLimits

STEP_MS = 20.0
LIST_MS = 100.0
PLAY_MS = 10_000.0
WINDOW_MS = 4_000.0
CONTACT_MS = 3_000.0
MAX_DETECTION_MS = 2_500.0
"""The longest time for which the other VMs still list a VM that has stopped."""
ENDPOINTS = 3
DATA_CENTER = "papine"


class RateLimitReplay:
    """Some VMs, each with its own list of the others, that send as much as their limits allow."""

    def __init__(self, vms, per_s, changing_share, seed):
        self.random = random.Random(seed)
        self.per_s = per_s
        self.changing_share = changing_share
        self.names = [f"vm-{number}" for number in range(vms)]
        self.alive = set(self.names)
        self.gone_ms = {}
        self.lists = {}
        self.now_ms = 0.0
        self.limits = {name: self._limits(name) for name in self.names}
        self.servers = [
            BackendServer(f"i-{number}", "orders", "10.0.0.1:1", DATA_CENTER)
            for number in range(ENDPOINTS)
        ]
        self.arrivals = {server.name: [] for server in self.servers}
        for limits in self.limits.values():
            self._record_limits(limits)

    def _limits(self, name):
        return RateLimits(name, lambda server, now_ms: self._cached_list(name))

    def _record_limits(self, limits):
        for server in self.servers:
            limits.record_limit(server.incarnation, self.per_s, self.now_ms)

    def _cached_list(self, name):
        """Return the VMs that one considers alive, including stopped VMs until it detects that.

        A list is rebuilt every `LIST_MS`.
        """
        period = self.now_ms // LIST_MS
        known = self.lists.get(name)
        if known is None or known[0] != period:
            known = self.lists[name] = period, self._build_list(name)
        return known[1]

    def _build_list(self, name):
        recent = {
            other
            for other, (gone_ms, notice_ms) in self.gone_ms.items()
            if self.now_ms - gone_ms < notice_ms[name]
        }
        return tuple(sorted(self.alive | recent | {name}))

    def play(self):
        """Run until the end, while some VMs stop and start again."""
        while self.now_ms < PLAY_MS:
            self.now_ms += STEP_MS
            if self.now_ms % 2_000 == 0:
                self._change()
            for name in self.random.sample(self.names, len(self.names)):
                if name in self.alive:
                    self._send(name)

    def _change(self):
        for name in self.names:
            if name not in self.alive:
                self.alive.add(name)
                self.limits[name] = self._limits(name)
                self._record_limits(self.limits[name])
                del self.gone_ms[name]
        for name in self.names:
            if self.random.random() < self.changing_share:
                notice_ms = {
                    other: self.random.uniform(0.0, MAX_DETECTION_MS) for other in self.names
                }
                self.alive.discard(name)
                self.gone_ms[name] = (self.now_ms, notice_ms)

    def _send(self, name):
        limits = self.limits[name]
        for server in self.servers:
            if limits.may_send(server, self.now_ms):
                limits.record_sent(server, self.now_ms)
                self.arrivals[server.name].append(self.now_ms)

    def most_in_window(self):
        """Return the most arrivals at an endpoint in any window that ends after `CONTACT_MS`."""
        found = 0
        for times_ms in self.arrivals.values():
            first = 0
            for last, at_ms in enumerate(times_ms):
                while times_ms[first] <= at_ms - WINDOW_MS:
                    first += 1
                if at_ms >= CONTACT_MS:
                    found = max(found, last - first + 1)
        return found

    def least_used_share(self):
        """Return the share of its limit that the endpoint with the fewest arrivals received."""
        fewest = min(len(times_ms) for times_ms in self.arrivals.values())
        return fewest / (self.per_s * PLAY_MS / 1_000)
