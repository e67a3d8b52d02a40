"""Checks requests against the quarantine before they are sent, and shares it with other VMs.

Layer: transport.  Suspicions are sent to all live VMs, not only to those that dispatch requests
now, as a request that crashes endpoints may reach any VM next.
"""

import asyncio
from collections.abc import Callable, Iterable

from cloverhook.clock import monotonic_ms
from cloverhook.gateway.broadcast import Broadcast
from cloverhook.gateway.event_log import EventLog, Kind
from cloverhook.gateway.members import Member, Members
from cloverhook.gateway.peer_messages import Suspicion, Suspicions, encode
from cloverhook.gateway.quarantine import TOLD_LIMIT, Quarantine, Standing
from cloverhook.gateway.ranking import place_in_order
from cloverhook.gateway.request_key import RequestKeys

__all__ = ["QuarantineUpdates"]

FLUSH_MS = 1.0
"""Requests that were cut off by the same crash share a datagram."""
UNSENT_LIMIT = 400
POLL_MS = 5.0
"""How often a request that waits for another VM's copy checks for the outcome of that copy."""
REPEAT_DELAYS_MS = (100.0, 1_000.0)
"""A quarantine is sent again after these delays, as a datagram may be lost."""
RELAY_COUNT = 3
"""How many VMs of each other data centre relay a message: one of them may be cut off before this is
detected."""
JOIN_SENDERS = 3
"""How many neighbours send their suspicions to a VM that has just joined."""


class QuarantineUpdates:
    """Admits this VM's requests by the quarantine, and exchanges suspicions with other VMs."""

    def __init__(self, own_vm: str, broadcast: Broadcast, members: Members, log: EventLog) -> None:
        self.on_change: Callable[[], None] = lambda: None
        """Called when this VM has put a request into quarantine or removed one."""
        self.quarantine = Quarantine(own_vm)
        self._own_vm = own_vm
        self._broadcast = broadcast
        self._members = members
        self._log = log
        self._unsent: list[Suspicion] = []
        self._flush_timer: asyncio.TimerHandle | None = None

    async def admit(self, keys: RequestKeys, give_up_ms: float) -> bool:
        """Return whether a request may proceed.

        Waits while another VM's copy of the request is under way, until `give_up_ms`.
        """
        quarantine = self.quarantine
        while True:
            now_ms = monotonic_ms()
            standing = quarantine.standing(keys, now_ms)
            wait_ms = POLL_MS
            if standing is Standing.CLEAR:
                return True
            if standing is Standing.FREE:
                self._schedule_send(quarantine.claim(keys, now_ms))
                continue
            if standing is Standing.OURS:
                wait_ms = quarantine.settled_ms(keys) - now_ms
                if wait_ms <= 0.0:
                    return True
            elif standing is Standing.BARRED or now_ms >= give_up_ms:
                return False
            await asyncio.sleep(wait_ms / 1000)

    def begin(self, keys: RequestKeys) -> bool:
        """Return whether a request may be sent now; claim the right to send it if that is free."""
        now_ms = monotonic_ms()
        self._schedule_send(self.quarantine.claim(keys, now_ms))
        return self.quarantine.begin(keys, now_ms)

    def crashed(self, keys: RequestKeys, known: tuple[int, ...], server: str) -> None:
        """Record that an endpoint has crashed while it ran a request.

        `known` are the numbers of crashes known for each key when the request was sent.
        """
        suspicions = self.quarantine.crashed(keys, known, monotonic_ms())
        for suspicion in suspicions:
            self._note(suspicion, self._own_vm, server=server)
        self._schedule_send(suspicions)
        if any(suspicion.crashes > 1 for suspicion in suspicions):
            self.on_change()
            for delay_ms in REPEAT_DELAYS_MS:
                asyncio.get_running_loop().call_later(delay_ms / 1000, self._repeat, keys)

    def served(self, keys: RequestKeys) -> None:
        """Record that a request was answered successfully."""
        before = self.quarantine.crashes(keys)
        cleared = self.quarantine.served(keys, monotonic_ms())
        if max(before) > 1:
            self.on_change()
        for suspicion in cleared:
            self._note(suspicion, self._own_vm)
        self._schedule_send(cleared)

    def received(self, message: Suspicions, now_ms: float) -> None:
        """Apply the suspicions of another VM, and reply with those about which it knows less."""
        answers = []
        for suspicion in message.rows[:TOLD_LIMIT]:
            before = self.quarantine.crashes((suspicion.key,))
            answer, pass_on = self.quarantine.received(message.vm, suspicion, now_ms)
            if pass_on is not None:
                self._schedule_send([pass_on])
            if answer is not None:
                answers.append(answer)
            elif (
                max(suspicion.crashes, *before) > 1
                and self.quarantine.crashes((suspicion.key,)) != before
            ):
                self._note(suspicion, message.vm)  # A first crash is logged by the VM that saw it.
        member = self._members.get(message.vm)
        if answers and member is not None:
            self._broadcast.to([member], encode(Suspicions(self._own_vm, tuple(answers))))

    def welcome(self, member: Member, now_ms: float) -> None:
        """Send the suspicions to a VM that has just joined or returned."""
        if not len(self.quarantine) or not self._is_join_sender(member, now_ms):
            return
        rows = tuple(self.quarantine.suspicions(now_ms))
        self._broadcast.to([member], encode(Suspicions(self._own_vm, rows)))

    def forget(self, now_ms: float) -> None:
        """Drop the suspicions that are too old to count."""
        for key in self.quarantine.forget(now_ms):
            self._log.note(Kind.QUARANTINE, key=f"{key:016x}", crashes=0, source="age")

    def _is_join_sender(self, member: Member, now_ms: float) -> bool:
        """Return whether this VM is among the few that send suspicions to a VM that has joined."""
        others = (item for item in self._members.near() if item.is_alive(now_ms))
        before = (item.vm for item in others if item.vm != member.vm)
        return place_in_order(member.vm, self._own_vm, before) < JOIN_SENDERS

    def _repeat(self, keys: RequestKeys) -> None:
        """Send the quarantine of a request again if it is still in force."""
        known = {item.key: item for item in self.quarantine.suspicions(monotonic_ms())}
        self._schedule_send(known[key] for key in keys if key in known and known[key].crashes > 1)

    def _schedule_send(self, suspicions: Iterable[Suspicion]) -> None:
        """Send suspicions soon; those that exceed the limit of waiting ones are dropped."""
        self._unsent += suspicions
        del self._unsent[UNSENT_LIMIT:]
        if self._unsent and self._flush_timer is None:
            loop = asyncio.get_running_loop()
            self._flush_timer = loop.call_later(FLUSH_MS / 1000, self._flush)

    def _flush(self) -> None:
        self._flush_timer = None
        now_ms = monotonic_ms()
        rows, self._unsent = self._unsent, []
        for start in range(0, len(rows), TOLD_LIMIT):
            data = encode(Suspicions(self._own_vm, tuple(rows[start : start + TOLD_LIMIT])))
            self._broadcast.near(data, now_ms)
            self._broadcast.far(data, now_ms, RELAY_COUNT)

    def _note(self, suspicion: Suspicion, source: str, **fields: str) -> None:
        self._log.note(
            Kind.QUARANTINE,
            key=f"{suspicion.key:016x}",
            crashes=suspicion.crashes,
            held_ms=round(suspicion.held_ms),
            source=source,
            **fields,
        )
