"""What `bench.gateway_replay` plays: deployments, loads and kinds of request, and what it tells."""

from dataclasses import dataclass

__all__ = ["KINDS", "Deployment", "Kind", "Load", "Outcome"]


@dataclass(frozen=True, slots=True)
class Kind:
    """A kind of request; its share of the load, what an answer in time is worth, its times."""

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

    Of the endpoints `slow_share` works `slow_by` times as long, drawn anew every `slow_every_ms`;
    with more than one slot, work that begins in the last one takes `knee` times as long.  From
    `lying_from_ms` on `lying_share` of them fail all they get, though their figures say nothing of
    it: by a reset at once, or with `hanging` by no answer at all.  Of all answers `lost_share` are
    lost.  `shedding_share` of them turn about half of what they get away, whatever their load,
    and `down_share` of them can't be reached.
    From `cut_from_ms` on the first `cut_off` VMs hear no other one; each of these measures
    `own_group` endpoints for itself every `own_probe_ms`.
    """

    vms: int = 5
    endpoints: int = 8
    slots: int = 2
    queue: int = 4
    knee: float = 1.7
    slow_share: float = 0.25
    slow_by: float = 4.0
    slow_every_ms: float = 300.0
    probe_ms: float = 60.0
    lying_share: float = 0.0
    lying_from_ms: float = 3_000.0
    hanging: bool = False
    lost_share: float = 0.0
    shedding_share: float = 0.0
    down_share: float = 0.0
    cut_off: int = 0
    cut_from_ms: float = 3_000.0
    own_group: int = 24
    own_probe_ms: float = 167.0


@dataclass(frozen=True, slots=True)
class Load:
    """Requests a second, and how many times as many come during a burst."""

    requests_per_s: float
    burst: float = 1.0
    burst_from_ms: float = 4_000.0
    burst_to_ms: float = 9_000.0
    length_ms: float = 14_000.0
    kinds: tuple[Kind, ...] = KINDS


@dataclass(slots=True)
class Outcome:
    """What became of the requests, as shares; `worst` is the credit of the worst two windows."""

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
        """Return one figure for comparisons: worst windows, whole time and share served."""
        return 0.4 * self.worst + 0.4 * self.credit + 0.2 * (self.in_aim + self.late)
