"""Writes docs/REFERENCE.md: every command, flag, setting, error kind, metric and event.

The rows come from the programs, so the page lists exactly what exists.  The last cell of a row
gives the meaning; it is written by hand and preserved.  A new row gets an empty cell.
`make reference` runs this module.
"""

import re
import sys
from dataclasses import MISSING, dataclass, fields
from pathlib import Path

from absl import flags

from cloverhook import cli
from cloverhook.errors import ANSWERS, ErrorKind
from cloverhook.fleet import Policy
from cloverhook.gateway.counters import METRICS, PREFIX
from cloverhook.gateway.event_log import EventKind
from cloverhook.gateway.settings import GatewaySettings
from cloverhook.metrics import Metric
from cloverhook.settings import DaemonSettings
from cloverhook.timeline import EventName
from cloverhook.tool_settings import ToolSettings

__all__ = ["PAGE", "Section", "empty_cells", "reference_page", "sections"]

PAGE = Path(__file__).resolve().parent.parent / "docs" / "REFERENCE.md"
ROW = re.compile(r"^\| `([^`]+)` \|(?:.*\|)? *([^|]*?) *\|$", re.MULTILINE)
UNITS = {
    "_ms_per_s": "ms per second",
    "_per_s": "a second",
    "_s": "s",
    "_ms": "ms",
    "_bytes": "bytes",
    "_ratio": "0 to 1",
    "_count": "count",
    "_address": "ip:port",
    "_file": "path",
    "_url": "URL",
}
HEAD = """# Reference

Written by `make reference` from the programs; only the last column of each table is written by
hand.  A test compares this page with the programs.
"""


@dataclass(frozen=True, slots=True)
class Section:
    """A table: its title, the names of its columns, and its rows.

    If `by_hand` is true, the rows lack their last cell, which is written by hand.
    """

    title: str
    columns: tuple[str, ...]
    rows: tuple[tuple[str, ...], ...]
    by_hand: bool = True

    def to_text(self, meanings: dict[str, str]) -> str:
        """Return the section as Markdown, with the handwritten cells by key of the row."""
        lines = [f"## {self.title}", "", _row(self.columns), _row("---" for _ in self.columns)]
        for row in self.rows:
            key = f"`{row[0]}`"
            last = (meanings.get(row[0], ""),) if self.by_hand else ()
            lines.append(_row((key, *row[1:], *last)))
        return "\n".join(lines) + "\n"


def sections() -> tuple[Section, ...]:
    """Return all tables of the page."""
    return (
        Section(
            "Commands of `cloverhook`",
            ("Command", "Usage", "What it does"),
            tuple((c.name, f"`{c.usage}`", c.summary) for c in cli.COMMANDS.values()),
            by_hand=False,
        ),
        Section(
            "Flags of `cloverhook`",
            ("Flag", "Default", "Help"),
            _flags(),
            by_hand=False,
        ),
        Section(
            "Settings of the tool",
            ("Setting", "Type", "Unit", "Default", "Meaning"),
            _fields(ToolSettings),
        ),
        Section(
            "Settings of a daemon",
            ("Setting", "Type", "Unit", "Default", "Meaning"),
            _fields(DaemonSettings),
        ),
        Section(
            "Policy of a service, which a preset may change",
            ("Key", "Type", "Unit", "Default", "Meaning"),
            _fields(Policy),
        ),
        Section(
            "Error kinds",
            ("Kind", "Status", "Outcome", "Retry-After", "Cause, and what to do"),
            tuple(_error_row(kind) for kind in ErrorKind),
        ),
        Section(
            "Metrics",
            ("Metric", "Kind", "Unit", "Labels", "Help", "When to act, and how"),
            tuple(_metric_row(metric) for metric in Metric),
        ),
        Section(
            "Settings of a gateway",
            ("Setting", "Type", "Unit", "Default", "Meaning"),
            _fields(GatewaySettings),
        ),
        Section(
            "Metrics of a gateway",
            ("Metric", "What it counts"),
            tuple((PREFIX + name, meaning) for name, meaning in METRICS.items()),
            by_hand=False,
        ),
        Section(
            "Log lines of a gateway",
            ("Kind", "Lines a second at most", "Meaning"),
            tuple((kind.value, str(kind.lines_per_s)) for kind in EventKind),
        ),
        Section(
            "Events of the time line", ("Event", "Meaning"), tuple((e.value,) for e in EventName)
        ),
    )


def reference_page(before: str) -> str:
    """Return the page, with the handwritten cells taken from its previous text."""
    parts = [HEAD]
    for section in sections():
        _, _, rest = before.partition(f"## {section.title}\n")
        table, _, _ = rest.partition("\n## ")
        parts.append(section.to_text(dict(ROW.findall(table))))
    return "\n".join(parts)


def empty_cells(page: str) -> list[str]:
    """Return the rows of a page whose last cell is empty."""
    return [key for key, meaning in ROW.findall(page) if not meaning.strip()]


def _row(cells) -> str:
    return f"| {' | '.join(cells)} |"


def _fields(kind: type) -> tuple[tuple[str, ...], ...]:
    return tuple(
        (
            field.name,
            getattr(field.type, "__name__", str(field.type)),
            _unit(field.name),
            _default(field),
        )
        for field in fields(kind)
    )


def _default(field) -> str:
    return "needed" if field.default is MISSING else repr(field.default)


def _unit(name: str) -> str:
    return next((unit for suffix, unit in UNITS.items() if name.endswith(suffix)), "")


def _flags() -> tuple[tuple[str, ...], ...]:
    found = flags.FLAGS.flags_by_module_dict()[cli.__name__]
    return tuple(
        (f"--{flag.name}", f"`{flag.default!r}`", (flag.help or "").replace("|", "/"))
        for flag in sorted(found, key=lambda flag: flag.name)
    )


def _error_row(kind: ErrorKind) -> tuple[str, ...]:
    answer = ANSWERS[kind]
    return (
        kind.value,
        str(answer.status),
        answer.outcome.value,
        "yes" if answer.retry_after else "no",
    )


def _metric_row(metric: Metric) -> tuple[str, ...]:
    spec = metric.spec
    return (spec.name, spec.kind.value, spec.unit, ", ".join(spec.labels), spec.help)


def main(arguments: list[str]) -> None:
    """Write the page, or with `--print` only print its new text."""
    before = PAGE.read_text() if PAGE.exists() else ""
    page = reference_page(before)
    if "--print" in arguments:
        print(page, end="")
        return
    PAGE.write_text(page)
    for key in empty_cells(page):
        print(f"reference: no meaning is written for {key}")


if __name__ == "__main__":
    main(sys.argv[1:])
