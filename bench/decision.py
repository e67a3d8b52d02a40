"""Measures what one decision costs: microseconds for an arrival and the end of its request.

`python -m bench.decision` prints the cost at 15, 60 and 3,000 endpoints of one service, at 90% of
the slots in use.
"""

import random
import sys
import time

from cloverhook.fleet import Endpoint, Policy, Priority
from cloverhook.routing import (
    Arrival,
    AttemptEnded,
    AttemptResult,
    EndpointsChanged,
    ServiceRouter,
    Start,
)

__all__ = ["cost_us", "main"]

SIZES = (15, 60, 3_000)
SLOTS = 4
LOAD = 0.9
CALLS = 20_000
REPEATS = 5


def cost_us(endpoints: int, calls: int = CALLS) -> float:
    """Return the microseconds that the router takes for one call, the best of a few rounds."""
    router = ServiceRouter(random.Random(1))
    fleet = tuple(
        Endpoint(f"10.0.{i // 250}.{i % 250}:80", "papine", SLOTS) for i in range(endpoints)
    )
    router.handle(EndpointsChanged(fleet, Policy()), 0.0)
    oldest = 0
    open_calls = [_begin(router, f"warm-{i}", 0.0) for i in range(int(endpoints * SLOTS * LOAD))]
    best = float("inf")
    now_ms = 0.0
    step_ms = 20.0 / max(1, len(open_calls))
    for round_number in range(REPEATS):
        began = time.perf_counter()
        for number in range(calls):
            now_ms += step_ms
            request_id, address = open_calls[oldest]
            ended = AttemptEnded(request_id, address, AttemptResult.ANSWERED, 18.0, 2)
            router.handle(ended, now_ms)
            open_calls[oldest] = _begin(router, f"{round_number}-{number}", now_ms)
            oldest = (oldest + 1) % len(open_calls)
        best = min(best, (time.perf_counter() - began) / calls * 1e6)
    return best


def _begin(router: ServiceRouter, request_id: str, now_ms: float) -> tuple[str, str]:
    arrival = Arrival(request_id, Priority.NORMAL, now_ms + 1e9, True)
    (action,) = router.handle(arrival, now_ms)
    assert isinstance(action, Start)
    return request_id, action.address


def main() -> int:
    """Print the table."""
    costs = {size: cost_us(size) for size in SIZES}
    for size, cost in costs.items():
        print(f"{size:5} endpoints: {cost:6.1f} us a call")
    print(f"3,000 against 60 endpoints: {costs[3_000] / costs[60]:.2f} times")
    return 0


if __name__ == "__main__":
    sys.exit(main())
