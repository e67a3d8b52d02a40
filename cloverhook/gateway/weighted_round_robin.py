"""Divides the requests of a route among its parts by weight.

Layer: coordination.  Smooth weighted round robin: over any sequence of requests each part is within
one request of its share, so the shares hold on every VM without coordination.
"""

import random

from cloverhook.gateway.routes import Route, WeightedService

__all__ = ["WeightedRoundRobin"]


class WeightedRoundRobin:
    """The round-robin credits of the parts of each route."""

    def __init__(self, source: random.Random | None = None) -> None:
        self._random = source or random.Random()
        self._credits: dict[str, tuple[tuple[WeightedService, ...], list[float]]] = {}

    def next_service(self, route: Route) -> str:
        """Return the service for the route's next request."""
        parts = route.parts
        if len(parts) == 1:
            return parts[0].service
        total = sum(part.weight for part in parts)
        known = self._credits.get(route.name)
        if known is None or known[0] != parts:
            known = (parts, [self._random.uniform(0.0, part.weight) for part in parts])
            self._credits[route.name] = known
        credits = known[1]
        for index, part in enumerate(parts):
            credits[index] += part.weight
        best = max(range(len(parts)), key=lambda index: credits[index])
        credits[best] -= total
        return parts[best].service
