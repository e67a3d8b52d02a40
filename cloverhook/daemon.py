"""The daemon: one event loop for the callers, the configuration log and the peers.

Layer: transport.  `Daemon` only connects the parts; every decision is made in one of them.
"""

import asyncio
import gc
import random
import signal
import sys
import time
from typing import Any

from absl import app, flags, logging

from cloverhook.at_most_once import AnswerCache, AtMostOnceRunner
from cloverhook.caller_app import CallerApp
from cloverhook.caller_protocol import RequestLimits
from cloverhook.claim_log import ClaimLog
from cloverhook.claims import ClaimTable
from cloverhook.clock import monotonic_ms, wall_ms
from cloverhook.cluster import Cluster
from cloverhook.dispatch import Dispatcher, Target
from cloverhook.drain import DrainPlan
from cloverhook.errors import SettingsError
from cloverhook.fold import FoldResult, Verdict
from cloverhook.follower import Follower
from cloverhook.load_monitor import LoadMonitor
from cloverhook.logs import configure_logs
from cloverhook.messages import Message
from cloverhook.metrics import Metric, Sample
from cloverhook.observed_app import ObservedApp
from cloverhook.observer import Observer
from cloverhook.operator_app import operator_app
from cloverhook.platform_api import Platform
from cloverhook.platform_http import HttpPlatform
from cloverhook.probing import LoadProbes
from cloverhook.proxying import Proxying
from cloverhook.records import Change, Record
from cloverhook.routing_events import ProbeEnded
from cloverhook.server import Listener
from cloverhook.settings import DaemonSettings
from cloverhook.stamped_platform import StampedPlatform
from cloverhook.state import State
from cloverhook.timeline import EventName, EventPage
from cloverhook.upstream import UpstreamPool

__all__ = ["Daemon", "run"]

SNAPSHOT_CHECK_MS = 500
EXIT_INVALID_SETTINGS = 2
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)

FLAGS = flags.FLAGS
flags.DEFINE_string("settings", None, "The TOML file with the daemon's settings.")


