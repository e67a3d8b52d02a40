"""Replaces all daemons of a full fleet one by one under load, and prints the results of the calls.

    python -m bench.rolling

The last line starts with `lost=0 doubled=0 crossed=0 cut=0` if all invariants hold; otherwise the
exit code is 1.  A call for which no daemon was reachable counts as lost.
"""

import asyncio
import time

from absl import app, flags

from bench.fleets import wait_until_ready
from cloverhook_emulator import invariants
from cloverhook_emulator.deployment import EXAMPLES, Deployment
from cloverhook_emulator.fleet_runner import DaemonProcess, Fleet
from cloverhook_emulator.load import CallMix, Load, LoadPlan, LoadResult, Phase
from cloverhook_emulator.replacement import replace_all
from cloverhook_emulator.run_record import RunRecord

__all__ = ["measure_rolling"]

FLAGS = flags.FLAGS
flags.DEFINE_integer("rolling_vms", 19, "The number of daemons, all of which are replaced.")
flags.DEFINE_integer("rolling_calls_per_s", 200, "The load during the replacement.")

FILE = "brathwaite.toml"
SERVICE = "booking"
WORK_MS = 20
DRAIN_MS = 30_000
CALLERS = 60
LONGEST_S = 1_800
WARM_S = 3


async def measure_rolling(vms: int, calls_per_s: int) -> bool:
    """Replace all daemons and print the figures; return whether all invariants hold."""
    deployment = Deployment.from_file(EXAMPLES / FILE).with_only_service(SERVICE)
    brand = deployment.brand.name
    host = deployment.service(SERVICE).hosts[0]
    centers = deployment.data_centers

    async def start(vm: str) -> DaemonProcess:
        number = int(vm.rpartition("-")[2])
        return await fleet.start_daemon(vm, centers[number % len(centers)], drain_ms=DRAIN_MS)

    async def serves(vm: str) -> bool:
        statuses = await asyncio.gather(*(fleet.status(name) for name in fleet.daemons))
        return all(vm in item["members"] and brand in item["brands"] for item in statuses)

    async with Fleet() as fleet:
        await asyncio.gather(*(start(f"vm-{number}") for number in range(vms)))
        await fleet.publish_vm_list()
        path = await deployment.start(fleet, f"--work_ms={WORK_MS}")
        code, output, errors = await fleet.run_tool("publish", str(path))
        if code != 0:
            raise RuntimeError(f"cloverhook publish: exit code {code}: {output}{errors}")
        await wait_until_ready(fleet, brand)
        load = Load(_plan(fleet, brand, host, calls_per_s))
        running = asyncio.create_task(load.run())
        await asyncio.sleep(WARM_S)
        started_s = time.monotonic()
        codes = await replace_all(fleet, start, serves)
        print(f"replaced={len(codes)} in {time.monotonic() - started_s:.0f} s", flush=True)
        load.stop()
        return _report_result(await running, await fleet.run_records(), codes)


def _plan(fleet: Fleet, brand: str, host: str, calls_per_s: int) -> LoadPlan:
    addresses = tuple(daemon.caller_address for daemon in fleet.daemons.values())
    phases = (Phase(calls_per_s, LONGEST_S),)
    return LoadPlan(host, brand, addresses, phases, CallMix(), callers=CALLERS, spread=True)


def _report_result(result: LoadResult, ran: list[RunRecord], codes: list[int]) -> bool:
    report = invariants.check(ran, result.request_records)
    unreached = sum(end.status == 0 and not end.sent for end in result.final_records)
    lost = len(report.lost) + unreached + result.calls - len(result.final_records)
    outcomes = result.phases[0].outcomes
    print(f"calls={result.calls} outcomes={dict(outcomes)}")
    print(f"requests={len(result.request_records)} exit_codes={sorted(set(codes))}")
    print(
        f"lost={lost} doubled={len(report.doubled)} crossed={len(report.crossed)} "
        f"cut={len(report.cut)} false_not_run={len(report.false_not_run)}",
        flush=True,
    )
    return report.is_clean and not lost and not any(codes)


def _main(arguments: list[str]) -> int:
    del arguments
    holds = asyncio.run(measure_rolling(FLAGS.rolling_vms, FLAGS.rolling_calls_per_s))
    return 0 if holds else 1


if __name__ == "__main__":
    app.run(_main)
