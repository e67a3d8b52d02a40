"""Decides whom this VM sends a large state, and whom it refers to another VM that has it by then.

Layer: coordination.  All neighbours ask within moments of a change, over links and at VMs that
are slow: sent to all at once, each copy would be late.  So three copies are sent at a time, and
each VM that has received one takes over half of those that wait: the number of senders doubles with
each round.  To another data centre few copies go; its VMs pass them on.

>>> queue = TransferQueue("papine")
>>> askers = [Requester(f"10.1.0.{number}:1", "papine") for number in range(7)]
>>> [[type(action).__name__ for action in queue.request_transfer(asker)] for asker in askers]
[['Send'], ['Send'], ['Send'], [], [], [], []]
>>> [type(action).__name__ for action in queue.transfer_ended(askers[0], received=True)]
['Refer', 'Refer', 'Send']
"""

from dataclasses import dataclass

__all__ = ["Requester", "Refer", "Send", "TransferQueue"]

SENDS_AT_ONCE = 3
"""One that is slow or has gone must not hold up the rest."""
FAR_COPIES = 2
"""Bytes between data centres are paid for; of two receivers one may be restarted."""
WAITING_LIMIT = 512


@dataclass(frozen=True, slots=True)
class Requester:
    """A VM that wants the state: where it serves it to others, and its data centre."""

    peer_address: str
    data_center: str


@dataclass(frozen=True, slots=True)
class Send:
    """Send the state to a VM, and report the end to `TransferQueue.transfer_ended`."""

    requester: Requester


@dataclass(frozen=True, slots=True)
class Refer:
    """Tell a VM to ask at another one; with no address, to ask again anywhere."""

    requester: Requester
    peer_address: str | None


class TransferQueue:
    """The VMs that want one version of a state from this one, in the order in which they asked."""

    def __init__(self, data_center: str) -> None:
        self._data_center = data_center
        self._waiting: list[Requester] = []
        self._sending: set[Requester] = set()
        self._received: dict[str, list[Requester]] = {}
        self._referred: set[Requester] = set()

    def request_transfer(self, asker: Requester) -> list[Send | Refer]:
        """Take a question; the answer may come with a later call.

        One that comes back after it was referred has found nobody there: it is served here.
        """
        if self._is_served_elsewhere(asker.data_center) and asker not in self._referred:
            return [self._refer(asker)]
        if len(self._waiting) >= WAITING_LIMIT or asker in self._waiting:
            return [Refer(asker, None)]
        self._waiting.append(asker)
        return self._send_next()

    def withdraw(self, asker: Requester) -> Refer:
        """Let one that has waited for long ask elsewhere."""
        self._waiting.remove(asker)
        return self._refer(asker)

    def transfer_ended(self, asker: Requester, received: bool) -> list[Send | Refer]:
        """Note the end of a transfer, and whether the VM has the whole state now."""
        self._sending.discard(asker)
        actions: list[Send | Refer] = []
        if received:
            self._received.setdefault(asker.data_center, []).append(asker)
            actions += self._hand_over(asker)
        return actions + self._send_next()

    def _hand_over(self, receiver: Requester) -> list[Send | Refer]:
        """Refer every second VM that waits in the receiver's data centre to it, or all."""
        neighbours = [item for item in self._waiting if item.data_center == receiver.data_center]
        step = 1 if self._is_served_elsewhere(receiver.data_center) else 2
        referred = neighbours[::step]
        self._waiting = [item for item in self._waiting if item not in referred]
        self._referred.update(referred)
        return [Refer(item, receiver.peer_address) for item in referred]

    def _is_served_elsewhere(self, data_center: str) -> bool:
        """Return whether another data centre has enough copies to go on by itself."""
        copies = len(self._received.get(data_center, ()))
        return data_center != self._data_center and copies >= FAR_COPIES

    def _refer(self, asker: Requester) -> Refer:
        """Refer a VM to the one of its data centre that has received the state last."""
        self._referred.add(asker)
        received = self._received.get(asker.data_center, ())
        others = [item for item in received if item != asker]
        return Refer(asker, others[-1].peer_address if others else None)

    def _send_next(self) -> list[Send | Refer]:
        """Begin transfers while there may be more, to the data centre with the fewest first."""
        actions: list[Send | Refer] = []
        while self._waiting and len(self._sending) < SENDS_AT_ONCE:
            asker = min(self._waiting, key=lambda item: self._copies_to(item.data_center))
            self._waiting.remove(asker)
            self._sending.add(asker)
            actions.append(Send(asker))
        return actions

    def _copies_to(self, data_center: str) -> int:
        under_way = sum(item.data_center == data_center for item in self._sending)
        return under_way + len(self._received.get(data_center, ()))
