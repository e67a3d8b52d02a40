"""Takes all backend servers of a service down for 10 s and measures attempts and recovery.

The measurements are attempts per call during the outage, and how fast goodput recovers after it.
A call that is due during the outage and is retried by its caller counts as one call.  An answer
counts as good if it arrives within 1 s.
"""

import asyncio
import time
from collections.abc import Sequence

from bench.figures import Figure
from bench.fleets import ServiceFleet
from cloverhook_emulator.fleet_runner import Fleet
from cloverhook_emulator.run_record import ToldRecord

__all__ = ["measure_outage"]

WORK_MS = 50.0
DAEMONS = 6
UTILIZATION = 0.6
BEFORE_S = 3.0
DOWN_S = 10.0
AFTER_S = 6.0
START_DELAY_MS = 2_500
WINDOW_MS = 250
RECOVERED = 0.95
GOOD_MS = 1_000
MARGIN_MS = 200


async def measure_outage() -> list[Figure]:
    """Run an outage of the booking service and return its figures."""
    async with Fleet() as fleet:
        running = await ServiceFleet.start(
            fleet, "brathwaite.toml", "booking", "cloverhook", DAEMONS, WORK_MS
        )
        rate = running.slots / WORK_MS * 1000 * UTILIZATION
        start_ms = time.time() * 1000 + START_DELAY_MS
        outage = asyncio.create_task(_run_outage(fleet, start_ms))
        phases = [(rate, BEFORE_S + DOWN_S + AFTER_S)]
        _, ends, _ = await running.load(phases, start_ms, "--callers=60")
        down_ms, up_ms = await outage
        during = [item for item in ends if down_ms <= item.intended_ms < up_ms]
        attempts = running.attempts(down_ms + MARGIN_MS, up_ms)
        counted = [item for item in during if item.intended_ms >= down_ms + MARGIN_MS]
        recovery_ms = _recovery_ms(ends, up_ms)
        refused = sum(item.status == 503 for item in during)
    return [
        Figure("outage.attempts_per_call", attempts / max(1, len(counted))),
        Figure("outage.recovery", recovery_ms / 1000, "s to 95% of goodput"),
        Figure("outage.told_at_once", refused / max(1, len(during)), "of calls told 503"),
    ]


async def _run_outage(fleet: Fleet, start_ms: float) -> tuple[float, float]:
    await asyncio.sleep(max(0.0, start_ms / 1000 + BEFORE_S - time.time()))
    down_ms = time.time() * 1000
    await fleet.set_faults({"down": True})
    await asyncio.sleep(max(0.0, down_ms / 1000 + DOWN_S - time.time()))
    await fleet.set_faults({"down": False})
    return down_ms, time.time() * 1000


def _recovery_ms(ends: Sequence[ToldRecord], up_ms: float) -> float:
    """Return how long after `up_ms` goodput has recovered for good.

    From then on, the good answers are at least `RECOVERED` of the due calls in every window.
    Returns infinity if goodput does not recover.
    """
    last_ms = max(item.intended_ms for item in ends)
    windows = int((last_ms - up_ms) // WINDOW_MS)
    recovered = float("inf")
    for index in reversed(range(windows)):
        from_ms = up_ms + index * WINDOW_MS
        due = [item for item in ends if from_ms <= item.intended_ms < from_ms + WINDOW_MS]
        good = sum(item.status == 200 and item.latency_ms <= GOOD_MS for item in due)
        if good < RECOVERED * len(due):
            break
        recovered = index * WINDOW_MS
    return recovered
