"""Measures how long an accepted change takes to be in force at all of 19 daemons.

The daemons run on loopback.  The time is measured from just before the append to the latest event
of the change on the time line of any daemon; all daemons share one wall clock.  The first
measurement is with a log that every daemon can reach, the second with half of the daemons cut off
from it.
"""

import asyncio
import os
import time
import uuid
from collections import defaultdict
from dataclasses import dataclass

import aiohttp

from cloverhook.fleet import Preset
from cloverhook.platform_http import HttpPlatform
from cloverhook.records import CONFIG_STREAM, Change, Publish, SwitchPreset, encode_record
from cloverhook_emulator.cut_proxy import CutProxy, Mode
from cloverhook_emulator.fleet_runner import OPERATOR_TOKEN, DaemonProcess, Fleet

__all__ = ["Spread", "measure"]

DAEMONS = 19
CHANGES = 100
PAUSE_MS = 150
IDLE_S = 10
WAIT_S = 30
DATA_CENTERS = ("halfway-tree", "new-kingston", "papine")
DOCUMENT = {
    "brand": "brathwaite",
    "services": [
        {
            "name": "booking",
            "hosts": ["booking.brathwaite.example"],
            "places": [{"data_center": "papine", "endpoints": ["127.0.0.1:9"]}],
        }
    ],
}


@dataclass(frozen=True, slots=True)
class Spread:
    """Milliseconds from the publication of a change until it is in force at every daemon."""

    changes: int
    p50_ms: float
    p99_ms: float
    max_ms: float

    @classmethod
    def from_times(cls, times_ms: list[float]) -> "Spread":
        """Return the percentiles of the times of some changes."""
        ordered = sorted(times_ms)
        at = [ordered[min(len(ordered) - 1, int(len(ordered) * q))] for q in (0.5, 0.99)]
        return cls(len(ordered), *at, ordered[-1])


class _Bench:
    def __init__(self, fleet: Fleet, proxy: CutProxy, session: aiohttp.ClientSession) -> None:
        self.fleet = fleet
        self.proxy = proxy
        self.session = session
        self.platform = HttpPlatform(fleet.platform_url)
        self.version = 0

    async def start(self) -> None:
        """Start the daemons; every second one reaches the platform through the proxy."""
        for index in range(DAEMONS):
            url = f"http://{self.proxy.address}" if index % 2 else self.fleet.platform_url
            center = DATA_CENTERS[index % 3]
            await self.fleet.start_daemon(f"vm-{index}", center, platform_url=url)
        await self.fleet.publish_vm_list()
        await self._wait(lambda status: len(status["members"]) == DAEMONS)

    async def publish(self, action: Publish | SwitchPreset) -> tuple[str, float]:
        """Append a change and return its identifier and the time before the append."""
        change_id = uuid.uuid4().hex
        change = Change(change_id, "brathwaite", self.version, "bench", action)
        started_ms = time.time() * 1000
        await self.platform.append(CONFIG_STREAM, encode_record(change))
        self.version += 1
        return change_id, started_ms

    async def measure_propagation(self) -> Spread:
        """Publish many changes and return how long they took to be in force at every daemon."""
        started: dict[str, float] = {}
        for index in range(CHANGES):
            preset = Preset.PEAK if index % 2 else Preset.ORDINARY
            change_id, started_ms = await self.publish(SwitchPreset(preset))
            started[change_id] = started_ms
            await asyncio.sleep(PAUSE_MS / 1000)
        await self._wait(self._has_current_version)
        seen: dict[str, list[float]] = defaultdict(list)
        for daemon in self.fleet.daemons.values():
            for event in (await self._get(daemon, "events"))["events"]:
                seen[event["change_id"]].append(event["stamp"]["wall_ms"])
        assert all(len(seen[change_id]) == DAEMONS for change_id in started)
        return Spread.from_times([max(seen[item]) - at_ms for item, at_ms in started.items()])

    async def idle_cpu(self) -> list[float]:
        """Return the share of a core that each idle daemon uses, in percent, sorted."""
        before = [_cpu_s(daemon) for daemon in self.fleet.daemons.values()]
        await asyncio.sleep(IDLE_S)
        after = [_cpu_s(daemon) for daemon in self.fleet.daemons.values()]
        return sorted(100 * (b - a) / IDLE_S for a, b in zip(before, after, strict=True))

    def _has_current_version(self, status: dict) -> bool:
        return status["brands"].get("brathwaite", {}).get("version") == self.version

    async def _wait(self, holds) -> None:
        async with asyncio.timeout(WAIT_S):
            for daemon in self.fleet.daemons.values():
                while not holds(await self._get(daemon, "status")):
                    await asyncio.sleep(0.1)

    async def _get(self, daemon: DaemonProcess, what: str) -> dict:
        url = f"http://{daemon.operator_address}/v1/{what}"
        async with self.session.get(url) as answer:
            return await answer.json()


def _cpu_s(daemon: DaemonProcess) -> float:
    with open(f"/proc/{daemon.process.process.pid}/stat") as stat:
        fields = stat.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def measure() -> tuple[Spread, Spread, list[float]]:
    """Return the times with a healthy log and with half the daemons cut off, and the idle load."""
    headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
    async with Fleet() as fleet, aiohttp.ClientSession(headers=headers) as session:
        proxy = CutProxy(fleet.platform_url.removeprefix("http://"))
        await proxy.start()
        bench = _Bench(fleet, proxy, session)
        await bench.start()
        await bench.publish(Publish(DOCUMENT))
        cpu = await bench.idle_cpu()
        healthy = await bench.measure_propagation()
        proxy.set_mode(Mode.CUT)
        cut = await bench.measure_propagation()
        await bench.platform.close()
        await proxy.close()
        return healthy, cut, cpu


def main() -> None:
    """Print the figures."""
    healthy, cut, cpu = asyncio.run(measure())
    for name, spread in (("log healthy", healthy), ("half cut off", cut)):
        print(
            f"{name}: {spread.changes} changes, p50 {spread.p50_ms:.0f} ms, "
            f"p99 {spread.p99_ms:.0f} ms, max {spread.max_ms:.0f} ms"
        )
    print(f"idle daemons: median {cpu[len(cpu) // 2]:.2f}% of a core, most {cpu[-1]:.2f}%")


if __name__ == "__main__":
    main()
