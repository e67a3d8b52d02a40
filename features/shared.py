"""Helpers for the steps of several features: the scenario's loop, and a small fleet."""

import asyncio

import aiohttp

from cloverhook_emulator.fleet_runner import OPERATOR_TOKEN, Fleet

HOST = "booking.brathwaite.example"
DATA_CENTERS = ("halfway-tree", "new-kingston", "papine")
OPERATOR = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
WAIT_S = 20
CONFIG = """
brand = "brathwaite"
[[services]]
name = "booking"
hosts = ["{host}"]
[[services.places]]
data_center = "papine"
endpoints = [{endpoints}]
"""


def run(context, work):
    """Run a coroutine on the scenario's loop."""
    return context.loop.run_until_complete(work)


async def eventually(condition):
    """Wait until an asynchronous condition holds; raise `TimeoutError` after `WAIT_S` seconds."""
    async with asyncio.timeout(WAIT_S):
        while not await condition():
            await asyncio.sleep(0.05)


async def start_fleet(context, backends, daemons, **settings):
    """Start backend servers and daemons as processes, which are stopped after the scenario."""
    context.fleet = await context.stack.enter_async_context(Fleet())
    context.session = await context.stack.enter_async_context(aiohttp.ClientSession())
    context.endpoints = await context.fleet.start_backend("--work_ms=5", count=backends)
    for index in range(daemons):
        data_center = DATA_CENTERS[index % len(DATA_CENTERS)]
        await context.fleet.start_daemon(
            f"vm-{index}", data_center, **{"drain_ms": 500, **settings}
        )
    await context.fleet.publish_vm_list()
