"""Runs a million steps of the state machine: `make soak`."""

import sys
import time

from absl import logging

from features.machine import run_machine

STEPS = 1_000_000
BATCH = 20_000


def main() -> int:
    """Run numbered sequences and print the number of steps; a step that fails a check raises."""
    logging.set_verbosity(logging.FATAL)
    started = time.monotonic()
    steps = 0
    number = 0
    while steps < STEPS:
        steps += run_machine(BATCH, number)
        number += 1
        passed_s = time.monotonic() - started
        print(f"state machine: {steps} steps held in {passed_s:.0f} s", flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
