"""A small fleet of real processes under load, for the scenarios that cause failures.

The load runs on the scenario's event loop while its steps run.  Callers request addresses, keep the
answer for its lifetime, and send reads and writes with and without an idempotency key.
"""

import asyncio
import json
import signal
import tomllib
import uuid
from collections import Counter

import aiohttp

from cloverhook import porcelain
from cloverhook.platform_http import HttpPlatform
from cloverhook.porcelain import Operator, Settlement
from cloverhook_emulator import invariants
from cloverhook_emulator.caller import now_ms
from cloverhook_emulator.cut_proxy import CutProxy
from cloverhook_emulator.fleet_runner import Fleet, Process
from cloverhook_emulator.load import CallMix, Load, LoadPlan, Phase
from cloverhook_emulator.replacement import is_advertised, replace_all
from cloverhook_emulator.run_record import RunRecord, ToldRecord

BRAND = "brathwaite"
OPERATOR = Operator("ann", {})
HOST = "booking.brathwaite.example"
DATA_CENTERS = ("halfway-tree", "new-kingston", "papine")
CALLS_PER_S = 100
MEASURING_MS_PER_S = 60
CALLERS = 20
LONGEST_S = 120
TIMEOUT_MS = 1_500
LIFETIME_MS = 400
WAIT_S = 30
LINES_SHOWN = 30
FAULT_TEXTS = ("Traceback", "fault of ours")

CONFIG = """
brand = "{brand}"
[[services]]
name = "booking"
hosts = ["{host}"]
[services.policy]
lifetime_ms = {lifetime_ms}
measuring_ms_per_s = {measuring_ms_per_s}
[[services.places]]
data_center = "papine"
endpoints = {endpoints}
leaving = {leaving}
"""


