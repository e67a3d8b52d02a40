"""Runs the benchmarks, prints figures with their bounds, and exits with 1 if one exceeds its bound.

    python -m bench.run [--parts=added,ways,outage,decisions,choices,replay] [--quick]

Where possible, figures are ratios to baselines of the same run, because absolute figures drift on a
shared computer.
"""

import asyncio
import importlib.util
import signal
import sys
import time
from collections.abc import Callable

from absl import app, flags

from bench.added import measure_added
from bench.choice_cost import measure_choices
from bench.decision_cost import measure_decisions
from bench.figures import Figure, Table, check_bounds
from bench.outage import measure_outage
from bench.ways import SERVICES, measure_algorithms

__all__ = ["main"]

FLAGS = flags.FLAGS
PARTS = ("decisions", "choices", "added", "ways", "outage", "replay")
flags.DEFINE_list("parts", list(PARTS), "The parts to run.")
flags.DEFINE_bool("quick", False, "Run fewer and shorter rounds, and only one service.")
flags.DEFINE_integer("together", 2, "The number of fleets of the part `ways` that run at a time.")

ROUNDS = 5
ROUND_S = 0.8
QUICK_ROUNDS = 3
QUICK_ROUND_S = 0.4

Measured = tuple[list[Figure], list[Table]]


def _decisions() -> Measured:
    return measure_decisions(), []


def _choices() -> Measured:
    return measure_choices(), []


def _added() -> Measured:
    rounds, seconds = (QUICK_ROUNDS, QUICK_ROUND_S) if FLAGS.quick else (ROUNDS, ROUND_S)
    return asyncio.run(measure_added(rounds, seconds))


def _ways() -> Measured:
    services = SERVICES[:1] if FLAGS.quick else SERVICES
    return asyncio.run(measure_algorithms(FLAGS.together, services))


def _outage() -> Measured:
    return asyncio.run(measure_outage()), []


MEASURES: dict[str, Callable[[], Measured]] = {
    "decisions": _decisions,
    "choices": _choices,
    "added": _added,
    "ways": _ways,
    "outage": _outage,
}


def _run_part(part: str) -> list[str]:
    print(f"== {part}", flush=True)
    started_s = time.monotonic()
    if part == "replay":
        missed = _replay()
    else:
        figures, tables = MEASURES[part]()
        for table in tables:
            print(table)
        missed = check_bounds(figures)
    print(f"   {part} took {time.monotonic() - started_s:.0f} s", flush=True)
    return missed


def _replay() -> list[str]:
    if importlib.util.find_spec("bench.replay") is None:
        print("   the module bench.replay is missing")
        return ["replay"]
    return ["replay"] if importlib.import_module("bench.replay").main([]) else []


def _interrupt(number: int, frame: object) -> None:
    """Raise SIGINT, so that SIGTERM ends the child processes as Ctrl-C does."""
    signal.raise_signal(signal.SIGINT)


def main(arguments: list[str]) -> int:
    """Run the parts named by the flags and return the exit code."""
    del arguments
    signal.signal(signal.SIGINT, signal.default_int_handler)
    signal.signal(signal.SIGTERM, _interrupt)
    unknown = set(FLAGS.parts) - set(PARTS)
    if unknown:
        print(f"bench: no such parts: {', '.join(sorted(unknown))}", file=sys.stderr)
        return 2
    missed = [name for part in FLAGS.parts for name in _run_part(part)]
    print(f"bench: {len(missed)} past their bound" + "".join(f"\n  {name}" for name in missed))
    return 1 if missed else 0


if __name__ == "__main__":
    app.run(main)
