"""Decides when a VM asks the store itself whether its state is still current.

Layer: coordination.  Each VM holds its state on a lease: the state must be confirmed as current
within a share of the time in which a change has to be in force.  Normally the VMs that read the
store see to that.  Where their messages don't arrive, whatever the reason, a VM reads the store
before the time is over, so its bound depends on no other VM.

Where the leases of many VMs run out together, they ask in the order of a ranking.  The first ones
of a data centre report the result to the others, which then have no need to ask.

>>> from cloverhook.gateway.members import Members
>>> schedule = RefreshSchedule("vm-1", Members("vm-1", "papine", 0.0), {Feed.CONFIG: 2_000.0}, 0.0)
>>> [schedule.is_due(Feed.CONFIG, age_ms, 0.0, 9_000.0) for age_ms in (1_500.0, 1_700.0)]
[False, True]
"""

import math
import random
from collections.abc import Mapping

from cloverhook.gateway.members import Members
from cloverhook.gateway.rendezvous_hash import rendezvous_rank
from cloverhook.gateway.store import Feed

__all__ = ["RefreshSchedule"]

LEASE_SHARE = 0.8
"""The lease as a share of the bound; the rest is for the turns, the call and the result."""
BEHIND_SHARE = 0.4
"""A VM that knows of a newer state reads it from the store if it hasn't received it from another VM
after this share of the bound."""
TURNS_SHARE = 0.1
TURN_MS = 25.0
"""How much longer each VM waits than the one ranked before it, at most up to that share of the
bound: the first ones report their result meanwhile."""
REPORTING_RANKS = 4
RETRY_MS = (1_000.0, 2_000.0)


class RefreshSchedule:
    """The leases of one VM on the feeds of the store; times are monotonic."""

    def __init__(
        self, own_vm: str, members: Members, bounds_ms: Mapping[Feed, float], start_ms: float
    ) -> None:
        """`bounds_ms` holds the time in which a change of each feed has to be in force.

        Until a feed has been confirmed once, its lease begins at `start_ms`.
        """
        self._own_vm = own_vm
        self._members = members
        self._bounds_ms = bounds_ms
        self._start_ms = start_ms
        self._retry_ms: dict[Feed, float] = {}

    def is_due(self, feed: Feed, age_ms: float, behind_ms: float, now_ms: float) -> bool:
        """Return whether this VM should read a feed now.

        `age_ms` is how old the state may be, and `behind_ms` for how long a newer one is known.
        """
        if now_ms < self._retry_ms.get(feed, -math.inf):
            return False
        bound_ms = self._bounds_ms[feed]
        age_ms = min(age_ms, now_ms - self._start_ms)
        over_ms = max(
            age_ms - LEASE_SHARE * bound_ms, min(behind_ms, age_ms) - BEHIND_SHARE * bound_ms
        )
        if over_ms < 0.0:
            return False
        return over_ms >= min(TURN_MS * self._rank(now_ms), TURNS_SHARE * bound_ms)

    def reports_result(self, now_ms: float) -> bool:
        """Return whether this VM is among the first that ask, and reports the result."""
        return self._rank(now_ms) < REPORTING_RANKS

    def has_failed(self, feed: Feed) -> bool:
        """Return whether the last attempt to read a feed has failed."""
        return feed in self._retry_ms

    def record_result(self, feed: Feed, answered: bool, now_ms: float) -> None:
        """Record whether the store has answered."""
        if answered:
            self._retry_ms.pop(feed, None)
        else:
            self._retry_ms[feed] = now_ms + random.uniform(*RETRY_MS)

    def _rank(self, now_ms: float) -> int:
        neighbours = (item.vm for item in self._members.local_members() if item.is_alive(now_ms))
        return rendezvous_rank("refresh", self._own_vm, neighbours)
