"""A daemon for the bench: chooses by a baseline's way, or counts attempts.

It is the product's daemon with another router put in its place before it starts; with
`--way=cloverhook` the router is the product's own.
"""

import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from absl import flags

from bench.baseline_router import ALGORITHMS, BaselineRouter
from cloverhook import daemon, dispatch
from cloverhook.routing import ServiceRouter
from cloverhook.routing_events import Action, Event, Start

__all__ = ["COUNT_INTERVAL_MS"]

COUNT_INTERVAL_MS = 100

FLAGS = flags.FLAGS
flags.DEFINE_enum("way", "cloverhook", ["cloverhook", *ALGORITHMS], "How endpoints are chosen.")
flags.DEFINE_string("attempts_file", None, "The file for lines of wall-clock ms and attempts.")


class _AttemptCount:
    """Appends the number of attempts to a file, a line for each piece of time with any."""

    def __init__(self, path: str) -> None:
        self._path = Path(path)
        self._interval = 0
        self._count = 0

    def add(self, count: int) -> None:
        interval = int(time.time() * 1000) // COUNT_INTERVAL_MS
        if interval != self._interval and self._count:
            with self._path.open("a") as file:
                file.write(f"{self._interval * COUNT_INTERVAL_MS} {self._count}\n")
            self._count = 0
        self._interval = interval
        self._count += count


class _BenchRouter:
    """A router, the product's or a baseline's, whose starts are counted."""

    attempts: _AttemptCount | None = None

    def __init__(self, *arguments: Any, **named: Any) -> None:
        if FLAGS.way == "cloverhook":
            self._router = ServiceRouter(*arguments, **named)
        else:
            self._router = BaselineRouter(ALGORITHMS[FLAGS.way], arguments[0])

    def __getattr__(self, name: str) -> Any:
        return getattr(self._router, name)

    def handle(self, event: Event, now_ms: float) -> tuple[Action, ...]:
        actions = self._router.handle(event, now_ms)
        if self.attempts is not None:
            self.attempts.add(sum(isinstance(action, Start) for action in actions))
        return actions


def _with_bench_router(start: Callable[[list[str]], None]) -> Callable[[list[str]], None]:
    def start_with_bench_router(arguments: list[str]) -> None:
        if FLAGS.way != "cloverhook" or FLAGS.attempts_file is not None:
            dispatch.ServiceRouter = _BenchRouter
        if FLAGS.attempts_file is not None:
            _BenchRouter.attempts = _AttemptCount(FLAGS.attempts_file)
        start(arguments)

    return start_with_bench_router


if __name__ == "__main__":
    daemon._start = _with_bench_router(daemon._start)
    daemon.run()