class Daemon:
    """One daemon on one VM."""

    def __init__(self, settings: DaemonSettings, platform: Platform) -> None:
        self._settings = settings
        self._incarnation = time.time_ns() // 1_000_000
        self._observer = Observer(settings)
        self._observer.add_metrics_source(self._samples)
        self._platform = StampedPlatform(platform, self._observer.time_line.clock)
        self._dispatcher = Dispatcher(random.Random(), self, self._observer)
        self._pool = UpstreamPool(settings.header_limit_bytes, self._connection_limit)
        self._probes = LoadProbes(self._pool, self._on_probed, monotonic_ms)
        self._claims = ClaimLog(
            self._platform,
            ClaimTable(settings.vm, settings.claim_window_ms),
            wall_ms,
            settings.claim_wait_ms,
            settings.claim_appends_per_s,
        )
        self._follower = Follower(self._platform, self._on_folded, on_adopted=self._on_adopted)
        self._cluster = Cluster(
            settings,
            self._incarnation,
            self._platform,
            self._follower,
            self._dispatcher,
            self._observer,
            self.drain,
        )
        self._proxy_pool = UpstreamPool(settings.header_limit_bytes)
        self._proxying = Proxying(
            settings.peer_key(),
            settings.vm,
            self._proxy_pool,
            lambda: self._cluster.membership.serving(),
            monotonic_ms,
            self._observer.note_proxied,
        )
        self._stop_requested = asyncio.Event()
        self._drain_plan = DrainPlan(0.0, 0.0)
        self._draining = False
        self._tasks: list[asyncio.Task[None]] = []

    @classmethod
    def from_settings(cls, settings: DaemonSettings) -> "Daemon":
        """Return a daemon that uses the platform at the URL in its settings."""
        return cls(settings, HttpPlatform(settings.platform_url))

    async def start(self) -> None:
        """Open the listeners, join the peers and start to follow the configuration log."""
        self._caller_app = CallerApp(
            self._settings,
            self._dispatcher,
            self._pool,
            self._observer.time_line,
            monotonic_ms,
            self._cluster.addresses,
            AtMostOnceRunner(
                self._claims, AnswerCache(self._settings.replay_limit_bytes), monotonic_ms
            ),
            self._settings.peer_key(),
            self._proxying,
        )
        operators_app = operator_app(
            self,
            self._observer.metrics,
            self._settings.operator_token(),
            self._observer.record_rejected_operator,
        )
        settings = self._settings
        self._caller_listener = Listener(
            ObservedApp(self._caller_app, self._observer),
            settings.caller_address,
            settings.caller_idle_ms,
            RequestLimits(
                settings.header_limit_bytes,
                settings.header_limit_count,
                settings.url_limit_bytes,
                settings.body_limit_bytes,
                settings.header_timeout_ms,
                settings.body_timeout_ms,
            ),
        )
        self._operator_listener = Listener(operators_app, settings.operator_address)
        await self._cluster.start(self._caller_listener.address)
        await self._caller_listener.start()
        await self._operator_listener.start()
        self._dispatcher.start_timer(monotonic_ms)
        loops = (self._follow_log(), self._append_snapshots(), self._claims.run())
        load_monitor = LoadMonitor(
            self._dispatcher.load_shedder,
            self._cluster.announce_load,
            self._observer.record_loop_lag,
        )
        self._tasks = [asyncio.create_task(loop) for loop in (*loops, load_monitor.run())]
        self._observer.note(EventName.DAEMON_STARTED)
        logging.info("daemon: %s has started.", settings.vm)

    def print_addresses(self) -> None:
        """Print the addresses that this daemon listens on."""
        for name, address in (
            ("callers", self._caller_listener.address),
            ("operators", self._operator_listener.address),
            ("peers", self._cluster.links.address),
        ):
            print(f"{name}: listening on {address}", flush=True)

    async def run_until_stopped(self) -> None:
        """Serve until a planned shutdown is complete."""
        await self._stop_requested.wait()
        logging.info("daemon: %s is shutting down.", self._settings.vm)
        await asyncio.sleep(self._drain_plan.remaining_ms(monotonic_ms()) / 1000)
        await self._finish_requests()
        for task in self._tasks:
            task.cancel()
        self._dispatcher.stop_timer()
        await self._claims.flush()
        await self._cluster.close()
        await self._operator_listener.stop()
        self._probes.close()
        self._pool.close()
        self._proxy_pool.close()
        await self._platform.close()
        logging.info("daemon: %s has stopped.", self._settings.vm)

    def drain(self) -> None:
        """Start a planned shutdown.

        This daemon's address is withdrawn from the answers to callers, requests are still served
        until the earlier answers have expired, and then the daemon stops.  A second call has no
        effect, so a second signal interrupts no request either.
        """
        if self._draining:
            return
        self._draining = True
        self._observer.note(EventName.DRAIN_STARTED)
        self._caller_app.draining = True
        self._cluster.announce_shutdown()
        lifetimes = [target.policy.lifetime_ms for target in self._dispatcher.targets()]
        self._drain_plan = DrainPlan.from_lifetimes(
            monotonic_ms(), lifetimes, self._settings.drain_ms
        )
        self._stop_requested.set()

    async def _finish_requests(self) -> None:
        """Wait until the requests in flight have ended; log a warning after each time limit."""
        stop_task = asyncio.create_task(self._caller_listener.stop())
        limit_s = self._settings.drain_in_flight_ms / 1000
        while not (await asyncio.wait({stop_task}, timeout=limit_s))[0]:
            logging.warning(
                "daemon: %s still has %d requests in flight.",
                self._settings.vm,
                self._caller_listener.in_flight(),
            )
        await stop_task

    def ready(self) -> bool:
        """Return whether the daemon has a configuration and accepts requests."""
        return bool(self._follower.state.brands) and not self._draining

    def status(self) -> dict[str, Any]:
        """Return the status document of this daemon for operators."""
        return {
            "vm": self._settings.vm,
            "data_center": self._settings.data_center,
            "caller_address": self._caller_listener.address,
            "leaving": self._draining,
            **self._follower.status(),
            "brands": {
                name: {"version": item.version, "preset": item.preset.value}
                for name, item in self._follower.state.brands.items()
            },
            **self._cluster.status(),
        }

    def events(
        self, after: int, limit: int, request_id: str, address: str, change_id: str
    ) -> EventPage:
        """Return a page of this daemon's part of the time line."""
        return self._observer.page(after, limit, request_id, address, change_id)

    def send_message(self, vm: str, message: Message) -> None:
        """Send a message to another VM.  Delivery is not guaranteed."""
        self._cluster.send_message(vm, message)

    def probe(self, target: Target, address: str, health: bool) -> None:
        """Probe an endpoint for its load or health and report the result to its router."""
        self._probes.start(target, address, health)

    def _on_probed(self, key: str, ended: ProbeEnded) -> None:
        self._dispatcher.probe_ended(key, ended, monotonic_ms())

    def _connection_limit(self, address: str) -> int:
        return self._dispatcher.connection_limit(address, len(self._cluster.membership.serving()))

    def _on_folded(self, record: Record, result: FoldResult) -> None:
        if not isinstance(record, Change):
            return
        self._observer.record_change(record, result)
        if result.verdict is Verdict.ACCEPTED:
            self._apply_config(result.state)

    def _on_adopted(self, state: State) -> None:
        self._observer.note(EventName.STATE_ADOPTED, f"up to offset {state.next_offset}")
        self._apply_config(state)

    def _apply_config(self, state: State) -> None:
        self._dispatcher.configure(state, monotonic_ms())
        self._cluster.announce_config()

    async def _follow_log(self) -> None:
        while True:
            answered = await self._follower.poll()
            self._observer.record_log_read(answered)
            if not answered:
                await asyncio.sleep(self._follower.retry_ms() / 1000)

    async def _append_snapshots(self) -> None:
        while True:
            await asyncio.sleep(SNAPSHOT_CHECK_MS / 1000)
            await self._follower.append_snapshot_if_due()

    def _samples(self) -> list[Sample]:
        return [
            Sample(Metric.WAITING, self._dispatcher.queued_count()),
            Sample(Metric.OFFSET, self._follower.state.next_offset),
            Sample(Metric.CONFIG_AGE, self._follower.age_ms()),
            Sample(Metric.DRAINING, int(self._draining)),
            Sample(Metric.PASSED_ON, self._proxying.passed_on),
        ]


