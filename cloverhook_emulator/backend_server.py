"""A stand-in backend server with slots, a queue, simulated work and a record of what ran.

One process runs many servers, each on its own port, and one control port for all of them:

    GET  /control/ran?server=ip:port     what ran (on all servers when none is named)
    PUT  /control?server=ip:port         change faults, for example {"slow_factor": 5}
    GET  /control                        the active faults, by server

`Faults` describes what can be set.
"""

import asyncio
import gc
import json
import math
import random
import time
from collections import deque
from dataclasses import dataclass
from pathlib import Path

from absl import app, flags

from cloverhook_emulator.backend_control import control_app
from cloverhook_emulator.faults import Faults
from cloverhook_emulator.http_server import HttpServer, IncomingRequest
from cloverhook_emulator.run_record import RunJournal, RunOutcome, RunRecord

__all__ = ["BackendServer", "ServerSettings"]

FLAGS = flags.FLAGS
flags.DEFINE_list("addresses", ["127.0.0.1:0"], "The addresses to listen on; each gets a server.")
flags.DEFINE_string("control_address", "127.0.0.1:0", "The address of the control port.")
flags.DEFINE_string("brand", "", "The brand of the servers; sent in a header of answers.")
flags.DEFINE_integer("slots", 4, "Requests processed at the same time; others are queued.")
flags.DEFINE_integer("queue", 100, "Requests queued at most; further ones are rejected.")
flags.DEFINE_integer("connections", 200, "Connections open at most; further ones are closed.")
flags.DEFINE_float("work_ms", 20.0, "The mean work time of a request, in milliseconds.")
flags.DEFINE_float("work_sigma", 0.8, "The sigma of the log-normal work time.")
flags.DEFINE_float("probe_ms", 6.0, "The time to answer a health or load probe, in ms.")
flags.DEFINE_integer("seed", 1, "The seed of the random work times.")
flags.DEFINE_string("journal", None, "The file that run records are appended to as they happen.")

LOAD_SAMPLE_INTERVAL_MS = 10
MAX_LOAD_SAMPLES = 1_000
NOT_RUN_HEADER = (b"cloverhook-outcome", b"not-run")
DRAINING_HEADER = (b"cloverhook-leaving", b"1")
RETRY_AFTER_HEADER = (b"retry-after", b"1")
JSON_TYPE_HEADER = (b"content-type", b"application/json")


@dataclass(frozen=True, slots=True)
class ServerSettings:
    """The capacity and work times of a server.  Times are milliseconds."""

    brand: str = ""
    slots: int = 4
    queue: int = 100
    connections: int = 200
    work_ms: float = 20.0
    work_sigma: float = 0.8
    probe_ms: float = 6.0

    @classmethod
    def from_flags(cls) -> "ServerSettings":
        """Return the settings given on the command line."""
        names = ("brand", "slots", "queue", "connections", "work_ms", "work_sigma", "probe_ms")
        return cls(**{name: FLAGS[name].value for name in names})


@dataclass(eq=False, slots=True)
class _Work:
    """A request that is queued for a slot or being processed."""

    request: IncomingRequest
    deadline_ms: float
    record: RunRecord | None = None
    work_ms: float = 0.0
    timer: asyncio.TimerHandle | None = None
    ended: bool = False


