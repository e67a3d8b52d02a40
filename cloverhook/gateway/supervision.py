"""Keeps a task of the gateway going.

Layer: coordination.  A task that ended by a fault would leave a gateway that looks well and no
longer reads the store, or tells others of itself.  Its fault is logged and it begins again.
"""

import asyncio
import traceback
from collections.abc import Awaitable, Callable

from cloverhook.gateway.event_log import EventKind, EventLog

__all__ = ["run_with_restarts"]

RESTART_MS = 500.0
"""A fault that comes back at once may cost two lines a second and no noticeable time."""


async def run_with_restarts(work: Callable[[], Awaitable[None]], part: str, log: EventLog) -> None:
    """Run `work` until it returns; after a fault, log its trace and run it again."""
    while True:
        try:
            await work()
            return
        except Exception:
            log.note(EventKind.FAULT, part=part, error=traceback.format_exc())
        await asyncio.sleep(RESTART_MS / 1000)
