"""Runs one feature file and writes whether each of its scenarios passed to a JSON file.

`features.run` starts one such process for each feature file.
"""

import json
import sys
from pathlib import Path

from behave.configuration import Configuration
from behave.model import Scenario
from behave.model_type import Status
from behave.runner import Runner

__all__ = ["main"]


def main(feature: str, results: str) -> int:
    """Run a feature file and write a list of pairs: a scenario's name and whether it passed."""
    config = Configuration([feature, "--no-capture", "--format=progress3"], load_config=False)
    runner = Runner(config)
    runner.run()
    found = [
        (f"{Path(scenario.filename).name}: {scenario.name}", scenario.status is Status.passed)
        for item in runner.features
        for scenario in item.walk_scenarios()
        if isinstance(scenario, Scenario)
    ]
    Path(results).write_text(json.dumps(found))
    return 0


if __name__ == "__main__":
    sys.exit(main(*sys.argv[1:]))
