"""A randomized soak test: real gateway processes, continuous calls, and injected faults.

`python -m features.gateway_soak FIRST COUNT` runs `COUNT` seeds from `FIRST` on.  Each run starts
gateways as separate processes, a stand-in for the users' store, and scripted backend servers.  It
injects faults one after the other, and several may overlap: processes are killed, paused, stopped
and restarted by signals; the store does not answer, rejects requests or loses its history; backend
servers fail, drain, vanish or pass their address to another incarnation; configurations follow each
other.  Seeds from 6000 on have client accounts whose keys change, pipelined requests and large
answers, those from 7000 on accounts with rates.  From 8000 on there are no accounts; requests take
longer, endpoints send responses again in place of those to probes, and planned stops must break off
no request that may run once.  The checks hold at any speed of the machine, so a busy machine does
not change the result.
"""

import asyncio
import contextlib
import json
import os
import random
import signal
import sys
import tempfile
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from pathlib import Path
from types import SimpleNamespace

import features
from cloverhook.clock import monotonic_ms
from cloverhook_emulator.log_store_server import LogStoreServer
from features import gateway_fleet as fleet
from features.soak_accounts import (
    LARGE,
    AccountChecks,
    Accounts,
    PipelineCaller,
    key_lines,
    leaked_keys,
    make_body,
)
from features.soak_freshness import CONTACT_MS, FreshnessChecks
from features.soak_links import LinkChecks, LinkCut, Owner, owner_of
from features.soak_notices import NoticeChecks
from features.soak_stops import StopChecks

ROOT = Path(features.__file__).resolve().parent.parent
sys.path.append(str(ROOT / "platform"))

from cloverhook_platform.names import HEADERS, TOPICS  # noqa: E402

GATEWAYS = 4
BACKENDS = 4
CALLERS = 12
PIPELINE_CALLERS = 2
STEPS = 10
NOT_RUN_STATUSES = (408, 421, 429, 503)
ATTEMPTS = 2
RECOVERY_TIMEOUT_S = 60
FIRST_SEED_WITH_ENTRIES = 1_000
FIRST_SEED_WITH_ERAS = 2_000
FIRST_SEED_WITH_NOTICES = 3_000
FIRST_SEED_WITH_LINKS = 4_000
FIRST_SEED_WITH_FRESHNESS = 5_000
FIRST_SEED_WITH_ACCOUNTS = 6_000
FIRST_SEED_WITH_RATES = 7_000
FIRST_SEED_WITH_REPEATS = 8_000
"""Seeds below these numbers keep the same choice of faults, so that a seed that once failed still
reproduces its failure."""
LONG_WORK_MS = 900.0
REPEAT_GAP_S = 0.006
BORN_MS = 1_760_000_000_000
INVALID_ENTRIES = (b"{}", b"\xff\x00", b"[" * 5_000, b'{"service": 7}', b"null")
FAILING = ("reject", "reset", "error", "silent", "half", "foreign", "unframed-reset")


@dataclass
class GatewayProcess:
    """A gateway with fixed addresses, whose process is replaced when it ends.

    `disturbed` marks a process that was killed or paused, `stopping` one in planned shutdown.
    """

    name: str
    addresses: dict
    process: asyncio.subprocess.Process | None = None
    disturbed: bool = False
    stopping: bool = False
    start_count: int = 0
    pause_count: int = 0

    @property
    def identity(self):
        """Return the name, the number of the process, and how often it was paused."""
        return self.name, self.start_count, self.pause_count

    @property
    def alive(self):
        """Return whether the process is running."""
        return self.process is not None and self.process.returncode is None


def handles_stop(pid):
    """Return whether a process currently has a handler for the signal of a planned shutdown."""
    status = Path(f"/proc/{pid}/status").read_text()
    caught = next(line for line in status.splitlines() if line.startswith("SigCgt:"))
    return bool(int(caught.split()[1], 16) & 1 << signal.SIGTERM - 1)


@dataclass
class Call:
    """A caller's request, the gateway process that it was sent to, and the answer."""

    request_id: str
    idempotent: bool
    identity: tuple[str, int, int]
    sent_ms: float
    key: str = ""
    answer: fleet.Answer | None = None
    senders: dict[str, tuple[str, int, int]] = field(default_factory=dict)
    """The gateway process that has sent it to a backend server, by the incarnation of that one: a
    gateway without links passes requests on to another one."""


