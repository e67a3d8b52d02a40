"""Lending between the VMs of one service: whom to ask, what to grant, what to give back.

Layer: coordination, free of input and output: methods return `SendMessage` actions.  The bytes that
all services of a daemon send for this are bounded by one token bucket; when it is empty, nothing is
asked or granted and requests wait for the VM's own slots.  Asks among owners leave a reserve for
VMs that own nothing and have no other way.
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
from cloverhook.routing_events import SendMessage
from cloverhook.token_bucket import TokenBucket
from cloverhook.waiting import RequestQueue

__all__ = ["SlotExchange"]

SILENT_MS = 60.0
LOOK_AGAIN_MS = 10.0
ASK_AGAIN_MS = 15.0
ASK_PACE_MS = 3.0
IDLE_LOAN_MS = 0.0
FRAME_BYTES = 24
OWNERS_RESERVE = 0.6
LONG_WAIT_MS = 20.0
LONG_WAIT_RESERVE = 0.2
ASK_ALL_AFTER_MS = 15.0
FAR_LONGER_MS = 40.0
LENT_IN_NEED = 4
KEEP_MARGIN_MS = 0.0
ASK_AT_ROUND_TRIPS = 1.0


class SlotExchange:
    """The lending of one service in one VM."""

    def __init__(self, service: str, peer_bytes: TokenBucket) -> None:
        self._service = service
        self._peer_bytes = peer_bytes
        self._peers: dict[str, LendingPeer] = {}
        self._others: dict[str, LendingPeer] = {}
        self.borrowed = BorrowedSlots()
        self.lent = LentSlots()

    def set_owners(self, vms: Iterable[str]) -> None:
        """Take the other VMs that own endpoints of the service."""
        self._peers = {vm: self._peers.get(vm, LendingPeer(vm)) for vm in vms}

    def unresponsive_owners(self) -> set[str]:
        """Return the owners that don't answer."""
        return {peer.vm for peer in self._peers.values() if peer.unresponsive}

    def can_send_request(self, now_ms: float) -> bool:
        """Return whether there are bytes left for an ask."""
        return self._peer_bytes.has(now_ms)

    def has_working_peer(self) -> bool:
        """Return whether any other owner may have an endpoint that works."""
        return any(
            peer.has_working_endpoint and not peer.unresponsive for peer in self._peers.values()
        )

    def has_responsive_peer(self) -> bool:
        """Return whether another owner can be asked."""
        return any(not peer.unresponsive for peer in self._peers.values())

    def next_wake_ms(self, now_ms: float, waiting: bool) -> float:
        """Return when time alone next changes something here, `waiting` telling of requests.

        An ask of another VM stands for a short time, and one of this VM's is taken back soon after
        its last request has gone.
        """
        wake_ms = self.lent.next_expiry_ms()
        if any(peer.slot_request is not None for peer in self._others.values()):
            wake_ms = min(wake_ms, now_ms + LOOK_AGAIN_MS)
        for peer in self._peers.values():
            if peer.unanswered_since_ms is not None and not peer.unresponsive:
                wake_ms = min(wake_ms, peer.unanswered_since_ms + SILENT_MS)
            if peer.requested_slots and not waiting:
                wake_ms = min(wake_ms, now_ms + LOOK_AGAIN_MS)
        if self.borrowed.idle and not waiting:
            wake_ms = min(wake_ms, now_ms + LOOK_AGAIN_MS)
        return wake_ms

    def detect_unresponsive(self, now_ms: float) -> bool:
        """Return whether an owner has become silent: an ask stays without an answer."""
        found = False
        for peer in self._peers.values():
            late = (
                peer.unanswered_since_ms is not None
                and now_ms - peer.unanswered_since_ms > SILENT_MS
            )
            if late and not peer.unresponsive:
                peer.unresponsive = True
                found = True
        return found

    def record_message(self, vm: str, now_ms: float) -> bool:
        """Take any message of a VM; return whether an owner that was silent speaks again."""
        peer = self._peers.get(vm)
        if peer is None:
            return False
        was_silent, peer.unresponsive = peer.unresponsive, False
        return was_silent

    def record_request(self, vm: str, message: SlotRequest, now_ms: float) -> None:
        """Take what another VM waits for."""
        peer = self._others.setdefault(vm, LendingPeer(vm))
        peer.slot_request = (
            PeerSlotRequest.from_message(vm, message, now_ms) if message.waiting else None
        )

    def record_grant(
        self, vm: str, message: SlotGrant, addresses: Iterable[str], now_ms: float
    ) -> None:
        """Take the answer to an ask; `addresses` are those of its slots that are known here."""
        peer = self._peers.get(vm)
        if peer is not None:
            peer.record_answer(now_ms)
            peer.has_working_endpoint = message.has_working_endpoint
            peer.granted_slots += len(message.addresses)
        for address in addresses:
            self.borrowed.add_idle(address, vm, now_ms + LOAN_MS, now_ms)

    def best_request(self, now_ms: float) -> PeerSlotRequest | None:
        """Return the ask that comes first: the most important, then the longest waiting."""
        best: PeerSlotRequest | None = None
        for peer in self._others.values():
            if peer.slot_request is None:
                continue
            if not peer.slot_request.is_open(now_ms):
                peer.slot_request = None
            elif self.borrowed.count and peer.vm in self._peers:
                continue
            elif best is None or _rank(peer.slot_request, now_ms) < _rank(best, now_ms):
                best = peer.slot_request
        return best

    def should_return(self, owner: str, line: RequestQueue, now_ms: float) -> bool:
        """Return whether a slot borrowed from this owner should go back after its use."""
        if self.lent.has_lent_to(owner):
            return True
        peer = self._others.get(owner)
        if peer is None or peer.slot_request is None or not peer.slot_request.is_open(now_ms):
            return False
        own = line.first()
        if own is None or peer.slot_request.priority < own.arrival.priority:
            return True
        return peer.slot_request.wait_when_sent_ms() + KEEP_MARGIN_MS > now_ms - own.arrived_ms

    def precedes_own_queue(self, ask: PeerSlotRequest, line: RequestQueue, now_ms: float) -> bool:
        """Return whether an ask comes before this VM's own waiting requests.

        A slot that is lent stands idle on the way there and back.  So an owner that has requests
        of its own waiting lends to another owner only for a more important one or a far longer
        wait.  A VM that owns nothing has no other way, so its requests take their turn by age.
        """
        own = line.first()
        if own is None:
            return True
        if own.arrival.priority != ask.priority:
            return ask.priority < own.arrival.priority
        own_ms = now_ms - own.arrived_ms
        if ask.vm not in self._peers:
            return ask.estimated_wait_ms(now_ms) > own_ms
        return ask.wait_when_sent_ms() > own_ms + FAR_LONGER_MS and self.lent.count() < LENT_IN_NEED

    def request_slots(self, line: RequestQueue, wait_ms: float, now_ms: float) -> list[SendMessage]:
        """Return the asks that the waiting requests call for now.

        `wait_ms` is how long the last of them would wait for a slot of this VM's own.
        """
        first = line.first()
        if first is None:
            return []
        peers = [
            peer
            for peer in self._peers.values()
            if not peer.unresponsive and wait_ms > ASK_AT_ROUND_TRIPS * peer.round_trip_ms
        ]
        owns_none = wait_ms == float("inf")
        reserve = OWNERS_RESERVE if wait_ms < LONG_WAIT_MS else LONG_WAIT_RESERVE
        if owns_none and now_ms - first.arrived_ms < ASK_ALL_AFTER_MS:
            peers = sorted(peers, key=lambda peer: peer.round_trip_ms)[:1]
        tells: list[SendMessage] = []
        for peer in peers:
            tells.extend(self._ask(peer, line, 0.0 if owns_none else reserve, now_ms))
        return tells

    def withdraw_requests(self, now_ms: float) -> list[SendMessage]:
        """Return the messages that take back asks once nothing waits any longer."""
        tells: list[SendMessage] = []
        for peer in self._peers.values():
            if peer.requested_slots:
                if (
                    peer.granted_slots >= peer.requested_slots
                    or now_ms - peer.last_request_ms > SLOT_REQUEST_LIFETIME_MS
                ):
                    peer.requested_slots = 0
                    continue
                peer.requested_slots = 0
                tells.append(self._tell(peer.vm, SlotRequest(self._service, 0, 0, 0), now_ms))
        return tells

    def grant_slots(
        self, vm: str, addresses: Iterable[str], working: bool, now_ms: float
    ) -> SendMessage:
        """Return the answer to an ask."""
        return self._tell(vm, SlotGrant(self._service, tuple(addresses), working), now_ms)

    def can_send_grant(self, now_ms: float) -> bool:
        """Return whether there are bytes left for a grant."""
        return self._peer_bytes.has(now_ms)

    def return_slots(
        self, slots: Iterable[tuple[str, str]], suspicion: Mapping[str, int], now_ms: float
    ) -> list[SendMessage]:
        """Return the messages that give slots, each an address and its owner, back."""
        by_owner: dict[str, list[str]] = {}
        for address, owner in slots:
            by_owner.setdefault(owner, []).append(address)
        tells: list[SendMessage] = []
        for owner, addresses in by_owner.items():
            evidence = tuple(suspicion.get(address, 0) for address in addresses)
            message = SlotReturn(self._service, tuple(addresses), evidence)
            tells.append(self._tell(owner, message, now_ms))
        return tells

    def _tell(
        self, vm: str, message: SlotRequest | SlotGrant | SlotReturn, now_ms: float
    ) -> SendMessage:
        addresses = () if isinstance(message, SlotRequest) else message.addresses
        size = FRAME_BYTES + len(self._service) + sum(len(item) + 2 for item in addresses)
        self._peer_bytes.charge(size, now_ms)
        return SendMessage(vm, message)

    def _ask(
        self, peer: LendingPeer, line: RequestQueue, reserve: float, now_ms: float
    ) -> list[SendMessage]:
        since_ms = now_ms - peer.last_request_ms
        grown = len(line) > 2 * peer.requested_slots
        if since_ms < ASK_PACE_MS or (since_ms < ASK_AGAIN_MS and not grown):
            return []
        if not self._peer_bytes.has(now_ms, reserve):
            return []
        peer.last_request_ms = now_ms
        peer.requested_slots = len(line)
        peer.granted_slots = 0
        if peer.unanswered_since_ms is None:
            peer.unanswered_since_ms = now_ms
        first = line.first()
        oldest_ms = int(now_ms - first.arrived_ms)
        message = SlotRequest(self._service, int(first.arrival.priority), len(line), oldest_ms)
        return [self._tell(peer.vm, message, now_ms)]


def _rank(ask: PeerSlotRequest, now_ms: float) -> tuple[int, float]:
    return (ask.priority, -ask.estimated_wait_ms(now_ms))
