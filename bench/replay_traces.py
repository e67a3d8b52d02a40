"""Seeded traces for the replay: the deployments, the scenarios with their faults, and the calls."""

import random
from dataclasses import dataclass, field

from cloverhook.fleet import Priority

__all__ = ["DEPLOYMENTS", "SCENARIOS", "Call", "Deployment", "Scenario", "Fault", "generate_calls"]

WORK_MEAN_MS = 20.0
WORK_SIGMA = 0.8
CALLERS = 60
RUN_MS = 5_000.0
WARM_UP_MS = 500.0
IDEMPOTENT_SHARE = 0.8
MIXED = (Priority.HIGH, Priority.NORMAL, Priority.NORMAL, Priority.LOW)


@dataclass(frozen=True, slots=True)
class Deployment:
    """A service at its present size; `one_way_ms` is the one-way delay between data centres."""

    name: str
    data_centers: tuple[str, ...]
    one_way_ms: float
    endpoints: int
    slots: int


KINGSTON = ("halfway-tree", "new-kingston", "papine")
TASMANIA = ("moonah-depot", "kingston-yard", "glenorchy-hall")
DEPLOYMENTS = (
    Deployment("brathwaite/booking", KINGSTON, 1.5, 15, 4),
    Deployment("brathwaite/roster", KINGSTON, 1.5, 10, 4),
    Deployment("saltbush/orders", TASMANIA, 1.0, 20, 3),
    Deployment("saltbush/routes", TASMANIA, 1.0, 15, 3),
)


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault of some endpoints from `from_ms` until `to_ms`.

    The kind is `slow` (by `factor`), `down`, `failing` or `draining`.
    """

    kind: str
    endpoints: tuple[int, ...]
    from_ms: float
    to_ms: float
    factor: float = 1.0


@dataclass(frozen=True, slots=True)
class Scenario:
    """A load and the faults during it; `load` is the share of all slots in use."""

    name: str
    load: float
    faults: tuple[Fault, ...] = ()
    burst: tuple[float, float] | None = None
    home_lost_ms: float | None = None
    stale_share: float = 0.0
    unequal_callers: bool = False
    run_ms: float = RUN_MS
    slow_share: float = 0.0
    mixed_priorities: bool = False


@dataclass(frozen=True, slots=True)
class Call:
    """One call of a trace."""

    request_id: str
    arrives_ms: float
    caller: int
    work_ms: float
    priority: Priority
    idempotent: bool
    extra_ms: float = field(default=0.0)


SLOW = tuple(Fault("slow", (0,), 1_000.0 + i, 1_500.0 + i, 5.0) for i in (0.0, 2_000.0))
ALL = tuple(range(20))
SCENARIOS = (
    Scenario("steady-70", 0.7),
    Scenario("steady-90", 0.9),
    Scenario("slow-90", 0.9, SLOW),
    Scenario("third-slow-70", 0.7, slow_share=1 / 3),
    Scenario("failing-70", 0.7, (Fault("failing", (1,), 1_500.0, 4_000.0),)),
    Scenario("draining-70", 0.7, (Fault("draining", (1,), 1_500.0, 9e9),)),
    Scenario("burst-70", 0.7, burst=(2_000.0, 2_200.0), mixed_priorities=True),
    Scenario("home-lost-90", 0.9, home_lost_ms=2_000.0),
    Scenario("stale-90", 0.9, stale_share=0.1),
    Scenario("unequal-90", 0.9, unequal_callers=True),
    Scenario("slow-stale-unequal-90", 0.9, SLOW, stale_share=0.1, unequal_callers=True),
    Scenario("all-down", 0.35, (Fault("down", ALL, 1_500.0, 11_500.0),), run_ms=16_000.0),
)


def generate_calls(deployment: Deployment, scenario: Scenario, seed: int) -> list[Call]:
    """Return the calls of a trace in order of arrival."""
    source = random.Random(f"{deployment.name} {scenario.name} {seed}")
    base = scenario.load * deployment.endpoints * deployment.slots / WORK_MEAN_MS
    mu = -(WORK_SIGMA**2) / 2
    calls: list[Call] = []
    now_ms = 0.0
    while True:
        now_ms += source.expovariate(base * _factor(scenario, now_ms))
        if now_ms >= scenario.run_ms:
            return calls
        calls.append(
            Call(
                f"{len(calls)}",
                now_ms,
                _caller(source, scenario),
                WORK_MEAN_MS * source.lognormvariate(mu, WORK_SIGMA),
                source.choice(MIXED) if scenario.mixed_priorities else Priority.NORMAL,
                source.random() < IDEMPOTENT_SHARE,
            )
        )


def _factor(scenario: Scenario, now_ms: float) -> float:
    if scenario.burst and scenario.burst[0] <= now_ms < scenario.burst[1]:
        return 2.0
    return 1.0


def _caller(source: random.Random, scenario: Scenario) -> int:
    if scenario.unequal_callers and source.random() < 0.5:
        return source.randrange(CALLERS // 10)
    return source.randrange(CALLERS)
