"""The command `cloverhook explain`: explains from the logs of gateways how a request ended.

Layer: transport.
"""

import sys
from pathlib import Path

from cloverhook.commands import Command, Context, ExitCode, Output, UsageError
from cloverhook.explain import LogLine, explain_request, read_lines

__all__ = ["EXPLAIN_COMMANDS"]

STANDARD_INPUT = "-"


async def _explain(context: Context, arguments: list[str]) -> Output:
    request_id, source = arguments
    explanation = explain_request(request_id, _lines_of(source))
    code = ExitCode.OK if explanation.lines else ExitCode.REJECTED
    return Output(explanation.to_document(), explanation.to_text(), code)


def _lines_of(source: str) -> list[LogLine]:
    if source == STANDARD_INPUT:
        return read_lines(sys.stdin)
    path = Path(source)
    files = sorted(item for item in path.rglob("*") if item.is_file()) if path.is_dir() else [path]
    lines: list[LogLine] = []
    for file in files:
        try:
            with file.open(errors="replace") as text:
                lines += read_lines(text)
        except OSError as error:
            raise UsageError(f"{file} can't be read: {error}") from error
    return lines


EXPLAIN_COMMANDS = (
    Command(
        "explain",
        ("REQUEST-ID", "LOGS"),
        "Explain a request's outcome from gateway logs: a file, a folder or - (standard input).",
        "cloverhook explain 9c41d07be2a35f68 /var/log/cloverhook",
        _explain,
    ),
)
