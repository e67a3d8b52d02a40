"""The inputs and results of `bench.gateway_replay`: deployments, loads, requests and outcomes."""

from dataclasses import dataclass

__all__ = ["KINDS", "Deployment", "Kind", "Load", "Outcome"]


@dataclass(frozen=True, slots=True)
class Kind:
    """A kind of request.

    `share` is its share of the load.  `worth` is the credit for an answer within `objective_ms`.
    `timeout_ms` limits each time the caller sends the request, and `deadline_ms` the whole request.
    """

    name: str
    share: float
    worth: float
    priority: int
    work_ms: float
    objective_ms: float
    timeout_ms: float
    deadline_ms: float
    idempotent: bool = True


KINDS = (
    Kind("check", 0.7, 1.0, 2, 120.0, 300.0, 800.0, 1_500.0),
    Kind("cancel", 0.3, 2.0, 1, 160.0, 400.0, 1_000.0, 2_000.0, idempotent=False),
)


@dataclass(frozen=True, slots=True)
class Deployment:
    """VMs and endpoints.

    Each endpoint is slow with probability `slow_share`, and then works `slow_factor` times as long;
    this is redrawn every `slow_redraw_ms`.  If endpoints have more than one slot, work that starts
    in the last free slot takes `last_slot_factor` times as long.

    From `silent_failure_from_ms` on, `silent_failure_share` of the endpoints fail all requests,
    although their load reports show nothing of it: by an immediate reset, or if `hanging` by no
    answer at all.  `lost_answer_share` of all answers are lost.  `shedding_share` of the endpoints
    reject about half of their requests, whatever their load, and `down_share` of them are
    unreachable.

    From `isolated_from_ms` on, the first `isolated_vms` VMs receive nothing from other VMs.  Each
    of these probes `isolated_probe_count` endpoints itself every `isolated_probe_ms`.
    """

    vms: int = 5
    endpoints: int = 8
    slots: int = 2
    queue: int = 4
    last_slot_factor: float = 1.7
    slow_share: float = 0.25
    slow_factor: float = 4.0
    slow_redraw_ms: float = 300.0
    probe_interval_ms: float = 60.0
    silent_failure_share: float = 0.0
    silent_failure_from_ms: float = 3_000.0
    hanging: bool = False
    lost_answer_share: float = 0.0
    shedding_share: float = 0.0
    down_share: float = 0.0
    isolated_vms: int = 0
    isolated_from_ms: float = 3_000.0
    isolated_probe_count: int = 24
    isolated_probe_ms: float = 167.0


@dataclass(frozen=True, slots=True)
class Load:
    """The rate of requests; during a burst the rate is `burst` times as high."""

    requests_per_s: float
    burst: float = 1.0
    burst_from_ms: float = 4_000.0
    burst_to_ms: float = 9_000.0
    duration_ms: float = 14_000.0
    kinds: tuple[Kind, ...] = KINDS


@dataclass(slots=True)
class Outcome:
    """The results of the requests, as shares.

    `credit` is the share of the worth of all requests that was earned; `worst` is the mean of that
    share over the two worst windows.  `wasted` is the share of arrivals at endpoints that were
    dropped because the slots and the queue of the endpoint were full.
    """

    credit: float
    worst: float
    in_aim: float
    late: float
    refused: float
    failed: float
    wasted: float
    by_kind: dict[str, float]

    @property
    def value(self) -> float:
        """Return a weighted sum of worst windows, credit and share served, for comparisons."""
        return 0.4 * self.worst + 0.4 * self.credit + 0.2 * (self.in_aim + self.late)
