"""The platform behind one narrow interface: append, read from an offset, list the VMs.

Layer: protocol.  `Platform` is all that the rest of the package knows of the platform.
`MemoryPlatform` keeps everything in this process, for tests and stand-ins; the module
`platform_http` holds the client that speaks HTTP and JSON.

Of the errors, `PlatformError` says that the call had no effect, and `PlatformSilentError` that
nobody can tell.
"""

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any, Protocol

__all__ = ["ListedVm", "LogSlice", "MemoryPlatform", "Platform", "VmPhase"]


MAX_RECORDS_READ = 500


class VmPhase(Enum):
    """What the platform's list says of a VM."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class ListedVm:
    """A VM in the platform's list, which lags behind what is true."""

    vm: str
    phase: VmPhase
    data_center: str
    caller_address: str
    peer_address: str


@dataclass(frozen=True, slots=True)
class LogSlice:
    """Records read from a stream.

    `first_offset` is the oldest offset that the log still keeps, and `next_offset` is the offset
    that the next append will get.  `records` starts at `from_offset`.
    """

    first_offset: int
    next_offset: int
    from_offset: int
    records: tuple[Mapping[str, Any], ...]


class Platform(Protocol):
    """What the project needs of the platform."""

    async def append(self, stream: str, record: Mapping[str, Any]) -> int:
        """Append a record and return its offset."""

    async def read(self, stream: str, from_offset: int, wait_ms: float = 0) -> LogSlice:
        """Read records from an offset; with nothing there, wait up to `wait_ms` for one."""

    async def list_vms(self) -> tuple[ListedVm, ...]:
        """Return the platform's list of VMs."""

    async def close(self) -> None:
        """Release what the client holds."""


class MemoryPlatform:
    """A platform in this process."""

    def __init__(self) -> None:
        self.streams: dict[str, list[Mapping[str, Any]]] = {}
        self.first_offsets: dict[str, int] = {}
        self.vms: tuple[ListedVm, ...] = ()
        self._appended = asyncio.Condition()

    async def append(self, stream: str, record: Mapping[str, Any]) -> int:
        """Append a record and return its offset."""
        async with self._appended:
            records = self.streams.setdefault(stream, [])
            records.append(record)
            self._appended.notify_all()
            return self.first_offsets.get(stream, 0) + len(records) - 1

    async def read(self, stream: str, from_offset: int, wait_ms: float = 0) -> LogSlice:
        """Read records from an offset."""
        if wait_ms and self._next_offset(stream) <= from_offset:
            await self._wait(stream, from_offset, wait_ms)
        first = self.first_offsets.get(stream, 0)
        start = max(from_offset, first)
        kept = self.streams.get(stream, [])
        records = tuple(kept[start - first : start - first + MAX_RECORDS_READ])
        return LogSlice(first, self._next_offset(stream), start, records)

    async def list_vms(self) -> tuple[ListedVm, ...]:
        """Return the list of VMs."""
        return self.vms

    async def close(self) -> None:
        """Do nothing: there is nothing to release."""

    def truncate(self, stream: str, first_offset: int) -> None:
        """Drop the records before an offset, as the platform's retention does."""
        first = self.first_offsets.get(stream, 0)
        cut = min(max(first_offset, first), self._next_offset(stream))
        self.streams[stream] = self.streams.get(stream, [])[cut - first :]
        self.first_offsets[stream] = cut

    def _next_offset(self, stream: str) -> int:
        return self.first_offsets.get(stream, 0) + len(self.streams.get(stream, []))

    async def _wait(self, stream: str, from_offset: int, wait_ms: float) -> None:
        async with self._appended:
            try:
                async with asyncio.timeout(wait_ms / 1000):
                    await self._appended.wait_for(lambda: self._next_offset(stream) > from_offset)
            except TimeoutError:
                return