@dataclass
class Soak:
    """The run of one seed."""

    seed: int
    folder: Path
    stack: AsyncExitStack
    size: int = GATEWAYS
    source: random.Random = None
    store: LogStoreServer = field(default_factory=LogStoreServer)
    store_address: str = ""
    gateways: list = field(default_factory=list)
    backends: list = field(default_factory=list)
    stopped_backends: list = field(default_factory=list)
    calls: list = field(default_factory=list)
    calls_by_id: dict = field(default_factory=dict)
    backoffs_ms: dict = field(default_factory=dict)
    faults: list = field(default_factory=list)
    planned_stops: list = field(default_factory=list)
    notices: NoticeChecks = field(default_factory=NoticeChecks)
    links: LinkChecks = field(default_factory=LinkChecks)
    freshness: FreshnessChecks | None = None
    stops: StopChecks = field(default_factory=StopChecks)
    accounts: AccountChecks | None = None
    """Is None for seeds without client accounts."""
    disturbed: set = field(default_factory=set)
    version: int = 0
    number: int = 0
    body_limit_bytes: int = 65_536

    async def play(self):
        """Run the seed and return the violations found."""
        self.source = random.Random(self.seed)
        self.notices.stalls.start()
        self.stack.callback(self.notices.stalls.stop)
        self.freshness = FreshnessChecks(self.notices.stalls)
        if FIRST_SEED_WITH_ACCOUNTS <= self.seed < FIRST_SEED_WITH_REPEATS:
            self.accounts = AccountChecks(Accounts(self.seed >= FIRST_SEED_WITH_RATES))
        await self.start_all()
        callers = [asyncio.ensure_future(self.caller(index)) for index in range(CALLERS)]
        if self.seed >= FIRST_SEED_WITH_FRESHNESS:
            callers.append(asyncio.ensure_future(self.route_caller()))
            await asyncio.sleep(CONTACT_MS / 1000)
        if self.accounts is not None:
            pipelines = [PipelineCaller(self, index).run() for index in range(PIPELINE_CALLERS)]
            callers += map(asyncio.ensure_future, pipelines)
        for _ in range(STEPS):
            await self.fault()
            await asyncio.sleep(self.source.uniform(0.1, 0.6))
        await self.end_faults()
        await self.wait_until_served()
        for task in callers:
            task.cancel()
        await asyncio.wait(callers)
        await asyncio.sleep(0.3)
        return self.find_violations()

    # Deployment.

    async def start_all(self):
        """Start the store, the backend servers and the gateways, and wait until they serve."""
        self.source = self.source or random.Random(self.seed)
        self.freshness = self.freshness or FreshnessChecks(self.notices.stalls)
        self.store_address = fleet.free_address()
        await self.store.listen(self.store_address)
        self.stack.callback(self.store.close)
        for _ in range(BACKENDS):
            await self.add_backend()
        self.put_config()
        for index in range(self.size):
            self.gateways.append(self._configure_gateway(f"vm-{index}"))
            await self.start(self.gateways[-1])
        self.stack.push_async_callback(self.end_all)
        await self.wait_until_served()

    def _configure_gateway(self, name):
        addresses = {
            key: fleet.free_address()
            for key in ("caller_address", "ready_address", "directory_address", "peer_address")
        }
        settings = {
            "vm": name,
            "data_center": self.source.choice(("papine", "halfway-tree")),
            "store_address": self.store_address,
            "stop_s": 2,
            **addresses,
        }
        text = "\n".join(f"{key} = {json.dumps(value)}" for key, value in settings.items())
        (self.folder / f"{name}.toml").write_text(text)
        return GatewayProcess(name, addresses)

    async def start(self, gateway):
        """Start a new process of a gateway."""
        log = (self.folder / f"{gateway.name}.log").open("ab")
        environment = {
            **os.environ,
            "CLOVERHOOK_CONFIG": str(self.folder / f"{gateway.name}.toml"),
            # In a shared environment, another checkout may be the installed one.
            "PYTHONPATH": str(ROOT),
        }
        gateway.process = await asyncio.create_subprocess_exec(
            sys.executable, "platform/main.py", cwd=ROOT, stdout=log, stderr=log, env=environment
        )
        log.close()
        gateway.disturbed = gateway.stopping = False
        gateway.start_count += 1
        self.freshness.record_process(gateway.identity)

    async def end_all(self):
        """Kill the processes that the soak has started, by its own process objects."""
        for gateway in self.gateways:
            if gateway.alive:
                gateway.process.kill()
                await gateway.process.wait()

    async def add_backend(self):
        """Start a backend server and register it."""
        self.number += 1
        backend = await fleet.Backend(f"i-{self.number}", names=HEADERS).start(self)
        self.backends.append(backend)
        self.put(backend)
        self._observe(backend)
        if self.seed >= FIRST_SEED_WITH_REPEATS:
            backend.work_ms = self.source.uniform(0.0, LONG_WORK_MS)
        return backend

    def _observe(self, backend):
        """Have a backend server report its requests and connections to the soak."""
        backend.on_request = self._record_arrival
        backend.accepts = self._accepts
        if self.accounts is not None:
            backend.make_body = make_body
            backend.on_run = lambda request_id: self.accounts.record_run(request_id.decode())

    def _accepts(self, writer):
        """Return whether a connection is served; one of a gateway without links may be reset."""
        owner = self._owner_of(writer)
        how = self.links.lost.get(owner.name) if owner is not None else None
        if how == "reset":
            writer.transport.abort()
        return how is None

    def _owner_of(self, writer):
        """Return the gateway process that has opened a connection, or None if it is not known."""
        if writer not in self.links.owners:
            gateways = {item.process.pid: item for item in self.gateways if item.alive}
            peer, own = (writer.get_extra_info(name) for name in ("peername", "sockname"))
            gateway = gateways.get(owner_of(peer, own, gateways)) if peer else None
            owner = None if gateway is None else Owner(gateway.name, gateway.start_count)
            self.links.owners[writer] = owner
        return self.links.owners[writer]

    def _sender(self, backend, call):
        """Return the gateway process that sends the request on the current task's connection."""
        current = asyncio.current_task()
        writer = next(item for item, task in backend.writers.items() if task is current)
        owner = self._owner_of(writer)
        if owner is None:
            return call.identity
        pauses = next(item.pause_count for item in self.gateways if item.name == owner.name)
        return owner.name, owner.start_count, pauses

    def _record_arrival(self, backend, _):
        """Record a request that is meant for the incarnation which it has reached."""
        _, headers, body = backend.seen[-1]
        call = self.calls_by_id.get(headers[HEADERS.request_id].decode())
        if call is not None and self.accounts is not None:
            self.accounts.record_arrival(call, headers, body)
        if call is not None and headers[HEADERS.incarnation_wanted].decode() == backend.incarnation:
            rejects = backend.default == "reject" and not backend.script
            backoff_ms = self.backoffs_ms.get(backend.incarnation, 0.0) if rejects else 0.0
            sender = call.senders[backend.incarnation] = self._sender(backend, call)
            self.notices.record_arrival(
                (backend.incarnation, backend.born_ms), sender, call.sent_ms, backoff_ms
            )
            self.freshness.record_arrival(backend.incarnation, sender, call.sent_ms)
            if self.accounts is not None:
                revoked_ms = self.accounts.accounts.revoked_ms.get(call.key)
                self.freshness.record_key_used(sender, call.key, revoked_ms, call.sent_ms)

    def put(self, backend, state="ready"):
        """Write a backend server's entry to the store."""
        entry = {
            "service": fleet.SERVICE,
            "address": backend.address,
            "zone": "papine",
            "slots": 4,
            "state": state,
            "warmupLeft": 0,
            "seq": len(self.faults),
        }
        if backend.born_ms:
            entry["born"] = backend.born_ms
        topic = TOPICS[next(feed for feed in TOPICS if feed.value == "servers")]
        self.store.put(topic, backend.incarnation, json.dumps(entry).encode())

    def put_config(self):
        """Write the next version of the configuration to the store."""
        self.version += self.source.randrange(1, 4)
        routes = [
            {
                "name": name,
                "host": fleet.HOST,
                "pathPrefix": prefix,
                "kind": kind,
                "timeout": 1.5,
                "targetLatency": 0.5,
                "priority": priority,
                "service": fleet.SERVICE,
                "maxAttempts": ATTEMPTS,
            }
            for name, prefix, kind, priority in (
                ("read", fleet.SAFE, "safe", 2),
                ("write", fleet.UNSAFE, "unsafe", 1),
                *self._added_routes(),
            )
        ]
        document = {
            "version": self.version,
            "routes": routes,
            "services": [{"name": fleet.SERVICE, "healthPath": "/health", "maxConnections": 200}],
            "limits": {
                "maxHeaderBytes": 16_384,
                "maxBodyBytes": self.body_limit_bytes,
                "headerTimeout": 3,
                "idleTimeout": 15,
            },
        }
        if self.accounts is not None:
            document["tenants"] = self.accounts.accounts.document()
        topic = TOPICS[next(feed for feed in TOPICS if feed.value == "config")]
        self.store.put(topic, "config", json.dumps(document).encode())
        self.freshness.record_config(self.version)

    def _added_routes(self):
        """Return the route that only the newest version has, and one with large responses."""
        if self.seed < FIRST_SEED_WITH_FRESHNESS:
            return ()
        newest = (f"v{self.version}", f"/v{self.version}/", "safe", 2)
        return (newest, ("large", LARGE, "download", 2)) if self.accounts else (newest,)

    # Callers.

    async def route_caller(self):
        """Request the newest version's route continuously, each time from a random gateway."""
        source = random.Random(f"{self.seed}-routes")
        count = 0
        while True:
            await asyncio.sleep(0.02)
            version, gateway = self.freshness.overdue_version(), source.choice(self.gateways)
            if version is None or not gateway.alive or gateway.stopping:
                continue
            count += 1
            identity, sent_ms = gateway.identity, monotonic_ms()
            lines = (f"{HEADERS.request_id.decode()}: route-{count}", *key_lines(self.calm_key))
            address = gateway.addresses["caller_address"]
            with contextlib.suppress(OSError, TimeoutError):
                async with asyncio.timeout(2):
                    answer = await fleet.call(address, f"/v{version}/", lines=lines)
                if answer.status == 404 and version == self.freshness.overdue_version():
                    self.freshness.record_unknown_route(identity, version, sent_ms)

    async def caller(self, index):
        """Send calls continuously, and request the addresses again before every fifth one."""
        addresses, count = [], 0
        source = random.Random(f"{self.seed}-{index}")
        while True:
            if not addresses or count % 5 == 0:
                addresses = await self.look_up(source) or addresses
            count += 1
            address = source.choice(addresses) if addresses else None
            gateway = next(
                (x for x in self.gateways if x.addresses["caller_address"] == address), None
            )
            if gateway is None:
                await asyncio.sleep(0.02)
                continue
            key = "" if self.accounts is None else self.accounts.accounts.pick_key(source)
            await self.call(gateway, f"c{index}-{count}", source.random() < 0.5, key)
            await asyncio.sleep(0.01)

    async def look_up(self, source):
        """Return the addresses that a random gateway gives to callers, or none if that fails."""
        gateway = source.choice(self.gateways)
        with contextlib.suppress(OSError, ValueError, TimeoutError):
            async with asyncio.timeout(2):
                address = gateway.addresses["directory_address"]
                answer = await fleet.call(address, "/api/resolve?name=a&zone=papine")
                return json.loads(answer.body)["addresses"]
        return []

    @property
    def calm_key(self):
        """The key of requests that must be served, or "" without accounts."""
        return "" if self.accounts is None else self.accounts.accounts.calm_key

    def new_call(self, gateway, request_id, idempotent, key):
        """Record and return a request that is about to be sent to a gateway."""
        record = Call(request_id, idempotent, gateway.identity, monotonic_ms(), key)
        self.calls.append(record)
        self.calls_by_id[request_id] = record
        return record

    def can_be_served(self, call):
        """Return whether nothing but a lack of capacity excuses that a call is not served."""
        entitled = self.accounts is None or self.accounts.can_be_served(call)
        return entitled and self.links.can_be_served(call, self.size)

    async def call(self, gateway, request_id, idempotent, key):
        """Send a request, and record and return the answer."""
        record = self.new_call(gateway, request_id, idempotent, key)
        path = fleet.SAFE if idempotent else fleet.UNSAFE
        lines = (
            f"{HEADERS.request_id.decode()}: {request_id}",
            f"{HEADERS.timeout_ms.decode()}: 1200",
            *key_lines(key),
        )
        address = gateway.addresses["caller_address"]
        method, body = ("GET", b"") if idempotent else ("POST", b"pay")
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(10):
                record.answer = await fleet.call(address, path, method, lines=lines, body=body)
        if record.answer is not None and record.answer.status == 200:
            body = record.answer.body
            sender = record.senders.get(body.decode(errors="replace"), record.identity)
            self.notices.record_answer(body, sender, record.sent_ms)
        return record.answer

    # Faults.

    async def fault(self):
        """Inject one random fault; many last longer than the step."""
        kinds = (
            self.kill,
            self.pause,
            self.stop_planned,
            self.hang_up,
            self.store_trouble,
            self.store_forgets,
            self.backend_trouble,
            self.backend_drains,
            self.backend_vanishes,
            self.address_reused,
            self.change_config,
        )
        if self.seed >= FIRST_SEED_WITH_ENTRIES:
            kinds += (self.backend_restarts, self.foreign_entry, self.backend_hangs)
        if self.seed >= FIRST_SEED_WITH_ERAS:
            kinds += (self.store_restored, self.store_restored)
        if self.seed >= FIRST_SEED_WITH_NOTICES:
            kinds += 2 * (self.backend_says_leaving, self.backend_backs_off)
        if self.seed >= FIRST_SEED_WITH_LINKS:
            kinds += 6 * (self.links_cut,)
        if self.seed >= FIRST_SEED_WITH_FRESHNESS:
            kinds = (
                *(2 * (self.kill, self.pause, self.stop_planned, self.change_config)),
                *(2 * (self.backend_drains, self.backend_leaves_unsaid, self.links_cut)),
                *(self.store_forgets, self.backend_vanishes, self.store_trouble),
            )
        if self.accounts is not None:
            kinds += 4 * (self.keys_change,)
        if self.seed >= FIRST_SEED_WITH_REPEATS:
            kinds += 6 * (self.stop_planned, self.backend_repeats_responses)
        kind = self.source.choice(kinds)
        self.faults.append(kind.__name__)
        await kind()

    def _running(self):
        alive = [item for item in self.gateways if item.alive and not item.disturbed]
        return self.source.choice(alive) if len(alive) > 1 else None

    async def kill(self):
        """Kill a gateway process and start another one for it."""
        gateway = self._running()
        if gateway is not None:
            gateway.disturbed = True
            self.disturbed.add(gateway.name)
            gateway.process.kill()
            if not gateway.stopping:
                await gateway.process.wait()
                await self.start(gateway)

    async def pause(self):
        """Pause a gateway process for a while."""
        gateway = self._running()
        if gateway is not None:
            gateway.disturbed = True
            self.disturbed.add(gateway.name)
            gateway.pause_count += 1
            gateway.process.send_signal(signal.SIGSTOP)
            loop = asyncio.get_running_loop()
            loop.call_later(self.source.uniform(0.2, 2.0), self._resume, gateway.process)

    def _resume(self, process):
        if process.returncode is None:
            process.send_signal(signal.SIGCONT)
            for gateway in self.gateways:
                if gateway.process is process:
                    self.freshness.record_process(gateway.identity)

    async def stop_planned(self):
        """Start a planned shutdown of a gateway; a new process starts once the old has ended."""
        gateway = self._running()
        if gateway is not None and not gateway.stopping:
            gateway.stopping = True
            self.disturbed.add(gateway.name)
            handled = handles_stop(gateway.process.pid)
            gateway.process.send_signal(signal.SIGTERM)
            self.stops.record_stop(gateway.identity)
            work = self._replace(gateway, gateway.process, handled)
            self.planned_stops.append(asyncio.ensure_future(work))

    async def _replace(self, gateway, process, handled):
        identity = gateway.identity
        code = await process.wait()
        disturbed = gateway.disturbed
        await self.start(gateway)
        if disturbed:
            self.stops.excuse(identity)
        if disturbed or not code or (code == -signal.SIGTERM and not handled):
            return ""  # A process without a handler serves no requests yet, so none was cut off.
        return (
            f"{code}; it {'had' if handled else 'did not have'} a handler when the signal was sent"
        )

    async def hang_up(self):
        """Signal a gateway that its settings may have changed."""
        gateway = self._running()
        if gateway is not None:
            gateway.process.send_signal(signal.SIGHUP)

    async def store_trouble(self):
        """Make the store reject requests, not answer them or answer slowly for a while."""
        self.freshness.record_store_trouble()
        self.store.error_status = self.source.choice((0, 429, 503))
        self.store.silent = self.source.random() < 0.3
        self.store.delay_ms = self.source.choice((0, 300))
        loop = asyncio.get_running_loop()
        loop.call_later(self.source.uniform(0.3, 2.0), self._repair_store)

    def _repair_store(self):
        self.store.error_status, self.store.silent, self.store.delay_ms = 0, False, 0
        self.freshness.record_store_calm()

    async def store_forgets(self):
        """Make the store lose its history."""
        for topic in self.store.topics.values():
            topic.drop_records()

    async def store_restored(self):
        """Make the store unavailable for a while, and restore it from an older copy.

        The configuration and the backend servers' entries are written again afterwards.
        """
        self.freshness.record_store_trouble()
        away_s = self.source.uniform(0.1, 1.0)
        lost = {topic: self.source.randrange(12) for topic in self.store.topics}
        self.store.error_status = 503
        loop = asyncio.get_running_loop()
        loop.call_later(away_s, self.store.restore, lost)
        loop.call_later(away_s, self._repair_store)
        loop.call_later(away_s + self.source.uniform(0.0, 2.0), self.put_config)
        for backend in self.backends:
            loop.call_later(away_s + self.source.uniform(0.0, 2.0), self._put_if_present, backend)

    def _put_if_present(self, backend):
        if backend in self.backends:
            self.put(backend)

    async def backend_trouble(self):
        """Make a backend server fail its next requests, up to seven."""
        backend = self.source.choice(self.backends)
        outcome = self.source.choice(FAILING)
        backend.script = [outcome] * self.source.randrange(1, 8)

    async def backend_drains(self):
        """Add a backend server, and let the oldest one drain and leave."""
        backend = self.backends.pop(0)
        await self.add_backend()
        self.put(backend, "draining")
        self.freshness.record_left(backend.incarnation)
        self.stopped_backends.append(backend)

    async def backend_leaves_unsaid(self):
        """Add a backend server, and remove the entry of the oldest one, which goes on serving."""
        backend = self.backends.pop(0)
        await self.add_backend()
        topic = TOPICS[next(feed for feed in TOPICS if feed.value == "servers")]
        self.store.put(topic, backend.incarnation)
        self.freshness.record_left(backend.incarnation)
        self.stopped_backends.append(backend)

    async def backend_says_leaving(self):
        """Add a backend server, and let the oldest one say in its answers alone that it leaves."""
        backend = self.backends.pop(0)
        await self.add_backend()
        self.stopped_backends.append(backend)
        backend.notice_lines = (HEADERS.leaving[0] + b": 1",)
        self.notices.record_leaving((backend.incarnation, backend.born_ms))

    async def backend_backs_off(self):
        """Let a backend server reject all requests for a while, and ask for a time without any."""
        backend = self.source.choice(self.backends)
        backoff_s = self.source.choice((1, 2, 3))
        self.backoffs_ms[backend.incarnation] = 1_000.0 * backoff_s
        backend.default, backend.notice_lines = "reject", (b"retry-after: %d" % backoff_s,)
        loop = asyncio.get_running_loop()
        loop.call_later(self.source.uniform(0.3, 2.0), self._end_backoff, backend)

    def _end_backoff(self, backend):
        if backend.default == "reject":
            backend.default, backend.notice_lines = "ok", ()

    async def backend_repeats_responses(self):
        """Let a backend server report itself unhealthy, and repeat responses ahead of its reports.

        Each time it sends the last response on the connection again, in place of that to a probe.
        """
        backend = self.source.choice(self.backends)
        backend.unhealthy = True

        async def repeat(writer):
            if writer in backend.last_ids:
                backend._write(writer, 200, b"again", backend.last_ids.pop(writer))
                await asyncio.sleep(REPEAT_GAP_S)

        backend.before_probe_response = repeat

    async def backend_vanishes(self):
        """Remove an entry and write it again, as if it had expired in between."""
        backend = self.source.choice(self.backends)
        topic = TOPICS[next(feed for feed in TOPICS if feed.value == "servers")]
        self.store.put(topic, backend.incarnation)
        asyncio.get_running_loop().call_later(self.source.uniform(0.1, 1.5), self.put, backend)

    async def address_reused(self):
        """Let a new incarnation take over an address; the old entry remains for a while."""
        backend = self.source.choice(self.backends)
        self.number += 1
        before, backend.incarnation = backend.incarnation, f"i-{self.number}"
        self.put(backend)
        topic = TOPICS[next(feed for feed in TOPICS if feed.value == "servers")]
        loop = asyncio.get_running_loop()
        loop.call_later(self.source.uniform(0.0, 1.0), self.store.put, topic, before)

    async def backend_restarts(self):
        """Crash a backend server with its running requests, and start another one of that name."""
        backend = self.source.choice(self.backends)
        await backend.crash()
        self.stopped_backends.append(backend)
        replacement = fleet.Backend(backend.incarnation, names=HEADERS)
        replacement.born_ms = backend.born_ms + 1_000 or BORN_MS
        self._observe(replacement)
        self.backends[self.backends.index(backend)] = await replacement.start(self)
        asyncio.get_running_loop().call_later(self.source.uniform(0.0, 0.8), self.put, replacement)

    async def foreign_entry(self):
        """Write an invalid entry, as from another writer, half the time under a valid key."""
        topic = TOPICS[next(feed for feed in TOPICS if feed.value == "servers")]
        backend = self.source.choice(self.backends)
        key = self.source.choice((backend.incarnation, "i-foreign"))
        self.store.put(topic, key, self.source.choice(INVALID_ENTRIES))
        if key != "i-foreign":
            loop = asyncio.get_running_loop()
            loop.call_later(self.source.uniform(0.1, 1.5), self.put, backend)

    async def backend_hangs(self):
        """Make requests hang at a backend server, and all later ones on their connections."""
        backend = self.source.choice(self.backends)
        backend.script = ["hang"] * self.source.randrange(1, 4)

    async def links_cut(self):
        """Cut some gateways from all backend servers for a while, or all of them."""
        count = self.source.randrange(1, len(self.gateways) + 1)
        names = self.source.sample([item.name for item in self.gateways], count)
        how = self.source.choice(("reset", "silent"))
        lasts_s = self.source.uniform(0.5, 4.0)
        if self.links.lost:
            return
        self.links.lost = dict.fromkeys(names, how)
        backends = (*self.backends, *self.stopped_backends)
        tasks = {writer: task for item in backends for writer, task in item.writers.items()}
        for writer, task in tasks.items():
            owner = self._owner_of(writer)
            if owner is not None and owner.name in names:
                task.cancel()
                if how == "reset":
                    writer.transport.abort()
        started_ms = monotonic_ms()
        cut = LinkCut(frozenset(names), how, started_ms, started_ms + 1_000 * lasts_s)
        self.links.cuts.append(cut)
        asyncio.get_running_loop().call_later(lasts_s, self.links.lost.clear)

    async def change_config(self):
        """Write one to three further versions of the configuration."""
        for _ in range(self.source.randrange(1, 4)):
            self.put_config()

    async def keys_change(self):
        """Revoke a key of an account and add another one."""
        key = self.accounts.accounts.change_keys(self.source)
        self.put_config()
        self.accounts.accounts.revoked_ms[key] = monotonic_ms()

    # Recovery and verdict.

    async def end_faults(self):
        """End all faults, and wait until every gateway has a process."""
        self._repair_store()
        self.links.lost.clear()
        for backend in self.backends:
            backend.script = []
            self._end_backoff(backend)
        for gateway in self.gateways:
            self._resume(gateway.process)
        if self.planned_stops:
            await asyncio.wait(self.planned_stops)
        for gateway in self.gateways:
            if not gateway.alive:
                await self.start(gateway)

    async def wait_until_served(self):
        """Wait until every gateway answers a call with 200."""
        async with asyncio.timeout(RECOVERY_TIMEOUT_S):
            for gateway in self.gateways:
                count = 0
                while True:
                    count += 1
                    name = f"calm-{gateway.name}-{gateway.start_count}-{len(self.calls)}-{count}"
                    answer = await self.call(gateway, name, True, self.calm_key)
                    if answer is not None and answer.status == 200:
                        break
                    await asyncio.sleep(0.05)

    def find_violations(self):
        """Return a description of each guarantee that was violated."""
        runs = {}
        for backend in (*self.backends, *self.stopped_backends):
            for request_id in backend.ran:
                runs[request_id.decode()] = runs.get(request_id.decode(), 0) + 1
        found = [
            f"a planned shutdown ended with exit code {task.result()}"
            for task in self.planned_stops
            if task.result()
        ]
        found += self.notices.violations()
        entitled = [
            call for call in self.calls if not self.accounts or self.accounts.can_be_served(call)
        ]
        found += self.links.violations(entitled, self.disturbed)
        found += self.freshness.violations()
        found += self.stops.violations(self.calls, runs)
        if self.accounts is not None:
            found += self.accounts.violations(self.calls)
            found += leaked_keys(self.folder)
        for call in self.calls:
            found += self._call_violations(call, runs.get(call.request_id, 0))
        return found

    def _call_violations(self, call, runs):
        answer = call.answer
        if not call.idempotent and runs > 1:
            yield f"{call.request_id} is not idempotent but ran {runs} times"
        if call.idempotent and runs > ATTEMPTS:
            yield f"{call.request_id} ran {runs} times, more often than its attempts allow"
        if answer is None or not answer.status:
            return
        if not call.idempotent and runs and answer.status in NOT_RUN_STATUSES:
            yield f"{call.request_id} ran but was answered {answer.status}, which means not run"
        if answer.status == 200 and answer.whole:
            if answer.headers.get(HEADERS.request_id.decode()) != call.request_id:
                yield f"{call.request_id} received another request's answer"
            if HEADERS.receipt.decode() not in answer.headers:
                yield f"{call.request_id} was answered 200 without a receipt"
            if not runs:
                yield f"{call.request_id} was answered 200 but has not run"


