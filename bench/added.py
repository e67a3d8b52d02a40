"""Measures what cloverhook adds to a call, compared with the direct path and a bare forwarder.

The three paths are direct to the backend server, through the forwarder of `bench.forwarder`, and
through a daemon.  Each round measures all three one after another, so that a drift in the speed of
the computer affects all of them.  A figure is the median of its rounds.
"""

import asyncio
import random
import time
from collections import Counter, defaultdict
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path

from bench.figures import Figure, Table, median, percentile
from bench.fleets import wait_until_ready
from cloverhook_emulator.fleet_runner import Fleet
from cloverhook_emulator.http_client import ClientPool

__all__ = ["HOST", "run_closed_loop", "measure_added", "start_daemon"]

HOST = "booking.brathwaite.example"
CONFIG = """brand = "brathwaite"
[[services]]
name = "booking"
hosts = ["{host}"]
[[services.places]]
data_center = "papine"
slots = 64
connections = 200
endpoints = ["{address}"]
"""
TARGET_MS = 0.56
CONNECTIONS = (1, 4, 16)
SATURATING = 32
CALL_TIMEOUT_S = 10
PATHS = ("direct", "forwarder", "cloverhook")


@dataclass(slots=True)
class _Measured:
    """The measurements of one path at one level of load, with one value per round."""

    p50_ms: list[float] = field(default_factory=list)
    p99_ms: list[float] = field(default_factory=list)
    calls_per_s: list[float] = field(default_factory=list)

    def add(self, latencies_ms: Sequence[float], seconds: float) -> None:
        self.p50_ms.append(percentile(latencies_ms, 50))
        self.p99_ms.append(percentile(latencies_ms, 99))
        self.calls_per_s.append(len(latencies_ms) / seconds)


async def start_daemon(fleet: Fleet, arguments: Sequence[str] = ()) -> tuple[str, str]:
    """Start an instant backend server and a daemon in front of it, and return both addresses."""
    server = await fleet.start_process("instant", "bench.instant_server")
    direct = (await server.wait_until_listening())[0]
    daemon = await fleet.start_daemon("vm-0", "papine", "bench.bench_daemon", arguments)
    await fleet.publish_vm_list()
    path = fleet.folder / "brand.toml"
    path.write_text(CONFIG.format(host=HOST, address=direct))
    code, output, errors = await fleet.run_tool("publish", str(path))
    if code != 0:
        raise RuntimeError(f"cloverhook publish: exit code {code}: {output}{errors}")
    await wait_until_ready(fleet, "brathwaite")
    return direct, daemon.caller_address


async def measure_added(rounds: int, seconds: float) -> tuple[list[Figure], list[Table]]:
    """Return figures for latency, calls per second and memory, and a table of them."""
    async with Fleet() as fleet:
        direct, through_daemon = await start_daemon(fleet)
        forwarder = await fleet.start_process("forwarder", "bench.forwarder", f"--target={direct}")
        addresses = {
            "direct": direct,
            "forwarder": (await forwarder.wait_until_listening())[0],
            "cloverhook": through_daemon,
        }
        refused: Counter[str] = Counter()
        measured: dict[tuple[str, str], _Measured] = defaultdict(_Measured)
        for _ in range(rounds):
            for connections in (*CONNECTIONS, SATURATING):
                for path in PATHS:
                    latencies_ms = await run_closed_loop(
                        addresses[path], connections, seconds, refused
                    )
                    measured[f"{connections} connections", path].add(latencies_ms, seconds)
        saturation = {path: _saturation(measured, path) for path in PATHS}
        rate = min(saturation["forwarder"], saturation["cloverhook"]) / 4
        for _ in range(rounds):
            for path in PATHS:
                latencies_ms = await _run_open_loop(addresses[path], rate, seconds * 2, refused)
                measured["a quarter", path].add(latencies_ms, seconds * 2)
        memory_mb = {
            "forwarder": _memory_mb(forwarder.process.pid),
            "cloverhook": _memory_mb(fleet.daemons["vm-0"].process.process.pid),
        }
    figures = _figures(measured, saturation, memory_mb, rate)
    figures.append(Figure("added.refused", refused[through_daemon], "calls"))
    return figures, [_table(measured)]


