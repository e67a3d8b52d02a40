"""An in-memory platform that fails on demand, for in-process tests and for the HTTP stand-in."""

import asyncio
import time
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from cloverhook.errors import PlatformError, PlatformSilentError
from cloverhook.platform_api import ListedVm, LogSlice, MemoryPlatform

__all__ = ["FaultyPlatform", "PlatformFaults"]

DEFAULT_APPENDS_PER_S = 400


@dataclass(frozen=True, slots=True)
class PlatformFaults:
    """The active faults of the platform.

    `slow_ms` delays every call.  `lose_append_answers` is True to lose the answer to every append,
    or the number of appends whose answers are still to be lost; such an append takes effect.  With
    `down`, no call takes effect.
    """

    down: bool = False
    slow_ms: float = 0
    lose_append_answers: bool | int = False
    refuse_appends: bool = False


class FaultyPlatform(MemoryPlatform):
    """An in-memory platform with settable faults and a limit of appends per second."""

    def __init__(self, appends_per_s: int = DEFAULT_APPENDS_PER_S) -> None:
        super().__init__()
        self.faults = PlatformFaults()
        self.appends = 0
        self.refused_appends = 0
        self._appends_per_s = appends_per_s
        self._append_times: deque[float] = deque()
        self._answers_to_lose: float = 0

    def set_faults(self, faults: PlatformFaults) -> None:
        """Replace the active faults."""
        self.faults = faults
        lose = faults.lose_append_answers
        self._answers_to_lose = float("inf") if lose is True else int(lose)

    async def append(self, stream: str, record: Mapping[str, Any]) -> int:
        """Append a record, or fail because of an active fault or the rate limit."""
        await self._apply_faults()
        if self.faults.refuse_appends or not self._within_limit():
            self.refused_appends += 1
            raise PlatformError("the append was refused")
        offset = await super().append(stream, record)
        self.appends += 1
        if self._answers_to_lose > 0:
            self._answers_to_lose -= 1
            raise PlatformSilentError("the append's answer was lost")
        return offset

    async def read(self, stream: str, from_offset: int, wait_ms: float = 0) -> LogSlice:
        """Read records, or fail because of an active fault."""
        await self._apply_faults()
        found = await super().read(stream, from_offset, wait_ms)
        await self._apply_faults()
        return found

    async def list_vms(self) -> tuple[ListedVm, ...]:
        """Return the list of VMs, or fail because of an active fault."""
        await self._apply_faults()
        return await super().list_vms()

    def reset(self, stream: str) -> None:
        """Delete a stream; it restarts empty at offset 0."""
        self.streams.pop(stream, None)
        self.first_offsets.pop(stream, None)

    async def _apply_faults(self) -> None:
        if self.faults.slow_ms:
            await asyncio.sleep(self.faults.slow_ms / 1000)
        if self.faults.down:
            raise PlatformError("the platform is down")

    def _within_limit(self) -> bool:
        now = time.monotonic()
        while self._append_times and self._append_times[0] <= now - 1:
            self._append_times.popleft()
        if len(self._append_times) >= self._appends_per_s:
            return False
        self._append_times.append(now)
        return True
