"""Runs both example deployments at small scale on loopback and checks the outcome of every call.

While callers send load, an operator switches a preset and one daemon is stopped.  The last line
gives the result:

    calls=N answered=N lost=0 doubled=0 crossed=0 cut=0

The exit code is 0 when nothing was lost, doubled, crossed or cut, and the stopped daemon exited
with code 0.
"""

import asyncio
import signal
import sys

from absl import app

from cloverhook.fleet import Service
from cloverhook_emulator import invariants
from cloverhook_emulator.deployment import EXAMPLES, Deployment
from cloverhook_emulator.fleet_runner import Fleet
from cloverhook_emulator.load import CallMix, LoadPlan, LoadResult, Phase, run_load

__all__ = ["run_demo"]

DEPLOYMENT_FILES = ("brathwaite.toml", "saltbush.toml")
ENDPOINTS_PER_DATA_CENTER = 2
WORK_MS = 20
CALLS_PER_S = 40
LOAD_S = 12
SWITCH_AFTER_S = 2
STOP_AFTER_S = 4
CALLERS = 10
READY_TIMEOUT_S = 20
EXIT_VIOLATION = 1
EXIT_INTERRUPTED = 130


async def run_demo() -> int:
    """Run the demo and return the exit code."""
    deployments = [Deployment.from_file(EXAMPLES / name) for name in DEPLOYMENT_FILES]
    async with Fleet() as fleet:
        await _start(fleet, deployments)
        _print_progress(f"{len(fleet.daemons)} daemons serve {len(deployments)} brands")
        plans = [
            _plan(fleet, deployment.brand.name, service, seed)
            for deployment in deployments
            for seed, service in enumerate(deployment.brand.services)
        ]
        operations = asyncio.create_task(_run_operations(fleet, deployments[0].brand.name))
        results = await asyncio.gather(*(run_load(plan) for plan in plans))
        stopped_cleanly = await operations
        return await _report_outcome(fleet, results, stopped_cleanly)


async def _start(fleet: Fleet, deployments: list[Deployment]) -> None:
    async with asyncio.TaskGroup() as group:
        for deployment in deployments:
            for data_center in deployment.data_centers:
                group.create_task(fleet.start_daemon(f"vm-{data_center}", data_center))
    await fleet.publish_vm_list()
    for deployment in deployments:
        path = await deployment.start(
            fleet, f"--work_ms={WORK_MS}", endpoints_per_data_center=ENDPOINTS_PER_DATA_CENTER
        )
        await _run_tool(fleet, "publish", str(path))
    async with asyncio.timeout(READY_TIMEOUT_S):
        while not await _is_ready(fleet, {item.brand.name for item in deployments}):
            await asyncio.sleep(0.1)


async def _is_ready(fleet: Fleet, brands: set[str]) -> bool:
    statuses = [await fleet.status(vm) for vm in fleet.daemons]
    vms = set(fleet.daemons)
    return all(brands <= set(item["brands"]) and vms <= set(item["members"]) for item in statuses)


def _plan(fleet: Fleet, brand: str, service: Service, seed: int) -> LoadPlan:
    return LoadPlan(
        service.hosts[0],
        brand,
        tuple(daemon.caller_address for daemon in fleet.daemons.values()),
        (Phase(CALLS_PER_S, LOAD_S),),
        CallMix(paths=("/", *(route.path_prefix for route in service.routes))),
        callers=CALLERS,
        seed=seed,
    )


async def _run_operations(fleet: Fleet, brand: str) -> bool:
    """Switch a preset and stop a daemon; return whether the daemon exited with code 0."""
    await asyncio.sleep(SWITCH_AFTER_S)
    await _run_tool(fleet, "switch", brand, "peak")
    await asyncio.sleep(STOP_AFTER_S - SWITCH_AFTER_S)
    daemon = next(iter(fleet.daemons.values()))
    _print_progress(f"stopping {daemon.vm} under load")
    code = await daemon.process.stop(signal.SIGTERM)
    _print_progress(f"{daemon.vm} exited with code {code}")
    return code == 0


async def _report_outcome(fleet: Fleet, results: list[LoadResult], stopped_cleanly: bool) -> int:
    caller_records = [record for result in results for record in result.request_records]
    report = invariants.check(await fleet.run_records(), caller_records)
    final_records = [record for result in results for record in result.final_records]
    calls = sum(result.calls for result in results)
    answered = sum(record.status != 0 for record in final_records)
    never_answered = sum(record.status == 0 and not record.sent for record in final_records)
    lost = len(report.lost) + never_answered + calls - len(final_records)
    passed = report.is_clean and not lost and stopped_cleanly
    if not passed:
        print(f"demo: {report}", file=sys.stderr)
    print(
        f"calls={calls} answered={answered} lost={lost} doubled={len(report.doubled)} "
        f"crossed={len(report.crossed)} cut={len(report.cut)}",
        flush=True,
    )
    return 0 if passed else EXIT_VIOLATION


async def _run_tool(fleet: Fleet, *arguments: str) -> None:
    _print_progress("cloverhook " + " ".join(argument.rpartition("/")[2] for argument in arguments))
    code, output, errors = await fleet.run_tool(*arguments)
    if code != 0:
        raise RuntimeError(f"cloverhook {arguments[0]}: exit code {code}: {output}{errors}")


def _print_progress(text: str) -> None:
    print(f"demo: {text}", flush=True)


async def _run_until_signal() -> int:
    task = asyncio.current_task()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await run_demo()


def _main(arguments: list[str]) -> int:
    del arguments
    # A shell without job control starts background commands with SIGINT ignored.
    signal.signal(signal.SIGINT, signal.default_int_handler)
    try:
        return asyncio.run(_run_until_signal())
    except (KeyboardInterrupt, asyncio.CancelledError):
        print("demo: interrupted; all processes that it started have ended", file=sys.stderr)
        return EXIT_INTERRUPTED


if __name__ == "__main__":
    app.run(_main)
