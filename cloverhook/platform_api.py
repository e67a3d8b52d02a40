"""The interface to the platform: append a record, read from an offset, list the VMs.

Layer: protocol.  The rest of the package uses the platform only through `Platform`.
`MemoryPlatform` keeps everything in this process, for tests and stand-ins; the module
`platform_http` has the client for HTTP and JSON.

A call that raises `PlatformError` had no effect; after `PlatformSilentError` it is unknown whether
the call had its effect.
"""

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any, Protocol

__all__ = ["ListedVm", "LogSlice", "MemoryPlatform", "Platform", "VmPhase"]


MAX_RECORDS_READ = 500


class VmPhase(Enum):
    """The state of a VM in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class ListedVm:
    """A VM in the platform's list, which lags behind the actual state."""

    vm: str
    phase: VmPhase
    data_center: str
    caller_address: str
    peer_address: str


@dataclass(frozen=True, slots=True)
class LogSlice:
    """Records read from a stream.

    `first_offset` is the oldest offset that the log still has, and `next_offset` is the offset that
    the next append will get.  `records` starts at `from_offset`.
    """

    first_offset: int
    next_offset: int
    from_offset: int
    records: tuple[Mapping[str, Any], ...]


class Platform(Protocol):
    """The operations of the platform that the project uses."""

    async def append(self, stream: str, record: Mapping[str, Any]) -> int:
        """Append a record and return its offset."""

    async def read(self, stream: str, from_offset: int, wait_ms: float = 0) -> LogSlice:
        """Read records from an offset; if there is none yet, wait up to `wait_ms` for one."""

    async def list_vms(self) -> tuple[ListedVm, ...]:
        """Return the platform's list of VMs."""

    async def close(self) -> None:
        """Release the client's resources."""


class MemoryPlatform:
    """An in-memory implementation of `Platform`."""

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
        """Read records from an offset, at most `MAX_RECORDS_READ`."""
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
        """Do nothing: there are no resources to release."""

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
