"""The state of a gateway, each item with its version: configuration, evacuations, servers, loads.

Layer: state.  Every update passes through here, whether it comes from the store, from a peer or
from this VM's own observation. The newest version wins, and no item returns to an older version
during the life of the process.
"""

from collections import Counter, deque

from cloverhook.gateway.backend_server import BackendServer, ServerRecord
from cloverhook.gateway.backoffs import Backoffs
from cloverhook.gateway.config_codec import EncodedConfig
from cloverhook.gateway.drain_notices import DrainNotices
from cloverhook.gateway.evacuation import Evacuations
from cloverhook.gateway.freshness import Freshness
from cloverhook.gateway.registry import DRAIN_MS, Registry
from cloverhook.gateway.routes import GatewayConfig
from cloverhook.gateway.server_load import LoadTable
from cloverhook.gateway.versions import era_of

__all__ = ["GatewayState"]

STORE_RECOVERY_MS = 2_000.0
"""For this long after the store's return, entries that vanish may have expired during its
outage."""
PAUSES_LIMIT = 64
EVACUATION_GRACE_MS = 3_000.0
"""For this long after the store has returned from an older copy, evacuations missing from that copy
stay in force, because operators write them again."""
CAPACITY_CHECK_MS = 250.0
LOST_SHARE = 0.5
"""A data centre that has lost more than this share of its endpoints has no room for its own
requests."""