async def _main(settings: DaemonSettings) -> None:
    daemon = Daemon.from_settings(settings)
    await daemon.start()
    loop = asyncio.get_running_loop()
    for number in STOP_SIGNALS:
        loop.add_signal_handler(number, daemon.drain)
    daemon.print_addresses()
    gc.collect()
    gc.freeze()  # What has been loaded is permanent, so full collections need not traverse it.
    await daemon.run_until_stopped()
    for number in STOP_SIGNALS:
        loop.remove_signal_handler(number)
        signal.signal(number, signal.SIG_IGN)


def _start(arguments: list[str]) -> None:
    del arguments
    if FLAGS.settings is None:
        print("cloverhookd: the flag --settings is missing", file=sys.stderr)
        sys.exit(EXIT_INVALID_SETTINGS)
    try:
        settings = DaemonSettings.from_file(FLAGS.settings)
        settings.peer_key()
        settings.operator_token()
        configure_logs(settings.log_format, settings.vm)
    except SettingsError as error:
        print(f"cloverhookd: the settings are not valid:\n{error}", file=sys.stderr)
        sys.exit(EXIT_INVALID_SETTINGS)
    asyncio.run(_main(settings))


def run() -> None:
    """Run the `cloverhookd` program."""
    app.run(_start)


if __name__ == "__main__":
    run()
