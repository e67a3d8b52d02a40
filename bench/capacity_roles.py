"""Computes what each role costs at the planned size, from the slopes and from named rates."""

import math
from dataclasses import dataclass

from bench.slope import Slope
from cloverhook.probe_schedule import PROBES_PER_S

__all__ = ["BUDGET", "SIZE", "Budget", "Size", "role_rows", "serving_rows"]


@dataclass(frozen=True, slots=True)
class Size:
    """The planned size.

    Each service has `home_vms` home VMs.  `depth` is the number of calls in a chain of calls.
    """

    services: int = 390
    endpoints: int = 3_000
    calls_per_s: int = 130_000
    depth: int = 13
    changes_per_day: int = 8_600
    restarts_per_day: int = 690
    home_vms: int = 3
    core_share: float = 0.6


@dataclass(frozen=True, slots=True)
class Budget:
    """What one daemon may spend on control work."""

    core_percent: float = 1.4
    memory_mb: float = 128
    bytes_per_s: int = 22_000


SIZE = Size()
BUDGET = Budget()
SECONDS_PER_DAY = 86_400
WAKES_PER_PROBE = 2
MEASURING_MS_PER_S = 60
PROBE_MS = 6.0
PROBE_CPU_MS = 0.4
SCRAPE_EVERY_S = 15
CHANGES_OF_A_RESTART = 4
SNAPSHOT_EVERY_CHANGES = 100
EVENTS_OF_A_CALL = 4
KEPT_EVENTS = 20_000
CONNECTIONS_PER_VM = 2_000
US_PER_CORE_PERCENT = 10_000


def serving_rows(slopes: list[Slope]) -> list[tuple[str, ...]]:
    """Return how many VMs the calls need, for the two interpretations of the depth.

    The planned calls a second are either all calls, or only the first calls of chains.
    """
    rows = []
    for reading, hops in (
        ("130,000 calls are all there are", 1),
        ("each of them makes a chain of 13 calls, all through a daemon", SIZE.depth),
    ):
        calls = SIZE.calls_per_s * hops
        rows.append((reading, f"{calls:,}", f"{_vms(slopes, hops):,}"))
    return rows


def role_rows(slopes: list[Slope]) -> list[tuple[str, ...]]:
    """Return one table row for each role."""
    return [
        _serving(slopes),
        _measuring(slopes),
        _following(slopes),
        _membership(slopes),
        _snapshots(slopes),
        _time_line(slopes),
        _operators(slopes),
    ]


def _find(slopes: list[Slope], role: str, what: str) -> Slope:
    return next(slope for slope in slopes if slope.role == role and slope.what == what)


def _vms(slopes: list[Slope], hops: int) -> int:
    cost_ms = _find(slopes, "serving calls", "processor time a second").gradient
    cores = SIZE.calls_per_s * hops * cost_ms / 1000
    return math.ceil(cores / SIZE.core_share)


def _core(us_per_s: float) -> str:
    percent = us_per_s / US_PER_CORE_PERCENT
    mark = " **over**" if percent > BUDGET.core_percent else ""
    return f"{percent:.2g}% of a core{mark}"


def _bytes(bytes_per_s: float) -> str:
    mark = " **over**" if bytes_per_s > BUDGET.bytes_per_s else ""
    return f"{bytes_per_s / 1000:.2g} KB/s{mark}"


def _serving(slopes: list[Slope]) -> tuple[str, ...]:
    tick = _find(slopes, "serving calls", "a tick of all services")
    memory = _find(slopes, "serving calls", "memory")
    memory_mb = memory.at(CONNECTIONS_PER_VM) / 1000
    wakes_per_s = WAKES_PER_PROBE * PROBES_PER_S
    return (
        "serving calls (its control: idle routers)",
        f"{SIZE.services} routers, {CONNECTIONS_PER_VM:,} caller connections",
        f"at most {wakes_per_s} wake-ups/s of all routers together",
        _core(tick.gradient * wakes_per_s),
        f"{memory_mb:.0f} MB, the process included",
        "none",
        "one `ServiceRouter` for each service, driven by events and wake-ups it asks for",
    )


