"""Runs every feature and ends with the line that CI reads: `N passed, N failed`.

Each feature file runs in its own process, `WORKERS` at a time.  A scenario that is listed in
`KNOWN-RED.txt` is run, and printed if it fails, but does not fail the run.  Each line there is
`feature file: scenario | command and seed | what was seen | issue N`; a script or module may stand
in place of the feature file and scenario.
"""

import asyncio
import json
import re
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
ISSUE = re.compile(r"issue \d+")
WORKERS = 4
SLOWEST_FIRST = (
    "gateway_allotment",
    "gateway_soak",
    "load_replay",
    "entries",
    "failure",
    "planned",
    "operators",
    "membership_fleet",
    "http_path",
    "demo",
    "state_machine",
)


@dataclass(frozen=True, slots=True)
class FeatureRun:
    """The output of a feature's process, and whether each of its scenarios passed."""

    path: Path
    output: str
    passed: dict[str, bool]


async def _run(path: Path, gate: asyncio.Semaphore, folder: Path) -> FeatureRun:
    results = folder / f"{path.stem}.json"
    async with gate:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            *("-m", "features.run_one", str(path), str(results)),
            cwd=ROOT,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        output, _ = await process.communicate()
    found = dict(json.loads(results.read_text())) if results.exists() else {}
    ended_well = process.returncode == 0 and found
    passed = found if ended_well else {**found, f"{path.name}: the whole feature": False}
    run = FeatureRun(path, output.decode(errors="replace"), passed)
    print(run.output, flush=True)
    return run


async def _run_all(paths: list[Path]) -> list[FeatureRun]:
    gate = asyncio.Semaphore(WORKERS)
    with tempfile.TemporaryDirectory(prefix="cloverhook-features-") as folder:
        return await asyncio.gather(*(_run(path, gate, Path(folder)) for path in paths))


def _slowest_first(paths: list[Path]) -> list[Path]:
    """Return the paths, slowest features first, so that none of those runs alone at the end."""
    rank = {name: index for index, name in enumerate(SLOWEST_FIRST)}
    return sorted(paths, key=lambda path: (rank.get(path.stem, len(rank)), path.name))


def _known_red() -> set[str]:
    """Return the names of the tests that are known to fail; exit if an entry is not valid."""
    if not KNOWN_RED.exists():
        return set()
    lines = [line for line in KNOWN_RED.read_text().splitlines() if line.strip()]
    faults = [line for line in lines if not _is_valid_entry(line)]
    for line in faults:
        print(f"KNOWN-RED.txt: not an entry of an existing test: {line}")
    if faults:
        sys.exit(1)
    return {line.partition("|")[0].strip() for line in lines}


def _is_valid_entry(line: str) -> bool:
    """Return whether a line has all fields, and names a scenario, script or module that exists."""
    fields = [field.strip() for field in line.split("|")]
    if len(fields) != 4 or not all(fields) or not ISSUE.fullmatch(fields[3]) or ";;" in line:
        return False
    file, _, scenario = fields[0].partition(": ")
    path = ROOT / "features" / file
    if scenario:
        title = scenario.partition(" -- @")[0]
        found = path.read_text().splitlines() if path.is_file() else []
        return any(item.strip().partition(": ")[2] == title for item in found)
    script = file.partition(" ")[0]
    return (ROOT / script / "run.sh").is_file() or path.with_suffix(".py").is_file()


def main(arguments: list[str]) -> int:
    """Run the feature files given as arguments, or all, and return the exit code."""
    paths = [Path(item) for item in arguments] or list((ROOT / "features").glob("*.feature"))
    known = _known_red()
    runs = asyncio.run(_run_all(_slowest_first(paths)))
    scenarios = {name: passed for run in runs for name, passed in run.passed.items()}
    passed = sum(scenarios.values())
    failed = [name for name, good in scenarios.items() if not good and name not in known]
    for name, good in scenarios.items():
        if not good and name in known:
            print(f"known red: {name}")
    for name in failed:
        print(f"failed: {name}")
    print(f"{passed} passed, {len(failed)} failed")
    return 1 if failed or not passed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
