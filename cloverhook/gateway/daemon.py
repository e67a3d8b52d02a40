"""The gateway's program: one event loop that serves callers, follows the store and its peers.

Layer: transport.  `Gateway` only wires the parts together; each decision is made in a part of its
own.
"""

import asyncio
import os
import random
import time
import traceback
from collections.abc import Callable

from cloverhook.clock import PauseDetector, monotonic_ms
from cloverhook.errors import SettingsError
from cloverhook.gateway.announcing import Announcer
from cloverhook.gateway.backend_pool import BackendPool
from cloverhook.gateway.backend_server import BackendServer
from cloverhook.gateway.balancer import Balancer
from cloverhook.gateway.call_headers import CallHeaders
from cloverhook.gateway.calls import CallerAnswer, CallerRequest
from cloverhook.gateway.choice import WorkEstimates
from cloverhook.gateway.cold_limit import ColdLimit, ColdRateBound
from cloverhook.gateway.counters import Counters
from cloverhook.gateway.discovery import Discovery
from cloverhook.gateway.event_log import EventKind, EventLog
from cloverhook.gateway.forwarding import Forwarder
from cloverhook.gateway.ingress import Ingress
from cloverhook.gateway.knowledge import GatewayState
from cloverhook.gateway.load import LoadReport
from cloverhook.gateway.measuring import GROUP_SIZE, STARTUP_DELAY_MS, ProbeSchedule
from cloverhook.gateway.members import READERS, Members
from cloverhook.gateway.peer_messages import Identity
from cloverhook.gateway.peering import Peering
from cloverhook.gateway.prober import Prober
from cloverhook.gateway.quarantine_keeper import QuarantinePersistence
from cloverhook.gateway.request_report import RequestReport
from cloverhook.gateway.retry_allowance import RetryBudget
from cloverhook.gateway.routes import IngressLimits
from cloverhook.gateway.settings import GatewaySettings
from cloverhook.gateway.store import MemberRecord, Store
from cloverhook.gateway.store_follower import StoreFollower
from cloverhook.gateway.supervision import run_with_restarts

__all__ = ["DirectoryHandler", "Gateway"]

TICK_MS = 50.0
STANDBY_TICK_MS = 100.0
"""A VM that no callers are sent to and that measures nothing has little to see to."""
SWEEP_MS = 1_000.0
ACCEPT_SHARE = 0.55
"""The part of a planned stop for which callers with old answers are still taken."""
GOODBYE_MS = 800.0
"""What is left of a planned stop when the last requests are given up: a slow VM needs it to end."""

DirectoryHandler = Callable[[CallerRequest, list[str], float], CallerAnswer]


def write_to_stdout(data: bytes) -> int:
    """Write what standard output takes now and return how much that was."""
    try:
        return os.write(1, data)
    except BlockingIOError:
        return 0


