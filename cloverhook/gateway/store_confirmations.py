"""Exchanges with other VMs as of when they have everything in the store.

Layer: transport.  A VM that reads the store says how far it went, and how long ago that was.  Every
VM that has as much is current as of the same moment.  How long a message was under way shows only
after its sender has been asked for the time on its clock.
"""

import random

from cloverhook.gateway.broadcast import Broadcast
from cloverhook.gateway.counters import Counters
from cloverhook.gateway.freshness import Freshness
from cloverhook.gateway.gateway_state import GatewayState
from cloverhook.gateway.members import Members
from cloverhook.gateway.peer_clocks import PeerClocks
from cloverhook.gateway.peer_messages import (
    ClockAnswer,
    ClockRequest,
    Identity,
    StoreConfirmation,
    encode,
)
from cloverhook.gateway.peer_rows import AGE_LIMIT_MS

__all__ = ["StoreConfirmations"]

WAITING_LIMIT = 32
"""How many confirmations may wait for an answer of their sender; usually two VMs send any."""


class StoreConfirmations:
    """Sends what this VM knows of the store, and applies what other VMs send of it."""

    def __init__(
        self,
        identity: Identity,
        broadcast: Broadcast,
        members: Members,
        gateway_state: GatewayState,
        counters: Counters,
    ) -> None:
        self._identity = identity
        self._broadcast = broadcast
        self._members = members
        self._gateway_state = gateway_state
        self._counters = counters
        self._clocks = PeerClocks(random.Random())
        self._waiting: dict[str, StoreConfirmation] = {}
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
        waits until its sender has answered a request.
        """
        sent_ms = self._clocks.earliest_sent_ms(
            message.vm, message.incarnation, message.sent_ms, now_ms
        )
        if sent_ms is not None:
            self._counters.observe("confirmation_delay", now_ms - sent_ms)
            self._apply(message, sent_ms)
        elif message.vm in self._waiting or len(self._waiting) < WAITING_LIMIT:
            self._waiting[message.vm] = message
        self._request_time_if_due(message, now_ms)

    def answer(self, request: ClockRequest, address: str, now_ms: float) -> None:
        """Answer a request for the time on the own clock."""
        own = self._identity
        answer = ClockAnswer(own.vm, own.incarnation, request.sent_ms, now_ms)
        self._broadcast.send_to_address(address, encode(answer))

    def received_answer(self, answer: ClockAnswer, now_ms: float) -> None:
        """Record the time on another VM's clock, and apply its confirmation that has waited."""
        if not self._clocks.record_answer(
            answer.vm, answer.incarnation, answer.requested_ms, answer.answered_ms, now_ms
        ):
            return
        self._counters.observe("clock_round_trip", now_ms - answer.requested_ms)
        waiting = self._waiting.pop(answer.vm, None)
        if waiting is not None:
            self.received(waiting, now_ms)

    def _request_time_if_due(self, message: StoreConfirmation, now_ms: float) -> None:
        """Ask the sender of a message for the time on its clock, unless its address isn't known."""
        vm, incarnation = message.vm, message.incarnation
        member = self._members.get(vm)
        if member is not None and self._clocks.is_request_due(vm, incarnation, now_ms):
            self._clocks.record_request(vm, incarnation, now_ms)
            own = self._identity
            request = ClockRequest(own.vm, own.incarnation, now_ms)
            self._broadcast.send_to((member,), encode(request))

    def _apply(self, message: StoreConfirmation, sent_ms: float) -> None:
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
