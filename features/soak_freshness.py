"""Checks of a soak run on how old the state is on which gateways act.

A gateway process is in touch once it has run undisturbed, and the store has answered, for
`CONTACT_MS`.  From then on it may use a backend server, or lack a route, for the bound at most
after the store has accepted the change.
"""

from dataclasses import dataclass

from cloverhook.clock import monotonic_ms

__all__ = ["FreshnessChecks"]

BOUND_MS = 2_000.0
CONTACT_MS = 3_000.0


@dataclass(frozen=True, slots=True)
class LateUse:
    """A request that a gateway process handled by a state from before a change."""

    process: tuple[str, int, int]
    change: str
    late_ms: float


class FreshnessChecks:
    """Records changes, and which gateway processes act by an older state."""

    def __init__(self, stalls):
        self._stalls = stalls
        self._store_calm_since_ms = monotonic_ms()
        self._running_since_ms = {}
        self._left_ms = {}
        self._config_ms = {}
        self._late = []
        self.checks = 0

    def record_process(self, process):
        """Record that a process has started, or goes on after a pause."""
        self._running_since_ms[process] = monotonic_ms()

    def record_store_trouble(self):
        """Record that the store is in trouble, until `record_store_calm`."""
        self._store_calm_since_ms = float("inf")

    def record_store_calm(self):
        """Record that the store answers all calls from now on."""
        self._store_calm_since_ms = monotonic_ms()

    def record_left(self, incarnation):
        """Record that the store has accepted that a backend server leaves."""
        self._left_ms[incarnation] = monotonic_ms()

    def record_config(self, version):
        """Record that the store has accepted a version of the configuration."""
        self._config_ms[version] = monotonic_ms()

    def overdue_version(self):
        """Return the newest version if it must be in force everywhere by now, or None."""
        version = max(self._config_ms)
        is_overdue = monotonic_ms() - self._config_ms[version] > BOUND_MS
        return version if is_overdue else None

    def record_arrival(self, incarnation, process, sent_ms):
        """Record a request that a process has sent to a backend server at a time or later."""
        if incarnation in self._left_ms:
            change = f"the leaving of {incarnation}"
            self._record(process, change, self._left_ms[incarnation], sent_ms)

    def record_key_used(self, process, key, revoked_ms, sent_ms):
        """Record a request with a key, which was revoked at a time unless that is None."""
        if revoked_ms is not None:
            self._record(process, f"the revocation of {key}", revoked_ms, sent_ms)

    def record_unknown_route(self, process, version, sent_ms):
        """Record that a process has answered 404 for the route that a version has added."""
        self._record(process, f"configuration {version}", self._config_ms[version], sent_ms)

    def _record(self, process, change, changed_ms, sent_ms):
        lost_ms = self._stalls.lost_ms(changed_ms, sent_ms)
        late_ms = sent_ms - changed_ms - lost_ms
        is_calm = self._store_calm_since_ms + CONTACT_MS <= changed_ms
        running_ms = sent_ms - self._running_since_ms.get(process, sent_ms)
        self.checks += 1
        if late_ms > BOUND_MS and is_calm and running_ms >= CONTACT_MS:
            self._late.append(LateUse(process, change, late_ms))

    def violations(self):
        """Yield a description of each use of an older state."""
        for item in self._late:
            yield f"{item.process} acted without {item.change} {item.late_ms:.0f} ms after it"
