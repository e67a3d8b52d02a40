"""Replaces the daemons of a fleet one after the other, each with a planned shutdown."""

import asyncio
import signal
from collections.abc import Awaitable, Callable

import aiohttp

from cloverhook_emulator.fleet_runner import DaemonProcess, Fleet

__all__ = ["is_advertised", "replace_all"]

ADDRESSES_PATH = "/.well-known/cloverhook/addresses"
POLL_INTERVAL_S = 0.05
SERVING_TIMEOUT_S = 60


async def is_advertised(
    session: aiohttp.ClientSession, fleet: Fleet, vm: str, host: str, queried_vm: str
) -> bool:
    """Return whether the daemon on `queried_vm` advertises the address of `vm` to callers.

    `host` is the host name of the service that the callers ask for.
    """
    url = f"http://{fleet.daemons[queried_vm].caller_address}{ADDRESSES_PATH}"
    async with session.get(url, headers={"Host": host}) as answer:
        addresses = (await answer.json()).get("addresses", [])
    return fleet.daemons[vm].caller_address in addresses


async def replace_all(
    fleet: Fleet,
    start: Callable[[str], Awaitable[DaemonProcess]],
    is_serving: Callable[[str], Awaitable[bool]],
) -> list[int]:
    """Replace the daemons one by one and return the exit codes of the old ones.

    `start` starts a daemon by the name of its VM, and `is_serving` returns whether that daemon
    serves its share; only then does the old daemon get the signal to shut down.  The next new
    daemon starts while an old one still drains.
    """
    olds = list(fleet.daemons)
    codes: list[int] = []
    stopping: asyncio.Task[int] | None = None
    for number, old in enumerate(olds, len(olds)):
        new = f"vm-{number}"
        await start(new)
        if stopping is not None:
            codes.append(await stopping)
        await fleet.publish_vm_list(leaving_vms=frozenset((old,)))
        async with asyncio.timeout(SERVING_TIMEOUT_S):
            while not await is_serving(new):
                await asyncio.sleep(POLL_INTERVAL_S)
        process = fleet.daemons.pop(old).process
        stopping = asyncio.create_task(process.stop(signal.SIGTERM))
    return codes if stopping is None else [*codes, await stopping]
