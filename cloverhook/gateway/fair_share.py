"""Fair shares of a service's capacity among client accounts and kinds of request.

Layer: coordination.  Designed for deployment A: capacity is short for seconds at a time, accounts
differ in size by a factor of 200, and one of them sends up to 8 times its usual load.

The work that each account was given recently is kept for each service, divided by the weight of the
account.  Of the waiting requests of one priority, those of the account with the least come first,
so an account beyond its fair share gets what the others leave unused.

Priorities may keep a kind of request from being served at all.  So the share of requests served is
also measured for each kind: a kind for which it falls to half of the mean is starved, and its
requests come before all others.  An account that was given far more than its fair share comes last
where its requests have the priorities of their routes, as these would let it delay all others.

All operations take constant time, apart from a sweep when a table is full.

>>> shares = FairShare()
>>> shares.record_start("alerts", "mill", 1.0, 100.0, 0.0)
>>> shares.recent_work("alerts", "mill", 2_000.0), shares.recent_work("alerts", "farm", 2_000.0)
(50.0, 0.0)
"""

from dataclasses import dataclass, field
from typing import Any

__all__ = ["FairShare"]

HALF_LIFE_MS = 3_000.0
"""What was served and rejected counts half after this time."""
WORK_HALF_LIFE_MS = 2_000.0
"""Work that was given counts half after this time."""
OVER_SHARE_FACTOR = 1.1
"""An account is over its share if it was given more than this many times its fair share."""
OVER_SHARE_MIN = 0.02
"""It must also exceed that by this share of all work: a small account exceeds its share with any
single request."""
STARVED_SHARE = 0.5
"""A kind is starved if it is served less than this share of the mean, as the requirement is that no
kind is served less than half.  At 0.65, requests of top priority were late for others' sake."""
EVIDENCE_MIN = 3.0
"""With fewer requests than this in the decayed counts, nothing is said about a share."""
TABLE_LIMIT = 2_048
"""The most accounts, and kinds, that are kept for a service."""


@dataclass(slots=True)
class _RecentWork:
    """The work that an account was given, divided by its weight, decayed to `at_ms`."""

    work_ms: float = 0.0
    at_ms: float = 0.0
    weight: float = 1.0

    def at(self, now_ms: float) -> float:
        return self.work_ms * 0.5 ** (max(0.0, now_ms - self.at_ms) / WORK_HALF_LIFE_MS)


@dataclass(slots=True)
class _Counts:
    """Decayed counts of requests served and rejected."""

    served: float = 0.0
    rejected: float = 0.0
    at_ms: float = 0.0

    def add(self, served: bool, now_ms: float) -> None:
        decay = 0.5 ** (max(0.0, now_ms - self.at_ms) / HALF_LIFE_MS)
        self.served = self.served * decay + served
        self.rejected = self.rejected * decay + (not served)
        self.at_ms = now_ms

    def evidence(self, now_ms: float) -> float:
        decay = 0.5 ** (max(0.0, now_ms - self.at_ms) / HALF_LIFE_MS)
        return (self.served + self.rejected) * decay

    @property
    def share(self) -> float:
        """The share of requests served; decay affects both counts alike."""
        return self.served / max(self.served + self.rejected, 1e-9)


@dataclass(slots=True)
class _Service:
    accounts: dict[str, _RecentWork] = field(default_factory=dict)
    all_accounts: _RecentWork = field(default_factory=_RecentWork)
    """The work that all accounts were given, not divided by weights."""
    weights: float = 0.0
    """The sum of the weights of `accounts`."""
    total: _Counts = field(default_factory=_Counts)
    kinds: dict[str, _Counts] = field(default_factory=dict)


class FairShare:
    """The use of each service by account and by kind of request; times are monotonic."""

    def __init__(self) -> None:
        self._services: dict[str, _Service] = {}

    def recent_work(self, service: str, account: str, now_ms: float) -> float:
        """Return the work that an account was given recently, in relation to its weight."""
        state = self._services.get(service)
        recent = None if state is None else state.accounts.get(account)
        return 0.0 if recent is None else recent.at(now_ms)

    def record_start(
        self, service: str, account: str, weight: float, work_ms: float, now_ms: float
    ) -> None:
        """Record that a request of an account got a slot."""
        state = self._services.setdefault(service, _Service())
        recent = state.accounts.get(account)
        if recent is None:
            if len(state.accounts) >= TABLE_LIMIT:
                _drop_oldest(state.accounts)
                state.weights = sum(item.weight for item in state.accounts.values())
            recent = state.accounts[account] = _RecentWork(weight=0.0)
        state.weights += weight - recent.weight
        recent.weight = weight
        for item, amount_ms in ((recent, work_ms / weight), (state.all_accounts, work_ms)):
            item.work_ms, item.at_ms = item.at(now_ms) + amount_ms, now_ms

    def is_over_share(self, service: str, account: str, now_ms: float) -> bool:
        """Return whether an account was given considerably more than its fair share recently."""
        state = self._services.get(service)
        recent = None if state is None else state.accounts.get(account)
        if recent is None:
            return False
        total_ms = state.all_accounts.at(now_ms)
        fair_ms = total_ms * recent.weight / state.weights
        excess_ms = recent.at(now_ms) * recent.weight - OVER_SHARE_FACTOR * fair_ms
        return excess_ms > OVER_SHARE_MIN * total_ms

    def record_outcome(self, service: str, kind: str, served: bool, now_ms: float) -> None:
        """Record whether a request got a slot or was rejected."""
        state = self._services.setdefault(service, _Service())
        state.total.add(served, now_ms)
        counts = state.kinds.get(kind)
        if counts is None:
            if len(state.kinds) >= TABLE_LIMIT:
                _drop_oldest(state.kinds)
            counts = state.kinds[kind] = _Counts()
        counts.add(served, now_ms)

    def is_starved(self, service: str, kind: str, now_ms: float) -> bool:
        """Return whether a kind of request is served much less than the others."""
        state = self._services.get(service)
        counts = None if state is None else state.kinds.get(kind)
        return (
            counts is not None
            and counts.share < STARVED_SHARE * state.total.share
            and counts.evidence(now_ms) >= EVIDENCE_MIN
        )


def _drop_oldest(table: dict[str, Any]) -> None:
    """Drop the half of a table that was changed least recently."""
    for name in sorted(table, key=lambda name: table[name].at_ms)[: TABLE_LIMIT // 2]:
        del table[name]
