"""Requests under which endpoints have crashed, and when one of them may be sent again.

Layer: coordination.  A request that crashes whoever runs it takes an endpoint with each sending,
and comes again at any VM.  An endpoint's crash also hits what it runs beside, so a single one says
little.  What counts is that crashes follow each other: a sending that began when so many were known
and ends in a crash makes one more.  Crashes of copies that were under way together count once.

After the first crash copies are sent one at a time over the fleet: a VM claims the turn and tells
the others.  From the second on the request is in quarantine: nobody sends it until its time is
over, and then again one copy, whose crash makes the next time longer.  An answer clears the request
at once, for the whole fleet, and nothing is held against a request that was answered lately: when
endpoints fail for another reason, one that comes often has been answered by others.

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

from cloverhook.gateway.peer_messages import CrashRecord
from cloverhook.gateway.ranking import rendezvous_weight
from cloverhook.gateway.request_key import RequestKeys
from cloverhook.gateway.served_requests import ServedRequests

__all__ = ["CRASH_RECORDS_PER_DATAGRAM", "Quarantine", "UpdateResponse", "SendPermission"]

TURN_MS = 1_000.0
"""The VM whose turn it is has so long to send its copy and to learn what became of it."""
SETTLE_MS = 10.0
"""Claims of VMs that have met the crash at the same moment cross within this time."""
QUARANTINE_MS = (20_000.0, 120_000.0, 1_200_000.0, 14_400_000.0, 86_400_000.0)
"""By the crashes beyond the first; the last is repeated."""
FORGET_MS = 600_000.0
"""A request that has crashed nothing for so long, and is not in quarantine, starts anew."""
SUSPECTS_LIMIT = 1_024
CRASH_RECORDS_PER_DATAGRAM = 40
"""So many suspicions fit into a datagram."""


class SendPermission(IntEnum):
    """Whether this VM may send a request now; of several keys the greatest one counts."""

    CLEAR = 0
    OWN_LEASE = 1
    LEASE_FREE = 2
    LEASE_TAKEN = 3
    QUARANTINED = 4


@dataclass(slots=True)
class _Suspect:
    """A request under which endpoints have crashed; `holder` is the VM whose turn it is."""

    crashes: int
    until_ms: float
    touched_ms: float
    holder: str = ""
    claimed_ms: float = 0.0
    used: bool = False


class UpdateResponse(NamedTuple):
    """What another VM's word calls for: an answer to that VM, and what all should hear."""

    reply: CrashRecord | None = None
    relay: CrashRecord | None = None


