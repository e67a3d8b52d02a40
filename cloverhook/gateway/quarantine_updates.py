"""Asks the quarantine before a request is sent, and shares with the other VMs what is known.

Layer: transport.  All live VMs are told, not only those that place requests now: a request that
crashes endpoints may come to any of them next.
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
"""Requests that were cut by one crash go into one datagram."""
WAITING_LIMIT = 400
POLL_MS = 5.0
"""How often a request that waits for another VM's copy looks for what became of it."""
REPEATS_MS = (100.0, 1_000.0)
"""A quarantine is told again after these times: a datagram may be lost."""
RELAYS = 3
"""A VM in each other data centre may be cut off before that shows."""
WELCOMERS = 3
"""So many neighbours tell a VM that has just come what they hold against requests."""


class QuarantineUpdates:
    """This VM's part in the fleet's quarantine."""

    def __init__(self, own_vm: str, broadcast: Broadcast, members: Members, log: EventLog) -> None:
        self.on_change: Callable[[], None] = lambda: None
        """Called when this VM has put a request into quarantine or taken one out."""
        self.quarantine = Quarantine(own_vm)
        self._own_vm = own_vm
        self._broadcast = broadcast
        self._members = members
        self._log = log
        self._waiting: list[Suspicion] = []
        self._timer: asyncio.TimerHandle | None = None

    async def admit(self, keys: RequestKeys, give_up_ms: float) -> bool:
        """Return whether a request may go on; wait for another VM's copy until a time."""
        quarantine = self.quarantine
        while True:
            now_ms = monotonic_ms()
            standing = quarantine.standing(keys, now_ms)
            wait_ms = POLL_MS
            if standing is Standing.CLEAR:
                return True
            if standing is Standing.FREE:
                self._tell(quarantine.claim(keys, now_ms))
                continue
            if standing is Standing.OURS:
                wait_ms = quarantine.settled_ms(keys) - now_ms
                if wait_ms <= 0.0:
                    return True
            elif standing is Standing.BARRED or now_ms >= give_up_ms:
                return False
            await asyncio.sleep(wait_ms / 1000)

    def begin(self, keys: RequestKeys) -> bool:
        """Return whether a request may be sent at this moment."""
        now_ms = monotonic_ms()
        self._tell(self.quarantine.claim(keys, now_ms))
        return self.quarantine.begin(keys, now_ms)

    def crashed(self, keys: RequestKeys, known: tuple[int, ...], server: str) -> None:
        """Take it that an endpoint has crashed under a request that was sent with so much known."""
        suspicions = self.quarantine.crashed(keys, known, monotonic_ms())
        for suspicion in suspicions:
            self._note(suspicion, self._own_vm, server=server)
        self._tell(suspicions)
        if any(suspicion.crashes > 1 for suspicion in suspicions):
            self.on_change()
            for delay_ms in REPEATS_MS:
                asyncio.get_running_loop().call_later(delay_ms / 1000, self._tell_again, keys)

    def served(self, keys: RequestKeys) -> None:
        """Take it that a request was answered well."""
        before = self.quarantine.crashes(keys)
        cleared = self.quarantine.served(keys, monotonic_ms())
        if max(before) > 1:
            self.on_change()
        for suspicion in cleared:
            self._note(suspicion, self._own_vm)
        self._tell(cleared)

    def received(self, message: Suspicions, now_ms: float) -> None:
        """Take what another VM tells, and answer where it knows less."""
        answers = []
        for suspicion in message.rows[:TOLD_LIMIT]:
            before = self.quarantine.crashes((suspicion.key,))
            answer, pass_on = self.quarantine.received(message.vm, suspicion, now_ms)
            if pass_on is not None:
                self._tell([pass_on])
            if answer is not None:
                answers.append(answer)
            elif (
                max(suspicion.crashes, *before) > 1
                and self.quarantine.crashes((suspicion.key,)) != before
            ):
                self._note(suspicion, message.vm)  # A first crash is noted where it was met.
        member = self._members.get(message.vm)
        if answers and member is not None:
            self._broadcast.to([member], encode(Suspicions(self._own_vm, tuple(answers))))

    def welcome(self, member: Member, now_ms: float) -> None:
        """Tell a VM that has just come, or is back, what is held against requests."""
        if not len(self.quarantine) or not self._welcomes(member, now_ms):
            return
        rows = tuple(self.quarantine.suspicions(now_ms))
        self._broadcast.to([member], encode(Suspicions(self._own_vm, rows)))

    def forget(self, now_ms: float) -> None:
        """Drop what no longer counts."""
        for key in self.quarantine.forget(now_ms):
            self._log.note(Kind.QUARANTINE, key=f"{key:016x}", crashes=0, source="age")

    def _welcomes(self, member: Member, now_ms: float) -> bool:
        """Return whether this VM is among the few that tell a newcomer."""
        others = (item for item in self._members.near() if item.is_alive(now_ms))
        before = (item.vm for item in others if item.vm != member.vm)
        return place_in_order(member.vm, self._own_vm, before) < WELCOMERS

    def _tell_again(self, keys: RequestKeys) -> None:
        """Tell a quarantine again that still holds."""
        known = {item.key: item for item in self.quarantine.suspicions(monotonic_ms())}
        self._tell(known[key] for key in keys if key in known and known[key].crashes > 1)

    def _tell(self, suspicions: Iterable[Suspicion]) -> None:
        """Send soon; with too much to tell, what was not told yet is left out."""
        self._waiting += suspicions
        del self._waiting[WAITING_LIMIT:]
        if self._waiting and self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(FLUSH_MS / 1000, self._flush)

    def _flush(self) -> None:
        self._timer = None
        now_ms = monotonic_ms()
        rows, self._waiting = self._waiting, []
        for start in range(0, len(rows), TOLD_LIMIT):
            data = encode(Suspicions(self._own_vm, tuple(rows[start : start + TOLD_LIMIT])))
            self._broadcast.near(data, now_ms)
            self._broadcast.far(data, now_ms, RELAYS)

    def _note(self, suspicion: Suspicion, source: str, **fields: str) -> None:
        self._log.note(
            Kind.QUARANTINE,
            key=f"{suspicion.key:016x}",
            crashes=suspicion.crashes,
            held_ms=round(suspicion.held_ms),
            source=source,
            **fields,
        )
