"""Which request holds an idempotency key: the rules by which all daemons agree through a log.

Layer: coordination, and free of input and output.  Daemons append claims to one stream of the
platform's log and fold the same records in the same order, so they come to the same holder of each
key.  The first claim holds its key until it is released, or until a claim comes whose time is more
than `window_ms` later.  Both times stand in the records: no daemon's own clock takes part.

A claim that is folded twice counts once, and one that lands after its own release never holds.
A daemon that has missed records can't know who holds a key, until a whole window has passed.

>>> book = ClaimTable("vm-1", window_ms=60_000)
>>> book.claim("key", "c1", 0.0)
>>> batch = book.take_batch(0.0)
>>> book.fold(0, (batch.to_document(),), 0.0)
(Granted(claim_id='c1'),)
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum
from hashlib import blake2b
from typing import Any

__all__ = [
    "ClaimBatch",
    "ClaimTable",
    "ClaimState",
    "Decision",
    "Denied",
    "Granted",
    "Undecidable",
    "key_hash",
]

HASH_BYTES = 16
FORGET_MARGIN_MS = 60_000
FORGET_EVERY_MS = 1_000


class ClaimState(Enum):
    """What is known of the request behind a claim."""

    CLAIMED = "claimed"
    RAN = "ran"
    RELEASED = "released"


@dataclass(frozen=True, slots=True)
class Granted:
    """The claim holds its key: its request may run."""

    claim_id: str


@dataclass(frozen=True, slots=True)
class Denied:
    """Another claim holds the key; `state` is what is known of the other's request."""

    claim_id: str
    holder_id: str
    holder_vm: str
    state: ClaimState


@dataclass(frozen=True, slots=True)
class Undecidable:
    """Records were missed, one of which may hold the key."""

    claim_id: str


Decision = Granted | Denied | Undecidable


Pairs = tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class ClaimBatch:
    """A record of the log: keys with the claims that a daemon asks for, gives up or has run."""

    vm: str
    at_ms: float
    claims: Pairs = ()
    released: Pairs = ()
    ran: Pairs = ()

    @classmethod
    def from_document(cls, document: Mapping[str, Any]) -> "ClaimBatch | None":
        """Read a record of the log; None for one that is no batch of claims."""
        vm, at_ms = document.get("vm"), document.get("at_ms")
        parts = [document.get(name) for name in ("claims", "released", "ran")]
        valid = isinstance(vm, str) and isinstance(at_ms, int) and all(map(_are_pairs, parts))
        if not valid:
            return None
        return cls(vm, at_ms, *(tuple((key, claim_id) for key, claim_id in p) for p in parts))

    def to_document(self) -> dict[str, Any]:
        """Return the record as a JSON object."""
        return {
            "vm": self.vm,
            "at_ms": int(self.at_ms),
            "claims": [list(pair) for pair in self.claims],
            "released": [list(pair) for pair in self.released],
            "ran": [list(pair) for pair in self.ran],
        }


@dataclass(slots=True)
class _Holder:
    claim_id: str
    vm: str
    at_ms: float
    state: ClaimState = ClaimState.CLAIMED
    released: set[str] = field(default_factory=set)


@dataclass(frozen=True, slots=True)
class _Wanted:
    """A claim of this daemon that no decision has been made on."""

    key: str
    at_ms: float


def key_hash(brand: str, service: str, key: bytes) -> str:
    """Return the name under which a key is claimed: keys of two services never meet."""
    digest = blake2b(digest_size=HASH_BYTES)
    for part in (brand.encode(), service.encode(), key):
        digest.update(len(part).to_bytes(4) + part)
    return digest.hexdigest()