class Quarantine:
    """What this VM holds against requests; times are on the monotonic clock."""

    def __init__(self, own_vm: str) -> None:
        self._own_vm = own_vm
        self._suspects: dict[int, _Suspect] = {}
        self._served = ServedRequests()

    def __len__(self) -> int:
        """Return how many requests are suspected, in quarantine or not."""
        return len(self._suspects)

    def quarantined(self, now_ms: float) -> list[CrashRecord]:
        """Return the requests that are in quarantine, the gravest first."""
        return [item for item in self._ranked(now_ms) if item.crashes > 1 and item.hold_ms > 0.0]

    def crash_counts(self, keys: RequestKeys) -> tuple[int, ...]:
        """Return how many crashes in a row are known, for each key."""
        found = (self._suspects.get(key) for key in keys)
        return tuple(0 if item is None else item.crashes for item in found)

    def send_permission(self, keys: RequestKeys, now_ms: float) -> SendPermission:
        """Return whether this VM may send a request."""
        if not self._suspects:
            return SendPermission.CLEAR
        return max(self._standing(key, now_ms) for key in keys)

    def remaining_ms(self, keys: RequestKeys, now_ms: float) -> float:
        """Return for how long a request is held or in quarantine."""
        found = (self._suspects.get(key) for key in keys)
        return max((item.until_ms - now_ms for item in found if item is not None), default=0.0)

    def claim_settled_ms(self, keys: RequestKeys) -> float:
        """Return when a claim of this VM is known to those that may have one as well."""
        found = (self._suspects.get(key) for key in keys)
        return max((item.claimed_ms + SETTLE_MS for item in found if item is not None), default=0.0)

    def claim(self, keys: RequestKeys, now_ms: float) -> list[CrashRecord]:
        """Take the turn where it is free; return what to tell the others."""
        claimed = [key for key in keys if self._standing(key, now_ms) is SendPermission.LEASE_FREE]
        return [self._claim(key, now_ms) for key in claimed]

    def try_begin_send(self, keys: RequestKeys, now_ms: float) -> bool:
        """Return whether a copy may be sent at this moment, and use up the turn for it."""
        if not self._suspects:
            return True
        if self.send_permission(keys, now_ms) > SendPermission.OWN_LEASE:
            return False
        for item in filter(None, map(self._suspects.get, keys)):
            item.used = True
        return True

    def record_crash(
        self, keys: RequestKeys, known: tuple[int, ...], now_ms: float
    ) -> list[CrashRecord]:
        """Take it that an endpoint has crashed under a request of this VM.

        `known` are the crashes that were known when it was sent.  Returns what to tell the others.
        """
        update = []
        for key, before in zip(keys, known, strict=True):
            if self._served.has(key, now_ms):
                continue
            item = self._suspects.get(key)
            if item is None or before + 1 > item.crashes:
                update.append(self._raise(key, before + 1, now_ms))
            elif item.crashes == 1 and self._may_take(key, item, self._own_vm, now_ms):
                update.append(self._claim(key, now_ms))
        return update

    def record_success(self, keys: RequestKeys, now_ms: float) -> list[CrashRecord]:
        """Take it that a request was answered well; return what to tell if that clears it."""
        for key in keys:
            self._served.add(key, now_ms)
        if not self._suspects:
            return []
        cleared = [key for key in keys if self._suspects.pop(key, None) is not None]
        return [CrashRecord(key, 0) for key in cleared]

    def apply_update(self, vm: str, update: CrashRecord, now_ms: float) -> UpdateResponse:
        """Take what another VM says of a request; return what to answer and to pass on."""
        key, mine = update.key, self._suspects.get(update.key)
        if not update.crashes:
            self._served.add(key, now_ms)
            self._suspects.pop(key, None)
            # The others hold it because this VM has told them to.
            known_by_us = mine is not None and mine.holder == self._own_vm
            return UpdateResponse(relay=update if known_by_us else None)
        if self._served.has(key, now_ms):
            return UpdateResponse(reply=CrashRecord(key, 0))
        if mine is not None and update.crashes < mine.crashes:
            return UpdateResponse(reply=self._suspicion(key, mine, now_ms))
        self._believe(vm, update, now_ms)
        return UpdateResponse()

    def suspicions(self, now_ms: float) -> list[CrashRecord]:
        """Return what a VM that has just come should know, the gravest first."""
        return self._ranked(now_ms)[:CRASH_RECORDS_PER_DATAGRAM]

    def remove_expired(self, now_ms: float) -> list[int]:
        """Drop what is too old to count, and return the keys."""
        old = [
            key
            for key, item in self._suspects.items()
            if now_ms > max(item.until_ms, item.touched_ms + FORGET_MS)
        ]
        for key in old:
            del self._suspects[key]
        return old

    def _believe(self, vm: str, update: CrashRecord, now_ms: float) -> None:
        key, mine = update.key, self._suspects.get(update.key)
        until_ms = now_ms + min(update.hold_ms, _held_ms(update.crashes))
        if mine is None or update.crashes > mine.crashes:
            mine = self._put(key, _Suspect(update.crashes, until_ms, now_ms, claimed_ms=now_ms))
            mine.holder = vm if update.is_claim else ""
        elif update.is_claim:
            mine.touched_ms = now_ms
            if not mine.holder or self._may_take(key, mine, vm, now_ms):
                mine.until_ms, mine.holder, mine.used = until_ms, vm, False
                mine.claimed_ms = now_ms
        elif until_ms > mine.until_ms and update.crashes > 1:
            mine.until_ms, mine.holder = until_ms, ""

    def _ranked(self, now_ms: float) -> list[CrashRecord]:
        found = sorted(self._suspects.items(), key=lambda pair: -pair[1].crashes)
        return [self._suspicion(key, item, now_ms) for key, item in found]

    def _standing(self, key: int, now_ms: float) -> SendPermission:
        item = self._suspects.get(key)
        if item is None:
            return SendPermission.CLEAR
        if now_ms >= item.until_ms:
            return SendPermission.LEASE_FREE
        if _is_barred(item, now_ms):
            return SendPermission.QUARANTINED
        ours = item.holder == self._own_vm and not item.used
        return SendPermission.OWN_LEASE if ours else SendPermission.LEASE_TAKEN

    def _raise(self, key: int, crashes: int, now_ms: float) -> CrashRecord:
        item = self._put(key, _Suspect(crashes, now_ms + _held_ms(crashes), now_ms))
        if crashes == 1:
            return self._claim(key, now_ms)
        return self._suspicion(key, item, now_ms)

    def _claim(self, key: int, now_ms: float) -> CrashRecord:
        item = self._suspects[key]
        item.holder, item.used = self._own_vm, False
        item.claimed_ms = item.touched_ms = now_ms
        item.until_ms = now_ms + TURN_MS
        return CrashRecord(key, item.crashes, TURN_MS, is_claim=True)

    @staticmethod
    def _may_take(key: int, item: _Suspect, vm: str, now_ms: float) -> bool:
        """Return whether a VM takes the turn: it is free, or two claims cross and its own wins.

        A claim that has settled stands, as its VM may have sent the request.
        """
        if now_ms >= item.until_ms:
            return True
        settled = now_ms >= item.claimed_ms + SETTLE_MS
        return not settled and vm != item.holder and _ranks(key, vm, item.holder)

    def _put(self, key: int, item: _Suspect) -> _Suspect:
        if key not in self._suspects and len(self._suspects) >= SUSPECTS_LIMIT:
            del self._suspects[_least(self._suspects.items())]
        self._suspects[key] = item
        return item

    def _suspicion(self, key: int, item: _Suspect, now_ms: float) -> CrashRecord:
        return CrashRecord(key, item.crashes, max(0.0, item.until_ms - now_ms))


def _is_barred(item: _Suspect, now_ms: float) -> bool:
    return item.crashes > 1 and not item.holder and now_ms < item.until_ms


def _held_ms(crashes: int) -> float:
    if crashes < 2:
        return TURN_MS
    return QUARANTINE_MS[min(crashes - 2, len(QUARANTINE_MS) - 1)]


def _ranks(key: int, vm: str, other: str) -> bool:
    """Return whether a VM goes before another one; all VMs come to the same result."""
    return rendezvous_weight(str(key), vm) > rendezvous_weight(str(key), other)


def _least(items: Iterable[tuple[int, _Suspect]]) -> int:
    """Return the key of what is least grave, and of that the oldest."""
    return min(items, key=lambda pair: (pair[1].crashes, pair[1].touched_ms))[0]
