"""Limits the requests of client accounts, and exchanges with other VMs how much accounts use.

Layer: transport.  A report goes to the VMs that dispatch requests now or soon: in the local data
centre directly, and through one relay in each remote one.  Without accounts that have a rate,
nothing is sent.
"""

import random
from collections.abc import Iterator

from cloverhook.clock import monotonic_ms
from cloverhook.gateway.accounts import AccountIndex, ClientAccount
from cloverhook.gateway.allotment import AllotmentDecision, AllotmentLimits, Allotments
from cloverhook.gateway.broadcast import Broadcast
from cloverhook.gateway.counters import Counters
from cloverhook.gateway.event_log import EventKind, EventLog
from cloverhook.gateway.gateway_state import GatewayState
from cloverhook.gateway.members import (
    LARGE_DATA_CENTER_VMS,
    MIN_SERVING_VMS,
    Members,
)
from cloverhook.gateway.peer_messages import AccountUse, Identity, encode
from cloverhook.gateway.peer_rows import AccountUseRow

__all__ = ["AllotmentUpdates", "in_batches"]

DATAGRAM_LIMIT_BYTES = 1_100
"""What the rows of a datagram take at most, so that it fits into one packet."""
ROW_BYTES = 32
"""A row without the account's name takes at most this much, and its numbers usually half of it."""
ROWS_LIMIT = 60
"""How many rows of a received datagram are applied at most."""
COUNTED_ACCOUNTS = 100
OTHER = "other"
"""How accounts are counted that are not among the first `COUNTED_ACCOUNTS` with a request."""
RECENT_REQUESTS_MS = 10_000.0
"""A VM of a large data centre reports for this long after a request of an account."""
END_REPORTS = 3
"""A VM that ceases to report says so this many times, as a datagram may be lost.  Otherwise the
others would take it for partitioned, and leave its share to it."""
END_ROWS = 20
NO_TOLERANCE = AllotmentLimits(5.0, 0.0, 0.0)


