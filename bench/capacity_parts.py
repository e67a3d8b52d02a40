"""Measures what the parts of a daemon cost, on the real objects without input and output.

Messages and documents of the required size replace other daemons, endpoints and services.
"""

import json
import random
import time
import tracemalloc
from collections.abc import Callable

from bench.slope import Slope, measure_slope
from cloverhook.dispatch import Dispatcher
from cloverhook.fleet import Endpoint, Policy, Priority
from cloverhook.fold import State, fold
from cloverhook.metrics import Metric, MetricsPage, Sample
from cloverhook.records import Change, Publish, encode_record
from cloverhook.routing import ServiceRouter
from cloverhook.routing_events import Arrival, AttemptEnded, AttemptResult, EndpointsChanged
from cloverhook.timeline import EventName, TimeLine

__all__ = ["ENDPOINTS_OF_A_SERVICE", "SERVICES_OF_A_BRAND", "part_slopes"]

SERVICES_OF_A_BRAND = 39
ENDPOINTS_OF_A_SERVICE = 8
SERVICES = (39, 117, 390)
SERIES = (50, 200, 800)
EVENTS = (2_000, 6_000, 20_000)
ENDPOINTS = (5, 15, 45)
START_MS = 1_000_000.0
BEST_OF = 5


class _NullTransport:
    """Discards the messages and probes that routers send."""

    def send_message(self, vm, message) -> None:
        """Discard the message."""

    def probe(self, target, address, health) -> None:
        """Discard the probe."""


def part_slopes() -> list[Slope]:
    """Measure every role that can be measured without a daemon process."""
    return [
        measure_slope(
            "serving calls", "decisions for a call", "us", "endpoint", ENDPOINTS, _decision_us
        ),
        measure_slope(
            "serving calls", "a tick of all services", "us", "service", SERVICES, _tick_us
        ),
        measure_slope("following configuration", "a change", "us", "service", SERVICES, _change_us),
        measure_slope(
            "following configuration",
            "a change's record",
            "KB",
            "service of the brand",
            (10, 20, 39),
            _record_kb,
        ),
        measure_slope("following configuration", "memory", "KB", "service", SERVICES, _state_kb),
        measure_slope("snapshots", "size", "KB", "service", SERVICES, _snapshot_kb),
        measure_slope("snapshots", "writing one", "ms", "service", SERVICES, _snapshot_write_ms),
        measure_slope("snapshots", "reading one", "ms", "service", SERVICES, _snapshot_read_ms),
        measure_slope("time line", "events", "us", "event", EVENTS, _events_us),
        measure_slope("time line", "memory", "KB", "kept event", EVENTS, _events_kb),
        measure_slope("operators' listener", "a metrics page", "ms", "series", SERIES, _metrics_ms),
    ]


def _best_us(work: Callable[[], object], times: int = 1) -> float:
    best = float("inf")
    for _ in range(BEST_OF):
        start = time.perf_counter()
        for _ in range(times):
            work()
        best = min(best, (time.perf_counter() - start) / times)
    return best * 1e6


def _document(brand: int, services: int) -> dict:
    return {
        "brand": f"brand-{brand}",
        "services": [
            {
                "name": f"service-{service}",
                "hosts": [f"service-{service}.brand-{brand}.example"],
                "places": [
                    {
                        "data_center": f"dc-{service % 13}",
                        "slots": 4,
                        "endpoints": [
                            f"10.{brand % 256}.{service}.{index + 1}:8080"
                            for index in range(ENDPOINTS_OF_A_SERVICE)
                        ],
                    }
                ],
            }
            for service in range(services)
        ],
    }


def _state(services: int) -> State:
    state = State()
    for brand in range(services // SERVICES_OF_A_BRAND):
        state = fold(state, state.next_offset, _change(brand, 0)).state
    return state


def _change(brand: int, version: int, services: int = SERVICES_OF_A_BRAND) -> Change:
    document = _document(brand, services)
    return Change(f"change-{brand}-{version}", f"brand-{brand}", version, "op", Publish(document))


def _dispatcher(state: State) -> Dispatcher:
    dispatcher = Dispatcher(random.Random(1), _NullTransport())
    dispatcher.configure(state, START_MS)
    return dispatcher


def _change_us(services: int) -> float:
    state = _state(services)
    dispatcher = _dispatcher(state)
    change = _change(0, 1)

    def follow() -> None:
        result = fold(state, state.next_offset, change)
        dispatcher.configure(result.state, START_MS)

    return _best_us(follow)


def _record_kb(services: int) -> float:
    return len(json.dumps(encode_record(_change(0, 1, services)))) / 1000


def _state_kb(services: int) -> float:
    tracemalloc.start()
    state = _state(services)
    kept = (state, _dispatcher(state))
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return used / 1000


def _snapshot_kb(services: int) -> float:
    return len(json.dumps(_state(services).to_document())) / 1000


def _snapshot_write_ms(services: int) -> float:
    state = _state(services)
    return _best_us(lambda: json.dumps(state.to_document())) / 1000


def _snapshot_read_ms(services: int) -> float:
    data = json.dumps(_state(services).to_document())
    return _best_us(lambda: State.from_document(json.loads(data))) / 1000


def _tick_us(services: int) -> float:
    dispatcher = _dispatcher(_state(services))
    return _best_us(lambda: dispatcher.tick(START_MS), times=3)


def _decision_us(endpoints: int) -> float:
    router = ServiceRouter(random.Random(1))
    listed = tuple(Endpoint(f"10.0.0.{index + 1}:80", "dc", slots=4) for index in range(endpoints))
    router.handle(EndpointsChanged(listed, Policy()), START_MS)
    for index in range(endpoints * 2):
        router.handle(_arrival(f"busy-{index}"), START_MS)

    def call() -> None:
        (start,) = router.handle(_arrival("call"), START_MS)
        ended = AttemptEnded("call", start.address, AttemptResult.ANSWERED, 20.0, 2)
        router.handle(ended, START_MS)

    return _best_us(call, times=500)


def _arrival(request_id: str) -> Arrival:
    return Arrival(request_id, Priority.NORMAL, START_MS + 10_000, idempotent=True)


def _events_us(count: int) -> float:
    line = TimeLine("vm-0", max(EVENTS))
    ids = [f"{index:032x}" for index in range(count)]

    def add_all() -> None:
        for request_id in ids:
            line.add(START_MS, EventName.ATTEMPT_STARTED, request_id=request_id, address="a:80")

    return _best_us(add_all)


def _events_kb(count: int) -> float:
    tracemalloc.start()
    line = TimeLine("vm-0", count)
    for index in range(count):
        line.add(
            START_MS + index, EventName.ATTEMPT_STARTED, request_id=f"{index:032x}", address="a:80"
        )
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return used / 1000


def _metrics_ms(series: int) -> float:
    page = MetricsPage(series)
    labels = [("brand", f"service-{index}", "ran", "") for index in range(series)]
    page.add_source(lambda: [Sample(Metric.REQUESTS, 1, item) for item in labels])
    return _best_us(lambda: page.render("text/plain")) / 1000
