"""Restarts a background task of the gateway after a failure.

Layer: coordination.  If a task ended by an exception, the gateway would look healthy while it no
longer reads the store or announces itself to other VMs.  So the exception is logged and the task is
started again.
"""

import asyncio
import traceback
from collections.abc import Awaitable, Callable

from cloverhook.gateway.event_log import EventKind, EventLog

__all__ = ["run_with_restarts"]

RESTART_DELAY_MS = 500.0
"""With this delay, a task that fails at once each time writes only two log lines a second and takes
no noticeable time."""


async def run_with_restarts(work: Callable[[], Awaitable[None]], part: str, log: EventLog) -> None:
    """Run `work` until it returns; after an exception, log its traceback and run it again.

    `part` names the task in the log.
    """
    while True:
        try:
            await work()
            return
        except Exception:
            log.note(EventKind.FAULT, part=part, error=traceback.format_exc())
        await asyncio.sleep(RESTART_DELAY_MS / 1000)
