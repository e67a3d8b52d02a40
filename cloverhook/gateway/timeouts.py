"""Timeouts that don't expire because this process was too busy to look at what had arrived.

Layer: state.  While the event loop is blocked, or other processes keep this one from running, an
answer may wait in the socket longer than the timeout.  When the loop runs again, the timer would
expire first.
"""

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

__all__ = ["within"]

GRACE_ITERATIONS = 12
"""Opening a connection and reading an answer each take a few iterations of the event loop."""

Result = TypeVar("Result")


async def within(timeout_ms: float, work: Coroutine[Any, Any, Result]) -> Result:
    """Return the result of some work.  Raises `TimeoutError` if it takes longer than `timeout_ms`.

    It also gets some iterations of the event loop after that time, which take less than a
    millisecond if the loop is not busy.
    """
    task = asyncio.get_running_loop().create_task(work)
    try:
        await asyncio.wait((task,), timeout=timeout_ms / 1000)
        for _ in range(GRACE_ITERATIONS):
            if task.done():
                break
            await asyncio.sleep(0)
        if not task.done():
            raise TimeoutError
        return task.result()
    finally:
        task.cancel()