async def run_closed_loop(
    address: str, connections: int, seconds: float, refused: Counter[str]
) -> list[float]:
    """Run a closed-loop load and return the latencies in ms.

    Each connection sends its next call as soon as the previous one is answered.  Calls whose
    answer has a status other than 200 are counted in `refused` by address.
    """
    pool = ClientPool()
    request = _request()
    latencies_ms: list[float] = []
    end_s = time.perf_counter() + seconds

    async def calls() -> None:
        while (start_s := time.perf_counter()) < end_s:
            answer = await pool.call(address, request, CALL_TIMEOUT_S)
            if answer.status == 200:
                latencies_ms.append((time.perf_counter() - start_s) * 1000)
            else:
                refused[address] += 1

    await asyncio.gather(*(calls() for _ in range(connections)))
    pool.close()
    return latencies_ms


async def _run_open_loop(
    address: str, calls_per_s: float, seconds: float, refused: Counter[str]
) -> list[float]:
    """Run an open-loop load of Poisson arrivals and return the latencies in ms.

    The loop spins between arrivals so that calls start exactly on time.  A latency counts from the
    moment at which the call was due.
    """
    pool = ClientPool()
    request = _request()
    source = random.Random(1)
    latencies_ms: list[float] = []
    calls: set[asyncio.Task[None]] = set()

    async def call(due_s: float) -> None:
        answer = await pool.call(address, request, CALL_TIMEOUT_S)
        if answer.status == 200:
            latencies_ms.append((time.perf_counter() - due_s) * 1000)
        else:
            refused[address] += 1

    await asyncio.gather(*(call(time.perf_counter()) for _ in range(16)))
    latencies_ms.clear()
    due_s = time.perf_counter()
    end_s = due_s + seconds
    while due_s < end_s:
        while time.perf_counter() < due_s:
            await asyncio.sleep(0)
        task = asyncio.create_task(call(due_s))
        calls.add(task)
        task.add_done_callback(calls.discard)
        due_s += source.expovariate(calls_per_s)
    while calls:
        await asyncio.wait(tuple(calls))
    pool.close()
    return latencies_ms


def _request() -> bytes:
    return f"GET /open HTTP/1.1\r\nhost: {HOST}\r\n\r\n".encode()


def _saturation(measured: dict[tuple[str, str], _Measured], path: str) -> float:
    levels = (f"{connections} connections" for connections in (*CONNECTIONS, SATURATING))
    return max(median(measured[level, path].calls_per_s) for level in levels)


def _added_ms(
    measured: dict[tuple[str, str], _Measured], level: str, path: str, name: str
) -> float:
    """Return the median over rounds of what a path adds to the direct path."""
    values = getattr(measured[level, path], name)
    direct = getattr(measured[level, "direct"], name)
    return median(value - base for value, base in zip(values, direct, strict=True))


def _figures(
    measured: dict[tuple[str, str], _Measured],
    saturation: dict[str, float],
    memory_mb: dict[str, float],
    rate: float,
) -> list[Figure]:
    figures = []
    for level in (*(f"{connections} connections" for connections in CONNECTIONS), "a quarter"):
        for name in ("p50_ms", "p99_ms"):
            added = _added_ms(measured, level, "cloverhook", name)
            baseline = _added_ms(measured, level, "forwarder", name)
            figure_name = f"added.{level.replace(' ', '_')}.{name.removesuffix('_ms')}"
            note = f"{added:.3f} ms added, the forwarder {baseline:.3f} ms"
            figures.append(Figure(figure_name, added / baseline, "of the forwarder's", note))
    letter = _added_ms(measured, "a quarter", "cloverhook", "p99_ms")
    rate_ratio = saturation["cloverhook"] / saturation["forwarder"]
    return [
        *figures,
        Figure(
            "added.a_quarter.p99_ms",
            letter,
            "ms",
            f"target {TARGET_MS} ms; {rate:.0f} calls/s",
        ),
        Figure(
            "added.calls_per_s",
            rate_ratio,
            "of the forwarder's",
            f"{saturation['cloverhook']:.0f} and {saturation['forwarder']:.0f} calls/s",
        ),
        Figure("added.memory_mb", memory_mb["cloverhook"], "MB", "resident, after the load"),
        Figure("added.forwarder_memory_mb", memory_mb["forwarder"], "MB"),
    ]


def _table(measured: dict[tuple[str, str], _Measured]) -> Table:
    rows = [
        (f"{level}, {path}", median(item.p50_ms), median(item.p99_ms), median(item.calls_per_s))
        for (level, path), item in measured.items()
    ]
    return Table(
        "one daemon before an instant server", ("way", "p50 ms", "p99 ms", "calls/s"), rows
    )


def _memory_mb(pid: int) -> float:
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return float("nan")
