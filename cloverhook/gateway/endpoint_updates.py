"""What the exchanges with other VMs of what endpoints state about themselves have in common.

Layer: transport.
"""

from abc import ABC, abstractmethod
from collections.abc import Iterable
from typing import ClassVar

from cloverhook.gateway.broadcast import Broadcast
from cloverhook.gateway.counters import Counters
from cloverhook.gateway.event_log import EventLog
from cloverhook.gateway.gateway_state import GatewayState
from cloverhook.gateway.members import Member
from cloverhook.gateway.update_sender import UpdateSender, in_batches

__all__ = ["EndpointUpdates"]


class EndpointUpdates(ABC):
    """Sends updates on endpoints, by incarnation, to the VMs that need them.

    A subclass sets `REPEAT_MS`, encodes updates and chooses who gets them.
    """

    REPEAT_MS: ClassVar[float]
    """How often at least an update that stays true is sent again."""

    def __init__(
        self,
        own_vm: str,
        broadcast: Broadcast,
        gateway_state: GatewayState,
        log: EventLog,
        counters: Counters,
    ) -> None:
        self._own_vm = own_vm
        self._broadcast = broadcast
        self._gateway_state = gateway_state
        self._log = log
        self._counters = counters
        self._sender = UpdateSender(self.REPEAT_MS, self._send)

    @abstractmethod
    def _send(self, incarnations: tuple[str, ...], now_ms: float) -> None:
        """Send updates on at most `ROWS_LIMIT` endpoints."""

    @abstractmethod
    def _encode(self, incarnations: tuple[str, ...], now_ms: float) -> bytes:
        """Return a datagram with updates on at most `ROWS_LIMIT` endpoints."""

    def _send_to_joined(self, member: Member, incarnations: Iterable[str], now_ms: float) -> None:
        """Send updates to a VM that has just joined or returned, if this VM is to do that."""
        if self._broadcast.is_join_sender(member, now_ms):
            for batch in in_batches(incarnations):
                self._broadcast.send_to([member], self._encode(batch, now_ms))

    def _service_of(self, incarnation: str) -> str:
        """Return the service of an endpoint, for the log; "" if it is not registered."""
        server = self._gateway_state.registry.get(incarnation)
        return "" if server is None else server.service