class LoadedFleet:
    """Daemons and backend servers, each in its own process, under a continuous load."""

    def __init__(self, fleet: Fleet, session: aiohttp.ClientSession) -> None:
        self.fleet = fleet
        self.session = session
        self.proxies: list[CutProxy] = []
        self.endpoints: list[str] = []
        self.servers: list[str] = []
        self.measuring_ms_per_s = MEASURING_MS_PER_S
        self.load: Load | None = None
        self.write_records: list[ToldRecord] = []
        self.published_ms = 0.0
        self._running: asyncio.Task | None = None

    async def start(
        self,
        daemons,
        servers_each=4,
        proxied=False,
        calls_per_s=CALLS_PER_S,
        measuring_ms_per_s=MEASURING_MS_PER_S,
    ):
        """Start all processes, publish the configuration and start the load."""
        self.measuring_ms_per_s = measuring_ms_per_s
        names = [f"vm-{index}" for index in range(daemons)]
        await asyncio.gather(
            self._start_backends(servers_each, proxied),
            *(self.start_daemon(name) for name in names),
        )
        await self.fleet.publish_vm_list()
        self.published_ms = now_ms()
        await self.publish()
        await self.until(self._ready)
        self._begin(calls_per_s)

    async def start_daemon(self, vm, **settings):
        """Start a daemon; the number in its name determines its data centre."""
        number = int(vm.rpartition("-")[2])
        await self.fleet.start_daemon(vm, DATA_CENTERS[number % 3], drain_ms=5_000, **settings)

    async def publish(self, leaving=()):
        """Publish the configuration, with the endpoints in `leaving` marked as draining."""
        document = tomllib.loads(
            CONFIG.format(
                brand=BRAND,
                host=HOST,
                lifetime_ms=LIFETIME_MS,
                measuring_ms_per_s=self.measuring_ms_per_s,
                endpoints=json.dumps(self.endpoints),
                leaving=json.dumps(list(leaving)),
            )
        )
        platform = HttpPlatform(self.fleet.platform_url)
        try:
            result = await porcelain.publish(platform, document, OPERATOR)
        finally:
            await platform.close()
        assert result.settlement is Settlement.ACCEPTED, result

    async def until(self, condition):
        """Wait until an asynchronous condition holds; raise `TimeoutError` after `WAIT_S` s."""
        async with asyncio.timeout(WAIT_S):
            while not await condition():
                await asyncio.sleep(0.02)

    async def until_answered(self, count, matches=lambda record: True):
        """Wait until `count` more calls have been answered by a backend server."""
        start = len(self.load.result.final_records)

        async def enough():
            ends = self.load.result.final_records[start:]
            return sum(end.status == 200 and matches(end) for end in ends) >= count

        try:
            await self.until(enough)
        except TimeoutError as error:
            raise AssertionError(self._describe_calls(start)) from error

    def _describe_calls(self, start):
        """Return how the calls from index `start` on ended, and each daemon's last log lines."""
        ends = Counter(
            (end.method, bool(end.idempotency_key), end.address, end.status, end.error)
            for end in self.load.result.final_records[start:]
        )
        lines = [f"{count} x {end}" for end, count in ends.most_common()]
        for vm, daemon in self.fleet.daemons.items():
            written = daemon.process.log.read_text().splitlines()
            lines += (f"{vm}  {line}" for line in written[-LINES_SHOWN:])
        return "\n".join(lines)

    async def serves(self, vm):
        """Return whether a daemon serves the brand, and all daemons give out its address."""
        for asked in self.fleet.daemons:
            if not await is_advertised(self.session, self.fleet, vm, HOST, asked):
                return False
        return True

    async def kill_daemon(self, vm):
        """Kill a daemon that will not be restarted."""
        await self.fleet.daemons.pop(vm).process.stop(signal.SIGKILL)

    async def replace_all(self):
        """Replace the daemons one by one by planned shutdowns and return their exit codes."""
        return await replace_all(self.fleet, self.start_daemon, self.serves)

    async def write(self, vm, key):
        """Send a write with an idempotency key to one daemon, and record and return the outcome."""
        request_id = uuid.uuid4().hex
        address = self.fleet.daemons[vm].caller_address
        headers = {
            "Host": HOST,
            "X-Request-Id": request_id,
            "Idempotency-Key": key,
            "Cloverhook-Timeout-Ms": str(WAIT_S * 1000),
        }
        started_ms = now_ms()
        async with self.session.post(f"http://{address}/", headers=headers, data=b"{}") as answer:
            body = await answer.text()
            record = ToldRecord(
                request_id,
                key,
                "POST",
                BRAND,
                address,
                started_ms,
                now_ms() - started_ms,
                answer.status,
                answer.headers.get("Cloverhook-Outcome", ""),
                body if answer.status == 200 else "",
                answer.headers.get("Emulator-Brand", ""),
                error=answer.headers.get("Cloverhook-Error", ""),
            )
        self.write_records.append(record)
        return record

    async def end(self) -> tuple[invariants.Report, list[RunRecord]]:
        """Stop the load; return the checker's report and the backend servers' run records."""
        self.load.stop()
        result = await self._running
        assert len(result.final_records) == result.calls, (len(result.final_records), result.calls)
        ran = await self.fleet.run_records()
        for daemon in self.fleet.daemons.values():
            log = daemon.process.log.read_text()
            assert not any(text in log for text in FAULT_TEXTS), log
        return invariants.check(ran, [*result.request_records, *self.write_records]), ran

    async def close(self):
        """Stop the load and the proxies, which run in this process."""
        if self._running is not None:
            self.load.stop()
            await asyncio.wait({self._running}, timeout=WAIT_S)
        for proxy in self.proxies:
            await proxy.close()

    def backend(self, number) -> Process:
        """Return the process with this number that runs backend servers."""
        return self.fleet.backends[number]

    async def _start_backends(self, servers_each, proxied):
        for _ in range(2):
            self.servers += await self.fleet.start_backend(
                "--work_ms=10", f"--brand={BRAND}", count=servers_each, journal=True
            )
        self.endpoints = list(self.servers)
        if proxied:
            self.endpoints = [await self._proxy(server) for server in self.servers]

    async def _proxy(self, server):
        proxy = CutProxy(server)
        await proxy.start()
        self.proxies.append(proxy)
        return proxy.address

    async def _ready(self):
        for vm in self.fleet.daemons:
            if BRAND not in (await self.fleet.status(vm))["brands"] or not await self.serves(vm):
                return False
        return True

    def _begin(self, calls_per_s):
        plan = LoadPlan(
            HOST,
            BRAND,
            tuple(daemon.caller_address for daemon in self.fleet.daemons.values()),
            (Phase(calls_per_s, LONGEST_S),),
            CallMix(write_ratio=0.5, timeout_ms=TIMEOUT_MS),
            callers=CALLERS,
            spread=True,
        )
        self.load = Load(plan)
        self._running = asyncio.create_task(self.load.run())
