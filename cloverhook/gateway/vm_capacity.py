"""Decides which VMs of a data centre serve callers, and with what share of their connections.

Layer: coordination.  The load that this is designed for: 300 requests a second in a data centre
of 2 VMs with 2.15 cores and 100 Mbit/s and 33 VMs with 0.43 of a core and 5 Mbit/s.

A caller picks one address of an answer at random.  An answer therefore holds all strong VMs and as
many of the weaker ones that each VM is picked in proportion to its capacity.  Where the capacities
differ by less than `UNEVEN_RATIO`, or some VM doesn't state its own, no decision is made here.

>>> strong, weak = VmCapacity(2.15, 100), VmCapacity(0.43, 5)
>>> round(strong.requests_per_s), round(weak.requests_per_s)
(200, 40)
>>> are_uneven([200, 40, 40]), are_uneven([40, 40]), are_uneven([200, VmCapacity().requests_per_s])
(True, False, False)
"""

from collections.abc import Collection, Sequence
from dataclasses import dataclass, field
from math import floor
from random import Random

__all__ = ["VmCapacity", "are_uneven", "sample_addresses", "serving_count"]

UNEVEN_RATIO = 2.0
"""VMs whose capacities differ by less are treated as equal."""
REQUESTS_PER_CORE = 40 / 0.43
"""A burst may double this rate before another VM serves; a request takes some 8 ms of a core."""
REQUESTS_PER_MBPS = 16
"""8 KB a request: the mean of responses where one in twelve is a download of 90 KB."""
MIN_UNEVEN_SERVING_VMS = 6
MAX_BALANCING_VMS = 12
"""No more VMs than this serve only to give the weaker ones the capacity of a strong one: serving
VMs exchange messages, the number of which grows with the square of their number."""
LOST_STRONG_VMS = 2
"""The serving VMs cover the requests also without this many of the strongest ones: a data centre
may have two strong VMs, and both may die together."""
RESERVE = 1.5
"""By how much they then cover more than the requests: until their next answers, callers spread less
evenly over the VMs that are left.  With 1.25, a VM got 57 requests in a second of the replay, and
its processor time is enough for 53."""


@dataclass(frozen=True, slots=True)
class VmCapacity:
    """What a VM may use: processor time in cores, and the speed of its link.  0: not stated.

    `requests_per_s` is the rate of requests that it can serve in normal operation, 0 if nothing is
    stated.
    """

    processor_cores: float = 0.0
    link_mbps: float = 0.0
    requests_per_s: float = field(init=False)

    def __post_init__(self) -> None:
        """Compute the rate once, as the choice of serving VMs needs it ten times a second."""
        rates = (self.processor_cores * REQUESTS_PER_CORE, self.link_mbps * REQUESTS_PER_MBPS)
        rate = min((rate for rate in rates if rate > 0), default=0.0)
        object.__setattr__(self, "requests_per_s", rate)

    def is_stronger_than(self, other: "VmCapacity") -> bool:
        """Return whether both capacities are stated and this one is greater by enough to matter."""
        return self.requests_per_s >= UNEVEN_RATIO * other.requests_per_s > 0


def are_uneven(rates: Collection[float]) -> bool:
    """Return whether VMs differ enough to matter, by their capacities in requests a second.

    They don't if one of them doesn't state its capacity.
    """
    return 0 < UNEVEN_RATIO * min(rates) <= max(rates)


def serving_count(rates: Sequence[float], requests_per_s: float) -> int:
    """Return how many VMs of an uneven data centre serve callers.

    `rates` are the capacities of its VMs in requests a second, the strongest first.  The serving
    VMs cover the requests without the `LOST_STRONG_VMS` strongest ones.  If strong and weaker VMs
    serve, the weaker ones together have the capacity of a strong one: then every answer can hold
    one of them without giving it more than its share.
    """
    strong = _strong_count(rates)
    strong_rate = sum(rates[:strong]) / strong
    covered_per_s = weak_rate = 0.0
    for index, rate in enumerate(rates):
        is_enough = index >= MIN_UNEVEN_SERVING_VMS and covered_per_s >= RESERVE * requests_per_s
        is_balanced = index <= strong or weak_rate >= strong_rate or index >= MAX_BALANCING_VMS
        if is_enough and is_balanced:
            return index
        covered_per_s += rate if index >= LOST_STRONG_VMS else 0.0
        weak_rate += rate if index >= strong else 0.0
    return len(rates)


def sample_addresses(rates: Sequence[tuple[str, float]], source: Random) -> list[str]:
    """Return the addresses of one answer, given all serving VMs with their capacities.

    Of weaker VMs there is at least one, so that a caller still has an address if the strong VMs
    die together.  Only where the weaker ones would get more than `UNEVEN_RATIO` times their share
    by that, some answers hold two or more strong VMs alone.
    """
    ordered = sorted(rates, key=lambda item: item[1], reverse=True)
    strong = _strong_count([rate for _, rate in ordered])
    weak = ordered[strong:]
    if not weak:
        return [address for address, _ in ordered]
    chosen = [address for address, _ in ordered[:strong]]
    return chosen + _sample(
        weak, _weak_count([rate for _, rate in ordered], strong, source), source
    )


def _strong_count(rates: Sequence[float]) -> int:
    """Return how many VMs are strong, of a list with the strongest first."""
    return sum(1 for rate in rates if rate * UNEVEN_RATIO > rates[0])


def _weak_count(rates: Sequence[float], strong: int, source: Random) -> int:
    """Return how many weaker VMs an answer holds beside all `strong` ones.

    A caller picks a given VM of an answer of n addresses with the probability 1 / n.  The mean of
    1 / n over all answers is the share of a strong VM in the capacity.
    """
    total = sum(rates)
    share = sum(rates[:strong]) / strong / total
    most = len(rates) - strong
    fewest = min(floor(1 / share) - strong, most)
    if fewest < 1:
        weak_share = 1 - strong * share
        if strong == 1 or 1 / (strong + 1) <= UNEVEN_RATIO * weak_share:
            return 1
        fewest = 0
    if fewest == most:
        return most
    few, more = 1 / (strong + fewest), 1 / (strong + fewest + 1)
    return fewest + (source.random() * (few - more) < few - share)


def _sample(rates: Sequence[tuple[str, float]], count: int, source: Random) -> list[str]:
    """Return `count` different addresses, each with a probability in proportion to its capacity.

    Systematic sampling: equidistant points on the line of all capacities.  A VM with more capacity
    than the distance of two points is certain to be chosen, and the answer may then be shorter.
    """
    if not count:
        return []
    step = sum(rate for _, rate in rates) / count
    shuffled = source.sample(rates, len(rates))
    point = step * source.random()
    chosen = []
    passed = 0.0
    for address, rate in shuffled:
        passed += rate
        if passed > point:
            chosen.append(address)
            point += step * (floor((passed - point) / step) + 1)
    return chosen
