"""Steps that check the documents against the programs."""

import re
import subprocess
import sys
from pathlib import Path

from behave import given, then

import features

ROOT = Path(features.__file__).resolve().parent.parent
PAGE = ROOT / "docs" / "REFERENCE.md"
ROW = re.compile(r"^\| `([^`]+)` \|", re.MULTILINE)
EMPTY_ROW = re.compile(r"^\| `([^`]+)` \|.*\|\s*\|$", re.MULTILINE)
COMMAND = re.compile(r"(?:^\$ |`)cloverhook ([a-z][a-z-]*)", re.MULTILINE)
FLAG = re.compile(r"(?<![\w-])--([a-z_]+)")
TARGET = re.compile(r"`make ([a-z]+)`|^    make ([a-z]+)", re.MULTILINE)
LINK = re.compile(r"\]\(([^)#]+)\)")
FILE = re.compile(r"`((?:docs|features|examples|bench|cloverhook)/[\w./-]+)`")
METRIC = re.compile(r"\b(cloverhook_[a-z_]+)\b")
UNIT_NAME = re.compile(r"`([a-z_]+_(?:ms|bytes|ratio|file|address|url|ms_per_s))`")
OTHER_NAMES = {"cloverhook_emulator"}
USERS_BENCH_FLAGS = {"seed", "log"}


def _documented_names(title):
    """Return the names that the tables of the reference page list under a title."""
    tables = PAGE.read_text().split("\n## ")
    return {name for table in tables if table.startswith(title) for name in ROW.findall(table)}


def _problems(text, folder):
    targets = set(re.findall(r"^([a-z]+):", (ROOT / "Makefile").read_text(), re.MULTILINE))
    commands = {name.split()[0] for name in _documented_names("Commands")} | {"help"}
    flags = {name.removeprefix("--") for name in _documented_names("Flags")} | USERS_BENCH_FLAGS
    names = (
        _documented_names("Settings")
        | _documented_names("Policy")
        | _documented_names("Metrics")
        | {"deadline_ms"}
    )
    problems = [f"command {x}" for x in COMMAND.findall(text) if x not in commands]
    problems += [f"flag {x}" for x in FLAG.findall(text) if x not in flags]
    problems += [f"target {a or b}" for a, b in TARGET.findall(text) if (a or b) not in targets]
    problems += [f"link {x}" for x in LINK.findall(text) if not (folder / x).exists()]
    problems += [f"file {x}" for x in FILE.findall(text) if not (ROOT / x).exists()]
    problems += [
        f"metric {x}" for x in METRIC.findall(text) if x not in names and x not in OTHER_NAMES
    ]
    problems += [f"setting {x}" for x in UNIT_NAME.findall(text) if x not in names]
    return problems


@given("the documents")
def step_documents(context):
    context.pages = [ROOT / "README.md", ROOT / "CONTRIBUTING.md", *ROOT.glob("docs/*.md")]
    assert len(context.pages) >= 6, context.pages


@then("the reference page has every command, flag, setting, error kind, metric and event")
def step_reference(context):
    command = [sys.executable, "-m", "bench.reference", "--print"]
    found = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=True)
    assert PAGE.read_text() == found.stdout, "run `make reference`"


@then("each of its rows says what the thing means")
def step_meanings(context):
    empty = EMPTY_ROW.findall(PAGE.read_text())
    assert not empty, empty


@then("each command, flag and make target that they name exists")
def step_commands(context):
    context.problems = [
        f"{page.name}: {problem}"
        for page in context.pages
        for problem in _problems(page.read_text(), page.parent)
    ]
    _assert_no_problems(context, "command", "flag", "target")


@then("each link and each file that they name exists")
def step_links(context):
    _assert_no_problems(context, "link", "file")


@then("each name that looks like a setting, metric or error kind is one")
def step_names(context):
    _assert_no_problems(context, "metric", "setting")


def _assert_no_problems(context, *kinds):
    found = [item for item in context.problems if item.split(": ")[1].split()[0] in kinds]
    assert not found, found


@given("a document with a command, a flag, a target, a link and a metric that do not exist")
def step_wrong(context):
    context.faulty_text = (
        "`cloverhook explode` with `--loudly`, `make noise`, [a page](nowhere.md) and "
        "cloverhook_wishes_total"
    )


@then("all {count:d} are reported")
def step_all_reported(context, count):
    found = _problems(context.faulty_text, Path(ROOT))
    assert len(found) == count, found
