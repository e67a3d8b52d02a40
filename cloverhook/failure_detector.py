"""Notices lost members: watches a few neighbours and asks others before it suspects one.

Layer: coordination, free of input and output.  The way is that of SWIM.  A neighbour that is silent
is pinged, and a few other peers are asked to ping it too, so that a cut between two VMs, or in
one direction only, is not taken for a lost VM.  When nobody hears it, it is suspected, which it
can refute, and some time later taken for lost.
"""

import random
from collections.abc import Collection
from dataclasses import dataclass, replace

from cloverhook.member_events import MemberAction, SendMessage
from cloverhook.members import Member, MemberTable, Status
from cloverhook.messages import Ping, ProbeRequest, ProbeSuccess

__all__ = ["BUSY_TICK_MS", "DetectorTimeouts", "FailureDetector"]

ASKED_PEERS = 3
BUSY_TICK_MS = 50.0


@dataclass(frozen=True, slots=True)
class DetectorTimeouts:
    """How long a neighbour may be silent, how long its check takes, and how long it is suspected.

    A daemon that hears none of its neighbours is probably cut off itself, and takes
    `isolated_factor` times as long over the last two.
    """

    silence_timeout_ms: float = 800
    check_timeout_ms: float = 500
    suspicion_timeout_ms: float = 700
    isolated_factor: float = 3


class FailureDetector:
    """The evidence about each member, and the checks under way."""

    def __init__(self, table: MemberTable, source: random.Random, times: DetectorTimeouts) -> None:
        self._table = table
        self._random = source
        self._times = times
        self._heard_ms: dict[str, float] = {}
        self._watched_ms: dict[str, float] = {}
        self._checks: dict[str, float] = {}
        self._askers: dict[str, dict[str, float]] = {}

    def record_message(self, vm: str, now_ms: float) -> tuple[MemberAction, ...]:
        """Note that a VM has spoken to this one; tell those who asked."""
        self._heard_ms[vm] = now_ms
        self._checks.pop(vm, None)
        member = self._table.get(vm)
        askers = self._askers.pop(vm, {})
        if member is None:
            return ()
        answer = ProbeSuccess(vm, member.incarnation)
        return tuple(
            SendMessage(asker, answer) for asker, until in askers.items() if now_ms < until
        )

    def record_probe_success(self, message: ProbeSuccess, now_ms: float) -> None:
        """Note that another peer has heard a VM in its present incarnation."""
        member = self._table.get(message.target)
        if member is not None and message.incarnation >= member.incarnation:
            self._heard_ms[message.target] = now_ms
            self._checks.pop(message.target, None)

    def handle_probe_request(
        self, asker: str, target: str, now_ms: float
    ) -> tuple[MemberAction, ...]:
        """Take a peer's request to ping a VM."""
        member = self._table.get(target)
        if member is None or target == self._table.own.vm:
            return ()
        until = now_ms + 2 * self._times.check_timeout_ms
        self._askers.setdefault(target, {})[asker] = until
        return (SendMessage(target, Ping()),)

    def start_check(
        self, vm: str, linked: Collection[str], now_ms: float, alone: bool = False
    ) -> tuple[MemberAction, ...]:
        """Begin to check a member unless a check is under way."""
        member = self._table.get(vm)
        if vm in self._checks or member is None or member.status is not Status.ALIVE:
            return ()
        if vm == self._table.own.vm:
            return ()
        factor = self._times.isolated_factor if alone else 1
        self._checks[vm] = now_ms + factor * self._times.check_timeout_ms
        others = sorted(set(linked) - {vm})
        asked = self._random.sample(others, min(ASKED_PEERS, len(others)))
        return (SendMessage(vm, Ping()), *(SendMessage(peer, ProbeRequest(vm)) for peer in asked))

    def tick(
        self, watched: Collection[str], linked: Collection[str], now_ms: float
    ) -> tuple[tuple[MemberAction, ...], tuple[Member, ...]]:
        """Return the messages that are due, and what has become of members."""
        self._watch(watched, now_ms)
        alone = len(watched) > 1 and all(self._silent(vm, now_ms) for vm in watched)
        actions: list[MemberAction] = []
        for vm in watched:
            if self._silent(vm, now_ms):
                actions.extend(self.start_check(vm, linked, now_ms, alone))
        return tuple(actions), (*self._suspects(now_ms), *self._lost(now_ms, alone))

    def next_wake_ms(self, watched: Collection[str], now_ms: float) -> float:
        """Return when `tick` may next find something, if nothing is heard until then."""
        if self._checks or self._table.any_suspected:
            return now_ms + BUSY_TICK_MS
        last_ms = [
            max(self._heard_ms.get(vm, 0.0), self._watched_ms.get(vm, now_ms))
            for vm in watched
            if (member := self._table.get(vm)) is not None and member.status is Status.ALIVE
        ]
        silent_ms = min(last_ms, default=now_ms) + self._times.silence_timeout_ms + 1
        return silent_ms if silent_ms > now_ms else now_ms + BUSY_TICK_MS

    def reset_after_pause(self, now_ms: float) -> None:
        """Start anew: silence during a pause of this process says nothing."""
        self._heard_ms.clear()
        self._checks.clear()
        self._askers.clear()
        self._watched_ms = dict.fromkeys(self._watched_ms, now_ms)

    def _watch(self, watched: Collection[str], now_ms: float) -> None:
        self._watched_ms = {vm: self._watched_ms.get(vm, now_ms) for vm in watched}
        for vm in tuple(self._heard_ms):
            if self._table.get(vm) is None:
                del self._heard_ms[vm]

    def _silent(self, vm: str, now_ms: float) -> bool:
        last_ms = max(self._heard_ms.get(vm, 0.0), self._watched_ms.get(vm, 0.0))
        return now_ms - last_ms > self._times.silence_timeout_ms

    def _suspects(self, now_ms: float) -> list[Member]:
        over = [vm for vm, until in self._checks.items() if now_ms >= until]
        found: list[Member] = []
        for vm in over:
            del self._checks[vm]
            member = self._table.get(vm)
            if member is not None and member.status is Status.ALIVE:
                found.append(replace(member, status=Status.SUSPECT, since_ms=now_ms))
        return found

    def _lost(self, now_ms: float, alone: bool) -> list[Member]:
        limit_ms = self._times.suspicion_timeout_ms * (self._times.isolated_factor if alone else 1)
        return [
            replace(member, status=Status.LOST, since_ms=now_ms)
            for member in self._table.suspects()
            if now_ms - member.since_ms >= limit_ms
        ]
