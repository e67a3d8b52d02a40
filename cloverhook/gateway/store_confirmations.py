"""Exchanges with other VMs as of when they have everything in the store.

Layer: transport.  A VM that reads the store says how far it went, and how long ago that was.  Every
VM that has as much is current as of the same moment.
"""

from cloverhook.gateway.broadcast import Broadcast
from cloverhook.gateway.freshness import Freshness
from cloverhook.gateway.gateway_state import GatewayState
from cloverhook.gateway.message_delays import MessageDelays
from cloverhook.gateway.peer_messages import Identity, StoreConfirmation, encode
from cloverhook.gateway.peer_rows import AGE_LIMIT_MS

__all__ = ["StoreConfirmations"]


class StoreConfirmations:
    """Sends what this VM knows of the store, and applies what other VMs send of it."""

    def __init__(
        self, identity: Identity, broadcast: Broadcast, gateway_state: GatewayState
    ) -> None:
        self._identity = identity
        self._broadcast = broadcast
        self._gateway_state = gateway_state
        self._delays = MessageDelays()
        self._is_due = False

    def send_soon(self) -> None:
        """Send at the next tick as of when this VM has everything in the store."""
        self._is_due = True

    def send_if_due(self, now_ms: float, is_repetition_due: bool) -> None:
        """Send if that was asked for, or if it is time to repeat what was sent last."""
        if self._is_due or is_repetition_due:
            self._is_due = False
            self.send(now_ms, to_remote=True)

    def send(self, now_ms: float, to_remote: bool) -> None:
        """Send as of when this VM has everything in the store, to its neighbours at least."""
        gateway_state = self._gateway_state
        position = gateway_state.registry.position
        last_change = position.advertised_version
        message = StoreConfirmation(
            self._identity.vm,
            self._identity.incarnation,
            now_ms,
            *gateway_state.config_versions,
            _age_ms(gateway_state.config_freshness, now_ms),
            last_change if last_change >= 0 else position.as_of,
            _age_ms(position.freshness, now_ms),
        )
        data = encode(message)
        self._broadcast.send_local(data, now_ms)
        if to_remote:
            self._broadcast.send_remote(data, now_ms)

    def received(self, message: StoreConfirmation, now_ms: float) -> None:
        """Take over as of when the store held nothing newer than the sender's versions.

        The time for which the message was under way counts too; where that isn't known, the message
        shows nothing.
        """
        sender = f"{message.vm} {message.incarnation}"
        delay_ms = self._delays.observe(sender, message.sent_ms, now_ms)
        if delay_ms is None:
            return
        sent_ms = now_ms - delay_ms
        gateway_state = self._gateway_state
        if message.config_age_ms >= 0:
            versions = message.config_version, message.evacuation_version
            gateway_state.confirm_config(versions, sent_ms - message.config_age_ms, message.vm)
        if message.registry_age_ms >= 0:
            gateway_state.registry.position.confirm_current(
                message.registry_version, sent_ms - message.registry_age_ms, message.vm
            )


def _age_ms(freshness: Freshness, now_ms: float) -> float:
    """Return the age of a state in a message: -1 where it isn't known."""
    age_ms = freshness.age_ms(now_ms)
    return -1 if age_ms > AGE_LIMIT_MS else round(age_ms, 1)
