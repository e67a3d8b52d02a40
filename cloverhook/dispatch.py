"""Carries the decisions of the routers out: requests wait here until their router starts them.

Layer: coordination.  There is one `ServiceRouter` for each service in force.  `Dispatcher.admit`
returns the address of the endpoint to use, or raises the request's final answer.
"""

import asyncio
import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Protocol

from cloverhook.clock import monotonic_ms
from cloverhook.errors import ErrorKind, RequestError
from cloverhook.fleet import Endpoint, Policy, Service
from cloverhook.measuring import ProbeSpacing
from cloverhook.messages import Message
from cloverhook.own_limit import LoadShedder
from cloverhook.retry_after import RetryAfterTimes
from cloverhook.routing import PEER_BYTES_PER_S, ServiceRouter
from cloverhook.routing_events import (
    Action,
    Arrival,
    AttemptEnded,
    AttemptResult,
    CallerDisconnected,
    EndpointsChanged,
    Event,
    HomesChanged,
    PeerMessageReceived,
    Probe,
    ProbeEnded,
    Reject,
    SendMessage,
    Start,
    Tick,
)
from cloverhook.state import BrandState, State
from cloverhook.token_bucket import TokenBucket
from cloverhook.wake_times import LoopTimer, WakeTimes

__all__ = ["DispatchObserver", "DispatchTransport", "Dispatcher", "Target"]


@dataclass(frozen=True, slots=True)
class Target:
    """The service that a host name belongs to, and the policy in force for it."""

    brand: str
    service: Service
    policy: Policy

    @property
    def key(self) -> str:
        """The service's name across brands."""
        return f"{self.brand}/{self.service.name}"


class DispatchTransport(Protocol):
    """What the daemon does for the routers beside starting requests."""

    def send_message(self, vm: str, message: Message) -> None:
        """Send a message to another VM; it may be lost."""

    def probe(self, target: Target, address: str, health: bool) -> None:
        """Ask an endpoint for its load or health and report it by `Dispatcher.probe_ended`."""


class DispatchObserver(Protocol):
    """Who is told of endpoints and probes; the events and metrics come from it."""

    def record_endpoint_state(self, address: str, trouble: int) -> None:
        """Take what is wrong with an endpoint after an attempt or probe there."""

    def record_probe(self, target: Target, latency_ms: float) -> None:
        """Take a probe that has ended."""