def _measuring(slopes: list[Slope]) -> tuple[str, ...]:
    services_per_vm = SIZE.services * SIZE.home_vms / _vms(slopes, 1)
    budgeted = MEASURING_MS_PER_S / PROBE_MS / SIZE.home_vms * services_per_vm
    probes = min(budgeted, PROBES_PER_S)
    return (
        "measuring",
        "load and latency of each endpoint, within its router",
        f"at most {probes:.1f} probes/s",
        f"at most {_core(probes * PROBE_CPU_MS * 1000)}, with {PROBE_CPU_MS} ms taken for a probe",
        "within the routers",
        "to endpoints only",
        "loads on answers; probes within `measuring_ms_per_s`, shared by the homes",
    )


def _following(slopes: list[Slope]) -> tuple[str, ...]:
    role = "following configuration"
    rate = SIZE.changes_per_day / SECONDS_PER_DAY
    change_us = _find(slopes, role, "a change").at(SIZE.services)
    record_kb = _find(slopes, role, "a change's record").points[-1][1]
    memory_mb = _find(slopes, role, "memory").at(SIZE.services) / 1000
    return (
        role,
        "the folded state and a router for each service",
        f"{rate:.2g} records/s",
        f"{_core(change_us * rate)}; one change holds the loop {change_us / 1000:.0f} ms",
        f"{memory_mb:.1f} MB",
        _bytes(record_kb * 1000 * rate),
        "the platform's log, read by every daemon; one fold",
    )


def _membership(slopes: list[Slope]) -> tuple[str, ...]:
    vms = _vms(slopes, 1)
    changes = CHANGES_OF_A_RESTART * SIZE.restarts_per_day / SECONDS_PER_DAY
    second = _find(slopes, "membership", "a second of one daemon")
    change = _find(slopes, "membership", "a change of a member")
    second_bytes = _find(slopes, "membership", "bytes a second").at(vms)
    change_bytes = _find(slopes, "membership", "bytes of a change").at(vms)
    return (
        "membership",
        f"{vms} members",
        f"heartbeats on the links to neighbours; {changes:.2g} changes/s, each once on each link",
        _core(second.at(vms) + changes * change.at(vms)),
        "under 1 MB",
        _bytes(second_bytes + changes * change_bytes),
        "heartbeats and gossip over an overlay of bounded degree, and the platform's list",
    )


def _snapshots(slopes: list[Slope]) -> tuple[str, ...]:
    every_s = SNAPSHOT_EVERY_CHANGES / SIZE.changes_per_day * SECONDS_PER_DAY
    size_kb = _find(slopes, "snapshots", "size").at(SIZE.services)
    write_ms = _find(slopes, "snapshots", "writing one").at(SIZE.services)
    read_ms = _find(slopes, "snapshots", "reading one").at(SIZE.services)
    return (
        "snapshots",
        f"one of {size_kb:.0f} KB",
        f"one each {every_s:.0f} s, if each {SNAPSHOT_EVERY_CHANGES} changes",
        f"{_core((write_ms + read_ms) * 1000 / every_s)}; reading holds the loop {read_ms:.0f} ms",
        f"{size_kb / 1000:.1f} MB while one is read",
        _bytes(size_kb * 1000 / every_s),
        "a record of the log that holds the folded state",
    )


def _time_line(slopes: list[Slope]) -> tuple[str, ...]:
    calls = SIZE.calls_per_s / _vms(slopes, 1)
    event_us = _find(slopes, "time line", "events").gradient
    memory_mb = _find(slopes, "time line", "memory").at(KEPT_EVENTS) / 1000
    whole_us = calls * EVENTS_OF_A_CALL * event_us
    return (
        "time line",
        f"{KEPT_EVENTS:,} events of requests and 5,000 others",
        f"{calls * EVENTS_OF_A_CALL:,.0f} events/s",
        f"{_core(whole_us)} for all calls, {_core(whole_us / 100)} with a sample of 1%",
        f"{memory_mb:.0f} MB",
        "16 bytes in a message",
        "a ring in memory, a hybrid clock, a sample of the requests",
    )


def _operators(slopes: list[Slope]) -> tuple[str, ...]:
    page = _find(slopes, "operators' listener", "a metrics page")
    series = 2 * SIZE.services * SIZE.home_vms / _vms(slopes, 1) + 100
    page_ms = page.at(series)
    return (
        "operators' listener",
        f"about {series:.0f} series",
        f"a page each {SCRAPE_EVERY_S} s",
        f"{_core(page_ms * 1000 / SCRAPE_EVERY_S)}; a page holds the loop {page_ms:.1f} ms",
        "under 1 MB",
        "to operators only",
        "plain counts, written out when asked for",
    )