class Gateway:
    """One gateway on one VM."""

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
        self._knowledge = GatewayState(settings.drain_s * 1000)
        self._members = Members(settings.vm, settings.data_center, now_ms)
        self._discovery = Discovery(settings.vm, self._members, now_ms)
        own = Identity(
            settings.vm,
            time.time_ns() // 1_000_000,
            settings.data_center,
            settings.caller_address,
            settings.peer_address,
        )
        allowance = RetryBudget(
            settings.retry_ratio, settings.retry_extra, settings.retry_window_s * 1000
        )
        self._peering = Peering(
            own,
            self._knowledge,
            self._members,
            self._log,
            lambda incarnation: self._forwarder.slowdown_changed(incarnation),
            lambda: self._forwarder.admission.schedule_admission(),
            self._counters,
            fleet=settings.store_address,
            requests_per_s=allowance.total_requests_per_s,
        )
        quarantine_updates = self._peering.quarantine_updates
        self._keeper = QuarantinePersistence(store, quarantine_updates.quarantine, self._log)
        quarantine_updates.on_change = self._keeper.mark_changed
        record = MemberRecord(
            settings.vm, settings.data_center, settings.caller_address, settings.peer_address
        )
        self._announcer = Announcer(
            record, store, self._discovery, self._peering.add_member_addresses, self._log
        )
        self._follower = StoreFollower(
            store, self._knowledge, self._on_change, self._log, self._counters
        )
        self._pool = BackendPool()
        self._prober = Prober(headers, self._on_figure)
        estimates = WorkEstimates()
        self._cold_limit = ColdLimit(
            settings.vm,
            self._members.dispatching_vms,
            self._knowledge.cold_per_s,
            ColdRateBound(settings.cold_over, settings.cold_slack),
        )
        balancer = Balancer(
            self._knowledge.registry,
            self._knowledge.load_table,
            estimates,
            settings.data_center,
            random.Random(),
            self._pool.has_idle,
            self._knowledge.evacuated,
            self._cold_limit,
            (settings.regions or {}).get,
            self._peering.rate_limit_updates.limits,
        )
        self._measuring = ProbeSchedule(
            settings.vm,
            self._members,
            self._knowledge.registry,
            self._knowledge.load_table,
            settings.probes_per_s,
            allowance.requests_per_s,
            now_ms + STARTUP_DELAY_MS,
            0 if settings.first_start else GROUP_SIZE,
            self._knowledge.evacuated,
        )
        self._forwarder = Forwarder(
            self._knowledge,
            balancer,
            estimates,
            self._pool,
            allowance,
            headers,
            self._members.estimated_fleet_size,
            self._peering.count_updates.count_changed,
            self._peering.failure_updates.record_failure,
            self._peering.refusal_updates.record_refusal,
            quarantine_updates,
            self._peering.rate_limit_updates,
            RequestReport(self._knowledge, self._log, self._counters),
        )
        self._caller_ingress = Ingress(self._serve_caller, self._limits)
        self._readiness_ingress = Ingress(self._answer_ready)
        self._directory_ingress = Ingress(self._serve_directory)
        self._metrics_ingress = Ingress(self._serve_metrics)
        self._sweep_due_ms = 0.0
        self._leaving = False
        self._was_ready = False
        self._was_cut_off = False
        self._written_era = 0
        self._stopped = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Open the listeners and start to follow and to talk."""
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
            asyncio.create_task(run_with_restarts(self._keeper.write, "quarantine", self._log)),
        ]
        if not settings.first_start:
            work = run_with_restarts(self._keeper.read, "reading the quarantine", self._log)
            self._tasks.append(asyncio.create_task(work))
        self._log.note(EventKind.STARTED, pid=os.getpid(), data_center=settings.data_center)
        self._follow_or_not(monotonic_ms())  # A tick later would be 50 ms without an answer.

    async def run_until_stopped(self) -> None:
        """Serve until a planned stop has ended."""
        await self._stopped.wait()
        for task in self._tasks:
            task.cancel()
        self._follower.stop("stopping")
        self._prober.close()
        self._pool.close()
        self._peering.link.close()
        self._store.close()
        self._log.note(EventKind.STOPPED, in_flight=self._caller_ingress.in_flight())
        self._log.flush()

    def begin_shutdown(self) -> None:
        """Begin a planned stop; a second call changes nothing."""
        if not self._leaving:
            self._leaving = self._announcer.leaving = True
            self._log.note(EventKind.STOPPING, in_flight=self._caller_ingress.in_flight())
            self._tasks.append(asyncio.create_task(self._leave()))

    def reload(self, settings: GatewaySettings) -> None:
        """Take changed settings; addresses stay as they were until the next start."""
        self._settings = settings
        self._add_seeds()
        self._log.note(EventKind.RELOADED)

    def log_start_failure(self, error: OSError) -> None:
        """Say why the process ends at its start."""
        self._log.note(EventKind.FAULT, part="start", error=str(error))
        self._log.flush()

    def log_reload_failure(self, error: SettingsError) -> None:
        """Keep the settings in force and say why."""
        self._log.note(EventKind.RELOADED, error=str(error))

    async def _leave(self) -> None:
        """Send callers elsewhere, serve those who still come, and end when all is answered."""
        stop_ms = self._settings.stop_s * 1000
        begun_ms = monotonic_ms()
        self._caller_ingress.start_draining()
        self._peering.leaving = True
        self._peering.ready = False
        self._peering.send_heartbeat()
        accept_ms = begun_ms + stop_ms * ACCEPT_SHARE
        while monotonic_ms() < accept_ms:
            await asyncio.sleep(TICK_MS / 1000)
        self._caller_ingress.close_listener()
        self._caller_ingress.close_idle()
        end_ms = begun_ms + stop_ms - GOODBYE_MS
        while self._caller_ingress.in_flight() and monotonic_ms() < end_ms:
            await asyncio.sleep(TICK_MS / 1000)
            self._caller_ingress.close_idle()
        self._stopped.set()

    def _add_seeds(self) -> None:
        """Look for peers on the seeds' hosts; peers have the same port everywhere."""
        own_address = self._settings.peer_address
        port = own_address.rpartition(":")[2]
        for seed in self._settings.seed_addresses:
            address = f"{seed.rpartition(':')[0]}:{port}"
            if address != own_address:
                self._peering.add_address(address)
                self._discovery.add_seed(address)

    # Listeners.

    def _limits(self) -> IngressLimits:
        config = self._knowledge.config
        return IngressLimits() if config is None else config.limits

    async def _serve_caller(self, request: CallerRequest) -> CallerAnswer:
        return await self._forwarder.handle(request)

    async def _answer_ready(self, request: CallerRequest) -> CallerAnswer:
        return CallerAnswer(200 if self._is_ready() else 503, [])

    async def _serve_directory(self, request: CallerRequest) -> CallerAnswer:
        now_ms = monotonic_ms()
        asks_in_vain = self._follower.active and not self._follower.reading
        addresses = self._members.caller_addresses(now_ms, fully_isolated=asks_in_vain)
        if self._is_ready() and (not addresses or self._members.advertises_itself(now_ms)):
            addresses.append(self._settings.caller_address)
        random.shuffle(addresses)  # An answer may hold a part of them: each VM gets callers.
        return self._answer_directory(request, addresses, self._settings.address_ttl_s * 1000)

    async def _serve_metrics(self, request: CallerRequest) -> CallerAnswer:
        counters = self._counters
        knowledge = self._knowledge
        counters.set("config_version", knowledge.config_version)
        counters.set("registry_version", knowledge.registry.version)
        counters.set("registry_digest", knowledge.registry.digest())
        counters.set("store_era", knowledge.store_era)
        counters.set("backend_servers", len(knowledge.registry))
        counters.set("data_centers_evacuated", len(knowledge.evacuated()))
        now_ms = monotonic_ms()
        counters.set("members_alive", len(self._members.alive(now_ms)))
        counters.set("cut_off", int(self._members.is_cut_off(now_ms)))
        counters.set("reading_store", int(self._follower.reading))
        quarantine = self._peering.quarantine_updates.quarantine
        counters.set("requests_suspected", len(quarantine))
        counters.set("requests_quarantined", len(quarantine.quarantined(now_ms)))
        counters.set("rate_limits", len(self._peering.rate_limit_updates.limits))
        counters.set("waiting", len(self._forwarder.admission))
        counters.set("probes", self._prober.probe_count)
        counters.set("connects", self._pool.connects)
        counters.set("log_lines_dropped", self._log.dropped_total)
        headers = [(b"content-type", b"text/plain; version=0.0.4")]
        return CallerAnswer(200, headers, counters.to_prometheus_text())

    def _is_ready(self) -> bool:
        return self._knowledge.can_serve and not self._leaving

    # What goes on without requests.

    async def _tick(self) -> None:
        watch = PauseDetector(monotonic_ms())
        while True:
            await asyncio.sleep(self._tick_ms() / 1000)
            now_ms = monotonic_ms()
            if watch.observe(now_ms):
                self._log.note(EventKind.PAUSED)
                self._peering.broadcast.record_process_pause(now_ms)
            try:
                self._do_what_is_due(now_ms)
            except Exception:
                self._log.note(EventKind.FAULT, part="tick", error=traceback.format_exc())
            self._log.flush()

    def _tick_ms(self) -> float:
        """Return the time to the next tick: less often where nobody waits for what it does."""
        busy = self._knowledge.load_table.has_requests() or len(self._forwarder.admission)
        if busy or self._members.is_load_subscriber(monotonic_ms()):
            return TICK_MS
        return STANDBY_TICK_MS

    def _do_what_is_due(self, now_ms: float) -> None:
        self._follow_or_not(now_ms)
        evacuated = self._knowledge.evacuated()
        ended = self._knowledge.expire(now_ms)
        if self._knowledge.evacuated() != evacuated:
            document = self._knowledge.evacuations.to_document()
            self._log.note(EventKind.EVACUATION, **document, source="hold time")
        for incarnation in ended:
            self._pool.forget(incarnation)
            self._peering.load_updates.forget(incarnation)
            self._measuring.forget(incarnation)
            self._cold_limit.forget(incarnation)
            self._peering.rate_limit_updates.forget(incarnation)
            self._log.note(
                EventKind.SERVER,
                source="hold time",
                gone=incarnation,
                digest=self._knowledge.registry.digest(),
            )
        self._tell_readiness()
        self._probe(now_ms)
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
        self._write_again_in_new_era()
        self._tell_cut_off(now_ms)
        self._pool.sweep()
        known = self._knowledge.registry.get
        self._prober.sweep(known)
        self._knowledge.load_table.remove_unknown(known)
        self._members.forget(now_ms)
        self._peering.failure_updates.forget(now_ms)
        self._peering.quarantine_updates.remove_expired(now_ms)
        self._peering.rate_limit_updates.expire(now_ms)

    def _write_again_in_new_era(self) -> None:
        """Write again what this VM wrote, once the store has come back without it."""
        era = self._knowledge.store_era
        if era == self._written_era:
            return
        if self._written_era:
            self._discovery.announcement_lost()
            if self._follower.active:
                self._keeper.mark_changed()
        self._written_era = era

    def _tell_cut_off(self, now_ms: float) -> None:
        cut_off = self._members.is_cut_off(now_ms)
        if cut_off != self._was_cut_off:
            self._was_cut_off = cut_off
            alive = len(self._members.alive(now_ms))
            self._log.note(
                EventKind.CUT_OFF, cut_off=cut_off, alive=alive, known=len(self._members)
            )

    def _tell_readiness(self) -> None:
        ready = self._is_ready()
        self._peering.ready = ready
        if ready != self._was_ready:
            self._was_ready = ready
            self._log.note(
                EventKind.READY,
                ready=ready,
                config=self._knowledge.config_version,
                servers=len(self._knowledge.registry),
            )
            self._peering.send_heartbeat()

    def _follow_or_not(self, now_ms: float) -> None:
        wanted = self._members.should_read_store(self._follower.reading, now_ms)
        if not self._follower.active and wanted and not self._leaving:
            self._follower.start()
        elif not self._knowledge.can_serve and not self._settings.first_start:
            self._follower.read_initial_state()
        elif self._follower.active and not wanted and self._others_read(now_ms):
            self._follower.stop("others read")

    def _others_read(self, now_ms: float) -> bool:
        alive = self._members.alive(now_ms)
        return sum(1 for member in alive if member.reading) >= READERS

    def _on_change(self, touched: tuple[str, ...], base_version: int) -> None:
        """Pass on what the store has told; the registry's version was `base_version` before."""
        knowledge = self._knowledge
        if not touched:
            self._peering.send_heartbeat(has_update=True)
            return
        version = knowledge.registry.version
        self._log.note(
            EventKind.SERVER,
            version=version,
            source="store",
            touched=touched[:8],
            digest=knowledge.registry.digest(),
        )
        self._peering.broadcast_registry_changes(base_version, touched)

    def _probe(self, now_ms: float) -> None:
        """Start the probes that are due."""
        config = self._knowledge.config
        if config is None or self._leaving:
            return
        self._prober.probe(
            (server, config.services[server.service].health_path)
            for server in self._measuring.due(now_ms)
            if server.service in config.services
        )

    def _on_figure(self, server: BackendServer, figure: LoadReport, at_ms: float) -> None:
        load = self._knowledge.load_table.get_or_create(server.incarnation)
        before = load.latest_report
        load.update_from_probe(figure, at_ms)
        self._peering.load_updates.add(server.incarnation, figure, at_ms)
        self._forwarder.slowdown_changed(server.incarnation)
        if before is None or before.reachable != figure.reachable:
            self._log.note(
                EventKind.ENDPOINT,
                server=server.incarnation,
                address=server.address,
                reachable=figure.reachable,
            )
