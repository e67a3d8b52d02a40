"""The platform's log with hybrid logical clock timestamps, so that causal order survives the log.

Layer: protocol.  A record that a daemon appends carries the timestamp of the append, and a daemon
that reads the record advances its clock past that timestamp, as with the messages between daemons.
Readers of records ignore the key `stamp`, so records with and without it have the same meaning.
"""

from collections.abc import Callable, Mapping
from typing import Any

from cloverhook.clock import wall_ms
from cloverhook.platform_api import ListedVm, LogSlice, Platform
from cloverhook.timeline import HybridClock, Stamp

__all__ = ["StampedPlatform"]


class StampedPlatform:
    """A platform whose records carry timestamps."""

    def __init__(
        self,
        platform: Platform,
        clock: HybridClock,
        clock_ms: Callable[[], float] = wall_ms,
    ) -> None:
        self._platform = platform
        self._clock = clock
        self._clock_ms = clock_ms

    async def append(self, stream: str, record: Mapping[str, Any]) -> int:
        """Append a record with the current timestamp and return its offset."""
        stamp = self._clock.next_stamp(self._clock_ms())
        stamped = {**record, "stamp": [stamp.wall_us, stamp.counter]}
        return await self._platform.append(stream, stamped)

    async def read(self, stream: str, from_offset: int, wait_ms: float = 0) -> LogSlice:
        """Read records from an offset on and advance the clock past their timestamps."""
        found = await self._platform.read(stream, from_offset, wait_ms)
        for record in found.records:
            self._witness(record)
        return found

    async def list_vms(self) -> tuple[ListedVm, ...]:
        """Return the platform's list of VMs."""
        return await self._platform.list_vms()

    async def close(self) -> None:
        """Release the resources of the platform client."""
        await self._platform.close()

    def _witness(self, record: Any) -> None:
        match record:
            case {"stamp": [int(wall_us), int(counter)]}:
                self._clock.advance_past(Stamp(wall_us, counter))
