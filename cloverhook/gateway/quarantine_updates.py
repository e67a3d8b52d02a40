"""Checks requests against the quarantine before they are sent, and shares it with other VMs.

Layer: transport.  Crash records are sent to all live VMs, not only to those that dispatch
requests now, as a request that crashes endpoints may reach any VM next.
"""

import asyncio
from collections.abc import Callable, Iterable

from cloverhook.clock import monotonic_ms
from cloverhook.gateway.broadcast import Broadcast
from cloverhook.gateway.event_log import EventKind, EventLog
from cloverhook.gateway.members import Member, Members
from cloverhook.gateway.peer_messages import CrashRecords, encode
from cloverhook.gateway.peer_rows import CrashRecord
from cloverhook.gateway.quarantine import CRASH_RECORDS_PER_DATAGRAM, Quarantine, SendPermission
from cloverhook.gateway.request_key import RequestKeys

__all__ = ["QuarantineUpdates"]

FLUSH_MS = 1.0
"""Requests that were interrupted by the same crash share a datagram."""
UNSENT_LIMIT = 400
POLL_MS = 5.0
"""How often a request that waits for another VM's trial copy checks for the outcome."""
REPEAT_DELAYS_MS = (100.0, 1_000.0)
"""A quarantine is sent again after these delays, as a datagram may be lost."""
RELAY_COUNT = 3
"""How many VMs of each remote data centre relay a message: one of them may be isolated before this
is detected."""


class QuarantineUpdates:
    """Admits this VM's requests by the quarantine, and exchanges crash records with other VMs."""

    def __init__(self, own_vm: str, broadcast: Broadcast, members: Members, log: EventLog) -> None:
        self.on_change: Callable[[], None] = lambda: None
        """Called when this VM has put a request into quarantine or removed one."""
        self.quarantine = Quarantine(own_vm)
        self._own_vm = own_vm
        self._broadcast = broadcast
        self._members = members
        self._log = log
        self._unsent: list[CrashRecord] = []
        self._flush_timer: asyncio.TimerHandle | None = None

    async def admit(self, keys: RequestKeys, give_up_ms: float) -> bool:
        """Return whether a request may proceed.

        Waits while another VM has the lease on the trial copy of the request, until `give_up_ms`.
        """
        quarantine = self.quarantine
        while True:
            now_ms = monotonic_ms()
            permission = quarantine.send_permission(keys, now_ms)
            wait_ms = POLL_MS
            if permission is SendPermission.CLEAR:
                return True
            if permission is SendPermission.LEASE_FREE:
                self._schedule_send(quarantine.claim(keys, now_ms))
                continue
            if permission is SendPermission.OWN_LEASE:
                wait_ms = quarantine.claim_settled_ms(keys) - now_ms
                if wait_ms <= 0.0:
                    return True
            elif permission is SendPermission.QUARANTINED or now_ms >= give_up_ms:
                return False
            await asyncio.sleep(wait_ms / 1000)

    def try_begin_send(self, keys: RequestKeys) -> bool:
        """Return whether a request may be sent now; claim the lease on the trial copy if free."""
        now_ms = monotonic_ms()
        self._schedule_send(self.quarantine.claim(keys, now_ms))
        return self.quarantine.try_begin_send(keys, now_ms)

    def record_crash(self, keys: RequestKeys, known: tuple[int, ...], server: str) -> None:
        """Record that an endpoint has crashed while it ran a request.

        `known` are the numbers of crashes known for each key when the request was sent.
        """
        records = self.quarantine.record_crash(keys, known, monotonic_ms())
        for record in records:
            self._note(record, self._own_vm, server=server)
        self._schedule_send(records)
        if any(record.crashes > 1 for record in records):
            self.on_change()
            for delay_ms in REPEAT_DELAYS_MS:
                asyncio.get_running_loop().call_later(delay_ms / 1000, self._repeat, keys)

    def record_success(self, keys: RequestKeys) -> None:
        """Record that a request was answered successfully."""
        before = self.quarantine.crash_counts(keys)
        cleared = self.quarantine.record_success(keys, monotonic_ms())
        if max(before) > 1:
            self.on_change()
        for record in cleared:
            self._note(record, self._own_vm)
        self._schedule_send(cleared)

    def received(self, message: CrashRecords, now_ms: float) -> None:
        """Apply another VM's crash records, and reply with those that are newer here."""
        replies = []
        for record in message.rows[:CRASH_RECORDS_PER_DATAGRAM]:
            before = self.quarantine.crash_counts((record.key,))
            reply, relay = self.quarantine.apply_update(message.vm, record, now_ms)
            if relay is not None:
                self._schedule_send([relay])
            if reply is not None:
                replies.append(reply)
            elif (
                max(record.crashes, *before) > 1
                and self.quarantine.crash_counts((record.key,)) != before
            ):
                self._note(record, message.vm)  # A first crash is logged by the VM that saw it.
        member = self._members.get(message.vm)
        if replies and member is not None:
            self._broadcast.send_to([member], encode(CrashRecords(self._own_vm, tuple(replies))))

    def send_records_to(self, member: Member, now_ms: float) -> None:
        """Send the crash records to a VM that has just joined or returned."""
        if not len(self.quarantine) or not self._broadcast.is_join_sender(member, now_ms):
            return
        rows = tuple(self.quarantine.crash_records(now_ms))
        self._broadcast.send_to([member], encode(CrashRecords(self._own_vm, rows)))

    def remove_expired(self, now_ms: float) -> None:
        """Drop the crash records that are too old to count."""
        for key in self.quarantine.remove_expired(now_ms):
            self._log.note(EventKind.QUARANTINE, key=f"{key:016x}", crashes=0, source="age")

    def _repeat(self, keys: RequestKeys) -> None:
        """Send the quarantine of a request again if it is still in force."""
        known = {item.key: item for item in self.quarantine.crash_records(monotonic_ms())}
        self._schedule_send(known[key] for key in keys if key in known and known[key].crashes > 1)

    def _schedule_send(self, records: Iterable[CrashRecord]) -> None:
        """Send crash records soon; those beyond the limit of unsent ones are dropped."""
        self._unsent += records
        del self._unsent[UNSENT_LIMIT:]
        if self._unsent and self._flush_timer is None:
            loop = asyncio.get_running_loop()
            self._flush_timer = loop.call_later(FLUSH_MS / 1000, self._flush)

    def _flush(self) -> None:
        self._flush_timer = None
        now_ms = monotonic_ms()
        rows, self._unsent = self._unsent, []
        for start in range(0, len(rows), CRASH_RECORDS_PER_DATAGRAM):
            data = encode(
                CrashRecords(self._own_vm, tuple(rows[start : start + CRASH_RECORDS_PER_DATAGRAM]))
            )
            self._broadcast.send_local(data, now_ms)
            self._broadcast.send_remote(data, now_ms, RELAY_COUNT)

    def _note(self, record: CrashRecord, source: str, **fields: str) -> None:
        self._log.note(
            EventKind.QUARANTINE,
            key=f"{record.key:016x}",
            crashes=record.crashes,
            held_ms=round(record.hold_ms),
            source=source,
            **fields,
        )
