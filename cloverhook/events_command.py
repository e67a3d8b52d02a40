"""The command `cloverhook events`: the time line of all daemons, filtered and merged.

Layer: transport.  With `--output=json` it prints one JSON object per line.  With `--trace=FILE` it
writes a file for a browser's trace viewer and reports the number of events.
"""

import json
from pathlib import Path

from cloverhook.commands import Command, Context, ExitCode, Output
from cloverhook.event_reader import EventFilter, FoundEvents, read_events
from cloverhook.event_view import to_text, to_trace

__all__ = ["EVENTS_COMMANDS"]


async def _events(context: Context, arguments: list[str]) -> Output:
    settings, options = context.settings, context.options
    wanted = EventFilter(options["request"], options["endpoint"], options["change"])
    found = await read_events(settings.daemons, settings.token(), wanted)
    code = ExitCode.NOT_EVERYWHERE if found.missing else ExitCode.OK
    if options["trace"]:
        return _write_trace(found, options["trace"], code)
    missing = [{"address": key, "missing": reason} for key, reason in found.missing.items()]
    document = [event.to_document() for event in found.events]
    text = "\n".join(
        [
            to_text(found.events),
            *(f"no events from {x['address']}: {x['missing']}" for x in missing),
        ]
    )
    return Output([*document, *missing], text.strip("\n"), code, as_lines=True)


def _write_trace(found: FoundEvents, path: str, code: ExitCode) -> Output:
    Path(path).write_text(json.dumps(to_trace(found.events)))
    document = {"trace": path, "events": len(found.events), "missing": dict(found.missing)}
    return Output(document, f"{len(found.events)} events written to {path}", code)


EVENTS_COMMANDS = (
    Command(
        "events",
        (),
        "Show the time line of all daemons in causal order; filter it by flags.",
        "cloverhook events --request=visit-1 --daemons=10.0.0.1:7001,10.0.0.2:7001",
        _events,
    ),
)
