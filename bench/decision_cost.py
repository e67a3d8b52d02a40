"""Measures what one decision of a router costs at several numbers of endpoints.

The router runs with 70% of its slots in use.  A decision is an arrival and the end of an attempt.
"""

import random
import time
from collections import deque

from bench.figures import Figure, median
from cloverhook.fleet import Endpoint, Policy, Priority
from cloverhook.routing import ServiceRouter
from cloverhook.routing_events import (
    Arrival,
    AttemptEnded,
    AttemptResult,
    EndpointsChanged,
    HomesChanged,
    Start,
)

__all__ = ["measure_decisions"]

SIZES = (15, 60, 3_000)
SLOTS = 4
UTILIZATION = 0.7
DECISIONS = 2_000
ROUNDS = 5
WORK_MS = 20.0
CENTERS = ("halfway-tree", "new-kingston", "papine")


def measure_decisions() -> list[Figure]:
    """Return microseconds per decision at each size, and the growth from 60 to 3,000 endpoints."""
    cost_us = {size: median(_round_us(size, seed) for seed in range(ROUNDS)) for size in SIZES}
    figures = [Figure(f"decision.{size}_endpoints", cost, "us") for size, cost in cost_us.items()]
    return [*figures, Figure("decision.growth", cost_us[3_000] / cost_us[60], "60 to 3,000")]


def _round_us(size: int, seed: int) -> float:
    router = ServiceRouter(random.Random(seed))
    endpoints = tuple(
        Endpoint(f"10.0.{index // 250}.{index % 250}:80", CENTERS[index % 3], SLOTS)
        for index in range(size)
    )
    router.handle(EndpointsChanged(endpoints, Policy()), 0.0)
    router.handle(HomesChanged("vm-1", ("vm-1",)), 0.0)
    in_flight: deque[Start] = deque()
    now_ms = 0.0
    step_ms = WORK_MS / (size * SLOTS * UTILIZATION)
    for index in range(int(size * SLOTS * UTILIZATION)):
        now_ms += step_ms
        in_flight += _arrive(router, index, now_ms)
    started_s = time.perf_counter()
    for index in range(DECISIONS):
        now_ms += step_ms
        in_flight += _arrive(router, size * SLOTS + index, now_ms)
        oldest = in_flight.popleft()
        ended = AttemptEnded(oldest.request_id, oldest.address, AttemptResult.ANSWERED, WORK_MS)
        in_flight += _starts(router.handle(ended, now_ms))
    return (time.perf_counter() - started_s) / DECISIONS * 1_000_000


def _arrive(router: ServiceRouter, index: int, now_ms: float) -> list[Start]:
    arrival = Arrival(f"r{index}", Priority.NORMAL, now_ms + 10_000, idempotent=True)
    return _starts(router.handle(arrival, now_ms))


def _starts(actions: tuple[object, ...]) -> list[Start]:
    return [action for action in actions if isinstance(action, Start)]
