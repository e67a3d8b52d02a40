"""Quarantine for requests that appear to crash the endpoints that run them.

Layer: coordination.  A request that crashes every endpoint that runs it costs one endpoint each
time it is sent, and its caller may send it again through any VM.  A crash also ends the other
requests that the endpoint was running, so a single crash is weak evidence against any of them.
What counts is consecutive crashes: if a copy is sent while n crashes are known and its endpoint
crashes, the count becomes n + 1.  Crashes of copies that were in flight at the same time therefore
count only once.

After the first crash, the fleet sends one copy at a time: a VM claims a lease on the next trial and
announces the claim to the other VMs.  From the second crash on, the request is in quarantine: no VM
sends it until the quarantine has expired.  Then a single copy is tried again, and if that one
crashes its endpoint too, the next quarantine is longer.  A successful response clears the request
at once for the whole fleet.  Crashes are not counted against a request that was answered recently:
if endpoints fail for another reason, a frequent request has been answered by other endpoints.

>>> vm = Quarantine("vm-1")
>>> keys = RequestKeys(11, 12)
>>> _ = vm.record_crash(keys, vm.crash_counts(keys), 0.0)
>>> vm.send_permission(keys, 1.0), vm.try_begin_send(keys, 1.0)
(<SendPermission.OWN_LEASE: 1>, True)
>>> _ = vm.record_crash(keys, vm.crash_counts(keys), 50.0)
>>> vm.send_permission(keys, 51.0), vm.send_permission(keys, 30_000.0)
(<SendPermission.QUARANTINED: 4>, <SendPermission.LEASE_FREE: 2>)
"""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple

from cloverhook.gateway.peer_rows import CrashRecord
from cloverhook.gateway.rendezvous_hash import rendezvous_weight
from cloverhook.gateway.request_key import RequestKeys
from cloverhook.gateway.served_requests import ServedRequests

__all__ = ["CRASH_RECORDS_PER_DATAGRAM", "Quarantine", "SendPermission", "UpdateResponse"]

LEASE_MS = 1_000.0
"""How long a VM that has claimed the lease has for sending its copy and learning the outcome."""
CLAIM_SETTLE_MS = 10.0
"""VMs that see a crash at the same moment all claim the lease; within this time each of them has
received the competing claims."""
QUARANTINE_MS = (20_000.0, 120_000.0, 1_200_000.0, 14_400_000.0, 86_400_000.0)
"""The length of the quarantine after the second, third, ... crash; the last value is used for all
further crashes."""
EXPIRY_MS = 600_000.0
"""A crash record is dropped if its request has crashed no endpoint for this long and is not in
quarantine; a later crash then counts as a first one."""
SUSPECTS_LIMIT = 1_024
CRASH_RECORDS_PER_DATAGRAM = 40
"""The number of crash records that fit into one datagram."""


class SendPermission(IntEnum):
    """Whether this VM may send a request now; of the values for several keys, the greatest applies.

    `CLEAR`: no crash is recorded.  `OWN_LEASE`: this VM holds the lease and has not used it.
    `LEASE_FREE`: the lease can be claimed.  `LEASE_TAKEN`: another copy is being tried.
    `QUARANTINED`: no VM may send the request.
    """

    CLEAR = 0
    OWN_LEASE = 1
    LEASE_FREE = 2
    LEASE_TAKEN = 3
    QUARANTINED = 4


@dataclass(slots=True)
class _Suspect:
    """A request that has crashed endpoints; `lease_holder` is the VM that may try the next copy."""

    crashes: int
    until_ms: float
    updated_ms: float
    lease_holder: str = ""
    claimed_ms: float = 0.0
    lease_used: bool = False


class UpdateResponse(NamedTuple):
    """The messages that an update of another VM calls for.

    `reply` goes back to that VM, and `relay` to all VMs.
    """

    reply: CrashRecord | None = None
    relay: CrashRecord | None = None


