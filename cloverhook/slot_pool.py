"""The free slots of the endpoints that this VM may start work at, ready to be chosen from.

Layer: coordination.  Endpoints lie in buckets by data centre (own, other) and by slots in use, so
a choice and an update cost the same at 15 endpoints and at 3,000.  Own data centre goes first, then
the fewest slots in use; within a bucket the one that was used longest ago.
"""

from cloverhook.endpoint_stats import EndpointStats

__all__ = ["SlotPool"]

Bucket = dict[str, EndpointStats]


class SlotPool:
    """Endpoints with room, by how much is in use."""

    def __init__(self, data_center: str = "") -> None:
        self._data_center = data_center
        self._buckets: dict[tuple[bool, int], Bucket] = {}
        self._place: dict[str, tuple[bool, int]] = {}
        self.slots = 0
        self._members: dict[str, int] = {}

    def __contains__(self, address: str) -> bool:
        return address in self._members

    def __len__(self) -> int:
        return len(self._members)

    def add(self, stats: EndpointStats, now_ms: float) -> None:
        """Take an endpoint in."""
        address = stats.endpoint.address
        self.remove(address)
        self._members[address] = stats.endpoint.slots
        self.slots += stats.endpoint.slots
        self.update(stats, now_ms)

    def remove(self, address: str) -> None:
        """Leave an endpoint out."""
        self.slots -= self._members.pop(address, 0)
        self._unplace(address)

    def update(self, stats: EndpointStats, now_ms: float) -> None:
        """Put an endpoint where it belongs after its use has changed."""
        address = stats.endpoint.address
        if address not in self._members:
            return
        self._unplace(address)
        if stats.free_slots(now_ms) <= 0:
            return
        place = (stats.endpoint.data_center != self._data_center, stats.used)
        self._buckets.setdefault(place, {})[address] = stats
        self._place[address] = place

    def best(self, avoid: str = "") -> EndpointStats | None:
        """Return the best endpoint with a free slot, or None; `avoid` only if it is the last."""
        for place in sorted(self._buckets):
            for address, stats in self._buckets[place].items():
                if address != avoid:
                    return stats
        place = self._place.get(avoid)
        return None if place is None else self._buckets[place][avoid]

    def _unplace(self, address: str) -> None:
        place = self._place.pop(address, None)
        if place is None:
            return
        bucket = self._buckets[place]
        del bucket[address]
        if not bucket:
            del self._buckets[place]
