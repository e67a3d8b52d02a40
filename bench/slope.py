"""A measured slope: a cost at three or more sizes, the fitted line, and the spread of the runs.

>>> run = [(1, 5), (2, 7), (4, 11)]
>>> slope = Slope.from_runs("time line", "processor time", "us", "event", [run])
>>> slope.gradient, slope.intercept, slope.at(10)
(2.0, 3.0, 23.0)
"""

import math
import statistics
from collections.abc import Callable, Sequence
from dataclasses import dataclass

__all__ = ["Point", "Slope", "measure_slope"]

SQUARE_EXPONENT = 1.5
RUNS = 3

Point = tuple[float, float]


@dataclass(frozen=True, slots=True)
class Slope:
    """The cost of a role in `unit` per `per`, fitted by least squares to the medians of the points.

    `spread` is the difference between the steepest and the flattest run, divided by the gradient.
    """

    role: str
    what: str
    unit: str
    per: str
    points: tuple[Point, ...]
    gradient: float
    intercept: float
    spread: float

    @classmethod
    def from_runs(
        cls, role: str, what: str, unit: str, per: str, runs: Sequence[Sequence[Point]]
    ) -> "Slope":
        """Fit a slope to runs that measured the same sizes."""
        points = tuple(
            (sizes[0][0], statistics.median(y for _, y in sizes))
            for sizes in zip(*runs, strict=True)
        )
        gradient, intercept = _fit(points)
        gradients = [_fit(run)[0] for run in runs]
        spread = (max(gradients) - min(gradients)) / abs(gradient) if gradient else 0.0
        return cls(role, what, unit, per, points, gradient, intercept, spread)

    def at(self, size: float) -> float:
        """Return the cost at a size, according to the fitted line."""
        return self.intercept + self.gradient * size

    @property
    def exponent(self) -> float:
        """The power of the size with which the cost grows, from the first to the last point."""
        (first, low), (last, high) = self.points[0], self.points[-1]
        if low <= 0 or high <= 0:
            return 1.0
        return math.log(high / low) / math.log(last / first)

    @property
    def is_superlinear(self) -> bool:
        """Whether the cost grows too fast for a line to describe it."""
        return self.exponent > SQUARE_EXPONENT


def measure_slope(
    role: str,
    what: str,
    unit: str,
    per: str,
    sizes: Sequence[int],
    measure: Callable[[int], float],
    runs: int = RUNS,
) -> Slope:
    """Measure a cost at each size, repeat this `runs` times, and fit its slope."""
    found = [[(size, measure(size)) for size in sizes] for _ in range(runs)]
    return Slope.from_runs(role, what, unit, per, found)


def _fit(points: Sequence[Point]) -> tuple[float, float]:
    x_mean = statistics.fmean(x for x, _ in points)
    y_mean = statistics.fmean(y for _, y in points)
    square = sum((x - x_mean) ** 2 for x, _ in points)
    gradient = sum((x - x_mean) * (y - y_mean) for x, y in points) / square
    return gradient, y_mean - gradient * x_mean
