"""Slot lending between the VMs of one service: which VMs to ask, what to grant and what to return.

Layer: coordination, free of input and output: methods return `Tell` actions.  One token bucket
limits the bytes that all services of a daemon send for lending.  While it is empty, no slots are
requested or granted, and requests wait for the VM's own slots.  Slot requests between owners leave
a reserve in the bucket for VMs that own no endpoints and can only borrow.
"""

from collections.abc import Iterable, Mapping

from cloverhook.lending import ASK_LIFETIME_MS, LOAN_MS, Ask, Borrowed, Lent, Peer
from cloverhook.messages import SlotAsk, SlotGrant, SlotReturn
from cloverhook.routing_events import Tell
from cloverhook.token_bucket import TokenBucket
from cloverhook.waiting import WaitingLine

__all__ = ["SlotExchange"]

ANSWER_TIMEOUT_MS = 60.0
"""An owner that leaves a slot request unanswered for longer counts as unresponsive."""
TICK_MS = 10.0
RESEND_MS = 15.0
MIN_RESEND_MS = 3.0
"""Replaces `RESEND_MS` if the queue is more than twice as long as in the last slot request."""
IDLE_LOAN_MS = 0.0
FRAME_BYTES = 24
OWNER_RESERVE = 0.6
"""Share of the byte budget that slot requests of owners leave to VMs that own no endpoints."""
LONG_WAIT_MS = 20.0
LONG_WAIT_RESERVE = 0.2
"""Replaces `OWNER_RESERVE` if the expected wait is at least `LONG_WAIT_MS`."""
REQUEST_ALL_AFTER_MS = 15.0
"""Until a request has waited this long, a VM without slots asks only the nearest owner."""
LEND_WAIT_MARGIN_MS = 40.0
"""An owner with queued requests lends to another owner only if that one waits longer by this."""
MAX_LENT_WITH_QUEUE = 4
"""An owner with queued requests lends to other owners only while fewer slots than this are lent."""
RETURN_WAIT_MARGIN_MS = 0.0
MIN_WAIT_ROUND_TRIPS = 1.0
"""An owner is asked only if the expected wait is longer than this many round trips to it."""


