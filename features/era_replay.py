"""Replays, without sockets, a store that is restored from older copies while gateways use it.

Some gateways read the store and the others get the state from a peer.  The replay checks that a
gateway that has seen the removal of an endpoint stops using it after the grace period, which an
expiry of other entries within `EXPIRY_WINDOW_MS` may extend.
"""

import random
import zlib
from dataclasses import replace

from cloverhook.gateway.backend_server import BackendServer
from cloverhook.gateway.gateway_state import GatewayState
from cloverhook.gateway.registry import Registry
from cloverhook.gateway.state_fetch import build_state_reply
from cloverhook.gateway.store import Feed, FeedSlice, MemoryStore
from cloverhook.gateway.store_follower import offsets_to_versions
from features import gateway_fleet as fleet

GRACE_PERIOD_MS = 2_400.0
EXPIRY_WINDOW_MS = 1_000.0
"""Entries that vanish within this time of each other share the end of their grace period."""
REPLAY_MS = 30_000
SETTLE_MS = 6_000
REPORT_MS = 1_500


def usable(registry, name):
    """Return whether a registry allows requests to be sent to a backend server."""
    found = registry.of_service(fleet.SERVICE)
    return any(item.name == name and not item.draining for item in found)


class StoreRestoreReplay:
    """A store to which endpoints are added and removed, and the gateways that follow it.

    The first two gateways read the store; the others get the state from a random gateway.
    `violations` holds a gateway's index, an endpoint, when the gateway first saw it removed, and
    when the gateway still used it.
    """

    def __init__(self, vms, seed):
        self.random = random.Random(seed)
        self.store = MemoryStore()
        self.vms = [GatewayState() for _ in range(vms)]
        self.positions = [None] * vms
        self.eras = [0] * vms
        self.sequence = {}
        self.left = set()
        self.removal_seen_ms = {}
        self.now_ms = 0.0
        self.violations = []

    def play(self):
        """Run the replay; in the last `SETTLE_MS` entries are only renewed or expire."""
        while self.now_ms < REPLAY_MS:
            self.now_ms += 100.0
            quiet = self.now_ms > REPLAY_MS - SETTLE_MS
            if not quiet:
                self._change()
            self._report()
            self._expire()
            self._update_gateways(all_gateways=quiet)
            self._check()

    def _change(self):
        choice = self.random.random()
        if choice < 0.1:
            self._write(f"i-{len(self.sequence)}")
        elif choice < 0.15 and len(self.live()) > 2:
            name = self.random.choice(self.live())
            self.left.add(name)
            if self.random.random() < 0.5:
                self._write(name, draining=True)
            self.store.remove_server(name)
        elif choice < 0.17:
            self.store.restore_older_copy({Feed.SERVERS: self.random.randrange(30)})

    def live(self):
        """Return the names of the endpoints that have not been removed."""
        return [name for name in self.sequence if name not in self.left]

    def _write(self, name, draining=False):
        self.sequence[name] = self.sequence.get(name, 0) + 1
        entry = BackendServer(name, fleet.SERVICE, "10.0.0.1:1", "d", sequence=self.sequence[name])
        self.store.put_server(replace(entry, draining=draining))

    def _report(self):
        for name in self.live():
            if self.now_ms % REPORT_MS == 100 * (zlib.crc32(name.encode()) % 15):
                self._write(name)

    def _expire(self):
        """Remove entries of endpoints that have left, at random times, as nothing renews them."""
        newest = {record.name: record.server for record in self.store.log[Feed.SERVERS]}
        for name in self.left:
            if newest.get(name) is not None and not self.random.randrange(45):
                self.store.remove_server(name)

    def _update_gateways(self, all_gateways):
        for index, gateway_state in enumerate(self.vms):
            if all_gateways or self.random.random() < 0.5:
                if index < 2:
                    self._read_store(index)
                else:
                    other = self.vms[self.random.randrange(len(self.vms))]
                    asked = {"registry": gateway_state.registry.version}
                    state = build_state_reply(asked, other, None, self.now_ms)
                    if "registry" in state:
                        gateway_state.registry.adopt(state["registry"], self.now_ms)
            gateway_state.expire(self.now_ms)

    def _read_store(self, index):
        gateway_state, store = self.vms[index], self.store
        if self.eras[index] != store.era:
            self.eras[index], self.positions[index] = store.era, None
            gateway_state.begin_store_era(store.era, self.now_ms)
        log, start = store.log[Feed.SERVERS], self.positions[index]
        if start is None:
            newest = {record.name: record for record in log}
            records = tuple(item for item in newest.values() if item.server is not None)
        else:
            records = tuple(log[start:])
        found = offsets_to_versions(FeedSlice((), records, len(log), era=store.era), store.era)
        if start is None:
            gateway_state.apply_server_list(found.servers, found.end_offset, self.now_ms)
        else:
            for record in found.servers:
                gateway_state.apply_server_record(record, self.now_ms)
        self.positions[index] = len(log)

    def _check(self):
        for index, gateway_state in enumerate(self.vms):
            for name in self.left:
                used = usable(gateway_state.registry, name) and not self._in_grace_period(
                    gateway_state, name
                )
                if not used and name in {item.name for item in gateway_state.registry.servers()}:
                    self.removal_seen_ms.setdefault((index, name), self.now_ms)
                if usable(gateway_state.registry, name):
                    since_ms = self.removal_seen_ms.get((index, name))
                    if (
                        since_ms is not None
                        and self.now_ms - since_ms > GRACE_PERIOD_MS + EXPIRY_WINDOW_MS + 100.0
                    ):
                        self.violations.append((index, name, since_ms, self.now_ms))

    @staticmethod
    def _in_grace_period(gateway_state: GatewayState, name):
        registry: Registry = gateway_state.registry
        return any(
            item.name == name and registry.in_grace_period(item) for item in registry.servers()
        )
