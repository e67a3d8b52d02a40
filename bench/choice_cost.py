"""Measures what a gateway's choice of an endpoint and an admission check of a full queue cost.

There are one VM and one service at several numbers of endpoints.  The endpoints have 4 slots each,
in five data centres, and a quarter of them are 5 times as slow.
"""

import random
import time

from bench.figures import Figure, median
from cloverhook.gateway.backend_server import BackendServer, ServerRecord
from cloverhook.gateway.balancer import Balancer
from cloverhook.gateway.choice import CapacityRequirement, WorkEstimates
from cloverhook.gateway.registry import Registry
from cloverhook.gateway.request_queue import QueuedRequest, RequestQueue
from cloverhook.gateway.server_load import LoadReport, LoadTable

__all__ = ["measure_choices"]

SIZES = (20, 214, 3_000)
CENTERS = 5
SLOTS = 4
SLOWDOWN = 5.0
WORK_MS = 700.0
OBJECTIVE_MS = 1_500.0
DEADLINE_MS = 5_000.0
QUEUED_REQUESTS = 16
CHOICES = 500
CHECKS = 100
ROUNDS = 5
SERVICE = "booking"


def measure_choices() -> list[Figure]:
    """Return the microseconds of a choice, and of an admission check while all endpoints are full.

    There is one pair of figures for each number of endpoints.
    """
    found = []
    for size in SIZES:
        choice_us = median(_choice_us(size, seed) for seed in range(ROUNDS))
        check_us = median(_check_us(size, seed) for seed in range(ROUNDS))
        found.append(Figure(f"choices.{size}_endpoints", choice_us, "us"))
        found.append(Figure(f"choices.{size}_endpoints.full_look", check_us, "us"))
    return found


def _balancer(size: int, seed: int, full: bool) -> Balancer:
    source, registry, load_table = random.Random(seed), Registry(), LoadTable()
    servers = [
        BackendServer(
            f"i-{n}", SERVICE, f"10.0.{n // 250}.{n % 250}:80", f"dc-{n % CENTERS}", SLOTS
        )
        for n in range(size)
    ]
    registry.apply_all(
        (ServerRecord(item.name, n, item) for n, item in enumerate(servers)), 0, False
    )
    for item in servers:
        running = SLOTS if full else source.randrange(SLOTS)
        slowdown = source.choice((1.0, 1.0, 1.0, SLOWDOWN))
        load_table.get_or_create(item.incarnation).update(LoadReport(running, 0, slowdown), 0.0)
    return Balancer(registry, load_table, WorkEstimates(), "dc-0", source)


def _choice_us(size: int, seed: int) -> float:
    balancer = _balancer(size, seed, full=False)
    balancer.choose(SERVICE, WORK_MS, 1.0, (), CapacityRequirement.FREE_SLOT)
    started_s = time.perf_counter()
    for _ in range(CHOICES):
        balancer.choose(SERVICE, WORK_MS, 1.0, (), CapacityRequirement.FREE_SLOT)
    return (time.perf_counter() - started_s) / CHOICES * 1_000_000


def _check_us(size: int, seed: int) -> float:
    queue = RequestQueue(_balancer(size, seed, full=True))
    for number in range(QUEUED_REQUESTS):
        queue.add(QueuedRequest(SERVICE, number % 2, WORK_MS, 0.0, OBJECTIVE_MS, DEADLINE_MS))
    queue.next(SERVICE, 1.0)
    started_s = time.perf_counter()
    for _ in range(CHECKS):
        queue.next(SERVICE, 1.0)
    return (time.perf_counter() - started_s) / CHECKS * 1_000_000
