"""The types of the operators' commands, their results, exit codes and help.

Layer: transport.  A command's handler takes a `Context` and its arguments and returns an `Output`.
To add a command, write a handler and add a `Command` to one of the tables that `cli` merges.
"""

import json
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from enum import IntEnum
from typing import Any

from cloverhook.errors import CloverhookError
from cloverhook.platform_api import Platform
from cloverhook.tool_settings import ToolSettings

__all__ = ["Command", "Context", "ExitCode", "Output", "UsageError", "help_text"]


class ExitCode(IntEnum):
    """The exit codes of the tool; the help prints their meanings."""

    OK = 0
    REJECTED = 1
    USAGE = 2
    UNKNOWN = 3
    NOT_EVERYWHERE = 4
    UNAVAILABLE = 5
    INTERRUPTED = 130


EXIT_HELP = {
    ExitCode.OK: "done; with diff: nothing differs",
    ExitCode.REJECTED: "not valid, rejected or refused: nothing changed; with diff: they differ",
    ExitCode.USAGE: "the command line or the settings are wrong",
    ExitCode.UNKNOWN: "it is unknown whether a change landed: run settle with its identifier",
    ExitCode.NOT_EVERYWHERE: "done, but some daemon gave no answer or has not followed yet",
    ExitCode.UNAVAILABLE: "the platform gave no answer: nothing was read or changed",
    ExitCode.INTERRUPTED: "interrupted before anything was sent",
}


class UsageError(CloverhookError):
    """An invalid command line."""


@dataclass(frozen=True, slots=True)
class Context:
    """What a handler gets: the platform's client, the tool's settings and the commands' flags."""

    platform: Platform
    settings: ToolSettings
    options: Mapping[str, Any]


@dataclass(frozen=True, slots=True)
class Output:
    """A command's result as a JSON document, as human-readable text and as an exit code.

    With `as_lines`, the document is a list, and each item is printed as JSON on its own line.
    """

    document: Any
    text: str
    code: ExitCode = ExitCode.OK
    as_lines: bool = False

    def to_json(self) -> str:
        """Return the document as JSON text, as it is printed."""
        if self.as_lines:
            return "\n".join(json.dumps(item) for item in self.document)
        return json.dumps(self.document)


Handler = Callable[[Context, list[str]], Awaitable[Output]]


@dataclass(frozen=True, slots=True)
class Command:
    """A command: its name, its arguments, its help and its handler.

    The last `optional` arguments may be omitted.  A last argument that ends with `...` may be
    repeated.
    """

    name: str
    arguments: tuple[str, ...]
    summary: str
    example: str
    handler: Handler
    optional: int = 0

    @property
    def usage(self) -> str:
        """The usage line, with optional arguments in brackets."""
        required = len(self.arguments) - self.optional
        words = [
            word if place < required else f"[{word}]" for place, word in enumerate(self.arguments)
        ]
        return " ".join(("cloverhook", self.name, *words))

    def accepts_count(self, count: int) -> bool:
        """Return whether the command can be called with `count` arguments."""
        repeats = bool(self.arguments) and self.arguments[-1].endswith("...")
        most = count if repeats else len(self.arguments)
        return len(self.arguments) - self.optional <= count <= most


def help_text(commands: Mapping[str, Command], name: str = "") -> str:
    """Return the help of one command, or of the whole tool if `name` is not a command."""
    if name in commands:
        command = commands[name]
        return f"{command.usage}\n\n{command.summary}\n\nExample:\n  {command.example}"
    width = max(len(command.usage) for command in commands.values())
    lines = [f"  {command.usage:{width}}  {command.summary}" for command in commands.values()]
    codes = [f"  {code.value:3}  {meaning}" for code, meaning in EXIT_HELP.items()]
    return "\n".join(
        (
            "Operates a fleet of cloverhook daemons.",
            "",
            "Commands (cloverhook help COMMAND gives an example):",
            *lines,
            "",
            "Exit codes:",
            *codes,
        )
    )