class GatewayState:
    """The configuration in force, the evacuated data centres, the registry and the loads."""

    def __init__(self, drain_ms: float = DRAIN_MS) -> None:
        self.config: GatewayConfig | None = None
        self.config_at_ms = 0.0
        self.config_as_of = -1
        self.config_freshness = Freshness()
        self._encoded: EncodedConfig | None = None
        self.evacuations = Evacuations()
        self.drain_ms = drain_ms
        self.registry = Registry(drain_ms)
        self.backoffs = Backoffs()
        self.drain_notices = DrainNotices(drain_ms)
        self.load_table = LoadTable()
        self._store_recovered_ms = -STORE_RECOVERY_MS
        self._pauses: deque[tuple[float, float]] = deque(maxlen=PAUSES_LIMIT)
        self._begun_era = 0
        self._retained_evacuations: frozenset[str] = frozenset()
        self._retained_until_ms = 0.0
        self._remote_capacity_needed = False
        self._capacity_check_due_ms = 0.0

    @property
    def config_version(self) -> int:
        """The version of the configuration in force, or -1 if there is none."""
        return -1 if self.config is None else self.config.version

    @property
    def config_versions(self) -> tuple[int, int]:
        """The versions of the parts of the configuration feed: configuration and evacuations."""
        return self.config_version, self.evacuations.version

    def confirm_config(self, versions: tuple[int, int], as_of_ms: float, source: str = "") -> None:
        """Record that the store's configuration feed held nothing newer at a time."""
        self.config_freshness.confirm(versions, as_of_ms, self.config_versions, source)

    @property
    def store_era(self) -> int:
        """The latest era of the store that anything known here belongs to."""
        known_version = max(self.registry.as_of, self.evacuations.version)
        return max(self._begun_era, era_of(known_version))

    def begin_store_era(self, era: int, now_ms: float) -> None:
        """Record that the store has returned from an older copy.

        Entries missing from that copy may soon be written again.
        """
        self._begun_era = era
        self._store_recovered_ms = now_ms

    @property
    def can_serve(self) -> bool:
        """Whether requests can be served: there is a configuration, and at least one endpoint."""
        return self.config is not None and len(self.registry) > 0

    def apply_config(self, config: GatewayConfig, now_ms: float) -> bool:
        """Put a configuration in force if it is newer; return whether it is."""
        if config.version <= self.config_version:
            return False
        self.config = config
        self.config_at_ms = now_ms
        self.config_freshness.advance(self.config_versions)
        return True

    def encoded_config(self) -> EncodedConfig | None:
        """Return the newest configuration as encoded for peers, even before it is in force."""
        known = -1 if self._encoded is None else self._encoded.version
        if self.config is not None and self.config_version > known:
            self._encoded = EncodedConfig.from_config(self.config)
        return self._encoded

    def relay_config(self, encoded: EncodedConfig) -> None:
        """Keep an encoded configuration to relay it to peers while it is decoded here."""
        known = self.encoded_config()
        if known is None or encoded.version > known.version:
            self._encoded = encoded

    def stop_relaying_config(self, encoded: EncodedConfig) -> None:
        """Stop relaying a configuration that can't be decoded."""
        if self._encoded is encoded:
            self._encoded = None

    def needs_remote_capacity(self, now_ms: float) -> bool:
        """Return whether some data centre can't serve its own requests.

        Most of its endpoints are then evacuated, unreachable or about to leave the registry, and
        its requests have to be placed in remote data centres.
        """
        if now_ms >= self._capacity_check_due_ms:
            self._capacity_check_due_ms = now_ms + CAPACITY_CHECK_MS
            self._remote_capacity_needed = self._lacks_capacity(now_ms)
        return self._remote_capacity_needed

    def is_leaving(self, server: BackendServer) -> bool:
        """Return whether a backend server is draining, or its entry is in its grace period."""
        has_given_notice = server.incarnation in self.drain_notices
        return server.draining or has_given_notice or self.registry.in_grace_period(server)

    def _lacks_capacity(self, now_ms: float) -> bool:
        total, lost = Counter[str](), Counter[str]()
        for server in self.registry.servers():
            total[server.data_center] += 1
            load = self.load_table.get(server.incarnation)
            out_of_reach = load is not None and load.unreachable(now_ms)
            if out_of_reach or self.is_leaving(server):
                lost[server.data_center] += 1
        if any(name in total for name in self.evacuated()):
            return True
        return any(lost[name] > LOST_SHARE * count for name, count in total.items())

    def cold_per_s(self, service: str) -> float:
        """Return the requests a second that a cold endpoint of a service can serve; 0: no limit."""
        spec = None if self.config is None else self.config.services.get(service)
        return 0.0 if spec is None else spec.cold_per_s

    def apply_evacuations(
        self, found: Evacuations, now_ms: float, revoked: frozenset[str] = frozenset()
    ) -> bool:
        """Apply a later version; return whether the evacuated data centres have changed.

        A version of a later era may lack the last writes, so the evacuations missing from it stay
        in force for `EVACUATION_GRACE_MS`, except those that operators have `revoked` since.
        """
        if found.version <= self.evacuations.version:
            return False
        before = self.evacuated()
        if era_of(found.version) > era_of(self.evacuations.version) and before:
            self._retained_evacuations = before - found.data_centers
            self._retained_until_ms = now_ms + EVACUATION_GRACE_MS
        self._retained_evacuations -= revoked
        self.evacuations = found
        self.config_freshness.advance(self.config_versions)
        return before != self.evacuated()

    def evacuated(self) -> frozenset[str]:
        """Return the data centres whose endpoints get no requests."""
        return self.evacuations.data_centers | self._retained_evacuations

    def store_was_unavailable(self, now_ms: float) -> bool:
        """Return whether the store was unavailable until a short time ago.

        While this process did not run, missing confirmations show nothing about the store.
        """
        regained_ms = self.registry.position.freshness.regained_after_outage_ms(self._pauses)
        recovered_ms = max(self._store_recovered_ms, regained_ms)
        return now_ms - recovered_ms < STORE_RECOVERY_MS

    def record_process_pause(self, began_ms: float, ended_ms: float) -> None:
        """Record that this process did not run, so that it could get no confirmation."""
        self._pauses.append((began_ms, ended_ms))

    def apply_server_record(self, record: ServerRecord, now_ms: float) -> bool:
        """Apply the store's record of a backend server; return whether anything has changed."""
        return self.registry.apply(record, now_ms, self.store_was_unavailable(now_ms))

    def apply_server_list(
        self,
        records: tuple[ServerRecord, ...],
        end_offset: int,
        now_ms: float,
        follows_store: bool = True,
        as_of_ms: float | None = None,
    ) -> tuple[str, ...]:
        """Apply a full snapshot of the store's list; return the names that changed or vanished.

        A snapshot that ends before what is known was read from a copy that lags, and is ignored.
        Other VMs rely on a VM that follows the store (`follows_store`) from then on, and request
        all that it knows.  The snapshot holds everything that was written before `as_of_ms`, which
        is now if it isn't given.
        """
        newest_offset = end_offset - 1
        if newest_offset < self.registry.as_of:
            return ()
        recovering = self.store_was_unavailable(now_ms)
        touched = self.registry.apply_snapshot(records, newest_offset, now_ms, recovering, as_of_ms)
        if follows_store:
            self.registry.position.assume_last_change()
        return touched

    def confirm_config_as_of(self, config: int, evacuations: int, as_of: int) -> None:
        """Record another VM's report that nothing newer was written up to `as_of`.

        `config` and `evacuations` are the versions that the other VM has.
        """
        if config <= self.config_version and evacuations <= self.evacuations.version:
            self.config_as_of = max(self.config_as_of, as_of)

    def expire(self, now_ms: float) -> tuple[str, ...]:
        """Drop backend servers whose grace period is over; return the incarnations that ended."""
        if self._retained_evacuations and now_ms >= self._retained_until_ms:
            self._retained_evacuations = frozenset()
        gone = self.registry.expire_grace_periods(now_ms)
        for incarnation in gone:
            self.load_table.forget(incarnation)
        return gone
