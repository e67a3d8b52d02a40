"""The daemon: one event loop that serves callers, follows the configuration and talks to its peers.

Layer: transport.  `Daemon` only wires the parts together; each decision is made in a part of its
own.
"""

import asyncio
import random
import signal
import sys
import time
from typing import Any

from absl import app, flags, logging
from aioprometheus import Counter, Registry

from cloverhook.at_most_once import AnswerStore, OnceGuard
from cloverhook.caller_app import CallerApp
from cloverhook.caller_protocol import Limits
from cloverhook.claim_log import ClaimLog
from cloverhook.claims import ClaimBook
from cloverhook.dispatch import Dispatcher, Target
from cloverhook.errors import SettingsError
from cloverhook.fold import FoldResult, Verdict
from cloverhook.follower import Follower
from cloverhook.members import Member, Membership
from cloverhook.messages import Heartbeat, Hello, Message, RecordsPassedOn
from cloverhook.operator_app import operator_app
from cloverhook.peering import PeerLinks
from cloverhook.platform_api import Platform
from cloverhook.platform_http import HttpPlatform
from cloverhook.records import Record, Snapshot
from cloverhook.server import Listener
from cloverhook.settings import DaemonSettings
from cloverhook.steering import home_vms, ranked
from cloverhook.timeline import TimeLine
from cloverhook.upstream import UpstreamPool

__all__ = ["Daemon", "run"]

TICK_MS = 10
LIST_EVERY_MS = 1_000
LOG_RETRY_MS = 500
EXIT_SETTINGS = 2

FLAGS = flags.FLAGS
flags.DEFINE_string("settings", None, "The TOML file with the daemon's settings.")


def _now_ms() -> float:
    return time.time() * 1000


