"""Decides which VMs get a large state from this VM, and which are referred to another holder.

Layer: coordination.  All neighbours request a changed state within a short time, and links and VMs
are slow: if it were sent to all of them at once, every copy would be late.  Therefore three copies
are sent at a time, and each VM that has received one takes over half of the waiting VMs, so that
the number of senders doubles with each round.  Only a few copies are sent to a remote data centre;
its VMs relay them.

>>> queue = TransferQueue("papine")
>>> requesters = [Requester(f"10.1.0.{number}:1", "papine") for number in range(7)]
>>> [[type(action).__name__ for action in queue.request_transfer(vm)] for vm in requesters]
[['Send'], ['Send'], ['Send'], [], [], [], []]
>>> [type(action).__name__ for action in queue.transfer_ended(requesters[0], received=True)]
['Refer', 'Refer', 'Send']
"""

from dataclasses import dataclass

__all__ = ["Requester", "Refer", "Send", "TransferQueue"]

CONCURRENT_SENDS = 3
"""How many transfers run at once: a VM that is slow or gone must not hold up the others."""
REMOTE_COPIES = 2
"""How many copies are sent to a remote data centre.  Traffic between data centres costs money, so
there are few; with two, one of the receivers may be restarted."""
WAITING_LIMIT = 512


@dataclass(frozen=True, slots=True)
class Requester:
    """A VM that requests the state: the address at which it serves peers, and its data centre."""

    peer_address: str
    data_center: str


@dataclass(frozen=True, slots=True)
class Send:
    """An action: send the state to a VM, and report the end to `TransferQueue.transfer_ended`."""

    requester: Requester


@dataclass(frozen=True, slots=True)
class Refer:
    """An action: refer a VM to another holder; without an address it asks any VM again."""

    requester: Requester
    peer_address: str | None


class TransferQueue:
    """The VMs that request one version of a state from this VM, in the order of their requests."""

    def __init__(self, data_center: str) -> None:
        self._data_center = data_center
        self._waiting: list[Requester] = []
        self._sending: set[Requester] = set()
        self._received: dict[str, list[Requester]] = {}
        self._referred: set[Requester] = set()

    def request_transfer(self, requester: Requester) -> list[Send | Refer]:
        """Add a request and return the actions due now; its own may come with a later call.

        A VM that asks again after a referral did not get the state there, so it is served here.
        """
        if self._has_enough_copies(requester.data_center) and requester not in self._referred:
            return [self._refer(requester)]
        if len(self._waiting) >= WAITING_LIMIT or requester in self._waiting:
            return [Refer(requester, None)]
        self._waiting.append(requester)
        return self._send_next()

    def withdraw(self, requester: Requester) -> Refer:
        """Remove a VM that has waited for too long, and refer it to another holder."""
        self._waiting.remove(requester)
        return self._refer(requester)

    def transfer_ended(self, requester: Requester, received: bool) -> list[Send | Refer]:
        """Record the end of a transfer, and whether the VM has received the whole state."""
        self._sending.discard(requester)
        actions: list[Send | Refer] = []
        if received:
            self._received.setdefault(requester.data_center, []).append(requester)
            actions += self._hand_over(requester)
        return actions + self._send_next()

    def _hand_over(self, receiver: Requester) -> list[Send | Refer]:
        """Refer every second waiting VM of the receiver's data centre to the receiver.

        All of them are referred if that data centre has enough copies.
        """
        neighbours = [item for item in self._waiting if item.data_center == receiver.data_center]
        step = 1 if self._has_enough_copies(receiver.data_center) else 2
        referred = neighbours[::step]
        self._waiting = [item for item in self._waiting if item not in referred]
        self._referred.update(referred)
        return [Refer(item, receiver.peer_address) for item in referred]

    def _has_enough_copies(self, data_center: str) -> bool:
        """Return whether a remote data centre has enough copies to spread them by itself."""
        copies = len(self._received.get(data_center, ()))
        return data_center != self._data_center and copies >= REMOTE_COPIES

    def _refer(self, requester: Requester) -> Refer:
        """Refer a VM to the VM of its data centre that has received the state last."""
        self._referred.add(requester)
        received = self._received.get(requester.data_center, ())
        others = [item for item in received if item != requester]
        return Refer(requester, others[-1].peer_address if others else None)

    def _send_next(self) -> list[Send | Refer]:
        """Start transfers up to the limit, first to the data centre with the fewest copies."""
        actions: list[Send | Refer] = []
        while self._waiting and len(self._sending) < CONCURRENT_SENDS:
            requester = min(self._waiting, key=lambda item: self._copies_to(item.data_center))
            self._waiting.remove(requester)
            self._sending.add(requester)
            actions.append(Send(requester))
        return actions

    def _copies_to(self, data_center: str) -> int:
        under_way = sum(item.data_center == data_center for item in self._sending)
        return under_way + len(self._received.get(data_center, ()))