async def play(seed, size=GATEWAYS):
    """Run one seed with `size` gateways; return the violations and the run."""
    async with AsyncExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory(prefix="cloverhook-soak-")))
        context = SimpleNamespace(stack=stack)
        soak = Soak(seed, folder, context.stack, size)
        try:
            wrong = await soak.play()
        except TimeoutError:
            wrong = [f"not every gateway served within {RECOVERY_TIMEOUT_S} s without faults"]
            wrong += [f"{item.name}: {item.process.returncode}" for item in soak.gateways]
        return [*wrong, *log_faults(folder)], soak


def log_faults(folder):
    """Yield the faults in the gateways' logs, last line first: a traceback ends with its cause."""
    for log in sorted(folder.glob("*.log")):
        lines = log.read_text(errors="replace").splitlines()
        fault_lines = [
            item for item in lines if not item.startswith("{") or '"kind":"fault"' in item
        ]
        yield from (f"{log.name}: {line}" for line in reversed(fault_lines))


def main(arguments):
    """Run the seeds given by the arguments and return the exit code.

    The arguments are the first seed, the number of seeds, and the number of gateways.
    """
    first, count, size = (int(item) for item in (*arguments, GATEWAYS)[:3])
    failed = 0
    for seed in range(first, first + count):
        wrong, soak = asyncio.run(play(seed, size))
        answered = sum(1 for x in soak.calls if x.answer is not None and x.answer.status == 200)
        print(f"seed {seed}: {len(soak.calls)} calls, {answered} answered 200, {len(wrong)} wrong")
        print(f"  faults: {' '.join(soak.faults)}")
        if soak.accounts is not None:
            print(f"  accounts: {soak.accounts.summary(soak.calls)}")
        for item in wrong[:10]:
            print(f"  WRONG: {item}")
        failed += bool(wrong)
    print(f"{count - failed} seeds kept all promises, {failed} did not", flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
