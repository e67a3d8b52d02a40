"""Lending between the VMs of one service: whom to ask, what to grant, what to give back.

Layer: coordination, free of input and output: methods return `Tell` actions.  The bytes that all
services of a daemon send for this are bounded by one token bucket; when it is empty, nothing is
asked or granted and requests wait for the VM's own slots.  Asks among owners leave a reserve for
VMs that own nothing and have no other way.
"""

from collections.abc import Iterable, Mapping

from cloverhook.lending import ASK_LIFETIME_MS, LOAN_MS, Ask, Borrowed, Lent, Peer
from cloverhook.messages import SlotAsk, SlotGrant, SlotReturn
from cloverhook.routing_events import Tell
from cloverhook.token_bucket import TokenBucket
from cloverhook.waiting import WaitingLine

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
        self._peers: dict[str, Peer] = {}
        self._others: dict[str, Peer] = {}
        self.borrowed = Borrowed()
        self.lent = Lent()

    def set_owners(self, vms: Iterable[str]) -> None:
        """Take the other VMs that own endpoints of the service."""
        self._peers = {vm: self._peers.get(vm, Peer(vm)) for vm in vms}

    def silent(self) -> set[str]:
        """Return the owners that don't answer."""
        return {peer.vm for peer in self._peers.values() if peer.silent}

    def may_ask(self, now_ms: float) -> bool:
        """Return whether there are bytes left for an ask."""
        return self._peer_bytes.has(now_ms)

    def peers_working(self) -> bool:
        """Return whether any other owner may have an endpoint that works."""
        return any(peer.working and not peer.silent for peer in self._peers.values())

    def has_peers(self) -> bool:
        """Return whether another owner can be asked."""
        return any(not peer.silent for peer in self._peers.values())

    def next_wake_ms(self, now_ms: float, waiting: bool) -> float:
        """Return when time alone next changes something here, `waiting` telling of requests.

        An ask of another VM stands for a short time, and one of this VM's is taken back soon after
        its last request has gone.
        """
        wake_ms = self.lent.next_end_ms()
        if any(peer.ask is not None for peer in self._others.values()):
            wake_ms = min(wake_ms, now_ms + LOOK_AGAIN_MS)
        for peer in self._peers.values():
            if peer.asked_ms is not None and not peer.silent:
                wake_ms = min(wake_ms, peer.asked_ms + SILENT_MS)
            if peer.sent_waiting and not waiting:
                wake_ms = min(wake_ms, now_ms + LOOK_AGAIN_MS)
        if self.borrowed.idle and not waiting:
            wake_ms = min(wake_ms, now_ms + LOOK_AGAIN_MS)
        return wake_ms

    def find_silent(self, now_ms: float) -> bool:
        """Return whether an owner has become silent: an ask stays without an answer."""
        found = False
        for peer in self._peers.values():
            late = peer.asked_ms is not None and now_ms - peer.asked_ms > SILENT_MS
            if late and not peer.silent:
                peer.silent = True
                found = True
        return found

    def heard(self, vm: str, now_ms: float) -> bool:
        """Take any message of a VM; return whether an owner that was silent speaks again."""
        peer = self._peers.get(vm)
        if peer is None:
            return False
        was_silent, peer.silent = peer.silent, False
        return was_silent

    def take_ask(self, vm: str, message: SlotAsk, now_ms: float) -> None:
        """Take what another VM waits for."""
        peer = self._others.setdefault(vm, Peer(vm))
        peer.ask = Ask.from_message(vm, message, now_ms) if message.waiting else None

    def take_grant(
        self, vm: str, message: SlotGrant, addresses: Iterable[str], now_ms: float
    ) -> None:
        """Take the answer to an ask; `addresses` are those of its slots that are known here."""
        peer = self._peers.get(vm)
        if peer is not None:
            peer.heard(now_ms)
            peer.working = message.working
            peer.got += len(message.addresses)
        for address in addresses:
            self.borrowed.put(address, vm, now_ms + LOAN_MS, now_ms)

    def best_ask(self, now_ms: float) -> Ask | None:
        """Return the ask that comes first: the most important, then the longest waiting."""
        best: Ask | None = None
        for peer in self._others.values():
            if peer.ask is None:
                continue
            if not peer.ask.stands(now_ms):
                peer.ask = None
            elif self.borrowed.count and peer.vm in self._peers:
                continue
            elif best is None or _rank(peer.ask, now_ms) < _rank(best, now_ms):
                best = peer.ask
        return best

    def wants_back(self, owner: str, line: WaitingLine, now_ms: float) -> bool:
        """Return whether a slot borrowed from this owner should go back after its use."""
        if self.lent.to_vm(owner):
            return True
        peer = self._others.get(owner)
        if peer is None or peer.ask is None or not peer.ask.stands(now_ms):
            return False
        own = line.first()
        if own is None or peer.ask.priority < own.arrival.priority:
            return True
        return peer.ask.told_ms() + KEEP_MARGIN_MS > now_ms - own.arrived_ms

    def goes_first(self, ask: Ask, line: WaitingLine, now_ms: float) -> bool:
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
            return ask.waited_ms(now_ms) > own_ms
        return ask.told_ms() > own_ms + FAR_LONGER_MS and self.lent.count() < LENT_IN_NEED

    def asks(self, line: WaitingLine, wait_ms: float, now_ms: float) -> list[Tell]:
        """Return the asks that the waiting requests call for now.

        `wait_ms` is how long the last of them would wait for a slot of this VM's own.
        """
        first = line.first()
        if first is None:
            return []
        peers = [
            peer
            for peer in self._peers.values()
            if not peer.silent and wait_ms > ASK_AT_ROUND_TRIPS * peer.round_trip_ms
        ]
        owns_none = wait_ms == float("inf")
        reserve = OWNERS_RESERVE if wait_ms < LONG_WAIT_MS else LONG_WAIT_RESERVE
        if owns_none and now_ms - first.arrived_ms < ASK_ALL_AFTER_MS:
            peers = sorted(peers, key=lambda peer: peer.round_trip_ms)[:1]
        tells: list[Tell] = []
        for peer in peers:
            tells.extend(self._ask(peer, line, 0.0 if owns_none else reserve, now_ms))
        return tells

    def withdraw(self, now_ms: float) -> list[Tell]:
        """Return the messages that take back asks once nothing waits any longer."""
        tells: list[Tell] = []
        for peer in self._peers.values():
            if peer.sent_waiting:
                if peer.got >= peer.sent_waiting or now_ms - peer.sent_ms > ASK_LIFETIME_MS:
                    peer.sent_waiting = 0
                    continue
                peer.sent_waiting = 0
                tells.append(self._tell(peer.vm, SlotAsk(self._service, 0, 0, 0), now_ms))
        return tells

    def grant(self, vm: str, addresses: Iterable[str], working: bool, now_ms: float) -> Tell:
        """Return the answer to an ask."""
        return self._tell(vm, SlotGrant(self._service, tuple(addresses), working), now_ms)

    def may_grant(self, now_ms: float) -> bool:
        """Return whether there are bytes left for a grant."""
        return self._peer_bytes.has(now_ms)

    def give_back(
        self, slots: Iterable[tuple[str, str]], suspicion: Mapping[str, int], now_ms: float
    ) -> list[Tell]:
        """Return the messages that give slots, each an address and its owner, back."""
        by_owner: dict[str, list[str]] = {}
        for address, owner in slots:
            by_owner.setdefault(owner, []).append(address)
        tells: list[Tell] = []
        for owner, addresses in by_owner.items():
            evidence = tuple(suspicion.get(address, 0) for address in addresses)
            message = SlotReturn(self._service, tuple(addresses), evidence)
            tells.append(self._tell(owner, message, now_ms))
        return tells

    def _tell(self, vm: str, message: SlotAsk | SlotGrant | SlotReturn, now_ms: float) -> Tell:
        addresses = () if isinstance(message, SlotAsk) else message.addresses
        size = FRAME_BYTES + len(self._service) + sum(len(item) + 2 for item in addresses)
        self._peer_bytes.charge(size, now_ms)
        return Tell(vm, message)

    def _ask(self, peer: Peer, line: WaitingLine, reserve: float, now_ms: float) -> list[Tell]:
        since_ms = now_ms - peer.sent_ms
        grown = len(line) > 2 * peer.sent_waiting
        if since_ms < ASK_PACE_MS or (since_ms < ASK_AGAIN_MS and not grown):
            return []
        if not self._peer_bytes.has(now_ms, reserve):
            return []
        peer.sent_ms = now_ms
        peer.sent_waiting = len(line)
        peer.got = 0
        if peer.asked_ms is None:
            peer.asked_ms = now_ms
        first = line.first()
        oldest_ms = int(now_ms - first.arrived_ms)
        message = SlotAsk(self._service, int(first.arrival.priority), len(line), oldest_ms)
        return [self._tell(peer.vm, message, now_ms)]


def _rank(ask: Ask, now_ms: float) -> tuple[int, float]:
    return (ask.priority, -ask.waited_ms(now_ms))
