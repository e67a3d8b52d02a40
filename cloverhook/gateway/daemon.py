"""The gateway daemon: one event loop that serves callers and follows the store and the peers.

Layer: transport.  `Gateway` only connects the components; each decision is made in a component of
its own.
"""

import asyncio
import os
import random
import time
import traceback
from collections.abc import Callable

from cloverhook.clock import PauseDetector, monotonic_ms
from cloverhook.errors import SettingsError
from cloverhook.gateway.allotment import AllotmentLimits, Allotments
from cloverhook.gateway.announcer import Announcer
from cloverhook.gateway.backend_pool import BackendPool
from cloverhook.gateway.backend_server import BackendServer
from cloverhook.gateway.balancer import Balancer
from cloverhook.gateway.body_budget import BodyBudget
from cloverhook.gateway.call_headers import CallHeaders
from cloverhook.gateway.calls import CallerAnswer, CallerRequest
from cloverhook.gateway.choice import WorkEstimates
from cloverhook.gateway.cold_limit import ColdLimit, ColdRateBound
from cloverhook.gateway.config_gate import ConfigGate
from cloverhook.gateway.counters import Counters
from cloverhook.gateway.crash_detection import CrashDetector
from cloverhook.gateway.discovery import Discovery
from cloverhook.gateway.eligibility import Eligibility
from cloverhook.gateway.event_log import EventKind, EventLog
from cloverhook.gateway.forwarding import Forwarder
from cloverhook.gateway.gateway_state import GatewayState
from cloverhook.gateway.ingress import Ingress
from cloverhook.gateway.link_checks import LinkChecks
from cloverhook.gateway.links import LinkChange, Links
from cloverhook.gateway.members import READERS, Members
from cloverhook.gateway.notice_recorder import NoticeRecorder
from cloverhook.gateway.peer_messages import Identity
from cloverhook.gateway.peering import Peering
from cloverhook.gateway.planned_stop import PlannedStop
from cloverhook.gateway.probe_schedule import GROUP_SIZE, STARTUP_DELAY_MS, ProbeSchedule
from cloverhook.gateway.prober import Prober
from cloverhook.gateway.proxied_forwarding import ProxiedForwarder
from cloverhook.gateway.proxy_server import ProxyServer
from cloverhook.gateway.proxying import Proxying
from cloverhook.gateway.quarantine_persistence import QuarantinePersistence
from cloverhook.gateway.refresh_schedule import RefreshSchedule
from cloverhook.gateway.request_report import RequestReport
from cloverhook.gateway.response_matching import ResponseMatcher
from cloverhook.gateway.retry_budget import RetryBudget
from cloverhook.gateway.routes import IngressLimits
from cloverhook.gateway.server_load import LoadReport
from cloverhook.gateway.settings import GatewaySettings
from cloverhook.gateway.state_fetch import StatePart
from cloverhook.gateway.store import Feed, MemberRecord, Store
from cloverhook.gateway.store_follower import StoreFollower
from cloverhook.gateway.store_refresher import StoreRefresher
from cloverhook.gateway.supervision import run_with_restarts
from cloverhook.gateway.vm_capacity import VmCapacity

__all__ = ["DirectoryHandler", "Gateway"]

TICK_MS = 50.0
IDLE_TICK_MS = 100.0
"""The interval on a VM that gets no callers and measures nothing: it has little to do."""
LATE_TICK_MS = 200.0
"""A tick that is later than this shows that the process did not run."""
SWEEP_MS = 1_000.0
FIRST_START_MS = 6_000.0
"""When a whole fleet starts, one VM reads the store for all within this time."""

DirectoryHandler = Callable[[CallerRequest, list[str], float], CallerAnswer]


def write_to_stdout(data: bytes) -> int:
    """Write as much as standard output accepts without blocking; return the number of bytes."""
    try:
        return os.write(1, data)
    except BlockingIOError:
        return 0


