"""Runs a million steps of the state machine: `make soak`."""

import sys
import time

from absl import logging

from features.machine import run_machine

STEPS = 1_000_000


def main() -> int:
    """Run the machine and print how many steps held; a step that does not hold raises."""
    logging.set_verbosity(logging.FATAL)
    started = time.monotonic()
    steps = run_machine(STEPS)
    print(f"state machine: {steps} steps held in {time.monotonic() - started:.0f} s")
    return 0 if steps >= STEPS else 1


if __name__ == "__main__":
    sys.exit(main())
