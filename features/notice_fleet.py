"""Gateways under load whose backend servers state something about themselves in their answers.

Records which VM sent each request that reaches a backend server, and which VM has passed on which
answers, as the users of the platform see them.
"""

import asyncio
import json
import random
from contextlib import AsyncExitStack
from dataclasses import dataclass
from types import SimpleNamespace

from cloverhook.clock import monotonic_ms
from cloverhook.errors import PlatformSilentError
from cloverhook.gateway.backend_server import BackendServer, ServerRecord
from cloverhook.gateway.balancer import Balancer
from cloverhook.gateway.choice import WorkEstimates
from cloverhook.gateway.eligibility import Eligibility
from cloverhook.gateway.server_load import LoadReport
from features import gateway_fleet as fleet
from features.stalls import StallMonitor

DATA_CENTER = "here"
UNSAFE_SHARE = 0.2
WORK_MS = 100.0


@dataclass(frozen=True, slots=True)
class Call:
    """A request of a caller, and the answer to it."""

    vm: str
    sent_ms: float
    ended_ms: float
    answer: fleet.Answer


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request that reached a backend server, by the VM that sent it."""

    incarnation: str
    vm: str
    caller_sent_ms: float
    at_ms: float
    rejected: bool


def decisions_of(known):
    """Return the rules and the balancer of a gateway with this state, without any socket."""
    eligibility = Eligibility(
        known.registry, drain_notices=known.drain_notices, backoffs=known.backoffs
    )
    balancer = Balancer(
        known.registry,
        known.load_table,
        WorkEstimates(),
        DATA_CENTER,
        random.Random(1),
        eligibility=eligibility,
    )
    return eligibility, balancer


def register_endpoint(known, name, running, reported_ms=0.0):
    """Register an endpoint that reports a number of running requests."""
    server = BackendServer(name, fleet.SERVICE, "10.0.0.1:1", DATA_CENTER, fleet.SLOTS)
    record = ServerRecord(name, known.registry.version + 1, server)
    known.registry.apply(record, 0.0, False)
    known.load_table.get_or_create(name).update(LoadReport(running, 0, 1.0), reported_ms)


class NoticeFleet:
    """Gateways, backend servers and callers; `close` ends them."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.stack = AsyncExitStack()
        self.fixture = SimpleNamespace(stack=self.stack)
        self.log = bytearray()
        self.calls = []
        self.arrivals = []
        self.stalls = StallMonitor()
        self._requests = {}
        self._count = 0

    @classmethod
    async def start(cls, gateways, backends, seed=1, work_ms=WORK_MS, remote_vms=(), **fields):
        """Start gateways that know each other and all backend servers.

        The gateways named by `remote_vms` are in another data centre than the rest.  `fields` are
        settings of all gateways.
        """
        self = cls(seed)
        await fleet.start_fleet(
            self.fixture, backends, gateways, remote_vms, write_log=self.write_log, **fields
        )
        others = gateways - 1
        await fleet.until(lambda: all(len(item._members) == others for item, _ in self.gateways))
        for backend in self.backends:
            backend.work_ms = work_ms
            backend.on_request = self._record_arrival
        self.stalls.start()
        return self

    async def close(self):
        """Stop everything."""
        self.stalls.stop()
        await self.stack.aclose()

    @property
    def gateways(self):
        """The gateways, each with its settings."""
        return self.fixture.gateways

    @property
    def backends(self):
        """The backend servers."""
        return self.fixture.backends

    @property
    def store(self):
        """The store, in which the backend servers are registered."""
        return self.fixture.store

    def stop_store(self):
        """Leave all further calls to the store without an answer."""
        self.store.failure = PlatformSilentError("away")

    def log_lines(self, kind):
        """Return the log lines of a kind of all gateways."""
        lines = (json.loads(line) for line in bytes(self.log).splitlines())
        return [line for line in lines if line["kind"] == kind]

    async def load(self, requests_per_s, time_s, gateways=None, path=None):
        """Send requests evenly, each to a random gateway, and wait for all answers."""
        tasks = []
        for _ in range(round(requests_per_s * time_s)):
            tasks.append(asyncio.create_task(self.send(gateways, path)))
            await asyncio.sleep(1 / requests_per_s)
        return await asyncio.gather(*tasks)

    async def send(self, gateways=None, path=None):
        """Send a request to a random gateway and return the call."""
        _, settings = self.random.choice(gateways or self.gateways)
        if path is None:
            path = fleet.UNSAFE if self.random.random() < UNSAFE_SHARE else fleet.SAFE
        self._count += 1
        request_id = f"r-{self._count}"
        sent_ms = monotonic_ms()
        self._requests[request_id.encode()] = settings.vm, sent_ms
        answer = await fleet.call(settings.caller_address, path, request_id=request_id)
        call = Call(settings.vm, sent_ms, monotonic_ms(), answer)
        self.calls.append(call)
        return call

    def waited_ms(self, call):
        """Return how long a caller waited for its answer, without stalls of the test's process."""
        lost_ms = self.stalls.lost_ms(call.sent_ms, call.ended_ms)
        return call.ended_ms - call.sent_ms - lost_ms

    def first_passed_on_ms(self, incarnation, since_ms):
        """Return, by VM, when it first passed on an answer of an endpoint that came after a time.

        Requests that were sent before that time don't count.
        """
        found = {}
        for call in self.calls:
            if call.answer.body == incarnation.encode() and call.sent_ms >= since_ms:
                found[call.vm] = min(call.ended_ms, found.get(call.vm, call.ended_ms))
        return found

    def _record_arrival(self, backend, _):
        headers = backend.seen[-1][1]
        vm, sent_ms = self._requests[headers[fleet.NAMES.request_id]]
        self.arrivals.append(
            Arrival(backend.incarnation, vm, sent_ms, monotonic_ms(), backend.default == "reject")
        )

    def write_log(self, data):
        """Collect log lines of the gateways."""
        self.log += data
        return len(data)