class Daemon:
    """One daemon on one VM."""

    def __init__(self, settings: DaemonSettings, platform: Platform) -> None:
        self._settings = settings
        self._platform = platform
        self._incarnation = time.time_ns() // 1_000_000
        self._time_line = TimeLine(settings.vm)
        self._dispatcher = Dispatcher(random.Random(), self)
        self._pool = UpstreamPool(settings.header_limit_bytes)
        self._follower = Follower(platform, self._on_folded)
        self._claims = ClaimLog(
            platform,
            ClaimBook(settings.vm, settings.claim_window_ms),
            _now_ms,
            settings.claim_wait_ms,
            settings.claim_appends_per_s,
        )
        self._stopping = asyncio.Event()
        self._leaving = False
        self._tasks: list[asyncio.Task[None]] = []
        self._registry = Registry()
        self._refused_operators = Counter("cloverhook_refused_operators", "Calls with no token.")
        self._registry.register(self._refused_operators)

    @classmethod
    def from_settings(cls, settings: DaemonSettings) -> "Daemon":
        """Return a daemon that uses the platform its settings name."""
        return cls(settings, HttpPlatform(settings.platform_url))

    async def start(self) -> None:
        """Open the listeners and start to follow and to talk."""
        self._caller_app = CallerApp(
            self._settings,
            self._dispatcher,
            self._pool,
            self._time_line,
            _now_ms,
            self._addresses,
            OnceGuard(self._claims, AnswerStore(self._settings.replay_limit_bytes), _now_ms),
        )
        operators = operator_app(
            self,
            self._registry,
            self._settings.operator_token(),
            lambda: self._refused_operators.inc({}),
        )
        settings = self._settings
        self._callers = Listener(
            self._caller_app,
            settings.caller_address,
            settings.caller_idle_ms,
            Limits(
                settings.header_limit_bytes,
                settings.header_limit_count,
                settings.url_limit_bytes,
                settings.body_limit_bytes,
                settings.header_timeout_ms,
                settings.body_timeout_ms,
            ),
        )
        self._operators = Listener(operators, settings.operator_address)
        await self._start_peering()
        await self._callers.start()
        await self._operators.start()
        loops = (self._follow(), self._tick(), self._beat(), self._watch_list(), self._claims.run())
        self._tasks = [asyncio.create_task(loop) for loop in loops]
        for name, address in (
            ("callers", self._callers.address),
            ("operators", self._operators.address),
            ("peers", self._links.address),
        ):
            print(f"{name}: listening on {address}", flush=True)
        logging.info("daemon: %s has started.", settings.vm)

    async def run_until_stopped(self) -> None:
        """Serve until a planned stop has ended."""
        await self._stopping.wait()
        logging.info("daemon: %s is leaving.", self._settings.vm)
        await asyncio.sleep(self._settings.drain_ms / 1000)
        await self._callers.stop()
        for task in self._tasks:
            task.cancel()
        await self._claims.flush()
        await self._links.close()
        await self._operators.stop()
        self._pool.close()
        await self._platform.close()
        logging.info("daemon: %s has stopped.", self._settings.vm)

    def drain(self) -> None:
        """Begin a planned stop: leave the addresses handed out, serve on, then stop."""
        self._leaving = True
        self._caller_app.leaving = True
        self._members.update_own(self._follower.state.next_offset, leaving=True)
        self._send_heartbeats()
        self._stopping.set()

    def ready(self) -> bool:
        """Return whether the daemon has a configuration and takes requests."""
        return bool(self._follower.state.brands) and not self._leaving

    def status(self) -> dict[str, Any]:
        """Return what operators see of this daemon."""
        now_ms = _now_ms()
        return {
            "vm": self._settings.vm,
            "data_center": self._settings.data_center,
            "caller_address": self._callers.address,
            "leaving": self._leaving,
            "offset": self._follower.state.next_offset,
            "brands": {
                name: {"version": item.version, "preset": item.preset.value}
                for name, item in self._follower.state.brands.items()
            },
            "members": [member.vm for member in self._members.serving(now_ms)],
            "linked": self._links.linked(),
            "refused_strangers": self._links.refused_strangers,
        }

    def events(self) -> list[dict[str, Any]]:
        """Return this daemon's part of the time line."""
        return [event.to_document() for event in self._time_line.events()]

    def tell(self, vm: str, message: Message) -> None:
        """Send a message to another VM; it may be lost."""
        self._links.send(vm, message)

    def probe(self, target: Target, address: str) -> None:
        """Ask an endpoint for its load and report the answer to its router."""
        del target, address

    async def _start_peering(self) -> None:
        settings = self._settings
        hello = Hello(
            settings.vm,
            settings.data_center,
            self._callers.address,
            "",
            self._incarnation,
            b"",
            b"",
        )
        self._links = PeerLinks(hello, settings.peer_key(), self._on_message)
        await self._links.start(settings.peer_address)
        own = Member(
            settings.vm,
            settings.data_center,
            self._callers.address,
            self._links.address,
            self._incarnation,
        )
        self._members = Membership(own)

    def _addresses(self, target: Target) -> dict[str, Any]:
        serving = self._members.serving(_now_ms())
        homes = home_vms(target.key, serving, target.policy.home_vms)
        others = [member for member in ranked(target.key, serving) if member not in homes]
        return {
            "service": target.service.name,
            "lifetime_ms": target.policy.lifetime_ms,
            "addresses": [member.caller_address for member in (*homes, *others)],
        }

    def _on_folded(self, record: Record, result: FoldResult) -> None:
        if isinstance(record, Snapshot):
            return
        self._time_line.add(_now_ms(), f"change-{result.verdict.value}", change_id=record.change_id)
        if result.verdict is Verdict.ACCEPTED:
            self._dispatcher.configure(result.state, _now_ms())

    def _on_message(self, vm: str, message: Message) -> None:
        now_ms = _now_ms()
        match message:
            case Hello():
                self._members.greeted(message, now_ms)
            case Heartbeat():
                self._members.heard(message, now_ms)
                self._help(vm, message)
            case RecordsPassedOn(from_offset, records) if (
                from_offset <= self._follower.state.next_offset
            ):
                self._follower.take(from_offset, records)

    def _help(self, vm: str, beat: Heartbeat) -> None:
        records = self._follower.records_from(beat.config_offset)
        if records:
            self._links.send(vm, RecordsPassedOn(beat.config_offset, records))

    def _send_heartbeats(self) -> None:
        beat = Heartbeat(
            self._settings.vm, self._incarnation, self._follower.state.next_offset, self._leaving
        )
        for vm in self._links.linked():
            self._links.send(vm, beat)

    async def _follow(self) -> None:
        while True:
            if not await self._follower.poll():
                await asyncio.sleep(LOG_RETRY_MS / 1000)

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_MS / 1000)
            self._dispatcher.tick(_now_ms())

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(self._settings.heartbeat_ms / 1000)
            self._members.update_own(self._follower.state.next_offset, self._leaving)
            for member in self._members.all():
                if member.vm > self._settings.vm:
                    self._links.open(member.vm, member.peer_address)
            self._send_heartbeats()

    async def _watch_list(self) -> None:
        while True:
            try:
                self._members.listed(await self._platform.list_vms(), _now_ms())
            except Exception as error:
                logging.warning("daemon: the list of VMs can't be read: %s.", error)
            await asyncio.sleep(LIST_EVERY_MS / 1000)


async def _main(settings: DaemonSettings) -> None:
    daemon = Daemon.from_settings(settings)
    await daemon.start()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, daemon.drain)
    await daemon.run_until_stopped()


def _start(arguments: list[str]) -> None:
    del arguments
    if FLAGS.settings is None:
        print("cloverhookd: --settings names no file", file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    try:
        settings = DaemonSettings.from_file(FLAGS.settings)
        settings.peer_key()
        settings.operator_token()
    except SettingsError as error:
        print(f"cloverhookd: the settings are not valid:\n{error}", file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    asyncio.run(_main(settings))


def run() -> None:
    """Run the `cloverhookd` program."""
    app.run(_start)


if __name__ == "__main__":
    run()