class SlotExchange:
    """Borrows and lends slots of one service for one VM."""

    def __init__(self, service: str, peer_bytes: TokenBucket) -> None:
        self._service = service
        self._peer_bytes = peer_bytes
        self._peers: dict[str, Peer] = {}
        self._requesters: dict[str, Peer] = {}
        self.borrowed = Borrowed()
        self.lent = Lent()

    def set_owners(self, vms: Iterable[str]) -> None:
        """Set the other VMs that own endpoints of the service."""
        self._peers = {vm: self._peers.get(vm, Peer(vm)) for vm in vms}

    def silent(self) -> set[str]:
        """Return the owners that don't answer slot requests."""
        return {peer.vm for peer in self._peers.values() if peer.silent}

    def may_ask(self, now_ms: float) -> bool:
        """Return whether the byte budget allows a slot request."""
        return self._peer_bytes.has(now_ms)

    def peers_working(self) -> bool:
        """Return whether any other owner that answers may have a working endpoint."""
        return any(peer.working and not peer.silent for peer in self._peers.values())

    def has_peers(self) -> bool:
        """Return whether any other owner answers slot requests."""
        return any(not peer.silent for peer in self._peers.values())

    def next_wake_ms(self, now_ms: float, waiting: bool) -> float:
        """Return when the exchange next needs a tick, or infinity if it needs none.

        `waiting` says whether requests are queued.  Slot requests of other VMs expire after a short
        time, and those of this VM are withdrawn soon after its queue becomes empty.
        """
        wake_ms = self.lent.next_end_ms()
        if any(peer.ask is not None for peer in self._requesters.values()):
            wake_ms = min(wake_ms, now_ms + TICK_MS)
        for peer in self._peers.values():
            if peer.asked_ms is not None and not peer.silent:
                wake_ms = min(wake_ms, peer.asked_ms + ANSWER_TIMEOUT_MS)
            if peer.sent_waiting and not waiting:
                wake_ms = min(wake_ms, now_ms + TICK_MS)
        if self.borrowed.idle and not waiting:
            wake_ms = min(wake_ms, now_ms + TICK_MS)
        return wake_ms

    def find_silent(self, now_ms: float) -> bool:
        """Mark owners that leave a slot request unanswered as unresponsive.

        Returns whether an owner has been newly marked.
        """
        newly_marked = False
        for peer in self._peers.values():
            is_overdue = peer.asked_ms is not None and now_ms - peer.asked_ms > ANSWER_TIMEOUT_MS
            if is_overdue and not peer.silent:
                peer.silent = True
                newly_marked = True
        return newly_marked

    def heard(self, vm: str, now_ms: float) -> bool:
        """Record a message of any kind from a VM.

        Returns whether the VM is an owner that had been unresponsive.
        """
        peer = self._peers.get(vm)
        if peer is None:
            return False
        was_silent, peer.silent = peer.silent, False
        return was_silent

    def take_ask(self, vm: str, message: SlotAsk, now_ms: float) -> None:
        """Record the slot request of another VM, or its withdrawal."""
        peer = self._requesters.setdefault(vm, Peer(vm))
        peer.ask = Ask.from_message(vm, message, now_ms) if message.waiting else None

    def take_grant(
        self, vm: str, message: SlotGrant, addresses: Iterable[str], now_ms: float
    ) -> None:
        """Record the answer to a slot request.

        `addresses` are the granted addresses that this VM has in its configuration.
        """
        peer = self._peers.get(vm)
        if peer is not None:
            peer.heard(now_ms)
            peer.working = message.working
            peer.got += len(message.addresses)
        for address in addresses:
            self.borrowed.put(address, vm, now_ms + LOAN_MS, now_ms)

    def best_ask(self, now_ms: float) -> Ask | None:
        """Return the open slot request with the highest priority and then the longest wait.

        Slot requests of owners are skipped while this VM itself holds borrowed slots.
        """
        best: Ask | None = None
        for peer in self._requesters.values():
            if peer.ask is None:
                continue
            if not peer.ask.stands(now_ms):
                peer.ask = None
            elif self.borrowed.count and peer.vm in self._peers:
                continue
            elif best is None or _rank(peer.ask, now_ms) < _rank(best, now_ms):
                best = peer.ask
        return best

    def wants_back(self, owner: str, queue: WaitingLine, now_ms: float) -> bool:
        """Return whether a slot borrowed from this owner should be returned after its use."""
        if self.lent.to_vm(owner):
            return True
        peer = self._requesters.get(owner)
        if peer is None or peer.ask is None or not peer.ask.stands(now_ms):
            return False
        own = queue.first()
        if own is None or peer.ask.priority < own.arrival.priority:
            return True
        return peer.ask.told_ms() + RETURN_WAIT_MARGIN_MS > now_ms - own.arrived_ms

    def goes_first(self, ask: Ask, queue: WaitingLine, now_ms: float) -> bool:
        """Return whether a slot request precedes this VM's own queued requests.

        A lent slot is idle while the grant and the return are in transit.  An owner with queued
        requests of its own therefore lends to another owner only for a request of higher priority
        or with a far longer wait.  A VM that owns no endpoints can only borrow, so its requests
        are ordered with this VM's by age.
        """
        own = queue.first()
        if own is None:
            return True
        if own.arrival.priority != ask.priority:
            return ask.priority < own.arrival.priority
        own_ms = now_ms - own.arrived_ms
        if ask.vm not in self._peers:
            return ask.waited_ms(now_ms) > own_ms
        return (
            ask.told_ms() > own_ms + LEND_WAIT_MARGIN_MS and self.lent.count() < MAX_LENT_WITH_QUEUE
        )

    def asks(self, queue: WaitingLine, wait_ms: float, now_ms: float) -> list[Tell]:
        """Return the slot requests to send for the queued requests.

        `wait_ms` is how long the last queued request would wait for one of this VM's own slots; it
        is infinite if this VM has none.
        """
        first = queue.first()
        if first is None:
            return []
        peers = [
            peer
            for peer in self._peers.values()
            if not peer.silent and wait_ms > MIN_WAIT_ROUND_TRIPS * peer.round_trip_ms
        ]
        owns_none = wait_ms == float("inf")
        reserve = OWNER_RESERVE if wait_ms < LONG_WAIT_MS else LONG_WAIT_RESERVE
        if owns_none and now_ms - first.arrived_ms < REQUEST_ALL_AFTER_MS:
            peers = sorted(peers, key=lambda peer: peer.round_trip_ms)[:1]
        messages: list[Tell] = []
        for peer in peers:
            messages.extend(
                self._request_slots_of(peer, queue, 0.0 if owns_none else reserve, now_ms)
            )
        return messages

    def withdraw(self, now_ms: float) -> list[Tell]:
        """Return the messages that withdraw open slot requests, once the queue is empty."""
        messages: list[Tell] = []
        for peer in self._peers.values():
            if peer.sent_waiting:
                if peer.got >= peer.sent_waiting or now_ms - peer.sent_ms > ASK_LIFETIME_MS:
                    peer.sent_waiting = 0
                    continue
                peer.sent_waiting = 0
                messages.append(self._send(peer.vm, SlotAsk(self._service, 0, 0, 0), now_ms))
        return messages

    def grant(self, vm: str, addresses: Iterable[str], working: bool, now_ms: float) -> Tell:
        """Return the answer to a slot request; `working` is false if no owned endpoint works."""
        return self._send(vm, SlotGrant(self._service, tuple(addresses), working), now_ms)

    def may_grant(self, now_ms: float) -> bool:
        """Return whether the byte budget allows a grant."""
        return self._peer_bytes.has(now_ms)

    def give_back(
        self, slots: Iterable[tuple[str, str]], suspicion: Mapping[str, int], now_ms: float
    ) -> list[Tell]:
        """Return the messages that return slots to their owners.

        Each slot is an address and its owner; `suspicion` gives the evidence of trouble seen at an
        address.
        """
        by_owner: dict[str, list[str]] = {}
        for address, owner in slots:
            by_owner.setdefault(owner, []).append(address)
        messages: list[Tell] = []
        for owner, addresses in by_owner.items():
            evidence = tuple(suspicion.get(address, 0) for address in addresses)
            message = SlotReturn(self._service, tuple(addresses), evidence)
            messages.append(self._send(owner, message, now_ms))
        return messages

    def _send(self, vm: str, message: SlotAsk | SlotGrant | SlotReturn, now_ms: float) -> Tell:
        addresses = () if isinstance(message, SlotAsk) else message.addresses
        size = FRAME_BYTES + len(self._service) + sum(len(item) + 2 for item in addresses)
        self._peer_bytes.charge(size, now_ms)
        return Tell(vm, message)

    def _request_slots_of(
        self, peer: Peer, queue: WaitingLine, reserve: float, now_ms: float
    ) -> list[Tell]:
        since_ms = now_ms - peer.sent_ms
        has_grown = len(queue) > 2 * peer.sent_waiting
        if since_ms < MIN_RESEND_MS or (since_ms < RESEND_MS and not has_grown):
            return []
        if not self._peer_bytes.has(now_ms, reserve):
            return []
        peer.sent_ms = now_ms
        peer.sent_waiting = len(queue)
        peer.got = 0
        if peer.asked_ms is None:
            peer.asked_ms = now_ms
        first = queue.first()
        oldest_ms = int(now_ms - first.arrived_ms)
        message = SlotAsk(self._service, int(first.arrival.priority), len(queue), oldest_ms)
        return [self._send(peer.vm, message, now_ms)]


def _rank(ask: Ask, now_ms: float) -> tuple[int, float]:
    return (ask.priority, -ask.waited_ms(now_ms))
