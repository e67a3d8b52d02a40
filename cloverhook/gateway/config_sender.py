"""Sends the configuration to peers that request it, in the order that `TransferQueue` decides.

Layer: transport.
"""

import asyncio

from cloverhook.gateway.transfer_queue import Refer, Requester, Send, TransferQueue

__all__ = ["ConfigSender"]

WAIT_S = 0.6
"""Less than the one second after which a requester that gets no reply gives up."""


class ConfigSender:
    """The peers that wait for the newest version of the configuration that was requested."""

    def __init__(self, data_center: str) -> None:
        self._data_center = data_center
        self._version = -1
        self._queue = TransferQueue(data_center)
        self._turns: dict[Requester, asyncio.Future[Send | Refer]] = {}

    async def wait_for_turn(self, requester: Requester, version: int) -> Send | Refer:
        """Wait until this version can be sent to a peer, or until the peer should ask elsewhere.

        The wait is limited to `WAIT_S`.  After each `Send`, the caller must call `transfer_ended`.
        """
        if version != self._version:
            self._start_version(version)
        if requester in self._turns:
            return Refer(requester, None)
        turn: asyncio.Future[Send | Refer] = asyncio.get_running_loop().create_future()
        self._turns[requester] = turn
        self._apply(self._queue.request_transfer(requester))
        done, _ = await asyncio.wait([turn], timeout=WAIT_S)
        self._turns.pop(requester, None)
        if done:
            return turn.result()
        return (
            self._queue.withdraw(requester) if version == self._version else Refer(requester, None)
        )

    def transfer_ended(self, requester: Requester, version: int, received: bool) -> None:
        """Record the end of a transfer, and whether the peer received all of it."""
        if version == self._version:
            self._apply(self._queue.transfer_ended(requester, received))

    def _start_version(self, version: int) -> None:
        """Start a queue for a new version, and have peers that wait for an older one ask again."""
        self._version = version
        self._queue = TransferQueue(self._data_center)
        self._apply([Refer(requester, None) for requester in self._turns])

    def _apply(self, actions: list[Send | Refer]) -> None:
        for action in actions:
            turn = self._turns.get(action.requester)
            if turn is not None and not turn.done():
                turn.set_result(action)
            elif isinstance(action, Send):
                self.transfer_ended(action.requester, self._version, received=False)
