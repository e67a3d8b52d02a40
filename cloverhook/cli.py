"""The command-line tool for operators: a thin layer over `cloverhook.porcelain`.

Layer: transport.
"""

import asyncio
import getpass
import json
import os
import sys
from collections.abc import Awaitable, Callable
from dataclasses import asdict

from absl import app, flags

from cloverhook import porcelain
from cloverhook.errors import CloverhookError, ConfigError
from cloverhook.events_command import run_events
from cloverhook.fleet import Preset
from cloverhook.platform_http import HttpPlatform

__all__ = ["run"]

EXIT_OK = 0
EXIT_REJECTED = 1
EXIT_USAGE = 2
EXIT_UNKNOWN = 3
EXIT_OF = {
    porcelain.Settlement.ACCEPTED: EXIT_OK,
    porcelain.Settlement.REJECTED: EXIT_REJECTED,
    porcelain.Settlement.REFUSED: EXIT_REJECTED,
    porcelain.Settlement.UNKNOWN: EXIT_UNKNOWN,
}

FLAGS = flags.FLAGS
flags.DEFINE_string("platform", "http://127.0.0.1:7000", "The platform's base address.")
flags.DEFINE_list("daemons", [], "The operators' addresses of daemons, ip:port.")
flags.DEFINE_enum("output", "text", ["text", "json"], "How results are printed.")
flags.DEFINE_string("operator", None, "Who makes the change; the login name by default.")


async def _check(arguments: list[str]) -> int:
    brand = porcelain.check(arguments[0])
    _print({"brand": brand.name, "valid": True}, f"{brand.name}: valid")
    return EXIT_OK


async def _publish(arguments: list[str]) -> int:
    platform = HttpPlatform(FLAGS.platform)
    try:
        result = await porcelain.publish(platform, arguments[0], _operator())
    finally:
        await platform.close()
    return _print_change(result)


async def _switch(arguments: list[str]) -> int:
    platform = HttpPlatform(FLAGS.platform)
    try:
        preset = Preset(arguments[1])
        result = await porcelain.switch(platform, arguments[0], preset, _operator())
    finally:
        await platform.close()
    return _print_change(result)


async def _status(arguments: list[str]) -> int:
    token = os.environ.get("CLOVERHOOK_OPERATOR_TOKEN", "")
    found = await porcelain.statuses(FLAGS.daemons, token)
    lines = [f"{address}  {json.dumps(status)}" for address, status in found.items()]
    _print(found, "\n".join(lines))
    return EXIT_OK if all("error" not in status for status in found.values()) else EXIT_UNKNOWN


async def _events(arguments: list[str]) -> int:
    token = os.environ.get("CLOVERHOOK_OPERATOR_TOKEN", "")
    whole = await run_events(FLAGS.daemons, token, FLAGS.output)
    return EXIT_OK if whole else EXIT_UNKNOWN


COMMANDS: dict[str, tuple[Callable[[list[str]], Awaitable[int]], int]] = {
    "check": (_check, 1),
    "publish": (_publish, 1),
    "switch": (_switch, 2),
    "status": (_status, 0),
    "events": (_events, 0),
}


def _operator() -> str:
    return FLAGS.operator or getpass.getuser()


def _print(document: object, text: str) -> None:
    print(json.dumps(document) if FLAGS.output == "json" else text)


def _print_change(result: porcelain.ChangeResult) -> int:
    document = asdict(result) | {"settlement": result.settlement.value}
    _print(document, f"{result.settlement.value} {result.change_id} {result.reason}".rstrip())
    return EXIT_OF[result.settlement]


def _main(arguments: list[str]) -> int:
    name = arguments[1] if len(arguments) > 1 else ""
    if name not in COMMANDS or len(arguments) - 2 != COMMANDS[name][1]:
        print(f"cloverhook: usage: cloverhook {'|'.join(COMMANDS)} ...", file=sys.stderr)
        return EXIT_USAGE
    try:
        return asyncio.run(COMMANDS[name][0](arguments[2:]))
    except ConfigError as error:
        print(f"cloverhook: not valid:\n{error}", file=sys.stderr)
        return EXIT_REJECTED
    except CloverhookError as error:
        print(f"cloverhook: {error}", file=sys.stderr)
        return EXIT_UNKNOWN


def run() -> None:
    """Run the `cloverhook` program."""
    app.run(_main)


if __name__ == "__main__":
    run()