class Dispatcher:
    """The routers of this daemon and the requests that wait for them."""

    def __init__(
        self,
        source: random.Random,
        outlet: DispatchTransport,
        watch: DispatchObserver | None = None,
    ) -> None:
        self._random = source
        self._watch = watch
        self._outlet = outlet
        self.load_shedder = LoadShedder()
        self._returns = RetryAfterTimes(source)
        self._peer_bytes = TokenBucket(PEER_BYTES_PER_S, PEER_BYTES_PER_S)
        self._turns = ProbeSpacing()
        self._brands: Mapping[str, BrandState] = {}
        self._in_force: tuple[Target, ...] = ()
        self._targets: dict[bytes, Target] = {}
        self._target_of: dict[str, Target] = {}
        self._routers: dict[str, ServiceRouter] = {}
        self._handle_of: dict[str, Callable[[Event, float], tuple[Action, ...]]] = {}
        self._endpoints: dict[str, dict[str, Endpoint]] = {}
        self._waiting: dict[str, asyncio.Future[str]] = {}
        self._wake_times = WakeTimes()
        self._timer: LoopTimer | None = None

    def start_timer(self, clock_ms: Callable[[], float]) -> None:
        """Let the running event loop call `wake` from now on whenever a router needs it."""
        self._timer = LoopTimer(clock_ms, lambda: self.wake(clock_ms()))
        self._timer.call_by(self._wake_times.earliest_ms())

    def stop_timer(self) -> None:
        """Let the event loop call `wake` no more."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def configure(self, state: State, now_ms: float) -> None:
        """Put a folded state in force; only services of brands that have changed are looked at."""
        before, self._brands = self._brands, state.brands
        names = [name for name in {**before, **state.brands} if self._changed(name, before)]
        old = {target.key: target for name in names for target in _targets_of(before.get(name))}
        for target in old.values():
            self._forget(target)
        for name in names:
            for target in _targets_of(state.brands.get(name)):
                self._begin(target, old.pop(target.key, None), now_ms)
        for key in old:
            self._end(key, now_ms)
        self._in_force = tuple(self._target_of.values())

    def _changed(self, name: str, before: Mapping[str, BrandState]) -> bool:
        return self._brands.get(name) is not before.get(name)

    def targets(self) -> tuple[Target, ...]:
        """Return the services in force."""
        return self._in_force

    def connection_limit(self, address: str, vms: int) -> int:
        """Return how many connections to an endpoint this VM may have, of `vms` that serve.

        Half of the endpoint's connections are for its owner, the other half is shared evenly.
        """
        if address not in self._endpoints:
            return 1
        key, endpoint = next(iter(self._endpoints[address].items()))
        owner = self._routers[key].owns(address)
        return max(1, endpoint.connections // (2 if owner else 2 * max(1, vms)))

    def queued_count(self) -> int:
        """Return the number of requests that wait for an endpoint."""
        return len(self._waiting)

    def target_for(self, host: bytes) -> Target:
        """Return the service for a host name.  Raises `RequestError` when there is none."""
        target = self._targets.get(host.partition(b":")[0].lower())
        if target is None:
            raise RequestError(ErrorKind.UNKNOWN_HOST, "no service has this host name")
        return target

    async def admit(self, target: Target, arrival: Arrival, now_ms: float) -> str:
        """Wait until the request may start and return the endpoint's address.

        Raises `RequestError` with its final answer when it may not.
        """
        if self.load_shedder.should_shed(arrival.priority):
            after_ms = self._returns.record_rejection(0.0)
            raise RequestError(ErrorKind.OVERLOADED, "this VM is at its limit", after_ms)
        self._returns.record_admission()
        return await self._wait(target, arrival.request_id, arrival, now_ms)

    async def retry(self, target: Target, ended: AttemptEnded, now_ms: float) -> str:
        """Wait until another attempt may start.  Raises `RequestError` when none may."""
        try:
            return await self._wait(target, ended.request_id, ended, now_ms)
        finally:
            self._look_at(target.key, ended.address)

    def record_attempt_end(self, target: Target, ended: AttemptEnded, now_ms: float) -> None:
        """Report the end of a request's last attempt."""
        self._drive(target.key, ended, now_ms)
        self._look_at(target.key, ended.address)

    def set_homes(
        self,
        key: str,
        own_vm: str,
        homes: tuple[str, ...],
        now_ms: float,
        data_centers: Mapping[str, str] | None = None,
    ) -> None:
        """Take the VMs that a service's callers gather on now.

        `data_centers` gives the data centre of each of them and of this daemon's own VM.
        """
        self._drive(key, HomesChanged(own_vm, homes, data_centers or {}), now_ms)

    def handle_peer_message(self, key: str, vm: str, message: Message, now_ms: float) -> None:
        """Take another VM's message about a service."""
        self._drive(key, PeerMessageReceived(vm, message), now_ms)

    def probe_ended(self, key: str, ended: ProbeEnded, now_ms: float) -> None:
        """Take the end of a probe."""
        self._drive(key, ended, now_ms)
        target = self._target_of.get(key)
        if self._watch is not None and target is not None:
            self._watch.record_probe(target, ended.latency_ms)
        self._look_at(key, ended.address)

    def next_wake_ms(self) -> float | None:
        """Return when `wake` has something to do next, if time alone brings that about."""
        return self._wake_times.earliest_ms()

    def wake(self, now_ms: float) -> None:
        """Let time pass for the routers that have asked for it."""
        for key in self._wake_times.pop_due(now_ms):
            self._drive(key, Tick(), now_ms)
        if self._timer is not None:
            self._timer.call_by(self._wake_times.earliest_ms())

    def tick(self, now_ms: float) -> None:
        """Let time pass for all routers."""
        for key in tuple(self._routers):
            self._drive(key, Tick(), now_ms)

    async def _wait(self, target: Target, request_id: str, event: Event, now_ms: float) -> str:
        future: asyncio.Future[str] = asyncio.get_running_loop().create_future()
        self._waiting[request_id] = future
        self._drive(target.key, event, now_ms)
        try:
            return await future
        except asyncio.CancelledError:
            self._caller_gone(target.key, request_id, future)
            raise
        finally:
            self._waiting.pop(request_id, None)

    def _caller_gone(self, key: str, request_id: str, future: asyncio.Future[str]) -> None:
        """Take back a request whose caller left, also in the moment after it was started."""
        now_ms = monotonic_ms()
        if future.done() and not future.cancelled() and future.exception() is None:
            ended = AttemptEnded(request_id, future.result(), AttemptResult.CANCELLED, 0.0)
            self._drive(key, ended, now_ms)
        else:
            self._drive(key, CallerDisconnected(request_id), now_ms)

    def _look_at(self, key: str, address: str) -> None:
        router = self._routers.get(key)
        if self._watch is not None and router is not None:
            self._watch.record_endpoint_state(address, router.probation_reason_of(address))

    def _drive(self, key: str, event: Event, now_ms: float) -> None:
        handle = self._handle_of.get(key)
        if handle is None:
            return
        for action in handle(event, now_ms):
            self._perform(key, action)
        wake_ms = self._routers[key].next_wake_ms(now_ms)
        if wake_ms is not None:
            self._wake_times.request(key, wake_ms)
            if self._timer is not None:
                self._timer.call_by(wake_ms)

    def _perform(self, key: str, action: Action) -> None:
        match action:
            case SendMessage(vm, message):
                self._outlet.send_message(vm, message)
            case Probe(address, health):
                self._outlet.probe(self._target_of[key], address, health)
            case Start(request_id, address):
                future = self._pending(request_id)
                if future is not None:
                    future.set_result(address)
            case Reject(request_id, kind, retry_after_ms):
                future = self._pending(request_id)
                if future is not None:
                    future.set_exception(RequestError(kind, retry_after_ms=retry_after_ms))

    def _pending(self, request_id: str) -> asyncio.Future[str] | None:
        future = self._waiting.get(request_id)
        return None if future is None or future.done() else future

    def _begin(self, target: Target, before: Target | None, now_ms: float) -> None:
        """Put a service in force, and tell its router if anything has changed for it."""
        self._targets |= {host.encode(): target for host in target.service.hosts}
        self._target_of[target.key] = target
        for endpoint in target.service.endpoints:
            self._endpoints.setdefault(endpoint.address, {})[target.key] = endpoint
        if target.key not in self._routers:
            source = random.Random(self._random.random())
            router = ServiceRouter(source, target.key, self._peer_bytes, self._turns)
            self._routers[target.key] = router
            # Each look-up of a single-dispatch method makes a new function; one is enough.
            self._handle_of[target.key] = router.handle
        changed = EndpointsChanged(target.service.endpoints, target.policy)
        if before is None or changed != EndpointsChanged(before.service.endpoints, before.policy):
            self._drive(target.key, changed, now_ms)

    def _forget(self, target: Target) -> None:
        """Take a service out of force; its router stays, as it may come back in the same change."""
        for host in target.service.hosts:
            del self._targets[host.encode()]
        del self._target_of[target.key]
        for endpoint in target.service.endpoints:
            services = self._endpoints[endpoint.address]
            del services[target.key]
            if not services:
                del self._endpoints[endpoint.address]

    def _end(self, key: str, now_ms: float) -> None:
        """Refuse what waits for a service that is gone, and drop its router."""
        self._drive(key, EndpointsChanged((), Policy()), now_ms)
        del self._routers[key], self._handle_of[key]
        self._wake_times.drop(key)


def _targets_of(item: BrandState | None) -> list[Target]:
    if item is None:
        return []
    services = item.brand.services
    return [Target(item.brand.name, service, service.policy(item.preset)) for service in services]
