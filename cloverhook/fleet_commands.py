"""The commands that query daemons and drain them.

Layer: transport.
"""

from typing import Any

from cloverhook import operator_client
from cloverhook.commands import Command, Context, ExitCode, Output

__all__ = ["FLEET_COMMANDS"]


async def _status(context: Context, arguments: list[str]) -> Output:
    settings = context.settings
    found = await operator_client.fetch_statuses(list(settings.daemons), settings.token())
    lines = [_status_line(address, status) for address, status in found.items()]
    silent = any("error" in status for status in found.values())
    code = ExitCode.NOT_EVERYWHERE if silent else ExitCode.OK
    return Output(found, "\n".join(lines) or "no daemon is given: see --daemons", code)


async def _drain(context: Context, arguments: list[str]) -> Output:
    vm = arguments[0]
    settings = context.settings
    found = await operator_client.fetch_statuses(list(settings.daemons), settings.token())
    addresses = [address for address, status in found.items() if status.get("vm") == vm]
    if not addresses:
        reason = f"{vm}: no daemon with this name answered"
        return Output({"error": reason}, reason, ExitCode.NOT_EVERYWHERE)
    answer = await operator_client.drain(addresses[0], settings.token())
    if "error" in answer:
        reason = f"{vm}: {answer['error']}"
        return Output({"vm": vm, **answer}, reason, ExitCode.UNKNOWN)
    return Output({"vm": vm, **answer}, f"{vm}: draining")


def _status_line(address: str, status: dict[str, Any]) -> str:
    if "error" in status:
        return f"{address}  no answer: {status['error']}"
    brands = ", ".join(
        f"{name} version {item['version']} {item['preset']}"
        for name, item in status["brands"].items()
    )
    marks = [name for name in ("leaving", "behind", "records_lost") if status.get(name)]
    words = (f"offset {status['offset']}", f"age {status['age_ms']} ms", brands, *marks)
    return "  ".join((address, status["vm"], *(word for word in words if word)))


FLEET_COMMANDS = (
    Command(
        "status",
        (),
        "Show every daemon's offset and presets, and the age of its data.",
        "cloverhook status --daemons=10.0.0.1:7001,10.0.0.2:7001",
        _status,
    ),
    Command(
        "drain",
        ("VM",),
        "Begin a planned stop of a VM's daemon, which shuts down gracefully.",
        "cloverhook drain vm-3",
        _drain,
    ),
)
