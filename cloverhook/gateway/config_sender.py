"""Hands out the configuration to peers that ask, as `TransferQueue` decides.

Layer: transport.
"""

import asyncio

from cloverhook.gateway.transfer_queue import Refer, Requester, Send, TransferQueue

__all__ = ["ConfigSender"]

WAIT_S = 0.6
"""An asker gives up without a word after a second."""


class ConfigSender:
    """The peers that wait for the configuration of the newest version that was asked for."""

    def __init__(self, data_center: str) -> None:
        self._data_center = data_center
        self._version = -1
        self._queue = TransferQueue(data_center)
        self._turns: dict[Requester, asyncio.Future[Send | Refer]] = {}

    async def wait_for_turn(self, requester: Requester, version: int) -> Send | Refer:
        """Wait until a peer is to be sent this version, or is to ask elsewhere.

        Every `Send` has to be followed by a call of `transfer_ended`.
        """
        if version != self._version:
            self._begin(version)
        if requester in self._turns:
            return Refer(requester, None)
        turn: asyncio.Future[Send | Refer] = asyncio.get_running_loop().create_future()
        self._turns[requester] = turn
        self._act(self._queue.request_transfer(requester))
        done, _ = await asyncio.wait([turn], timeout=WAIT_S)
        self._turns.pop(requester, None)
        if done:
            return turn.result()
        return (
            self._queue.withdraw(requester) if version == self._version else Refer(requester, None)
        )

    def transfer_ended(self, requester: Requester, version: int, received: bool) -> None:
        """Note the end of a transfer."""
        if version == self._version:
            self._act(self._queue.transfer_ended(requester, received))

    def _begin(self, version: int) -> None:
        """Have those that wait for an older version ask again."""
        self._version = version
        self._queue = TransferQueue(self._data_center)
        self._act([Refer(asker, None) for asker in self._turns])

    def _act(self, actions: list[Send | Refer]) -> None:
        for action in actions:
            turn = self._turns.get(action.requester)
            if turn is not None and not turn.done():
                turn.set_result(action)
            elif isinstance(action, Send):
                self.transfer_ended(action.requester, self._version, received=False)
