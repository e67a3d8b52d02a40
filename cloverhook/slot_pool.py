"""An index of the endpoints that this VM may use, by their free slots.

Layer: coordination.  Endpoints are kept in buckets by data centre (own or other) and by slots in
use, so a choice and an update cost the same with 15 endpoints as with 3,000.  Endpoints in the own
data centre are preferred, then those with the fewest slots in use, then the least recently used
one of a bucket.
"""

from cloverhook.endpoint_stats import EndpointStats

__all__ = ["SlotPool"]

Bucket = dict[str, EndpointStats]


class SlotPool:
    """A set of endpoints, from which the best one with a free slot can be chosen.

    `slots` is the sum of the slots of all of them, free or in use.
    """

    def __init__(self, data_center: str = "") -> None:
        self._data_center = data_center
        self._buckets: dict[tuple[bool, int], Bucket] = {}
        self._bucket_of: dict[str, tuple[bool, int]] = {}
        self.slots = 0
        self._slots_of: dict[str, int] = {}

    def __contains__(self, address: str) -> bool:
        return address in self._slots_of

    def __len__(self) -> int:
        return len(self._slots_of)

    def add(self, stats: EndpointStats, now_ms: float) -> None:
        """Add an endpoint, or replace it."""
        address = stats.endpoint.address
        self.remove(address)
        self._slots_of[address] = stats.endpoint.slots
        self.slots += stats.endpoint.slots
        self.update(stats, now_ms)

    def remove(self, address: str) -> None:
        """Remove an endpoint, if it is in the pool."""
        self.slots -= self._slots_of.pop(address, 0)
        self._remove_from_bucket(address)

    def update(self, stats: EndpointStats, now_ms: float) -> None:
        """Move an endpoint to the right bucket after its use has changed."""
        address = stats.endpoint.address
        if address not in self._slots_of:
            return
        self._remove_from_bucket(address)
        if stats.free_slots(now_ms) <= 0:
            return
        key = (stats.endpoint.data_center != self._data_center, stats.used)
        self._buckets.setdefault(key, {})[address] = stats
        self._bucket_of[address] = key

    def best(self, avoid: str = "") -> EndpointStats | None:
        """Return the best endpoint with a free slot, or None.

        The endpoint with the address `avoid` is returned only if no other one has a free slot.
        """
        for key in sorted(self._buckets):
            for address, stats in self._buckets[key].items():
                if address != avoid:
                    return stats
        key = self._bucket_of.get(avoid)
        return None if key is None else self._buckets[key][avoid]

    def _remove_from_bucket(self, address: str) -> None:
        key = self._bucket_of.pop(address, None)
        if key is None:
            return
        bucket = self._buckets[key]
        del bucket[address]
        if not bucket:
            del self._buckets[key]
