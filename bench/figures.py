"""Figures of the benchmarks, and the check against their bounds."""

import statistics
import tomllib
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from pathlib import Path

__all__ = ["BOUNDS", "Figure", "Table", "check_bounds", "median", "percentile"]

BOUNDS = Path(__file__).resolve().parent / "bounds.toml"


@dataclass(frozen=True, slots=True)
class Figure:
    """One measured value; `name` is its key in `bounds.toml`."""

    name: str
    value: float
    unit: str = ""
    note: str = ""


@dataclass(frozen=True, slots=True)
class Table:
    """A table that is printed in addition to the figures."""

    title: str
    columns: tuple[str, ...]
    rows: Sequence[tuple[object, ...]]

    def __str__(self) -> str:
        cells = [self.columns, *([_text(item) for item in row] for row in self.rows)]
        widths = [max(len(row[index]) for row in cells) for index in range(len(self.columns))]
        lines = [
            "  ".join(
                text.ljust(width) if index == 0 else text.rjust(width)
                for index, (text, width) in enumerate(zip(row, widths, strict=True))
            )
            for row in cells
        ]
        return "\n".join([self.title, *("  " + line.rstrip() for line in lines)])


def percentile(values: Iterable[float], percent: float) -> float:
    """Return a percentile of the values, or NaN if there are none."""
    ordered = sorted(values)
    if not ordered:
        return float("nan")
    index = min(len(ordered) - 1, int(len(ordered) * percent / 100))
    return ordered[index]


def check_bounds(figures: Sequence[Figure]) -> list[str]:
    """Print each figure with its bounds and return the names of those that exceed a bound.

    NaN exceeds any bound.
    """
    bounds = tomllib.loads(BOUNDS.read_text())
    missed: list[str] = []
    for figure in figures:
        bound = bounds.get(figure.name, {})
        holds = _holds(figure.value, bound)
        if not holds:
            missed.append(figure.name)
        parts = [f"{figure.name} = {_text(figure.value)} {figure.unit}".rstrip()]
        parts += [f"{kind} {_text(value)}" for kind, value in bound.items()]
        parts += [figure.note] if figure.note else []
        print(("  " if holds else "! ") + "; ".join(parts), flush=True)
    return missed


def median(values: Iterable[float]) -> float:
    """Return the median of the values."""
    return statistics.median(values)


def _holds(value: float, bound: dict[str, float]) -> bool:
    if "max" in bound and not value <= bound["max"]:
        return False
    return not ("min" in bound and not value >= bound["min"])


def _text(value: object) -> str:
    return f"{value:.3f}" if isinstance(value, float) else str(value)