class BackendServer:
    """One backend server with its address, slots, queue and run records."""

    def __init__(
        self, settings: ServerSettings, rng: random.Random, journal: RunJournal | None = None
    ) -> None:
        self._settings = settings
        self._journal = journal
        self._random = rng
        self._loop = asyncio.get_running_loop()
        self._http = HttpServer(self._on_request, settings.connections)
        self._running: set[_Work] = set()
        self._queue: deque[_Work] = deque()
        self._load_samples: deque[int] = deque(maxlen=MAX_LOAD_SAMPLES)
        self._restart: asyncio.Task[None] | None = None
        self.faults = Faults()
        self.run_records: list[RunRecord] = []
        self.rejected = 0
        self.probes = 0

    @property
    def address(self) -> str:
        """The address the server listens on."""
        return self._http.address

    @property
    def in_flight(self) -> int:
        """The number of requests being processed or queued."""
        return len(self._running) + len(self._queue)

    async def start(self, address: str) -> None:
        """Start listening, and start sampling the load for delayed load reports."""
        await self._http.start(address)
        self._sample_load()

    def set_faults(self, faults: Faults) -> None:
        """Replace the active faults.

        Work that hung ends as soon as `hang` is cleared.  A server that was `down` listens on the
        same address again.
        """
        hung = self.faults.hang and not faults.hang
        was_down = self.faults.down
        self.faults = faults
        if faults.down:
            self._http.close()
        elif was_down:
            self._restart = self._loop.create_task(self._http.start(self.address))
        if hung:
            for work in tuple(self._running):
                if work.timer is None:
                    work.timer = self._loop.call_later(0, self._work_done, work)

    def counts(self) -> dict[str, int]:
        """Return the counters of handled and rejected work."""
        return {
            "in_flight": self.in_flight,
            "waiting": len(self._queue),
            "ran": len(self.run_records),
            "refused": self.rejected,
            "probes": self.probes,
            "connections": len(self._http.connections),
            "refused_connections": self._http.refused_connections,
        }

    def _on_request(self, request: IncomingRequest) -> None:
        if request.path == "/health":
            self._answer_probe(request, 503 if self.faults.drain else 200, self._health_document())
        elif request.path == "/load":
            self._answer_probe(request, 200, self._load_document())
        else:
            self._accept(request)

    def _accept(self, request: IncomingRequest) -> None:
        if self._must_reject():
            self._reject(request)
            return
        timeout = request.headers.get(b"cloverhook-timeout-ms", b"")
        limit_ms = float(timeout) if timeout.isdigit() else math.inf
        work = _Work(request, self._now_ms() + limit_ms)
        request.on_disconnect = lambda: self._caller_disconnected(work)
        if len(self._running) < self._settings.slots:
            self._start(work)
        else:
            self._queue.append(work)

    def _must_reject(self) -> bool:
        if self.faults.drain or self._random.random() < self.faults.shed_ratio:
            return True
        slots_taken = len(self._running) >= self._settings.slots
        return slots_taken and len(self._queue) >= self._settings.queue

    def _reject(self, request: IncomingRequest) -> None:
        self.rejected += 1
        headers = [NOT_RUN_HEADER, RETRY_AFTER_HEADER, self._load_header(), self._brand_header()]
        if self.faults.drain:
            headers.append(DRAINING_HEADER)
        request.respond(503, headers, b"")

    def _start(self, work: _Work) -> None:
        request = work.request
        now_ms = self._now_ms()
        work.record = RunRecord(
            self.address,
            self._settings.brand,
            request.header_text(b"x-request-id"),
            request.header_text(b"idempotency-key"),
            request.method,
            now_ms,
        )
        self.run_records.append(work.record)
        self._write_journal(work.record)
        self._running.add(work)
        if self.faults.hang:
            return
        work.work_ms = self._work_time_ms()
        left_ms = work.deadline_ms - now_ms
        if left_ms < work.work_ms:
            work.timer = self._loop.call_later(left_ms / 1000, self._deadline_passed, work)
        else:
            work.timer = self._loop.call_later(work.work_ms / 1000, self._work_done, work)

    def _work_time_ms(self) -> float:
        faults = self.faults
        if faults.fail_fast:
            return faults.fail_ms
        sigma = self._settings.work_sigma
        mean = math.log(self._settings.work_ms) - sigma * sigma / 2
        factor = faults.slow_factor
        if len(self.run_records) <= faults.cold_requests:
            factor *= faults.cold_factor
        return self._random.lognormvariate(mean, sigma) * factor

    def _work_done(self, work: _Work) -> None:
        if self.faults.cut:
            self._end(work, RunOutcome.CUT)
            work.request.connection.reset_connection()
        elif self.faults.fail_fast:
            self._end(work, RunOutcome.FAILED)
            self._answer(work, 500)
        else:
            self._end(work, RunOutcome.DONE)
            self._answer(work, 200)

    def _deadline_passed(self, work: _Work) -> None:
        self._end(work, RunOutcome.STOPPED)
        self._answer(work, 504)

    def _caller_disconnected(self, work: _Work) -> None:
        if work.record is None:
            work.ended = True
            self._queue.remove(work)
        elif not work.ended:
            self._end(work, RunOutcome.CANCELLED)

    def _end(self, work: _Work, outcome: RunOutcome) -> None:
        work.ended = True
        if work.timer is not None:
            work.timer.cancel()
        record = work.record
        record.end_ms = self._now_ms()
        record.outcome = outcome
        record.result = record.request_id if outcome is RunOutcome.DONE else ""
        self._write_journal(record)
        self._running.discard(work)
        self._start_queued()

    def _write_journal(self, record: RunRecord) -> None:
        if self._journal is not None:
            self._journal.write(record)

    def _start_queued(self) -> None:
        while self._queue and len(self._running) < self._settings.slots:
            work = self._queue.popleft()
            if work.deadline_ms <= self._now_ms():
                work.ended = True
                self._reject(work.request)
            else:
                self._start(work)

    def _answer(self, work: _Work, status: int) -> None:
        headers = [
            self._load_header(),
            self._brand_header(),
            (b"emulator-work-ms", b"%.3f" % work.work_ms),
        ]
        work.request.respond(status, headers, work.record.request_id.encode())

    def _load_header(self) -> tuple[bytes, bytes]:
        return (b"cloverhook-load", b"%d" % self._reported_load(0))

    def _brand_header(self) -> tuple[bytes, bytes]:
        return (b"emulator-brand", self._settings.brand.encode())

    def _reported_load(self, lag_ms: float) -> int:
        if self.faults.mislead >= 0:
            return self.faults.mislead
        if lag_ms and self._load_samples:
            steps = min(len(self._load_samples), max(1, round(lag_ms / LOAD_SAMPLE_INTERVAL_MS)))
            return self._load_samples[-steps]
        return self.in_flight

    def _health_document(self) -> dict[str, object]:
        return {"healthy": not self.faults.drain, "draining": self.faults.drain}

    def _load_document(self) -> dict[str, object]:
        load = self._reported_load(self.faults.report_lag_ms)
        draining = self.faults.drain
        return {"in_flight": load, "slots": self._settings.slots, "draining": draining}

    def _answer_probe(
        self, request: IncomingRequest, status: int, document: dict[str, object]
    ) -> None:
        self.probes += 1
        if self.faults.hang:
            return
        body = json.dumps(document).encode()
        delay_s = self._settings.probe_ms / 1000
        self._loop.call_later(delay_s, request.respond, status, [JSON_TYPE_HEADER], body)

    def _sample_load(self) -> None:
        self._load_samples.append(self.in_flight)
        self._loop.call_later(LOAD_SAMPLE_INTERVAL_MS / 1000, self._sample_load)

    @staticmethod
    def _now_ms() -> float:
        return time.time() * 1000


async def _serve() -> None:
    servers: dict[str, BackendServer] = {}
    journal = RunJournal(Path(FLAGS.journal)) if FLAGS.journal else None
    for index, address in enumerate(FLAGS.addresses):
        server = BackendServer(
            ServerSettings.from_flags(), random.Random(FLAGS.seed * 1009 + index), journal
        )
        await server.start(address)
        servers[server.address] = server
        print(f"backend server: listening on {server.address}", flush=True)
    listener = await control_app(servers, FLAGS.control_address)
    print(f"control: listening on {listener.address}", flush=True)
    await asyncio.Event().wait()


def _main(arguments: list[str]) -> None:
    del arguments
    gc.disable()  # Collection pauses would show up as latency; the process is short-lived.
    asyncio.run(_serve())


if __name__ == "__main__":
    app.run(_main)
