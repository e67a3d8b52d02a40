"""Measures what serving costs one real daemon: processor time per call, memory per connection."""

import asyncio
import os
from pathlib import Path

from bench.slope import Point, Slope
from cloverhook_emulator.fleet_runner import Fleet

__all__ = ["serving_slopes"]

HOST = "calls.capacity.example"
RATES_PER_S = (200, 400, 800)
CONNECTIONS = (100, 300, 600)
LOAD_S = 3.0
CALLERS = 24
RUNS = 3
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
CONFIG = """
brand = "capacity"
[[services]]
name = "calls"
hosts = ["{host}"]
[[services.places]]
data_center = "papine"
slots = 64
endpoints = [{endpoints}]
"""


async def serving_slopes() -> list[Slope]:
    """Measure a daemon process with idle connections, then at several rates of calls.

    Each run repeats this with a new daemon; there are `RUNS` runs.
    """
    runs = [await _run() for _ in range(RUNS)]
    cpu = [cpu for cpu, _ in runs]
    memory = [memory for _, memory in runs]
    return [
        Slope.from_runs("serving calls", "processor time a second", "ms", "call a second", cpu),
        Slope.from_runs("serving calls", "memory", "KB", "caller connection", memory),
    ]


async def _run() -> tuple[list[Point], list[Point]]:
    async with Fleet() as fleet:
        endpoints = await fleet.start_backend("--work_ms=1", "--slots=64", count=4)
        daemon = await fleet.start_daemon("vm-0", "papine", caller_idle_ms=120_000)
        await fleet.publish_vm_list()
        await _publish(fleet, endpoints)
        pid = daemon.process.process.pid
        memory = await _memory(pid, daemon.caller_address)
        cpu = [
            (float(rate), await _cpu_at(pid, daemon.caller_address, rate)) for rate in RATES_PER_S
        ]
    return cpu, memory


async def _publish(fleet: Fleet, endpoints: list[str]) -> None:
    path = fleet.folder / "capacity.toml"
    listed = ", ".join(f'"{address}"' for address in endpoints)
    path.write_text(CONFIG.format(host=HOST, endpoints=listed))
    code, output, errors = await fleet.run_tool("publish", str(path))
    if code != 0:
        raise RuntimeError(output + errors)
    while "capacity" not in (await fleet.status("vm-0"))["brands"]:
        await asyncio.sleep(0.05)


async def _cpu_at(pid: int, address: str, rate_per_s: int) -> float:
    """Return milliseconds of processor time per second at a rate of calls.

    The time is scaled up to the full rate where some calls were not answered with status 200.
    """
    before = _cpu_ms(pid)
    answered = await _load(address, rate_per_s, LOAD_S)
    spent_ms = _cpu_ms(pid) - before
    return spent_ms / LOAD_S * (rate_per_s * LOAD_S / answered)


async def _load(address: str, rate_per_s: int, duration_s: float) -> int:
    """Call at a steady rate over persistent connections; return the number of 200 answers."""
    loop = asyncio.get_running_loop()
    start = loop.time()
    gap_s = CALLERS / rate_per_s

    async def caller(index: int) -> int:
        reader, writer = await _open(address)
        answered = 0
        due = start + index * gap_s / CALLERS
        while due < start + duration_s:
            await asyncio.sleep(max(0.0, due - loop.time()))
            writer.write(f"GET /open HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode())
            head = await reader.readuntil(b"\r\n\r\n")
            await reader.readexactly(_length(head))
            answered += head.startswith(b"HTTP/1.1 200")
            due += gap_s
        writer.close()
        return answered

    return sum(await asyncio.gather(*(caller(index) for index in range(CALLERS))))


def _length(head: bytes) -> int:
    for line in head.split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name.lower() == b"content-length":
            return int(value)
    raise RuntimeError(f"the answer has no Content-Length header: {head!r}")


async def _memory(pid: int, address: str) -> list[Point]:
    """Return resident memory in KB at several numbers of idle connections, each used once."""
    points = []
    opened = []
    for count in CONNECTIONS:
        while len(opened) < count:
            reader, writer = await _open(address)
            writer.write(f"GET /open HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode())
            head = await reader.readuntil(b"\r\n\r\n")
            await reader.readexactly(_length(head))
            opened.append(writer)
        points.append((float(count), _resident_kb(pid)))
    for writer in opened:
        writer.close()
    await asyncio.sleep(0.5)
    return points


async def _open(address: str) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    host, _, port = address.rpartition(":")
    return await asyncio.open_connection(host, int(port))


def _cpu_ms(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S * 1000


def _resident_kb(pid: int) -> float:
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return float(line.split()[1])
    raise RuntimeError("the kernel does not report VmRSS, the resident memory of the daemon")
