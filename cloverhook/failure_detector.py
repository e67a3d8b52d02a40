"""Failure detector: watches a few neighbours and asks other peers before it suspects one.

Layer: coordination, free of input and output.  It follows the SWIM protocol.  A neighbour that is
silent is pinged, and a few other peers are asked to ping it too, so that a broken network path
between two VMs, or in one direction only, is not mistaken for a lost VM.  If neither this daemon
nor any of those peers receives an answer, the VM becomes suspect.  It can refute the suspicion;
otherwise it is considered lost after a further timeout.
"""

import random
from collections.abc import Collection
from dataclasses import dataclass, replace

from cloverhook.member_events import MemberAction, SendMessage
from cloverhook.members import Member, MemberTable, Status
from cloverhook.messages import Ping, ProbeRequest, ProbeSuccess

__all__ = ["BUSY_TICK_MS", "DetectorTimeouts", "FailureDetector"]

INDIRECT_PROBES = 3
BUSY_TICK_MS = 50.0


@dataclass(frozen=True, slots=True)
class DetectorTimeouts:
    """How long a neighbour may be silent, how long its check takes, and how long it is suspect.

    A daemon that receives nothing from any of its neighbours is probably isolated itself, so it
    multiplies the last two by `isolated_factor`.
    """

    silence_timeout_ms: float = 800
    check_timeout_ms: float = 500
    suspicion_timeout_ms: float = 700
    isolated_factor: float = 3


class FailureDetector:
    """The evidence about each member, and the checks in progress."""

    def __init__(
        self, table: MemberTable, source: random.Random, timeouts: DetectorTimeouts
    ) -> None:
        self._table = table
        self._random = source
        self._timeouts = timeouts
        self._last_message_ms: dict[str, float] = {}
        self._watched_since_ms: dict[str, float] = {}
        self._check_deadlines_ms: dict[str, float] = {}
        self._probe_requesters: dict[str, dict[str, float]] = {}

    def record_message(self, vm: str, now_ms: float) -> tuple[MemberAction, ...]:
        """Record a message from a VM and return the answers to the peers that asked about it."""
        self._last_message_ms[vm] = now_ms
        self._check_deadlines_ms.pop(vm, None)
        member = self._table.get(vm)
        requesters = self._probe_requesters.pop(vm, {})
        if member is None:
            return ()
        answer = ProbeSuccess(vm, member.incarnation)
        return tuple(
            SendMessage(requester, answer)
            for requester, until_ms in requesters.items()
            if now_ms < until_ms
        )

    def record_probe_success(self, message: ProbeSuccess, now_ms: float) -> None:
        """Record that another peer has received a message from a VM's current incarnation."""
        member = self._table.get(message.target)
        if member is not None and message.incarnation >= member.incarnation:
            self._last_message_ms[message.target] = now_ms
            self._check_deadlines_ms.pop(message.target, None)

    def handle_probe_request(
        self, requester: str, target: str, now_ms: float
    ) -> tuple[MemberAction, ...]:
        """Ping a VM at a peer's request; the peer gets an answer when the VM sends a message."""
        member = self._table.get(target)
        if member is None or target == self._table.own.vm:
            return ()
        until_ms = now_ms + 2 * self._timeouts.check_timeout_ms
        self._probe_requesters.setdefault(target, {})[requester] = until_ms
        return (SendMessage(target, Ping()),)

    def start_check(
        self, vm: str, linked: Collection[str], now_ms: float, isolated: bool = False
    ) -> tuple[MemberAction, ...]:
        """Start a check of a member, by direct and indirect pings, unless one is in progress."""
        member = self._table.get(vm)
        if vm in self._check_deadlines_ms or member is None or member.status is not Status.ALIVE:
            return ()
        if vm == self._table.own.vm:
            return ()
        factor = self._timeouts.isolated_factor if isolated else 1
        self._check_deadlines_ms[vm] = now_ms + factor * self._timeouts.check_timeout_ms
        others = sorted(set(linked) - {vm})
        helpers = self._random.sample(others, min(INDIRECT_PROBES, len(others)))
        return (SendMessage(vm, Ping()), *(SendMessage(peer, ProbeRequest(vm)) for peer in helpers))

    def tick(
        self, watched: Collection[str], linked: Collection[str], now_ms: float
    ) -> tuple[tuple[MemberAction, ...], tuple[Member, ...]]:
        """Return the messages that are due, and the members whose status has changed."""
        self._watch(watched, now_ms)
        isolated = len(watched) > 1 and all(self._is_silent(vm, now_ms) for vm in watched)
        actions: list[MemberAction] = []
        for vm in watched:
            if self._is_silent(vm, now_ms):
                actions.extend(self.start_check(vm, linked, now_ms, isolated))
        return tuple(actions), (*self._new_suspects(now_ms), *self._newly_lost(now_ms, isolated))

    def next_wake_ms(self, watched: Collection[str], now_ms: float) -> float:
        """Return when `tick` is next needed, provided that no message arrives before then."""
        if self._check_deadlines_ms or self._table.any_suspected:
            return now_ms + BUSY_TICK_MS
        last_seen_ms = [
            max(self._last_message_ms.get(vm, 0.0), self._watched_since_ms.get(vm, now_ms))
            for vm in watched
            if (member := self._table.get(vm)) is not None and member.status is Status.ALIVE
        ]
        wake_ms = min(last_seen_ms, default=now_ms) + self._timeouts.silence_timeout_ms + 1
        return wake_ms if wake_ms > now_ms else now_ms + BUSY_TICK_MS

    def reset_after_pause(self, now_ms: float) -> None:
        """Discard all evidence: silence during a pause of this process proves nothing."""
        self._last_message_ms.clear()
        self._check_deadlines_ms.clear()
        self._probe_requesters.clear()
        self._watched_since_ms = dict.fromkeys(self._watched_since_ms, now_ms)

    def _watch(self, watched: Collection[str], now_ms: float) -> None:
        self._watched_since_ms = {vm: self._watched_since_ms.get(vm, now_ms) for vm in watched}
        for vm in tuple(self._last_message_ms):
            if self._table.get(vm) is None:
                del self._last_message_ms[vm]

    def _is_silent(self, vm: str, now_ms: float) -> bool:
        last_seen_ms = max(self._last_message_ms.get(vm, 0.0), self._watched_since_ms.get(vm, 0.0))
        return now_ms - last_seen_ms > self._timeouts.silence_timeout_ms

    def _new_suspects(self, now_ms: float) -> list[Member]:
        expired = [vm for vm, until_ms in self._check_deadlines_ms.items() if now_ms >= until_ms]
        found: list[Member] = []
        for vm in expired:
            del self._check_deadlines_ms[vm]
            member = self._table.get(vm)
            if member is not None and member.status is Status.ALIVE:
                found.append(replace(member, status=Status.SUSPECT, since_ms=now_ms))
        return found

    def _newly_lost(self, now_ms: float, isolated: bool) -> list[Member]:
        limit_ms = self._timeouts.suspicion_timeout_ms * (
            self._timeouts.isolated_factor if isolated else 1
        )
        return [
            replace(member, status=Status.LOST, since_ms=now_ms)
            for member in self._table.suspects()
            if now_ms - member.since_ms >= limit_ms
        ]
