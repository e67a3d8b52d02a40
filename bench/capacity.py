"""Measures how the cost of every role grows and rewrites the tables of docs/CAPACITY.md.

`make capacity` runs it.  The sizes are the targets for two years ahead.  The cost of a role at that
size follows from its slopes and from rates that are named constants in `bench.capacity_roles`.
"""

import asyncio
import platform
import sys
import time
from pathlib import Path

from bench.capacity_membership import MEMBERS, membership_slopes
from bench.capacity_parts import part_slopes
from bench.capacity_roles import SIZE, role_rows, serving_rows
from bench.capacity_serving import serving_slopes
from bench.slope import Slope

__all__ = ["main"]

PAGE = Path(__file__).resolve().parent.parent / "docs" / "CAPACITY.md"
LIMIT_S = 600


def replace_table(page: str, name: str, table: str) -> str:
    """Return the page with the table between the markers `name` replaced.

    Raises ValueError if the page lacks a marker.
    """
    begin, end = f"<!-- {name}: begin -->", f"<!-- {name}: end -->"
    if begin not in page or end not in page:
        raise ValueError(f"docs/CAPACITY.md has no begin and end markers for the table {name}")
    head, _, rest = page.partition(begin)
    _, _, tail = rest.partition(end)
    return f"{head}{begin}\n{table}\n{end}{tail}"


def markdown_table(columns: tuple[str, ...], rows: list[tuple[str, ...]]) -> str:
    """Return the rows as a Markdown table."""
    lines = [columns, tuple("---" for _ in columns), *rows]
    return "\n".join(f"| {' | '.join(line)} |" for line in lines)


def slope_row(slope: Slope) -> tuple[str, ...]:
    """Return a slope as a table row: role, cost, points, gradient, spread and growth."""
    points = ", ".join(f"{size:g}: {cost:.3g}" for size, cost in slope.points)
    growth = f"size^{slope.exponent:.1f}"
    if slope.is_superlinear:
        growth += ", faster than a line"
    return (
        slope.role,
        slope.what,
        points,
        f"{slope.gradient:.3g} {slope.unit} for each {slope.per}, from {slope.intercept:.3g}",
        f"{slope.spread:.0%}",
        growth,
    )


def _machine() -> str:
    moment = time.strftime("%Y-%m-%d", time.gmtime())
    return (
        f"Measured by `make capacity` on {moment}, {platform.machine()}, Python "
        f"{platform.python_version()}; the machine was shared, so times are noisy."
    )


def main() -> int:
    """Measure, write the page and return the exit code."""
    started = time.monotonic()
    slopes = [*part_slopes(), *membership_slopes(), *asyncio.run(serving_slopes())]
    page = PAGE.read_text()
    columns = ("Role", "What", "Points (size: cost)", "Slope", "Spread of 3 runs", "Growth")
    page = replace_table(
        page, "slopes", markdown_table(columns, [slope_row(slope) for slope in slopes])
    )
    columns = ("Role", "State", "Messages", "Processor time", "Memory", "Bytes", "Mechanism")
    page = replace_table(page, "roles", markdown_table(columns, role_rows(slopes)))
    columns = ("Reading of the aim", "Calls a second", "VMs at 60% of a core")
    page = replace_table(page, "vms", markdown_table(columns, serving_rows(slopes)))
    page = replace_table(page, "machine", _machine())
    PAGE.write_text(page)
    took_s = time.monotonic() - started
    print(f"capacity: {len(slopes)} slopes for {SIZE.services} services, {max(MEMBERS)} members")
    print(f"capacity: took {took_s:.0f} s of at most {LIMIT_S}")
    return 0 if took_s <= LIMIT_S else 1


if __name__ == "__main__":
    sys.exit(main())
