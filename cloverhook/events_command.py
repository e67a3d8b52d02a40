"""The command `cloverhook events`: the time line of all daemons, filtered and merged.

Layer: transport.  With `--output=json` it prints one JSON object on a line; with `--trace=FILE` it
writes a trace file for a browser's trace viewer instead of printing.
"""

import json
import sys
from pathlib import Path

from absl import flags

from cloverhook.event_reader import EventFilter, read_events
from cloverhook.event_view import to_json_lines, to_text, to_trace

__all__ = ["run_events"]

FLAGS = flags.FLAGS
flags.DEFINE_string("request", "", "Show the events of the request with this identifier.")
flags.DEFINE_string("endpoint", "", "Show the events of the backend server at this ip:port.")
flags.DEFINE_string("change", "", "Show the events of the change with this identifier.")
flags.DEFINE_string("trace", "", "Write the events to this file, for a trace viewer.")


async def run_events(addresses: list[str], token: str, output: str) -> bool:
    """Print the time line; return False when a daemon's part of it is missing."""
    wanted = EventFilter(FLAGS.request, FLAGS.endpoint, FLAGS.change)
    found = await read_events(addresses, token, wanted)
    if FLAGS.trace:
        Path(FLAGS.trace).write_text(json.dumps(to_trace(found.events)))
        print(f"{len(found.events)} events written to {FLAGS.trace}")
    elif found.events:
        print(to_json_lines(found.events) if output == "json" else to_text(found.events))
    for address, reason in found.missing.items():
        print(f"cloverhook: no events of {address}: {reason}", file=sys.stderr)
    return not found.missing