class AllotmentUpdates:
    """Decides on the requests of accounts, and sends and applies reports on their use."""

    def __init__(
        self,
        identity: Identity,
        allotments: Allotments | None,
        broadcast: Broadcast,
        members: Members,
        gateway_state: GatewayState,
        log: EventLog,
        counters: Counters,
    ) -> None:
        if allotments is None:
            allotments = Allotments(identity.vm, NO_TOLERANCE, random.Random(), monotonic_ms())
        self.allotments = allotments
        self._identity = identity
        self._broadcast = broadcast
        self._members = members
        self._gateway_state = gateway_state
        self._log = log
        self._counters = counters
        self._accounts: AccountIndex | None = None
        self._counted: set[str] = set()
        self._over_ms: dict[str, float] = {}
        self._requested_ms = -RECENT_REQUESTS_MS
        self._ends_left = 0

    def try_take(
        self, account: ClientAccount, now_ms: float, priority: int = 0
    ) -> AllotmentDecision:
        """Decide on a request of an account, and count it; see `Allotments.try_take`."""
        self.apply_config(now_ms)
        decision = self.allotments.try_take(account, now_ms, priority)
        self._requested_ms = now_ms
        outcome = "admitted" if decision.admitted else "over-allotment"
        self._counters.add("account_requests", account=self._label(account.name), outcome=outcome)
        if not decision.admitted:
            if account.name not in self._over_ms:
                self._note_over(account.name, True)
            self._over_ms[account.name] = now_ms
        return decision

    def refund(self, account: ClientAccount, now_ms: float) -> None:
        """Take back the charge for a request that has certainly not reached an endpoint."""
        self.allotments.refund(account, now_ms)

    def apply_config(self, now_ms: float) -> None:
        """Apply the accounts of the configuration in force, if they have changed."""
        config = self._gateway_state.config
        accounts = None if config is None else config.accounts
        if accounts is not self._accounts:
            self._accounts = accounts
            self.allotments.set_accounts(() if accounts is None else accounts.accounts, now_ms)

    def tick(self, now_ms: float) -> None:
        """Apply a changed configuration, and send the report that is due."""
        self.apply_config(now_ms)
        if not self.allotments or not self.allotments.is_report_due(now_ms):
            return
        self.allotments.record_fleet(self._reporting_vms(now_ms), now_ms)
        self._end_over(now_ms)
        rows = self.allotments.use_rows(now_ms)
        recent = now_ms - self._requested_ms < RECENT_REQUESTS_MS
        dispatches = recent or not self._members.in_large_data_center()
        if dispatches:
            self._ends_left = END_REPORTS
        elif self._ends_left == 0:
            return
        else:
            self._ends_left -= 1
        own, batches = self._identity, tuple(in_batches(rows))
        is_whole = len(batches) == 1
        for batch in batches:
            data = encode(AccountUse(own.vm, own.incarnation, not dispatches, is_whole, batch))
            self._broadcast.send_to_load_subscribers(data, now_ms)
            self._broadcast.send_remote(data, now_ms, self.allotments.relay_count)

    def send_end(self, now_ms: float) -> None:
        """Tell the other VMs that this one stops, so that they don't leave its share to it."""
        if not self.allotments:
            return
        own, rows = self._identity, self.allotments.use_rows(now_ms)[:END_ROWS]
        data = encode(AccountUse(own.vm, own.incarnation, True, False, rows))
        for _ in range(END_REPORTS):
            self._broadcast.send_to_load_subscribers(data, now_ms)
            self._broadcast.send_remote(data, now_ms)

    def received(self, message: AccountUse, now_ms: float) -> None:
        """Apply what another VM has reported."""
        self.apply_config(now_ms)
        if self.allotments:
            rows = message.rows[:ROWS_LIMIT]
            self.allotments.record_report(
                message.vm, message.incarnation, rows, now_ms, message.is_whole
            )
            if message.ends:
                self.allotments.forget(message.vm)

    def _reporting_vms(self, now_ms: float) -> int:
        """Return how many VMs of the fleet send reports, this one included.

        Those of a data centre are known by their reports.  If none of it has come yet, they are
        estimated: in a large data centre, the serving VMs get the callers.
        """
        members, reporters = self._members, self.allotments.reporters()
        known = {item.data_center for vm in reporters if (item := members.get(vm)) is not None}
        count = 1 + len(reporters)
        if members.data_center not in known:
            large = members.in_large_data_center()
            count += len(members.serving_vms(now_ms)) - 1 if large else members.local_count()
        for name, group in members.remote_members(now_ms).items():
            if name not in known:
                vms = max(len(group), max(item.near_vms for item in group))
                large = vms > 1 + LARGE_DATA_CENTER_VMS
                count += min(vms, MIN_SERVING_VMS) if large else vms
        return count

    def _label(self, name: str) -> str:
        if name not in self._counted:
            if len(self._counted) >= COUNTED_ACCOUNTS:
                return OTHER
            self._counted.add(name)
        return name

    def _end_over(self, now_ms: float) -> None:
        """Log which accounts have had no request beyond their allotments for a whole window."""
        window_ms = 1_000.0 * self.allotments.limits.window_s
        ended = [name for name, at_ms in self._over_ms.items() if now_ms - at_ms > window_ms]
        for name in ended:
            del self._over_ms[name]
            self._note_over(name, False)

    def _note_over(self, name: str, is_over: bool) -> None:
        account = self.allotments.account(name)
        self._log.note(
            EventKind.ACCOUNT,
            account=name,
            over_allotment=is_over,
            per_s=None if account is None else account.rate_per_s,
            burst=None if account is None else account.burst,
        )


def in_batches(rows: tuple[AccountUseRow, ...]) -> Iterator[tuple[AccountUseRow, ...]]:
    """Yield the rows in batches that fit into a datagram; without rows, one empty batch."""
    batch: list[AccountUseRow] = []
    size = 0
    for row in rows:
        row_bytes = ROW_BYTES + len(row.account.encode())
        if batch and (size + row_bytes > DATAGRAM_LIMIT_BYTES or len(batch) >= ROWS_LIMIT):
            yield tuple(batch)
            batch, size = [], 0
        batch.append(row)
        size += row_bytes
    yield tuple(batch)
