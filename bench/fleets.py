"""Starts a service of an example deployment, its daemons and its load as processes."""

import asyncio
import json
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

from cloverhook.fleet import Service
from cloverhook_emulator.deployment import EXAMPLES, Deployment
from cloverhook_emulator.fleet_runner import Fleet
from cloverhook_emulator.run_record import ToldRecord

__all__ = ["ServiceFleet", "wait_until_ready"]

READY_TIMEOUT_S = 30
BENCH_DAEMON = "bench.bench_daemon"


async def wait_until_ready(fleet: Fleet, brand: str) -> None:
    """Wait until every daemon has the brand's configuration and lists all others as members.

    Raises TimeoutError after `READY_TIMEOUT_S`.
    """
    vms = set(fleet.daemons)
    async with asyncio.timeout(READY_TIMEOUT_S):
        while True:
            statuses = [await fleet.status(vm) for vm in fleet.daemons]
            if all(brand in item["brands"] and vms <= set(item["members"]) for item in statuses):
                return
            await asyncio.sleep(0.1)


@dataclass(slots=True)
class ServiceFleet:
    """A fleet that serves one service of an example deployment at its full size."""

    fleet: Fleet
    brand: str
    service: Service
    attempts_files: Sequence[Path]

    @classmethod
    async def start(
        cls, fleet: Fleet, file: str, service: str, algorithm: str, daemons: int, work_ms: float
    ) -> "ServiceFleet":
        """Start backend servers, and daemons that use a load-balancing algorithm."""
        deployment = Deployment.from_file(EXAMPLES / file).with_only_service(service)
        if algorithm != "cloverhook":
            deployment = deployment.with_home_vms(daemons)
        centers = deployment.data_centers
        attempts_files = [fleet.folder / f"attempts-{index}.txt" for index in range(daemons)]
        async with asyncio.TaskGroup() as group:
            for index, attempts_file in enumerate(attempts_files):
                arguments = (f"--way={algorithm}", f"--attempts_file={attempts_file}")
                center = centers[index % len(centers)]
                group.create_task(
                    fleet.start_daemon(f"vm-{index}", center, BENCH_DAEMON, arguments)
                )
        await fleet.publish_vm_list()
        path = await deployment.start(fleet, f"--work_ms={work_ms}")
        code, output, errors = await fleet.run_tool("publish", str(path))
        if code != 0:
            raise RuntimeError(f"cloverhook publish: exit code {code}: {output}{errors}")
        brand = deployment.brand.name
        await wait_until_ready(fleet, brand)
        return cls(fleet, brand, deployment.service(service), attempts_files)

    @property
    def slots(self) -> int:
        """The total slots of all endpoints."""
        return sum(endpoint.slots for endpoint in self.service.endpoints)

    async def load(
        self, phases: Sequence[tuple[float, float]], start_at_ms: float, *arguments: str
    ) -> tuple[list[ToldRecord], list[ToldRecord], float]:
        """Run a load of phases, given as (calls/s, duration in s), in a separate process.

        Returns the records of all requests, the records of the ends of calls, and the p99 of the
        load tool's delay in starting calls, in milliseconds, for the phase in which it is largest.
        Raises RuntimeError if the load tool fails.
        """
        report = self.fleet.folder / "load.json"
        addresses = [daemon.caller_address for daemon in self.fleet.daemons.values()]
        paths = ["/", *(route.path_prefix for route in self.service.routes)]
        process = await self.fleet.start_process(
            "load",
            "cloverhook_emulator.load",
            f"--daemons={','.join(addresses)}",
            f"--host={self.service.hosts[0]}",
            f"--caller_brand={self.brand}",
            f"--phases={','.join(f'{rate:.3f}:{seconds}' for rate, seconds in phases)}",
            f"--paths={','.join(paths)}",
            f"--start_at_ms={start_at_ms}",
            f"--report={report}",
            *arguments,
        )
        if await process.process.wait() != 0:
            raise RuntimeError(f"the load tool failed:\n{process.log.read_text()}")
        document = json.loads(report.read_text())
        lag_ms = max(phase["lag_ms"]["p99"] for phase in document["phases"])
        told = [ToldRecord.from_document(item) for item in document["told"]]
        ends = [ToldRecord.from_document(item) for item in document["ends"]]
        return told, ends, lag_ms

    def attempts(self, from_ms: float, to_ms: float) -> int:
        """Return how many attempts the daemons started in an interval.

        Attempts are counted per tenth of a second.
        """
        lines = [
            line.split()
            for path in self.attempts_files
            if path.exists()
            for line in path.read_text().splitlines()
        ]
        return sum(int(count) for at_ms, count in lines if from_ms <= float(at_ms) < to_ms)
