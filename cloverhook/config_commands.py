"""The commands that check, read and change the configuration.

Layer: transport.
"""

import asyncio
from collections.abc import Mapping
from dataclasses import asdict
from typing import Any

from cloverhook import edits, porcelain
from cloverhook.commands import Command, Context, ExitCode, Output, UsageError
from cloverhook.differences import Difference, flatten_document
from cloverhook.errors import PlatformError
from cloverhook.fleet import Preset
from cloverhook.fold import BrandState
from cloverhook.log_reader import ChangeOutcome
from cloverhook.operator_client import fetch_statuses, wait_applied
from cloverhook.platform_api import VmPhase
from cloverhook.porcelain import ChangeResult, Operator, Settlement
from cloverhook.records import Publish, SwitchPreset

__all__ = ["CONFIG_COMMANDS"]

EXIT_CODES = {
    Settlement.ACCEPTED: ExitCode.OK,
    Settlement.REJECTED: ExitCode.REJECTED,
    Settlement.REFUSED: ExitCode.REJECTED,
    Settlement.UNKNOWN: ExitCode.UNKNOWN,
}


async def _check(context: Context, arguments: list[str]) -> Output:
    brand = porcelain.check(arguments[0])
    return Output({"brand": brand.name, "valid": True}, f"{brand.name}: valid")


async def _publish(context: Context, arguments: list[str]) -> Output:
    document = porcelain.load(arguments[0])
    operator = await _operator(context)
    return await _result_output(
        context, await porcelain.publish(context.platform, document, operator)
    )


async def _switch(context: Context, arguments: list[str]) -> Output:
    brand, name = arguments
    allowed = [preset.value for preset in Preset]
    if name not in allowed:
        raise UsageError(f"preset {name!r}; allowed: {', '.join(allowed)}")
    operator = await _operator(context)
    result = await porcelain.switch(context.platform, brand, Preset(name), operator)
    return await _result_output(context, result)


async def _show(context: Context, arguments: list[str]) -> Output:
    state = await porcelain.read_state(context.platform)
    names = arguments or list(state.brands)
    absent = [name for name in names if name not in state.brands]
    if absent:
        reason = f"{absent[0]}: no such brand in force"
        return Output({"error": reason}, reason, ExitCode.REJECTED)
    shown = {name: _brand_document(state.brands[name]) for name in names}
    text = "\n".join(_brand_text(name, item) for name, item in shown.items())
    return Output(shown, text or "no brand is in force")


async def _diff(context: Context, arguments: list[str]) -> Output:
    document = porcelain.load(arguments[0])
    porcelain.check(arguments[0])
    found = porcelain.diff(await porcelain.read_state(context.platform), document)
    code = ExitCode.REJECTED if found else ExitCode.OK
    return Output(_documents(found), _lines(found) or "nothing differs", code)


async def _settle(context: Context, arguments: list[str]) -> Output:
    return await _result_output(context, await porcelain.settle(context.platform, arguments[0]))


async def _history(context: Context, arguments: list[str]) -> Output:
    outcomes = await porcelain.history(context.platform)
    entries = [_outcome_document(outcome) for outcome in outcomes]
    text = "\n".join("  ".join(str(value) for value in entry.values()) for entry in entries)
    return Output(entries, text or "the log holds no change")


async def _brand_add(context: Context, arguments: list[str]) -> Output:
    operator = await _operator(context)
    document = {"brand": arguments[0], "services": []}
    state = await porcelain.read_state(context.platform)
    if arguments[0] in state.brands:
        reason = f"{arguments[0]}: is in force already"
        return Output({"error": reason}, reason, ExitCode.REJECTED)
    return await _result_output(
        context, await porcelain.publish(context.platform, document, operator)
    )


async def _brand_remove(context: Context, arguments: list[str]) -> Output:
    operator = await _operator(context)
    return await _result_output(
        context, await porcelain.remove(context.platform, arguments[0], operator)
    )


