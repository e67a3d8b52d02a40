"""Measures what an idle daemon spends on control work: processor time, wake-ups and memory.

    python -m bench.control_cost [--fleets=3,19] [--services=1,60,390] [--seconds=10]

Real daemons run on loopback, without callers.  Every service has eight endpoints.  Processor time
is what the kernel counted for each daemon, in milliseconds per second, so that 14 is 1.4% of a
core.  It is larger when the computer is busy.
"""

import asyncio
import os
import statistics
from dataclasses import dataclass
from pathlib import Path

from absl import app, flags

from bench.figures import Table
from bench.fleets import wait_until_ready
from bench.many_services import ENDPOINTS_PER_SERVICE, SERVICES_PER_BRAND, publish_changes
from cloverhook.platform_http import HttpPlatform
from cloverhook.records import CONFIG_STREAM, encode_record
from cloverhook_emulator.fleet_runner import Fleet

__all__ = ["main"]

FLAGS = flags.FLAGS
flags.DEFINE_list("fleets", ["3", "19"], "The numbers of daemons.")
flags.DEFINE_list("services", ["1", "60", "390"], "The numbers of services.")
flags.DEFINE_integer("seconds", 10, "How many seconds each fleet is measured.")
flags.DEFINE_integer("settle_seconds", 5, "How long each fleet settles before it is measured.")

DATA_CENTERS = ("halfway-tree", "new-kingston", "papine")
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
START_BATCH_SIZE = 5


@dataclass(frozen=True, slots=True)
class Usage:
    """The processor time and context switches of a process so far, and its resident memory."""

    cpu_ms: float
    switches: int
    resident_mb: float

    @classmethod
    def of(cls, pid: int) -> "Usage":
        """Read the values of a process from `/proc`."""
        folder = Path(f"/proc/{pid}")
        fields = (folder / "stat").read_text().rpartition(")")[2].split()
        cpu_ms = (int(fields[11]) + int(fields[12])) * 1_000 / TICKS_PER_S
        status = dict(
            line.split(":", 1)
            for line in (folder / "status").read_text().splitlines()
            if ":" in line
        )
        resident_mb = int(status["VmRSS"].split()[0]) / 1_024
        return cls(cpu_ms, int(status["voluntary_ctxt_switches"]), resident_mb)


async def _configure(fleet: Fleet, services: int) -> None:
    addresses = await fleet.start_backend(count=ENDPOINTS_PER_SERVICE)
    platform = HttpPlatform(fleet.platform_url)
    for change in publish_changes(services, addresses, DATA_CENTERS):
        await platform.append(CONFIG_STREAM, encode_record(change))
    await platform.close()
    last = (services - 1) // SERVICES_PER_BRAND
    await wait_until_ready(fleet, f"brand-{last}")


async def _start(fleet: Fleet, daemons: int) -> None:
    for first in range(0, daemons, START_BATCH_SIZE):
        async with asyncio.TaskGroup() as group:
            for index in range(first, min(daemons, first + START_BATCH_SIZE)):
                center = DATA_CENTERS[index % len(DATA_CENTERS)]
                group.create_task(fleet.start_daemon(f"vm-{index}", center))
        await fleet.publish_vm_list()


async def _measure(daemons: int, services: int) -> tuple[object, ...]:
    async with Fleet() as fleet:
        await _start(fleet, daemons)
        await _configure(fleet, services)
        await asyncio.sleep(FLAGS.settle_seconds)
        pids = [daemon.process.process.pid for daemon in fleet.daemons.values()]
        loop = asyncio.get_running_loop()
        before, before_s = [Usage.of(pid) for pid in pids], loop.time()
        await asyncio.sleep(FLAGS.seconds)
        after, passed_s = [Usage.of(pid) for pid in pids], loop.time() - before_s
    pairs = list(zip(before, after, strict=True))
    cpu = [(new.cpu_ms - old.cpu_ms) / passed_s for old, new in pairs]
    switches = [(new.switches - old.switches) / passed_s for old, new in pairs]
    resident = [usage.resident_mb for usage in after]
    return (
        daemons,
        services,
        services * ENDPOINTS_PER_SERVICE,
        round(statistics.median(cpu), 1),
        round(max(cpu), 1),
        round(statistics.median(switches)),
        round(statistics.median(resident), 1),
    )


def main(arguments: list[str]) -> None:
    """Print one row for each number of daemons and of services."""
    del arguments
    sizes = [(int(daemons), int(count)) for daemons in FLAGS.fleets for count in FLAGS.services]
    columns = (
        "daemons",
        "services",
        "endpoints",
        "median CPU ms/s",
        "worst CPU ms/s",
        "wake-ups/s",
        "RSS MB",
    )
    rows = [asyncio.run(_measure(*size)) for size in sizes]
    print(Table("control cost of an idle daemon", columns, rows))


if __name__ == "__main__":
    app.run(main)
