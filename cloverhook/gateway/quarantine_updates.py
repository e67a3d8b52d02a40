"""Asks the quarantine before a request is sent, and shares with the other VMs what is known.

Layer: transport.  All live VMs are told, not only those that place requests now: a request that
crashes endpoints may come to any of them next.
"""

import asyncio
from collections.abc import Callable, Iterable

from cloverhook.clock import monotonic_ms
from cloverhook.gateway.broadcast import Broadcast
from cloverhook.gateway.event_log import EventKind, EventLog
from cloverhook.gateway.members import Member, Members
from cloverhook.gateway.peer_messages import CrashRecord, CrashRecords, encode
from cloverhook.gateway.quarantine import CRASH_RECORDS_PER_DATAGRAM, Quarantine, SendPermission
from cloverhook.gateway.ranking import rendezvous_rank
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
        self._waiting: list[CrashRecord] = []
        self._timer: asyncio.TimerHandle | None = None

    async def admit(self, keys: RequestKeys, give_up_ms: float) -> bool:
        """Return whether a request may go on; wait for another VM's copy until a time."""
        quarantine = self.quarantine
        while True:
            now_ms = monotonic_ms()
            standing = quarantine.send_permission(keys, now_ms)
            wait_ms = POLL_MS
            if standing is SendPermission.CLEAR:
                return True
            if standing is SendPermission.LEASE_FREE:
                self._tell(quarantine.claim(keys, now_ms))
                continue
            if standing is SendPermission.OWN_LEASE:
                wait_ms = quarantine.claim_settled_ms(keys) - now_ms
                if wait_ms <= 0.0:
                    return True
            elif standing is SendPermission.QUARANTINED or now_ms >= give_up_ms:
                return False
            await asyncio.sleep(wait_ms / 1000)

    def try_begin_send(self, keys: RequestKeys) -> bool:
        """Return whether a request may be sent at this moment."""
        now_ms = monotonic_ms()
        self._tell(self.quarantine.claim(keys, now_ms))
        return self.quarantine.try_begin_send(keys, now_ms)

    def record_crash(self, keys: RequestKeys, known: tuple[int, ...], server: str) -> None:
        """Take it that an endpoint has crashed under a request that was sent with so much known."""
        suspicions = self.quarantine.record_crash(keys, known, monotonic_ms())
        for suspicion in suspicions:
            self._note(suspicion, self._own_vm, server=server)
        self._tell(suspicions)
        if any(suspicion.crashes > 1 for suspicion in suspicions):
            self.on_change()
            for delay_ms in REPEATS_MS:
                asyncio.get_running_loop().call_later(delay_ms / 1000, self._tell_again, keys)

    def record_success(self, keys: RequestKeys) -> None:
        """Take it that a request was answered well."""
        before = self.quarantine.crash_counts(keys)
        cleared = self.quarantine.record_success(keys, monotonic_ms())
        if max(before) > 1:
            self.on_change()
        for suspicion in cleared:
            self._note(suspicion, self._own_vm)
        self._tell(cleared)

    def received(self, message: CrashRecords, now_ms: float) -> None:
        """Take what another VM tells, and answer where it knows less."""
        answers = []
        for suspicion in message.rows[:CRASH_RECORDS_PER_DATAGRAM]:
            before = self.quarantine.crash_counts((suspicion.key,))
            answer, pass_on = self.quarantine.apply_update(message.vm, suspicion, now_ms)
            if pass_on is not None:
                self._tell([pass_on])
            if answer is not None:
                answers.append(answer)
            elif (
                max(suspicion.crashes, *before) > 1
                and self.quarantine.crash_counts((suspicion.key,)) != before
            ):
                self._note(suspicion, message.vm)  # A first crash is noted where it was met.
        member = self._members.get(message.vm)
        if answers and member is not None:
            self._broadcast.send_to([member], encode(CrashRecords(self._own_vm, tuple(answers))))

    def send_records_to(self, member: Member, now_ms: float) -> None:
        """Tell a VM that has just come, or is back, what is held against requests."""
        if not len(self.quarantine) or not self._welcomes(member, now_ms):
            return
        rows = tuple(self.quarantine.suspicions(now_ms))
        self._broadcast.send_to([member], encode(CrashRecords(self._own_vm, rows)))

    def remove_expired(self, now_ms: float) -> None:
        """Drop what no longer counts."""
        for key in self.quarantine.remove_expired(now_ms):
            self._log.note(EventKind.QUARANTINE, key=f"{key:016x}", crashes=0, source="age")

    def _welcomes(self, member: Member, now_ms: float) -> bool:
        """Return whether this VM is among the few that tell a newcomer."""
        others = (item for item in self._members.local_members() if item.is_alive(now_ms))
        before = (item.vm for item in others if item.vm != member.vm)
        return rendezvous_rank(member.vm, self._own_vm, before) < WELCOMERS

    def _tell_again(self, keys: RequestKeys) -> None:
        """Tell a quarantine again that still holds."""
        known = {item.key: item for item in self.quarantine.suspicions(monotonic_ms())}
        self._tell(known[key] for key in keys if key in known and known[key].crashes > 1)

    def _tell(self, suspicions: Iterable[CrashRecord]) -> None:
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
        for start in range(0, len(rows), CRASH_RECORDS_PER_DATAGRAM):
            data = encode(
                CrashRecords(self._own_vm, tuple(rows[start : start + CRASH_RECORDS_PER_DATAGRAM]))
            )
            self._broadcast.send_local(data, now_ms)
            self._broadcast.send_remote(data, now_ms, RELAYS)

    def _note(self, suspicion: CrashRecord, source: str, **fields: str) -> None:
        self._log.note(
            EventKind.QUARANTINE,
            key=f"{suspicion.key:016x}",
            crashes=suspicion.crashes,
            held_ms=round(suspicion.hold_ms),
            source=source,
            **fields,
        )