async def _service_add(context: Context, arguments: list[str]) -> Output:
    brand, service, hosts = arguments
    return await _edit(
        context, brand, lambda document: edits.add_service(document, service, hosts.split(","))
    )


async def _service_remove(context: Context, arguments: list[str]) -> Output:
    brand, service = arguments
    return await _edit(context, brand, lambda document: edits.remove_service(document, service))


async def _place_add(context: Context, arguments: list[str]) -> Output:
    brand, service, data_center, endpoints = arguments
    names = ("slots", "connections")
    limits = {name: context.options[name] for name in names if context.options.get(name)}
    return await _edit(
        context,
        brand,
        lambda document: edits.add_place(
            document, service, data_center, endpoints.split(","), limits
        ),
    )


async def _place_remove(context: Context, arguments: list[str]) -> Output:
    brand, service, data_center = arguments
    return await _edit(
        context, brand, lambda document: edits.remove_place(document, service, data_center)
    )


async def _edit(context: Context, brand: str, change: Any) -> Output:
    operator = await _operator(context)
    return await _result_output(
        context, await porcelain.edit(context.platform, brand, operator, change)
    )


async def _operator(context: Context) -> Operator:
    """Return who makes a change, with the newest version of each brand that a daemon reports."""
    settings = context.settings
    known: dict[str, int] = {}
    for status in (await fetch_statuses(list(settings.daemons), settings.token())).values():
        for brand, version in status.get("versions", {}).items():
            known[brand] = max(version, known.get(brand, 0))
    return Operator(settings.operator, known)


async def _result_output(context: Context, result: ChangeResult) -> Output:
    document = asdict(result) | {"settlement": result.settlement.value}
    lines = [f"{result.settlement.value} {result.change_id} {result.reason}".rstrip()]
    if result.winner:
        lines.append(f"rejected in favour of the change: {result.winner}")
    if result.differences:
        lines.append(f"in force -> yours:\n{_lines(result.differences)}")
    if result.settlement is Settlement.UNKNOWN:
        lines.append(f"settle it later: cloverhook settle {result.change_id}")
    code = EXIT_CODES[result.settlement]
    if result.settlement is Settlement.ACCEPTED and context.options.get("wait"):
        following = await _wait_for_daemons(context, result)
        document["following"] = following
        lines.append(f"in force at: {', '.join(following['have']) or 'no daemon that was asked'}")
        lines.extend(f"not at {where}: {why}" for where, why in following["have_not"].items())
        code = ExitCode.NOT_EVERYWHERE if following["have_not"] else code
    return Output(document, "\n".join(lines), code)


async def _wait_for_daemons(context: Context, result: ChangeResult) -> dict[str, Any]:
    """Wait for every daemon to apply a change, and return which daemons have and have not."""
    settings = context.settings
    addresses = list(settings.daemons)
    wait_ms = context.options["wait_ms"]
    try:
        apply_status = await wait_applied(
            addresses, settings.token(), result.brand, result.version, wait_ms
        )
        unqueried = await _unqueried_vms(context)
    except asyncio.CancelledError:
        return {"have": [], "have_not": dict.fromkeys(addresses, "interrupted while waiting")}
    return {
        "have": list(apply_status.applied),
        "have_not": {**apply_status.not_applied, **unqueried},
    }


async def _unqueried_vms(context: Context) -> dict[str, str]:
    """Return the VMs that are live on the platform's list but not among the queried daemons.

    The result is empty when a daemon did not answer, since its VM is not known.  If the platform's
    list can't be read, the result holds the error instead.
    """
    settings = context.settings
    found = await fetch_statuses(list(settings.daemons), settings.token())
    if any("error" in status for status in found.values()):
        return {}
    try:
        listed = await context.platform.list_vms()
    except PlatformError as error:
        return {"the platform's list": str(error)}
    queried = {status["vm"] for status in found.values()}
    reason = "live on the platform's list, but not given in --daemons"
    live = (item.vm for item in listed if item.phase is VmPhase.LIVE)
    return {vm: reason for vm in live if vm not in queried}