class ClaimTable:
    """The claims of all daemons as this one has read them, and its own that are under way."""

    def __init__(self, vm: str, window_ms: float) -> None:
        self._vm = vm
        self._window_ms = window_ms
        self._holders: dict[str, _Holder] = {}
        self._wanted: dict[str, _Wanted] = {}
        self._unsent: dict[str, None] = {}
        self._released: dict[str, str] = {}
        self._ran: dict[str, str] = {}
        self._unsure_until_ms = float("-inf")
        self._forgot_ms = float("-inf")
        self.next_offset = 0

    @property
    def has_claims(self) -> bool:
        """Whether a claim waits to be appended."""
        return bool(self._unsent)

    @property
    def has_batch(self) -> bool:
        """Whether anything waits to be appended."""
        return bool(self._unsent or self._released or self._ran)

    @property
    def undecided(self) -> bool:
        """Whether a claim of this daemon has no decision yet."""
        return bool(self._wanted)

    def claim(self, key: str, claim_id: str, now_ms: float) -> None:
        """Ask for a key under an identifier that no other claim has."""
        self._wanted[claim_id] = _Wanted(key, now_ms)
        self._unsent[claim_id] = None

    def release(self, key: str, claim_id: str) -> None:
        """Give a claim up whose request certainly did not run."""
        self._wanted.pop(claim_id, None)
        self._unsent.pop(claim_id, None)
        self._released[claim_id] = key

    def mark_ran(self, key: str, claim_id: str) -> None:
        """Tell that the request behind a claim has run."""
        self._ran[claim_id] = key

    def take_batch(self, now_ms: float) -> ClaimBatch | None:
        """Return all that waits, or None where nothing does; `append_failed` gives it back."""
        if not self.has_batch:
            return None
        batch = ClaimBatch(
            self._vm,
            now_ms,
            tuple((self._wanted[claim_id].key, claim_id) for claim_id in self._unsent),
            tuple((key, claim_id) for claim_id, key in self._released.items()),
            tuple((key, claim_id) for claim_id, key in self._ran.items()),
        )
        self._unsent.clear()
        self._released.clear()
        self._ran.clear()
        return batch

    def append_failed(self, batch: ClaimBatch) -> None:
        """Take a batch back that may not have landed: what is still wanted goes out again."""
        for _, claim_id in batch.claims:
            if claim_id in self._wanted:
                self._unsent[claim_id] = None
        for key, claim_id in batch.released:
            self._released[claim_id] = key
        for key, claim_id in batch.ran:
            self._ran[claim_id] = key

    def record_gap(self, next_offset: int, now_ms: float) -> None:
        """Go on at an offset, since the records before it can't be read any more."""
        self.next_offset = next_offset
        self._unsure_until_ms = now_ms + self._window_ms

    def fold(
        self, from_offset: int, records: Sequence[Mapping[str, Any]], now_ms: float
    ) -> tuple[Decision, ...]:
        """Take records from the log and return the decisions on this daemon's claims."""
        if from_offset > self.next_offset:
            self.record_gap(from_offset, now_ms)
        decisions: list[Decision] = []
        for record in records[self.next_offset - from_offset :]:
            self.next_offset += 1
            batch = ClaimBatch.from_document(record)
            if batch is not None:
                decisions += self._fold_batch(batch, now_ms)
        self._forget(now_ms)
        return tuple(decisions)

    def _fold_batch(self, batch: ClaimBatch, now_ms: float) -> list[Decision]:
        for key, claim_id in batch.released:
            self._fold_release(key, claim_id, batch)
        for key, claim_id in batch.ran:
            holder = self._holders.get(key)
            if holder is not None and holder.claim_id == claim_id:
                holder.state = ClaimState.RAN
        decisions = []
        for key, claim_id in batch.claims:
            holder = self._fold_claim(key, claim_id, batch)
            if self._wanted.pop(claim_id, None) is not None:
                self._unsent.pop(claim_id, None)
                decisions.append(self._decide(claim_id, holder, now_ms))
        return decisions

    def _fold_claim(self, key: str, claim_id: str, batch: ClaimBatch) -> _Holder:
        holder = self._holders.get(key)
        if holder is None or batch.at_ms - holder.at_ms > self._window_ms:
            holder = self._holders[key] = _Holder(claim_id, batch.vm, batch.at_ms)
        elif holder.state is ClaimState.RELEASED and claim_id not in holder.released:
            released = holder.released
            holder = _Holder(claim_id, batch.vm, batch.at_ms, released=released)
            self._holders[key] = holder
        return holder

    def _fold_release(self, key: str, claim_id: str, batch: ClaimBatch) -> None:
        holder = self._holders.get(key)
        if holder is None:
            holder = _Holder(claim_id, batch.vm, batch.at_ms)
            self._holders[key] = holder
        holder.released.add(claim_id)
        if holder.claim_id == claim_id and holder.state is ClaimState.CLAIMED:
            holder.state = ClaimState.RELEASED

    def _decide(self, claim_id: str, holder: _Holder, now_ms: float) -> Decision:
        if holder.claim_id != claim_id:
            return Denied(claim_id, holder.claim_id, holder.vm, holder.state)
        if now_ms < self._unsure_until_ms:
            return Undecidable(claim_id)
        return Granted(claim_id)

    def _forget(self, now_ms: float) -> None:
        if now_ms - self._forgot_ms < FORGET_EVERY_MS:
            return
        self._forgot_ms = now_ms
        oldest_ms = now_ms - self._window_ms - FORGET_MARGIN_MS
        gone = [key for key, holder in self._holders.items() if holder.at_ms < oldest_ms]
        for key in gone:
            del self._holders[key]


def _are_pairs(value: object) -> bool:
    return isinstance(value, list) and all(
        isinstance(pair, list) and len(pair) == 2 and all(isinstance(item, str) for item in pair)
        for pair in value
    )
