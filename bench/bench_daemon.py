"""A daemon that uses a baseline load-balancing algorithm, or counts attempts.

It is the `cloverhookd` daemon, whose router is replaced before it starts.  With
`--way=cloverhook` the router is the daemon's own.
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
flags.DEFINE_enum("way", "cloverhook", ["cloverhook", *ALGORITHMS], "The load-balancing algorithm.")
flags.DEFINE_string(
    "attempts_file", None, "The file for lines of wall-clock time in ms and number of attempts."
)


class _AttemptCount:
    """Appends the number of attempts to a file, one line for each interval with attempts."""

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
    """Wraps the daemon's own router or a baseline router and counts the attempts it starts."""

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