def _brand_document(item: BrandState) -> dict[str, Any]:
    return {
        "version": item.version,
        "preset": item.preset.value,
        "change_id": item.change_id,
        "operator": item.operator,
        "document": item.document,
    }


def _brand_text(name: str, item: Mapping[str, Any]) -> str:
    head = f"{name}: version {item['version']}, preset {item['preset']}, by {item['operator']}"
    lines = [f"  {key} = {value}" for key, value in flatten_document(item["document"]).items()]
    return "\n".join((head, *lines))


def _outcome_document(outcome: ChangeOutcome) -> dict[str, Any]:
    change = outcome.change
    match change.action:
        case Publish():
            action = "publish"
        case SwitchPreset(preset):
            action = f"switch to {preset.value}"
        case _:
            action = "remove"
    return {
        "offset": outcome.offset,
        "at_ms": change.at_ms,
        "change_id": change.change_id,
        "operator": change.operator,
        "brand": change.brand,
        "action": action,
        "base_version": change.base_version,
        "verdict": outcome.verdict.value if outcome.verdict else "unknown",
        "reason": outcome.reason,
    }


def _documents(found: tuple[Difference, ...]) -> list[dict[str, Any]]:
    return [asdict(item) for item in found]


def _lines(found: tuple[Difference, ...]) -> str:
    return "\n".join(f"  {item}" for item in found)


CONFIG_COMMANDS = (
    Command(
        "check",
        ("FILE",),
        "Check a configuration file and publish nothing.",
        "cloverhook check saltbush.toml",
        _check,
    ),
    Command(
        "diff",
        ("FILE",),
        "Show the differences between the configuration in force and a file.",
        "cloverhook diff saltbush.toml",
        _diff,
    ),
    Command(
        "publish",
        ("FILE",),
        "Publish a configuration file; with --wait, wait until every daemon has it.",
        "cloverhook publish saltbush.toml --wait",
        _publish,
    ),
    Command(
        "show",
        ("BRAND",),
        "Show the configuration in force, with its version and preset.",
        "cloverhook show saltbush",
        _show,
        optional=1,
    ),
    Command(
        "switch",
        ("BRAND", "PRESET"),
        "Put a preset in force: ordinary, peak or maintenance.",
        "cloverhook switch saltbush peak",
        _switch,
    ),
    Command(
        "settle",
        ("CHANGE_ID",),
        "Show the outcome of a change whose response was lost.",
        "cloverhook settle 0c9d6b0e7e0b4d0b8a3c7d0a5f1e2b3c",
        _settle,
    ),
    Command(
        "history",
        (),
        "Show the changes that the log still holds and the outcome of each.",
        "cloverhook history --output=json",
        _history,
    ),
    Command(
        "brand add",
        ("BRAND",),
        "Add a brand without services.",
        "cloverhook brand add saltbush",
        _brand_add,
    ),
    Command(
        "brand remove",
        ("BRAND",),
        "Remove a brand and all of its services.",
        "cloverhook brand remove saltbush",
        _brand_remove,
    ),
    Command(
        "service add",
        ("BRAND", "SERVICE", "HOSTS"),
        "Add a service with its host names, separated by commas.",
        "cloverhook service add saltbush orders orders.saltbush.example",
        _service_add,
    ),
    Command(
        "service remove",
        ("BRAND", "SERVICE"),
        "Remove a service.",
        "cloverhook service remove saltbush orders",
        _service_remove,
    ),
    Command(
        "place add",
        ("BRAND", "SERVICE", "DATA_CENTER", "ENDPOINTS"),
        "Add a place with its endpoints, ip:port, separated by commas.",
        "cloverhook place add saltbush orders moonah-depot 10.0.0.1:80,10.0.0.2:80 --slots=3",
        _place_add,
    ),
    Command(
        "place remove",
        ("BRAND", "SERVICE", "DATA_CENTER"),
        "Remove a service's places in a data centre.",
        "cloverhook place remove saltbush orders moonah-depot",
        _place_remove,
    ),
)
