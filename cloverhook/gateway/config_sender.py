"""Hands out the configuration to peers that ask, as `TransferQueue` decides.

Layer: transport.
"""

import asyncio

from cloverhook.gateway.transfer_queue import Asker, Refer, Send, TransferQueue

__all__ = ["ConfigSender"]

WAIT_S = 0.6
"""An asker gives up without a word after a second."""


class ConfigSender:
    """The peers that wait for the configuration of the newest version that was asked for."""

    def __init__(self, data_center: str) -> None:
        self._data_center = data_center
        self._version = -1
        self._queue = TransferQueue(data_center)
        self._turns: dict[Asker, asyncio.Future[Send | Refer]] = {}

    async def turn(self, asker: Asker, version: int) -> Send | Refer:
        """Wait until a peer is to be sent this version, or is to ask elsewhere.

        Every `Send` has to be followed by a call of `ended`.
        """
        if version != self._version:
            self._begin(version)
        if asker in self._turns:
            return Refer(asker, None)
        turn: asyncio.Future[Send | Refer] = asyncio.get_running_loop().create_future()
        self._turns[asker] = turn
        self._act(self._queue.ask(asker))
        done, _ = await asyncio.wait([turn], timeout=WAIT_S)
        self._turns.pop(asker, None)
        if done:
            return turn.result()
        return self._queue.withdraw(asker) if version == self._version else Refer(asker, None)

    def ended(self, asker: Asker, version: int, received: bool) -> None:
        """Note the end of a transfer."""
        if version == self._version:
            self._act(self._queue.ended(asker, received))

    def _begin(self, version: int) -> None:
        """Have those that wait for an older version ask again."""
        self._version = version
        self._queue = TransferQueue(self._data_center)
        self._act([Refer(asker, None) for asker in self._turns])

    def _act(self, actions: list[Send | Refer]) -> None:
        for action in actions:
            turn = self._turns.get(action.to)
            if turn is not None and not turn.done():
                turn.set_result(action)
            elif isinstance(action, Send):
                self.ended(action.to, self._version, received=False)
