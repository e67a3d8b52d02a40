"""Slot lending between the VMs of one service: which VMs to ask, what to grant and what to return.

Layer: coordination, free of input and output: methods return `SendMessage` actions.  One token
bucket limits the bytes that all services of a daemon send for lending.  While it is empty, no slots
are requested or granted, and requests wait for the VM's own slots.  Slot requests between owners
leave a reserve in the bucket for VMs that own no endpoints and can only borrow.
"""

from collections.abc import Iterable, Mapping

from cloverhook.lending import (
    LOAN_MS,
    SLOT_REQUEST_LIFETIME_MS,
    BorrowedSlots,
    LendingPeer,
    LentSlots,
    PeerSlotRequest,
)
from cloverhook.messages import SlotGrant, SlotRequest, SlotReturn
from cloverhook.request_queue import RequestQueue
from cloverhook.routing_events import SendMessage
from cloverhook.token_bucket import TokenBucket

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
        self._peers: dict[str, LendingPeer] = {}
        self._requesters: dict[str, LendingPeer] = {}
        self.borrowed = BorrowedSlots()
        self.lent = LentSlots()

    def set_owners(self, vms: Iterable[str]) -> None:
        """Set the other VMs that own endpoints of the service."""
        self._peers = {vm: self._peers.get(vm, LendingPeer(vm)) for vm in vms}

    def unresponsive_owners(self) -> set[str]:
        """Return the owners that don't answer slot requests."""
        return {peer.vm for peer in self._peers.values() if peer.unresponsive}

    def can_send_request(self, now_ms: float) -> bool:
        """Return whether the byte budget allows a slot request."""
        return self._peer_bytes.has(now_ms)

    def has_working_peer(self) -> bool:
        """Return whether any other owner that answers may have a working endpoint."""
        return any(
            peer.has_working_endpoint and not peer.unresponsive for peer in self._peers.values()
        )

    def has_responsive_peer(self) -> bool:
        """Return whether any other owner answers slot requests."""
        return any(not peer.unresponsive for peer in self._peers.values())

    def next_wake_ms(self, now_ms: float, waiting: bool) -> float:
        """Return when the exchange next needs a tick, or infinity if it needs none.

        `waiting` says whether requests are queued.  Slot requests of other VMs expire after a short
        time, and those of this VM are withdrawn soon after its queue becomes empty.
        """
        wake_ms = self.lent.next_expiry_ms()
        if any(peer.slot_request is not None for peer in self._requesters.values()):
            wake_ms = min(wake_ms, now_ms + TICK_MS)
        for peer in self._peers.values():
            if peer.unanswered_since_ms is not None and not peer.unresponsive:
                wake_ms = min(wake_ms, peer.unanswered_since_ms + ANSWER_TIMEOUT_MS)
            if peer.requested_slots and not waiting:
                wake_ms = min(wake_ms, now_ms + TICK_MS)
        if self.borrowed.idle and not waiting:
            wake_ms = min(wake_ms, now_ms + TICK_MS)
        return wake_ms

    def detect_unresponsive(self, now_ms: float) -> bool:
        """Mark owners that leave a slot request unanswered as unresponsive.

        Returns whether an owner has been newly marked.
        """
        newly_marked = False
        for peer in self._peers.values():
            is_overdue = (
                peer.unanswered_since_ms is not None
                and now_ms - peer.unanswered_since_ms > ANSWER_TIMEOUT_MS
            )
            if is_overdue and not peer.unresponsive:
                peer.unresponsive = True
                newly_marked = True
        return newly_marked

    def record_message(self, vm: str, now_ms: float) -> bool:
        """Record a message of any kind from a VM.

        Returns whether the VM is an owner that had been unresponsive.
        """
        peer = self._peers.get(vm)
        if peer is None:
            return False
        was_silent, peer.unresponsive = peer.unresponsive, False
        return was_silent

    def record_request(self, vm: str, message: SlotRequest, now_ms: float) -> None:
        """Record the slot request of another VM, or its withdrawal."""
        peer = self._requesters.setdefault(vm, LendingPeer(vm))
        peer.slot_request = (
            PeerSlotRequest.from_message(vm, message, now_ms) if message.waiting else None
        )

    def record_grant(
        self, vm: str, message: SlotGrant, addresses: Iterable[str], now_ms: float
    ) -> None:
        """Record the answer to a slot request.

        `addresses` are the granted addresses that this VM has in its configuration.
        """
        peer = self._peers.get(vm)
        if peer is not None:
            peer.record_answer(now_ms)
            peer.has_working_endpoint = message.has_working_endpoint
            peer.granted_slots += len(message.addresses)
        for address in addresses:
            self.borrowed.add_idle(address, vm, now_ms + LOAN_MS, now_ms)

    def best_request(self, now_ms: float) -> PeerSlotRequest | None:
        """Return the open slot request with the highest priority and then the longest wait.

        Slot requests of owners are skipped while this VM itself holds borrowed slots.
        """
        best: PeerSlotRequest | None = None
        for peer in self._requesters.values():
            if peer.slot_request is None:
                continue
            if not peer.slot_request.is_open(now_ms):
                peer.slot_request = None
            elif self.borrowed.count and peer.vm in self._peers:
                continue
            elif best is None or _rank(peer.slot_request, now_ms) < _rank(best, now_ms):
                best = peer.slot_request
        return best

    def should_return(self, owner: str, queue: RequestQueue, now_ms: float) -> bool:
        """Return whether a slot borrowed from this owner should be returned after its use."""
        if self.lent.has_lent_to(owner):
            return True
        peer = self._requesters.get(owner)
        if peer is None or peer.slot_request is None or not peer.slot_request.is_open(now_ms):
            return False
        own = queue.first()
        if own is None or peer.slot_request.priority < own.arrival.priority:
            return True
        return (
            peer.slot_request.wait_when_sent_ms() + RETURN_WAIT_MARGIN_MS > now_ms - own.arrived_ms
        )

    def precedes_own_queue(
        self, slot_request: PeerSlotRequest, queue: RequestQueue, now_ms: float
    ) -> bool:
        """Return whether a slot request precedes this VM's own queued requests.

        A lent slot is idle while the grant and the return are in transit.  An owner with queued
        requests of its own therefore lends to another owner only for a request of higher priority
        or with a far longer wait.  A VM that owns no endpoints can only borrow, so its requests
        are ordered with this VM's by age.
        """
        own = queue.first()
        if own is None:
            return True
        if own.arrival.priority != slot_request.priority:
            return slot_request.priority < own.arrival.priority
        own_ms = now_ms - own.arrived_ms
        if slot_request.vm not in self._peers:
            return slot_request.estimated_wait_ms(now_ms) > own_ms
        return (
            slot_request.wait_when_sent_ms() > own_ms + LEND_WAIT_MARGIN_MS
            and self.lent.count() < MAX_LENT_WITH_QUEUE
        )

    def request_slots(
        self, queue: RequestQueue, wait_ms: float, now_ms: float
    ) -> list[SendMessage]:
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
            if not peer.unresponsive and wait_ms > MIN_WAIT_ROUND_TRIPS * peer.round_trip_ms
        ]
        owns_none = wait_ms == float("inf")
        reserve = OWNER_RESERVE if wait_ms < LONG_WAIT_MS else LONG_WAIT_RESERVE
        if owns_none and now_ms - first.arrived_ms < REQUEST_ALL_AFTER_MS:
            peers = sorted(peers, key=lambda peer: peer.round_trip_ms)[:1]
        messages: list[SendMessage] = []
        for peer in peers:
            messages.extend(
                self._request_slots_of(peer, queue, 0.0 if owns_none else reserve, now_ms)
            )
        return messages

    def withdraw_requests(self, now_ms: float) -> list[SendMessage]:
        """Return the messages that withdraw open slot requests, once the queue is empty."""
        messages: list[SendMessage] = []
        for peer in self._peers.values():
            if peer.requested_slots:
                if (
                    peer.granted_slots >= peer.requested_slots
                    or now_ms - peer.last_request_ms > SLOT_REQUEST_LIFETIME_MS
                ):
                    peer.requested_slots = 0
                    continue
                peer.requested_slots = 0
                messages.append(self._send(peer.vm, SlotRequest(self._service, 0, 0, 0), now_ms))
        return messages

    def grant_slots(
        self, vm: str, addresses: Iterable[str], working: bool, now_ms: float
    ) -> SendMessage:
        """Return the answer to a slot request; `working` is false if no owned endpoint works."""
        return self._send(vm, SlotGrant(self._service, tuple(addresses), working), now_ms)

    def can_send_grant(self, now_ms: float) -> bool:
        """Return whether the byte budget allows a grant."""
        return self._peer_bytes.has(now_ms)

    def return_slots(
        self, slots: Iterable[tuple[str, str]], failure_evidence: Mapping[str, int], now_ms: float
    ) -> list[SendMessage]:
        """Return the messages that return slots to their owners.

        Each slot is an address and its owner; `failure_evidence` gives the evidence of trouble that
        this VM has for an address.
        """
        by_owner: dict[str, list[str]] = {}
        for address, owner in slots:
            by_owner.setdefault(owner, []).append(address)
        messages: list[SendMessage] = []
        for owner, addresses in by_owner.items():
            evidence = tuple(failure_evidence.get(address, 0) for address in addresses)
            message = SlotReturn(self._service, tuple(addresses), evidence)
            messages.append(self._send(owner, message, now_ms))
        return messages

    def _send(
        self, vm: str, message: SlotRequest | SlotGrant | SlotReturn, now_ms: float
    ) -> SendMessage:
        addresses = () if isinstance(message, SlotRequest) else message.addresses
        size = FRAME_BYTES + len(self._service) + sum(len(item) + 2 for item in addresses)
        self._peer_bytes.charge(size, now_ms)
        return SendMessage(vm, message)

    def _request_slots_of(
        self, peer: LendingPeer, queue: RequestQueue, reserve: float, now_ms: float
    ) -> list[SendMessage]:
        since_ms = now_ms - peer.last_request_ms
        has_grown = len(queue) > 2 * peer.requested_slots
        if since_ms < MIN_RESEND_MS or (since_ms < RESEND_MS and not has_grown):
            return []
        if not self._peer_bytes.has(now_ms, reserve):
            return []
        peer.last_request_ms = now_ms
        peer.requested_slots = len(queue)
        peer.granted_slots = 0
        if peer.unanswered_since_ms is None:
            peer.unanswered_since_ms = now_ms
        first = queue.first()
        oldest_ms = int(now_ms - first.arrived_ms)
        message = SlotRequest(self._service, int(first.arrival.priority), len(queue), oldest_ms)
        return [self._send(peer.vm, message, now_ms)]


def _rank(slot_request: PeerSlotRequest, now_ms: float) -> tuple[int, float]:
    return (slot_request.priority, -slot_request.estimated_wait_ms(now_ms))