class Gateway:
    """The gateway of one VM, with its listeners, its background tasks and its components."""

    def __init__(
        self,
        settings: GatewaySettings,
        store: Store,
        headers: CallHeaders,
        directory: DirectoryHandler,
        write_log: Callable[[bytes], int] = write_to_stdout,
    ) -> None:
        now_ms = monotonic_ms()
        self._settings = settings
        self._store = store
        self._answer_directory = directory
        self._log = EventLog(settings.vm, write_log)
        self._counters = Counters()
        self._random = random.Random()
        self._gateway_state = GatewayState(settings.drain_s * 1000)
        self._members = Members(
            settings.vm,
            settings.data_center,
            now_ms,
            VmCapacity(settings.processor_cores, settings.link_mbps),
        )
        self._discovery = Discovery(settings.vm, self._members, now_ms)
        identity = Identity(
            settings.vm,
            time.time_ns() // 1_000_000,
            settings.data_center,
            settings.caller_address,
            settings.peer_address,
        )
        retry_budget = RetryBudget(
            settings.retry_ratio, settings.retry_extra, settings.retry_window_s * 1000
        )
        limits = AllotmentLimits(
            settings.allotment_window_s, settings.allotment_overshoot, settings.allotment_slack
        )
        self._links = Links(
            self._gateway_state.registry,
            self._gateway_state.load_table,
            self._on_link_change,
            lambda: self._link_checks.start_due(),
            fleet_size=self._members.estimated_fleet_size,
        )
        self._peering = Peering(
            identity,
            self._gateway_state,
            self._members,
            self._log,
            lambda incarnation: self._forwarder.slowdown_changed(incarnation),
            lambda: self._forwarder.admission.schedule_admission(),
            self._counters,
            self._links,
            fleet=settings.store_address,
            requests_per_s=retry_budget.total_requests_per_s,
            allotments=Allotments(settings.vm, limits, random.Random(), now_ms),
        )
        quarantine_updates = self._peering.quarantine_updates
        self._quarantine_persistence = QuarantinePersistence(
            store, quarantine_updates.quarantine, self._log
        )
        quarantine_updates.on_change = self._quarantine_persistence.mark_changed
        member_record = MemberRecord(
            settings.vm, settings.data_center, settings.caller_address, settings.peer_address
        )
        self._announcer = Announcer(
            member_record, store, self._discovery, self._peering.add_member_addresses, self._log
        )
        self._follower = StoreFollower(
            store,
            self._gateway_state,
            self._on_change,
            self._peering.confirmations.send_soon,
            self._log,
            self._counters,
        )
        bounds_ms = {
            Feed.CONFIG: 1000 * settings.config_apply_s,
            Feed.SERVERS: 1000 * settings.drain_s,
        }
        lease_start_ms = now_ms + (FIRST_START_MS if settings.first_start else 0.0)
        schedule = RefreshSchedule(settings.vm, self._members, bounds_ms, lease_start_ms)
        self._refresher = StoreRefresher(
            schedule,
            self._follower,
            self._gateway_state,
            self._peering.state_fetch,
            lambda: self._peering.confirmations.send(monotonic_ms(), to_remote=False),
            self._log,
            self._counters,
        )
        self._pool = BackendPool()
        self._planned_stop = PlannedStop()
        notices = NoticeRecorder(
            self._peering.drain_updates,
            self._peering.backoff_updates,
            self._log,
            self._counters,
        )
        matcher = ResponseMatcher(headers, self._log, self._counters)
        self._prober = Prober(
            headers,
            self._on_load_report,
            notices.record_probe,
            self._links,
            matcher,
            self._reports_load,
        )
        self._link_checks = LinkChecks(
            self._gateway_state,
            self._links,
            self._peering.link_updates.peer_links,
            self._prober,
            self._counters,
        )
        self._peering.link_updates.start_check = self._link_checks.start
        self._peering.failure_updates.check_link = self._link_checks.check
        estimates = WorkEstimates()
        self._cold_limit = ColdLimit(
            settings.vm,
            self._peering.senders_to,
            self._gateway_state.cold_per_s,
            ColdRateBound(settings.cold_over, settings.cold_slack),
        )
        eligibility = Eligibility(
            self._gateway_state.registry,
            self._gateway_state.evacuated,
            (settings.regions or {}).get,
            self._peering.rate_limit_updates.limits,
            self._gateway_state.drain_notices,
            self._gateway_state.backoffs,
            self._links,
        )
        balancer = Balancer(
            self._gateway_state.registry,
            self._gateway_state.load_table,
            estimates,
            settings.data_center,
            random.Random(),
            self._pool.has_idle,
            self._cold_limit,
            eligibility,
        )
        self._probe_schedule = ProbeSchedule(
            settings.vm,
            self._members,
            self._gateway_state.registry,
            self._gateway_state.load_table,
            settings.probes_per_s,
            retry_budget.requests_per_s,
            now_ms + STARTUP_DELAY_MS,
            0 if settings.first_start else GROUP_SIZE,
            self._gateway_state.evacuated,
            self._links.is_down,
            self._peering.link_updates.peer_links.without_link,
        )
        config_gate = ConfigGate(
            self._gateway_state,
            bounds_ms[Feed.CONFIG],
            lambda now_ms: self._peering.state_fetch.behind_ms(StatePart.CONFIG, now_ms),
            lambda: schedule.has_failed(Feed.CONFIG),
            1000 * settings.revocation_s if settings.strict_revocation else None,
        )
        report = self._report = RequestReport(self._gateway_state, self._log, self._counters)
        proxying = Proxying(
            settings.vm,
            self._peering.link.fleet_tag,
            self._gateway_state,
            self._members,
            self._peering.link_updates,
            self._counters,
        )
        self._forwarder = Forwarder(
            self._gateway_state,
            balancer,
            estimates,
            self._pool,
            retry_budget,
            headers,
            self._members.estimated_fleet_size,
            lambda: 1 + self._members.count_senders(monotonic_ms()),
            self._peering.count_updates.count_changed,
            self._peering.failure_updates.record_failure,
            self._peering.refusal_updates.record_refusal,
            quarantine_updates,
            self._peering.rate_limit_updates,
            notices,
            matcher,
            self._links,
            CrashDetector(self._pool, self._links, self._peering.link_updates.peer_links),
            proxying,
            config_gate,
            self._peering.allotment_updates,
            self._planned_stop,
            report,
        )
        proxied_forwarder = ProxiedForwarder(
            self._gateway_state, eligibility, headers, config_gate, self._forwarder, report
        )
        self._proxy_server = ProxyServer(proxied_forwarder.serve)
        self._peering.link.serve_proxied = self._proxy_server.serve
        self._peering.link_updates.may_offer = self._is_ready
        self._peering.link_updates.is_out_of_reach = eligibility.is_out_of_reach
        self._body_budget = BodyBudget.from_memory_mb(settings.memory_mb)
        self._caller_ingress = Ingress(
            self._serve_caller,
            self._limits,
            self._may_overlap,
            self._body_budget,
            self._on_body_refused,
        )
        self._readiness_ingress = Ingress(self._answer_ready, budget=self._body_budget)
        self._directory_ingress = Ingress(self._serve_directory, budget=self._body_budget)
        self._metrics_ingress = Ingress(self._serve_metrics, budget=self._body_budget)
        self._sweep_due_ms = 0.0
        self._stopping = False
        self._published_ready = False
        self._logged_cut_off = False
        self._written_era = 0
        self._stopped = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Open the listeners, and start to follow the store and to exchange messages with peers."""
        settings = self._settings
        await self._peering.link.open(settings.peer_address)
        await self._caller_ingress.listen(settings.caller_address)
        await self._readiness_ingress.listen(settings.ready_address)
        await self._directory_ingress.listen(settings.directory_address)
        if settings.metrics_port:
            host = settings.caller_address.rpartition(":")[0]
            await self._metrics_ingress.listen(f"{host}:{settings.metrics_port}")
        self._add_seeds()
        self._tasks = [
            asyncio.create_task(run_with_restarts(self._tick, "tick", self._log)),
            asyncio.create_task(run_with_restarts(self._announcer.run, "announce", self._log)),
            asyncio.create_task(
                run_with_restarts(self._quarantine_persistence.write, "quarantine", self._log)
            ),
        ]
        if not settings.first_start:
            work = run_with_restarts(
                self._quarantine_persistence.read, "reading the quarantine", self._log
            )
            self._tasks.append(asyncio.create_task(work))
        self._log.note(EventKind.STARTED, pid=os.getpid(), data_center=settings.data_center)
        # Waiting for the first tick would leave callers without a response for 50 ms more.
        self._update_store_following(monotonic_ms())

    async def run_until_stopped(self) -> None:
        """Serve until a planned stop has ended, and then release all resources."""
        await self._stopped.wait()
        self._forwarder.record_broken_off()
        for task in self._tasks:
            task.cancel()
        self._follower.stop("stopping")
        self._refresher.close()
        self._link_checks.close()
        self._prober.close()
        self._pool.close()
        self._peering.link.close()
        self._store.close()
        self._log.note(EventKind.STOPPED, in_flight=self._caller_ingress.in_flight())
        self._log.flush()

    def begin_shutdown(self) -> None:
        """Begin a planned stop; a second call has no effect."""
        if not self._stopping:
            self._stopping = self._announcer.leaving = True
            self._planned_stop.begin(monotonic_ms(), self._settings.stop_s * 1000)
            self._log.note(EventKind.STOPPING, in_flight=self._caller_ingress.in_flight())
            self._tasks.append(asyncio.create_task(self._shut_down()))

    def reload(self, settings: GatewaySettings) -> None:
        """Apply changed settings; changed addresses take effect at the next start."""
        self._settings = settings
        self._add_seeds()
        self._log.note(EventKind.RELOADED)

    def log_start_failure(self, error: OSError) -> None:
        """Log why the process ends during its start."""
        self._log.note(EventKind.FAULT, part="start", error=str(error))
        self._log.flush()

    def log_reload_failure(self, error: SettingsError) -> None:
        """Log why changed settings were rejected; the settings in force stay."""
        self._log.note(EventKind.RELOADED, error=str(error))

    async def _shut_down(self) -> None:
        """Send callers to other VMs, serve those that still come, and stop once all are answered.

        `PlannedStop` has the times, and decides which requests may still begin.
        """
        stop = self._planned_stop
        self._forwarder.begin_stop()
        self._caller_ingress.start_draining()
        self._proxy_server.accepting = False
        self._peering.leaving = True
        self._peering.ready = False
        self._peering.send_heartbeat()
        while monotonic_ms() < stop.accepts_until_ms:
            await asyncio.sleep(TICK_MS / 1000)
        self._caller_ingress.close_listener()
        self._caller_ingress.close_idle()
        while self._is_unfinished() and monotonic_ms() < stop.end_ms:
            await asyncio.sleep(TICK_MS / 1000)
            self._caller_ingress.close_idle()
        self._peering.allotment_updates.send_end(monotonic_ms())
        self._stopped.set()

    def _in_flight(self) -> int:
        """Return how many requests are in progress, of callers and of other gateways."""
        return self._caller_ingress.in_flight() + self._proxy_server.in_flight

    def _is_unfinished(self) -> bool:
        """Return whether a request is in progress, or a caller may lack a part of its response."""
        return bool(self._in_flight() or self._caller_ingress.lingering())

    def _add_seeds(self) -> None:
        """Add the hosts of the seeds as peers; the peer port is the same on all VMs."""
        own_address = self._settings.peer_address
        port = own_address.rpartition(":")[2]
        for seed in self._settings.seed_addresses:
            address = f"{seed.rpartition(':')[0]}:{port}"
            if address != own_address:
                self._peering.add_address(address)
                self._discovery.add_seed(address)

    # Listeners.

    def _limits(self) -> IngressLimits:
        config = self._gateway_state.config
        return IngressLimits() if config is None else config.limits

    def _may_overlap(self, request: CallerRequest) -> bool:
        """Return whether a request may run beside others of its connection.

        It must be idempotent and have no large response: several of these would be held in memory
        until it is their turn.
        """
        config = self._gateway_state.config
        route = None if config is None else config.find(request.host, request.path)
        return route is not None and route.idempotent and not route.large_responses

    async def _serve_caller(self, request: CallerRequest) -> CallerAnswer:
        return await self._forwarder.handle(request)

    async def _answer_ready(self, request: CallerRequest) -> CallerAnswer:
        return CallerAnswer(200 if self._is_ready() else 503, [])

    async def _serve_directory(self, request: CallerRequest) -> CallerAnswer:
        now_ms = monotonic_ms()
        store_unreachable = self._follower.active and not self._follower.reading
        own_address = self._settings.caller_address if self._is_ready() else None
        addresses = self._members.sample_addresses(
            own_address, now_ms, store_unreachable, self._random
        )
        random.shuffle(addresses)  # A response may hold only some, and each VM should get callers.
        return self._answer_directory(request, addresses, self._settings.address_ttl_s * 1000)

    async def _serve_metrics(self, request: CallerRequest) -> CallerAnswer:
        counters = self._counters
        gateway_state = self._gateway_state
        counters.set("config_version", gateway_state.config_version)
        now_ms = monotonic_ms()
        for name, freshness in (
            ("config_confirmed_age_ms", gateway_state.config_freshness),
            ("registry_confirmed_age_ms", gateway_state.registry.position.freshness),
        ):
            counters.set(name, round(min(freshness.age_ms(now_ms), now_ms)))
        config = gateway_state.config
        if config is not None:
            counters.set("config_items_rejected", len(config.rejected_items))
            if config.accounts is not None:
                counters.set("accounts", len(config.accounts.accounts))
                self._report.account_metrics.set_limits(config.accounts.accounts)
        counters.set("registry_version", gateway_state.registry.version)
        counters.set("registry_digest", gateway_state.registry.digest())
        counters.set("store_era", gateway_state.store_era)
        counters.set("backend_servers", len(gateway_state.registry))
        counters.set("data_centers_evacuated", len(gateway_state.evacuated()))
        counters.set("members_alive", len(self._members.alive(now_ms)))
        counters.set("cut_off", int(self._members.is_cut_off(now_ms)))
        ready = self._is_ready()
        counters.set("serving", int(ready and self._members.advertises_itself(now_ms)))
        counters.set("vm_share", self._members.caller_share(now_ms) if ready else 0)
        counters.set("reading_store", int(self._follower.reading))
        quarantine = self._peering.quarantine_updates.quarantine
        counters.set("requests_suspected", len(quarantine))
        counters.set("requests_quarantined", len(quarantine.quarantined(now_ms)))
        counters.set("rate_limits", len(self._peering.rate_limit_updates.limits))
        counters.set("backoffs", self._gateway_state.backoffs.own_count)
        counters.set("drain_notices", len(self._gateway_state.drain_notices))
        counters.set("links_down", len(self._links))
        counters.set("services_out_of_reach", self._peering.link_updates.lost_services())
        counters.set("proxying", self._proxy_server.in_flight)
        counters.set("waiting", len(self._forwarder.admission))
        counters.set("body_bytes", self._body_budget.held_bytes)
        counters.set("bodies_waiting", self._body_budget.waiting_count)
        counters.set("probes", self._prober.probe_count)
        counters.set("connects", self._pool.connects)
        counters.set("connections", self._pool.open_count + self._prober.connections)
        for name, count in self._peering.link.messages_sent.items():
            counters.set("messages_sent", count, type=name)
            counters.set("message_bytes_sent", self._peering.link.bytes_sent[name], type=name)
        counters.set("processor_ms", round(1000 * time.process_time()))
        counters.set("log_lines_dropped", self._log.dropped_total)
        headers = [(b"content-type", b"text/plain; version=0.0.4")]
        return CallerAnswer(200, headers, counters.to_prometheus_text())

    def _is_ready(self) -> bool:
        return self._gateway_state.can_serve and not self._stopping

    def _on_body_refused(self, size_bytes: int) -> None:
        budget = self._body_budget
        self._counters.add("bodies_refused")
        self._log.note(
            EventKind.BODY_REFUSED,
            size_bytes=size_bytes,
            held_bytes=budget.held_bytes,
            limit_bytes=budget.limit_bytes,
            waiting=budget.waiting_count,
        )

    # Background work.

    async def _tick(self) -> None:
        pause_detector = PauseDetector(monotonic_ms())
        while True:
            due_ms = monotonic_ms() + self._tick_ms()
            await asyncio.sleep((due_ms - monotonic_ms()) / 1000)
            now_ms = monotonic_ms()
            self._counters.observe("tick_delay", max(0.0, now_ms - due_ms))
            if now_ms - due_ms > LATE_TICK_MS:
                self._gateway_state.record_process_pause(due_ms, now_ms)
            if pause_detector.observe(now_ms):
                self._log.note(EventKind.PAUSED)
                self._peering.broadcast.record_process_pause(now_ms)
            try:
                self._run_periodic_work(now_ms)
            except Exception:
                self._log.note(EventKind.FAULT, part="tick", error=traceback.format_exc())
            self._log.flush()

    def _tick_ms(self) -> float:
        """Return the time to the next tick, which is longer when no request depends on it."""
        busy = self._gateway_state.load_table.has_requests() or len(self._forwarder.admission)
        if busy or self._members.is_load_subscriber(monotonic_ms()):
            return TICK_MS
        return IDLE_TICK_MS

    def _run_periodic_work(self, now_ms: float) -> None:
        self._update_store_following(now_ms)
        self._refresher.start_due(now_ms)
        evacuated = self._gateway_state.evacuated()
        ended = self._gateway_state.expire(now_ms)
        if self._gateway_state.evacuated() != evacuated:
            document = self._gateway_state.evacuations.to_document()
            self._log.note(EventKind.EVACUATION, **document, source="grace period")
        for incarnation in ended:
            self._pool.forget(incarnation)
            self._peering.load_updates.forget(incarnation)
            self._probe_schedule.forget(incarnation)
            self._cold_limit.forget(incarnation)
            self._peering.rate_limit_updates.forget(incarnation)
            self._log.note(
                EventKind.SERVER,
                source="grace period",
                gone=incarnation,
                digest=self._gateway_state.registry.digest(),
            )
        self._publish_readiness()
        self._probe(now_ms)
        self._link_checks.start_due()
        self._peering.link_updates.repeat_if_due(now_ms)
        if self._peering.reading != self._follower.reading:
            self._peering.reading = self._follower.reading
            self._peering.send_heartbeat()
        self._peering.tick(now_ms)
        self._peering.request_peer_addresses(now_ms)
        if now_ms >= self._sweep_due_ms:
            self._sweep_due_ms = now_ms + SWEEP_MS
            self._sweep(now_ms)
        self._forwarder.admission.admit_all_ready()

    def _sweep(self, now_ms: float) -> None:
        self._body_budget.expire(now_ms)
        self._rewrite_after_store_restore()
        self._log_cut_off(now_ms)
        self._report.log_starved_accounts(now_ms)
        self._pool.sweep()
        known = self._gateway_state.registry.get
        self._prober.sweep(known)
        self._gateway_state.load_table.remove_unknown(known)
        self._links.retain(known)
        self._peering.link_updates.expire(now_ms)
        self._members.forget(now_ms)
        self._peering.failure_updates.forget(now_ms)
        self._peering.quarantine_updates.remove_expired(now_ms)
        self._peering.rate_limit_updates.expire(now_ms)
        self._peering.drain_updates.expire(now_ms)
        self._peering.backoff_updates.expire(now_ms)

    def _rewrite_after_store_restore(self) -> None:
        """Write this VM's records again after the store was restored from an older copy.

        The copy may lack them; a new store era shows that it was restored.
        """
        era = self._gateway_state.store_era
        if era == self._written_era:
            return
        if self._written_era:
            self._discovery.announcement_lost()
            if self._follower.active:
                self._quarantine_persistence.mark_changed()
        self._written_era = era

    def _log_cut_off(self, now_ms: float) -> None:
        cut_off = self._members.is_cut_off(now_ms)
        if cut_off != self._logged_cut_off:
            self._logged_cut_off = cut_off
            alive = len(self._members.alive(now_ms))
            self._log.note(
                EventKind.CUT_OFF, cut_off=cut_off, alive=alive, known=len(self._members)
            )

    def _publish_readiness(self) -> None:
        ready = self._is_ready()
        self._peering.ready = ready
        if ready != self._published_ready:
            self._published_ready = ready
            self._log.note(
                EventKind.READY,
                ready=ready,
                config=self._gateway_state.config_version,
                servers=len(self._gateway_state.registry),
            )
            self._peering.send_heartbeat()

    def _update_store_following(self, now_ms: float) -> None:
        should_read = self._members.should_read_store(self._follower.reading, now_ms)
        if not self._follower.active and should_read and not self._stopping:
            self._follower.start()
        elif not self._gateway_state.can_serve and not self._settings.first_start:
            self._follower.read_initial_state()
        elif self._follower.active and not should_read and self._enough_others_read(now_ms):
            self._follower.stop("enough other VMs read the store")

    def _enough_others_read(self, now_ms: float) -> bool:
        alive = self._members.alive(now_ms)
        return sum(1 for member in alive if member.reading) >= READERS

    def _on_change(self, changed_names: tuple[str, ...], base_version: int) -> None:
        """Send changes read from the store to the peers.

        `changed_names` lists the changed backend servers, and `base_version` is the version of the
        registry before the change.
        """
        gateway_state = self._gateway_state
        if not changed_names:
            self._peering.send_heartbeat(has_update=True)
            return
        version = gateway_state.registry.version
        self._log.note(
            EventKind.SERVER,
            version=version,
            source="store",
            touched=changed_names[:8],
            digest=gateway_state.registry.digest(),
        )
        self._peering.broadcast_registry_changes(base_version, changed_names)

    def _probe(self, now_ms: float) -> None:
        """Start the probes that are due."""
        config = self._gateway_state.config
        if config is None or self._stopping:
            return
        self._prober.probe(
            (server, config.services[server.service].health_path)
            for server in self._probe_schedule.due(now_ms)
            if server.service in config.services
        )

    def _on_link_change(self, change: LinkChange) -> None:
        server, failure = change.server, change.failure
        self._log.note(
            EventKind.LINK,
            server=server.incarnation,
            address=server.address,
            service=server.service,
            down=failure is not None,
            failure="" if failure is None else failure.value,
            lasted_ms=round(change.lasted_ms),
        )
        self._peering.link_updates.record_change(change)
        if failure is None:
            self._forwarder.admission.schedule_admission()
        else:
            self._forwarder.link_lost(server.incarnation)

    def _reports_load(self, server: BackendServer) -> bool:
        """Return whether the endpoints of this one's service report their load."""
        gateway_state = self._gateway_state
        loads = (
            gateway_state.load_table.get(item.incarnation)
            for item in gateway_state.registry.of_service(server.service)
        )
        return any(load is not None and load.latest_report is not None for load in loads)

    def _on_load_report(self, server: BackendServer, report: LoadReport, at_ms: float) -> None:
        load = self._gateway_state.load_table.get_or_create(server.incarnation)
        is_first = load.latest_report is None
        load.update_from_probe(report, at_ms)
        self._peering.load_updates.add(server.incarnation, report, at_ms)
        self._forwarder.slowdown_changed(server.incarnation)
        if is_first:
            self._log.note(
                EventKind.ENDPOINT,
                server=server.incarnation,
                address=server.address,
                reachable=True,
            )
