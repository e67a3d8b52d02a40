"""Carries out the decisions of the service routers.

Layer: coordination.  There is one `ServiceRouter` for each service in the active configuration.  A
request waits in `Dispatcher.admit` until its router starts it.  `Dispatcher.admit` then returns
the address of the endpoint to use; for a rejected request it raises the final answer.
"""

import asyncio
import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Protocol

from cloverhook.clock import monotonic_ms
from cloverhook.endpoint_reports import EndpointReport
from cloverhook.endpoint_stats import EndpointState
from cloverhook.errors import ErrorKind, RequestError
from cloverhook.fleet import Endpoint, Policy, Service
from cloverhook.load_shedder import LoadShedder
from cloverhook.messages import Message
from cloverhook.probe_schedule import ProbeSpacing
from cloverhook.retry_after import RetryAfterTimes
from cloverhook.routing import PEER_BYTES_PER_S, ServiceRouter
from cloverhook.routing_events import (
    Action,
    Arrival,
    AttemptEnded,
    AttemptResult,
    CallerDisconnected,
    DrainReported,
    EndpointsChanged,
    Event,
    GroupShareChanged,
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
    """The service that a host name belongs to, and the active policy of that service."""

    brand: str
    service: Service
    policy: Policy

    @property
    def key(self) -> str:
        """The name of the service, unique across all brands."""
        return f"{self.brand}/{self.service.name}"


class DispatchTransport(Protocol):
    """Sends messages to other VMs and probes to endpoints on behalf of the routers."""

    def send_message(self, vm: str, message: Message) -> None:
        """Send a message to another VM.  Delivery is not guaranteed."""

    def probe(self, target: Target, address: str, health: bool) -> None:
        """Probe an endpoint for its load or, if `health` is set, its health.

        The result is reported by a call of `Dispatcher.probe_ended`.
        """


class DispatchObserver(Protocol):
    """Observes endpoint states and probes, to produce events and metrics."""

    def record_endpoint_state(self, address: str, state: EndpointState) -> None:
        """Record how this VM sees an endpoint after an attempt, a probe or a report."""

    def record_report(self, target: Target, report: EndpointReport) -> None:
        """Count what an endpoint has reported about itself in the head of an answer."""

    def record_probe(self, target: Target, latency_ms: float) -> None:
        """Record a completed probe and its latency in milliseconds."""


class Dispatcher:
    """The service routers of this daemon and the requests that wait for their decisions."""

    def __init__(
        self,
        source: random.Random,
        transport: DispatchTransport,
        observer: DispatchObserver | None = None,
    ) -> None:
        self._random = source
        self._observer = observer
        self._transport = transport
        self.load_shedder = LoadShedder()
        self._retry_after = RetryAfterTimes(source)
        self._peer_bytes = TokenBucket(PEER_BYTES_PER_S, PEER_BYTES_PER_S)
        self._probe_spacing = ProbeSpacing()
        self._brands: Mapping[str, BrandState] = {}
        self._active_targets: tuple[Target, ...] = ()
        self._targets_by_host: dict[bytes, Target] = {}
        self._targets_by_key: dict[str, Target] = {}
        self._routers: dict[str, ServiceRouter] = {}
        self._group_share = 1.0
        self._handlers: dict[str, Callable[[Event, float], tuple[Action, ...]]] = {}
        self._endpoints: dict[str, dict[str, Endpoint]] = {}
        self._start_futures: dict[str, asyncio.Future[str]] = {}
        self._wake_times = WakeTimes()
        self._timer: LoopTimer | None = None

    def start_timer(self, clock_ms: Callable[[], float]) -> None:
        """Schedule calls of `wake` on the running event loop whenever a router needs one."""
        self._timer = LoopTimer(clock_ms, lambda: self.wake(clock_ms()))
        self._timer.call_by(self._wake_times.earliest_ms())

    def stop_timer(self) -> None:
        """Cancel the scheduled call of `wake`."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def configure(self, state: State, now_ms: float) -> None:
        """Activate a folded state.  Only the services of changed brands are processed."""
        before, self._brands = self._brands, state.brands
        names = [name for name in {**before, **state.brands} if self._has_changed(name, before)]
        old = {target.key: target for name in names for target in _targets_of(before.get(name))}
        for target in old.values():
            self._deactivate(target)
        for name in names:
            for target in _targets_of(state.brands.get(name)):
                self._activate(target, old.pop(target.key, None), now_ms)
        for key in old:
            self._remove_service(key, now_ms)
        self._active_targets = tuple(self._targets_by_key.values())

    def _has_changed(self, name: str, before: Mapping[str, BrandState]) -> bool:
        return self._brands.get(name) is not before.get(name)

    def targets(self) -> tuple[Target, ...]:
        """Return the services of the active configuration."""
        return self._active_targets

    def connection_limit(self, address: str, vms: int) -> int:
        """Return how many connections to an endpoint this VM may open.

        `vms` is the number of VMs that serve callers.  Half of the endpoint's connections are
        reserved for its owner; the other half is divided evenly among the VMs.
        """
        if address not in self._endpoints:
            return 1
        key, endpoint = next(iter(self._endpoints[address].items()))
        owner = self._routers[key].owns(address)
        return max(1, endpoint.connections // (2 if owner else 2 * max(1, vms)))

    def queued_count(self) -> int:
        """Return the number of requests that are waiting for an endpoint."""
        return len(self._start_futures)

    def target_for(self, host: bytes) -> Target:
        """Return the service for a host name.  Raises `RequestError` if there is none."""
        target = self._targets_by_host.get(host.partition(b":")[0].lower())
        if target is None:
            raise RequestError(ErrorKind.UNKNOWN_HOST, "no service has this host name")
        return target

    async def admit(self, target: Target, arrival: Arrival, now_ms: float) -> str:
        """Wait until the request may start and return the endpoint's address.

        Raises `RequestError` with the final answer if the request is rejected.
        """
        if self.load_shedder.should_shed(arrival.priority):
            after_ms = self._retry_after.record_rejection(0.0)
            raise RequestError(ErrorKind.OVERLOADED, "this VM is at its limit", after_ms)
        self._retry_after.record_admission()
        return await self._wait_for_start(target, arrival.request_id, arrival, now_ms)

    async def retry(self, target: Target, ended: AttemptEnded, now_ms: float) -> str:
        """Wait until another attempt may start and return the endpoint's address.

        Raises `RequestError` if no further attempt is allowed.
        """
        try:
            return await self._wait_for_start(target, ended.request_id, ended, now_ms)
        finally:
            self._report_endpoint_state(target.key, ended.address, now_ms)

    def record_attempt_end(self, target: Target, ended: AttemptEnded, now_ms: float) -> None:
        """Report the end of a request's last attempt."""
        self._handle_event(target.key, ended, now_ms)
        self._report_endpoint_state(target.key, ended.address, now_ms)

    def record_report(
        self, target: Target, address: str, report: EndpointReport, now_ms: float
    ) -> None:
        """Record what a backend server reports about itself in the head of an answer."""
        if self._observer is not None:
            self._observer.record_report(target, report)
        if report is EndpointReport.DRAINING:
            self._handle_event(target.key, DrainReported(address), now_ms)
            self._report_endpoint_state(target.key, address, now_ms)

    def set_homes(
        self,
        key: str,
        own_vm: str,
        homes: tuple[str, ...],
        now_ms: float,
        data_centers: Mapping[str, str] | None = None,
    ) -> None:
        """Set the home VMs of a service, the VMs that its callers are directed to.

        `data_centers` gives the data centre of each of them and of this daemon's own VM.
        """
        self._handle_event(key, HomesChanged(own_vm, homes, data_centers or {}), now_ms)

    def set_group_share(self, share: float, now_ms: float) -> None:
        """Set which share of the fleet this VM and those that it reaches are."""
        if share != self._group_share:
            self._group_share = share
            for key in tuple(self._routers):
                self._handle_event(key, GroupShareChanged(share), now_ms)

    def handle_peer_message(self, key: str, vm: str, message: Message, now_ms: float) -> None:
        """Process a message from another VM about a service."""
        self._handle_event(key, PeerMessageReceived(vm, message), now_ms)

    def probe_ended(self, key: str, ended: ProbeEnded, now_ms: float) -> None:
        """Process the end of a probe."""
        self._handle_event(key, ended, now_ms)
        target = self._targets_by_key.get(key)
        if self._observer is not None and target is not None:
            self._observer.record_probe(target, ended.latency_ms)
        self._report_endpoint_state(key, ended.address, now_ms)

    def next_wake_ms(self) -> float | None:
        """Return when `wake` is next due, or None while only events require work."""
        return self._wake_times.earliest_ms()

    def wake(self, now_ms: float) -> None:
        """Send a `Tick` to the routers whose requested wake time has come."""
        for key in self._wake_times.pop_due(now_ms):
            self._handle_event(key, Tick(), now_ms)
        if self._timer is not None:
            self._timer.call_by(self._wake_times.earliest_ms())

    def tick(self, now_ms: float) -> None:
        """Send a `Tick` to all routers."""
        for key in tuple(self._routers):
            self._handle_event(key, Tick(), now_ms)

    async def _wait_for_start(
        self, target: Target, request_id: str, event: Event, now_ms: float
    ) -> str:
        future: asyncio.Future[str] = asyncio.get_running_loop().create_future()
        self._start_futures[request_id] = future
        self._handle_event(target.key, event, now_ms)
        try:
            return await future
        except asyncio.CancelledError:
            self._withdraw(target.key, request_id, future)
            raise
        finally:
            self._start_futures.pop(request_id, None)

    def _withdraw(self, key: str, request_id: str, future: asyncio.Future[str]) -> None:
        """Withdraw a request whose caller disconnected.

        The request may already have been started, if the caller disconnected before this task
        received the endpoint's address.  The attempt then counts as cancelled.
        """
        now_ms = monotonic_ms()
        if future.done() and not future.cancelled() and future.exception() is None:
            ended = AttemptEnded(request_id, future.result(), AttemptResult.CANCELLED, 0.0)
            self._handle_event(key, ended, now_ms)
        else:
            self._handle_event(key, CallerDisconnected(request_id), now_ms)

    def _report_endpoint_state(self, key: str, address: str, now_ms: float) -> None:
        router = self._routers.get(key)
        if self._observer is not None and router is not None:
            self._observer.record_endpoint_state(address, router.state_of(address, now_ms))

    def _handle_event(self, key: str, event: Event, now_ms: float) -> None:
        handle = self._handlers.get(key)
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
                self._transport.send_message(vm, message)
            case Probe(address, health):
                self._transport.probe(self._targets_by_key[key], address, health)
            case Start(request_id, address):
                future = self._pending_future(request_id)
                if future is not None:
                    future.set_result(address)
            case Reject(request_id, kind, retry_after_ms):
                future = self._pending_future(request_id)
                if future is not None:
                    future.set_exception(RequestError(kind, retry_after_ms=retry_after_ms))

    def _pending_future(self, request_id: str) -> asyncio.Future[str] | None:
        future = self._start_futures.get(request_id)
        return None if future is None or future.done() else future

    def _activate(self, target: Target, before: Target | None, now_ms: float) -> None:
        """Activate a service, and notify its router if its endpoints or policy have changed."""
        self._targets_by_host |= {host.encode(): target for host in target.service.hosts}
        self._targets_by_key[target.key] = target
        for endpoint in target.service.endpoints:
            self._endpoints.setdefault(endpoint.address, {})[target.key] = endpoint
        if target.key not in self._routers:
            source = random.Random(self._random.random())
            router = ServiceRouter(source, target.key, self._peer_bytes, self._probe_spacing)
            self._routers[target.key] = router
            # Each attribute access on a single-dispatch method creates a new function, so the
            # bound function is kept.
            self._handlers[target.key] = router.handle
            self._handle_event(target.key, GroupShareChanged(self._group_share), now_ms)
        changed = EndpointsChanged(target.service.endpoints, target.policy)
        if before is None or changed != EndpointsChanged(before.service.endpoints, before.policy):
            self._handle_event(target.key, changed, now_ms)

    def _deactivate(self, target: Target) -> None:
        """Deactivate a service.

        Its router is kept, because the same change may activate the service again.
        """
        for host in target.service.hosts:
            del self._targets_by_host[host.encode()]
        del self._targets_by_key[target.key]
        for endpoint in target.service.endpoints:
            services = self._endpoints[endpoint.address]
            del services[target.key]
            if not services:
                del self._endpoints[endpoint.address]

    def _remove_service(self, key: str, now_ms: float) -> None:
        """Reject the queued requests of a removed service and delete its router."""
        self._handle_event(key, EndpointsChanged((), Policy()), now_ms)
        del self._routers[key], self._handlers[key]
        self._wake_times.drop(key)


def _targets_of(item: BrandState | None) -> list[Target]:
    if item is None:
        return []
    services = item.brand.services
    return [Target(item.brand.name, service, service.policy(item.preset)) for service in services]
