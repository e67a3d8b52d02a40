"""The operators' command-line tool: parses flags, runs a command, prints its output and exits.

Layer: transport.
"""

import asyncio
import getpass
import json
import sys
from dataclasses import replace

from absl import app, flags

from cloverhook.accounts_command import ACCOUNTS_COMMANDS
from cloverhook.commands import Command, Context, ExitCode, Output, UsageError, help_text
from cloverhook.config_commands import CONFIG_COMMANDS
from cloverhook.errors import CloverhookError, ConfigError, SettingsError
from cloverhook.events_command import EVENTS_COMMANDS
from cloverhook.explain_command import EXPLAIN_COMMANDS
from cloverhook.fleet_commands import FLEET_COMMANDS
from cloverhook.platform_http import HttpPlatform
from cloverhook.tool_settings import ToolSettings

__all__ = ["COMMANDS", "run"]

COMMANDS = {
    command.name: command
    for command in (
        *CONFIG_COMMANDS,
        *FLEET_COMMANDS,
        *ACCOUNTS_COMMANDS,
        *EVENTS_COMMANDS,
        *EXPLAIN_COMMANDS,
    )
}
HELP_FLAGS = frozenset(("--help", "-help", "-h"))
TOOL_FLAGS = (
    "settings",
    "platform",
    "daemons",
    "token_file",
    "operator",
    "output",
    "wait",
    "wait_ms",
    "slots",
    "connections",
    "request",
    "endpoint",
    "change",
    "trace",
)
COMMAND_FLAGS = TOOL_FLAGS[TOOL_FLAGS.index("wait") :]

FLAGS = flags.FLAGS
flags.DEFINE_string("settings", None, "A TOML file with the tool's settings; flags override it.")
flags.DEFINE_string("platform", None, "The platform's base address.")
flags.DEFINE_list("daemons", None, "The operators' addresses of daemons, ip:port.")
flags.DEFINE_string("token_file", None, "The file that holds the operators' token.")
flags.DEFINE_string("operator", None, "Who makes the change; the login name by default.")
flags.DEFINE_enum("output", "text", ["text", "json"], "How results are printed.")
flags.DEFINE_bool("wait", False, "Wait until every daemon has the change.")
flags.DEFINE_integer("wait_ms", 30_000, "How long --wait waits.", lower_bound=0)
flags.DEFINE_integer("slots", None, "place add: how many requests an endpoint runs at once.")
flags.DEFINE_string("request", "", "events: only those of the request with this identifier.")
flags.DEFINE_string("endpoint", "", "events: only those of the backend server at this ip:port.")
flags.DEFINE_string("change", "", "events: only those of the change with this identifier.")
flags.DEFINE_string("trace", "", "events: the file to write them to, for a trace viewer.")
flags.DEFINE_integer("connections", None, "place add: how many connections an endpoint accepts.")


def _find(arguments: list[str]) -> tuple[Command, list[str]]:
    """Return the command that the first words name, and the remaining arguments."""
    for words in (min(2, len(arguments)), 1):
        command = COMMANDS.get(" ".join(arguments[:words]))
        if command is not None and command.accepts_count(len(arguments) - words):
            return command, arguments[words:]
        if command is not None:
            raise UsageError(f"usage: {command.usage}")
    raise UsageError("no such command; cloverhook help lists them")


def _settings() -> ToolSettings:
    """Return the settings of the file, overridden by those given as flags.

    The operator defaults to the login name.
    """
    settings = ToolSettings.from_file(FLAGS.settings) if FLAGS.settings else ToolSettings()
    given = {
        name: FLAGS[name].value
        for name in ("platform", "token_file", "operator")
        if FLAGS[name].value is not None
    }
    if FLAGS.daemons is not None:
        given["daemons"] = tuple(FLAGS.daemons)
    merged = replace(settings, **given)
    return merged if merged.operator else replace(merged, operator=getpass.getuser())


async def _run(command: Command, arguments: list[str]) -> Output:
    settings = _settings()
    platform = HttpPlatform(settings.platform)
    options = {name: FLAGS[name].value for name in COMMAND_FLAGS}
    try:
        return await command.handler(Context(platform, settings, options), arguments)
    finally:
        await platform.close()


def _report_error(code: ExitCode, reason: str, faults: ConfigError | None = None) -> int:
    if FLAGS.output == "json":
        document = {"error": reason}
        if faults is not None:
            document["faults"] = [
                {"key": item.key, "found": item.found, "allowed": item.allowed}
                for item in faults.faults
            ]
        print(json.dumps(document))
    print(f"cloverhook: {reason}", file=sys.stderr)
    return code


def _main(arguments: list[str]) -> int:
    words = arguments[1:]
    if not words or words[0] == "help":
        print(help_text(COMMANDS, " ".join(words[1:])))
        return ExitCode.OK if words else ExitCode.USAGE
    try:
        command, rest = _find(words)
        output = asyncio.run(_run(command, rest))
    except UsageError as error:
        return _report_error(ExitCode.USAGE, str(error))
    except SettingsError as error:
        return _report_error(ExitCode.USAGE, f"invalid settings:\n{error}", error)
    except ConfigError as error:
        return _report_error(ExitCode.REJECTED, f"invalid configuration:\n{error}", error)
    except CloverhookError as error:
        return _report_error(ExitCode.UNAVAILABLE, str(error))
    except KeyboardInterrupt:
        return _report_error(ExitCode.INTERRUPTED, "interrupted: nothing was sent")
    print(output.to_json() if FLAGS.output == "json" else output.text)
    return output.code


def run() -> None:
    """Run the `cloverhook` program.

    The help flags print the commands and the tool's own flags.
    """
    if HELP_FLAGS.intersection(sys.argv[1:]):
        words = [word for word in sys.argv[1:] if not word.startswith("-")]
        print(help_text(COMMANDS, " ".join(words)))
        print("\nFlags:")
        print("\n".join(f"  --{name:12} {FLAGS[name].help}" for name in TOOL_FLAGS))
        sys.exit(ExitCode.OK)
    app.run(_main)


if __name__ == "__main__":
    run()