class Quarantine:
    """The requests suspected of crashing endpoints; times are on the monotonic clock."""

    def __init__(self, own_vm: str) -> None:
        self._own_vm = own_vm
        self._suspects: dict[int, _Suspect] = {}
        self._served = ServedRequests()

    def __len__(self) -> int:
        """Return the number of suspected requests, in quarantine or not."""
        return len(self._suspects)

    def quarantined(self, now_ms: float) -> list[CrashRecord]:
        """Return the requests that are in quarantine, those with the most crashes first."""
        return [
            item for item in self._by_crashes(now_ms) if item.crashes > 1 and item.hold_ms > 0.0
        ]

    def crash_counts(self, keys: RequestKeys) -> tuple[int, ...]:
        """Return the number of consecutive crashes known for each key."""
        found = (self._suspects.get(key) for key in keys)
        return tuple(0 if item is None else item.crashes for item in found)

    def send_permission(self, keys: RequestKeys, now_ms: float) -> SendPermission:
        """Return whether this VM may send a request now."""
        if not self._suspects:
            return SendPermission.CLEAR
        return max(self._permission_for(key, now_ms) for key in keys)

    def remaining_ms(self, keys: RequestKeys, now_ms: float) -> float:
        """Return the time until the lease on a request, or its quarantine, expires."""
        found = (self._suspects.get(key) for key in keys)
        return max((item.until_ms - now_ms for item in found if item is not None), default=0.0)

    def claim_settled_ms(self, keys: RequestKeys) -> float:
        """Return the time from which a claim of this VM is known to any VM that claimed as well."""
        found = (self._suspects.get(key) for key in keys)
        return max(
            (item.claimed_ms + CLAIM_SETTLE_MS for item in found if item is not None), default=0.0
        )

    def claim(self, keys: RequestKeys, now_ms: float) -> list[CrashRecord]:
        """Claim the lease for each key where it is free; return the updates for the other VMs."""
        claimed = [
            key for key in keys if self._permission_for(key, now_ms) is SendPermission.LEASE_FREE
        ]
        return [self._claim(key, now_ms) for key in claimed]

    def try_begin_send(self, keys: RequestKeys, now_ms: float) -> bool:
        """Return whether a copy may be sent now; if so, this uses up the lease."""
        if not self._suspects:
            return True
        if self.send_permission(keys, now_ms) > SendPermission.OWN_LEASE:
            return False
        for item in filter(None, map(self._suspects.get, keys)):
            item.lease_used = True
        return True

    def record_crash(
        self, keys: RequestKeys, known: tuple[int, ...], now_ms: float
    ) -> list[CrashRecord]:
        """Record that an endpoint has crashed while it ran a request of this VM.

        `known` holds the crash counts that were known when the request was sent.  Returns the
        updates for the other VMs.
        """
        update = []
        for key, before in zip(keys, known, strict=True):
            if self._served.has(key, now_ms):
                continue
            item = self._suspects.get(key)
            if item is None or before + 1 > item.crashes:
                update.append(self._add_crash(key, before + 1, now_ms))
            elif item.crashes == 1 and self._may_claim(key, item, self._own_vm, now_ms):
                update.append(self._claim(key, now_ms))
        return update

    def record_success(self, keys: RequestKeys, now_ms: float) -> list[CrashRecord]:
        """Record a successful response; if it clears the request, return updates for other VMs."""
        for key in keys:
            self._served.add(key, now_ms)
        if not self._suspects:
            return []
        cleared = [key for key in keys if self._suspects.pop(key, None) is not None]
        return [CrashRecord(key, 0) for key in cleared]

    def apply_update(self, vm: str, update: CrashRecord, now_ms: float) -> UpdateResponse:
        """Apply another VM's update on a request; return what to reply and what to relay."""
        key, known = update.key, self._suspects.get(update.key)
        if not update.crashes:
            self._served.add(key, now_ms)
            self._suspects.pop(key, None)
            # The other VMs hold the request back because of this VM's claim.
            claimed_here = known is not None and known.lease_holder == self._own_vm
            return UpdateResponse(relay=update if claimed_here else None)
        if self._served.has(key, now_ms):
            return UpdateResponse(reply=CrashRecord(key, 0))
        if known is not None and update.crashes < known.crashes:
            return UpdateResponse(reply=self._crash_record(key, known, now_ms))
        self._adopt(vm, update, now_ms)
        return UpdateResponse()

    def crash_records(self, now_ms: float) -> list[CrashRecord]:
        """Return the crash records to send to a new VM, those with the most crashes first."""
        return self._by_crashes(now_ms)[:CRASH_RECORDS_PER_DATAGRAM]

    def remove_expired(self, now_ms: float) -> list[int]:
        """Remove the crash records that have expired, and return their keys."""
        old = [
            key
            for key, item in self._suspects.items()
            if now_ms > max(item.until_ms, item.updated_ms + EXPIRY_MS)
        ]
        for key in old:
            del self._suspects[key]
        return old

    def _adopt(self, vm: str, update: CrashRecord, now_ms: float) -> None:
        key, known = update.key, self._suspects.get(update.key)
        until_ms = now_ms + min(update.hold_ms, _quarantine_ms(update.crashes))
        if known is None or update.crashes > known.crashes:
            known = self._put(key, _Suspect(update.crashes, until_ms, now_ms, claimed_ms=now_ms))
            known.lease_holder = vm if update.is_claim else ""
        elif update.is_claim:
            known.updated_ms = now_ms
            if not known.lease_holder or self._may_claim(key, known, vm, now_ms):
                known.until_ms, known.lease_holder, known.lease_used = until_ms, vm, False
                known.claimed_ms = now_ms
        elif until_ms > known.until_ms and update.crashes > 1:
            known.until_ms, known.lease_holder = until_ms, ""

    def _by_crashes(self, now_ms: float) -> list[CrashRecord]:
        found = sorted(self._suspects.items(), key=lambda pair: -pair[1].crashes)
        return [self._crash_record(key, item, now_ms) for key, item in found]

    def _permission_for(self, key: int, now_ms: float) -> SendPermission:
        item = self._suspects.get(key)
        if item is None:
            return SendPermission.CLEAR
        if now_ms >= item.until_ms:
            return SendPermission.LEASE_FREE
        if _is_quarantined(item, now_ms):
            return SendPermission.QUARANTINED
        ours = item.lease_holder == self._own_vm and not item.lease_used
        return SendPermission.OWN_LEASE if ours else SendPermission.LEASE_TAKEN

    def _add_crash(self, key: int, crashes: int, now_ms: float) -> CrashRecord:
        item = self._put(key, _Suspect(crashes, now_ms + _quarantine_ms(crashes), now_ms))
        if crashes == 1:
            return self._claim(key, now_ms)
        return self._crash_record(key, item, now_ms)

    def _claim(self, key: int, now_ms: float) -> CrashRecord:
        item = self._suspects[key]
        item.lease_holder, item.lease_used = self._own_vm, False
        item.claimed_ms = item.updated_ms = now_ms
        item.until_ms = now_ms + LEASE_MS
        return CrashRecord(key, item.crashes, LEASE_MS, is_claim=True)

    @staticmethod
    def _may_claim(key: int, item: _Suspect, vm: str, now_ms: float) -> bool:
        """Return whether a VM may take the lease.

        It may if the lease is free, or if its claim competes with another VM's claim and wins.
        A claim older than `CLAIM_SETTLE_MS` is final, as its VM may already have sent the request.
        """
        if now_ms >= item.until_ms:
            return True
        settled = now_ms >= item.claimed_ms + CLAIM_SETTLE_MS
        return (
            not settled and vm != item.lease_holder and _has_precedence(key, vm, item.lease_holder)
        )

    def _put(self, key: int, item: _Suspect) -> _Suspect:
        if key not in self._suspects and len(self._suspects) >= SUSPECTS_LIMIT:
            del self._suspects[_weakest(self._suspects.items())]
        self._suspects[key] = item
        return item

    def _crash_record(self, key: int, item: _Suspect, now_ms: float) -> CrashRecord:
        return CrashRecord(key, item.crashes, max(0.0, item.until_ms - now_ms))


def _is_quarantined(item: _Suspect, now_ms: float) -> bool:
    return item.crashes > 1 and not item.lease_holder and now_ms < item.until_ms


def _quarantine_ms(crashes: int) -> float:
    if crashes < 2:
        return LEASE_MS
    return QUARANTINE_MS[min(crashes - 2, len(QUARANTINE_MS) - 1)]


def _has_precedence(key: int, vm: str, other: str) -> bool:
    """Return whether a VM has precedence over another one; all VMs compute the same result."""
    return rendezvous_weight(str(key), vm) > rendezvous_weight(str(key), other)


def _weakest(items: Iterable[tuple[int, _Suspect]]) -> int:
    """Return the key with the fewest crashes, and among equals the least recently updated one."""
    return min(items, key=lambda pair: (pair[1].crashes, pair[1].updated_ms))[0]
