"""The operators' actions on the configuration: check, publish, switch, settle, history.

Layer: transport.  The command-line tool is a thin layer over these functions, and other programs
may use them in the same way.  A change gets its identifier before the first append.  If the log
does not answer, the identifier is looked up in the log before the change is appended again.
"""

import asyncio
import time
import uuid
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any

from cloverhook.differences import Difference, differences
from cloverhook.errors import ConfigError, Fault, PlatformError, PlatformSilentError
from cloverhook.fleet import Brand, Preset
from cloverhook.fold import State, Verdict
from cloverhook.log_reader import ChangeOutcome, LogReader
from cloverhook.platform_api import Platform
from cloverhook.records import (
    CONFIG_STREAM,
    Action,
    Change,
    Publish,
    RemoveBrand,
    SwitchPreset,
    encode_record,
)
from cloverhook.toml_file import read_toml

__all__ = [
    "ChangeResult",
    "Operator",
    "Settlement",
    "check",
    "diff",
    "edit",
    "history",
    "load",
    "publish",
    "read_state",
    "remove",
    "settle",
    "switch",
]

APPEND_ATTEMPTS = 3
SEARCH_ATTEMPTS = 3
SEARCH_BACKOFF_MS = 200


class Settlement(Enum):
    """The outcome of a change.

    A rejected change is in the log but has no effect; a refused change was not appended to the log.
    """

    ACCEPTED = "accepted"
    REJECTED = "rejected"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class ChangeResult:
    """The outcome of a change, with its identifier and the reason.

    `version` is the brand's version that an accepted change created.  If a change was rejected in
    favour of another, `winner` describes the other one, and `differences` lists how what is in
    force differs from the rejected change.
    """

    settlement: Settlement
    change_id: str
    reason: str = ""
    brand: str = ""
    version: int = 0
    winner: str = ""
    differences: tuple[Difference, ...] = ()


@dataclass(frozen=True, slots=True)
class Operator:
    """The author of changes, and the newest version of each brand that is known to be in force.

    The versions are those that daemons report.  They protect against a log that has lost records: a
    change that is based on an older version is not sent.
    """

    name: str
    known_versions: Mapping[str, int]


def load(path: str) -> dict[str, Any]:
    """Return the document of a TOML file.  Raises `ConfigError` if it can't be read."""
    return read_toml(path, ConfigError)


def check(path: str) -> Brand:
    """Return the brand that a configuration file describes.

    Raises `ConfigError` with every fault of the file.
    """
    return Brand.from_document(load(path))


def diff(state: State, document: Mapping[str, Any]) -> tuple[Difference, ...]:
    """Return the differences between what is in force for a document's brand and the document."""
    current = state.brands.get(document.get("brand", ""))
    return differences(current.document if current else {}, document)


async def read_state(platform: Platform) -> State:
    """Return the state that results from the log's records.  Raises `PlatformError`."""
    reader = LogReader(platform)
    await reader.read_to_end()
    return reader.state


async def history(platform: Platform) -> tuple[ChangeOutcome, ...]:
    """Return the changes that the log still has, with their outcomes."""
    reader = LogReader(platform)
    await reader.read_to_end()
    return reader.change_outcomes()


async def publish(
    platform: Platform, document: Mapping[str, Any], operator: Operator
) -> ChangeResult:
    """Publish a brand's document.  Raises `ConfigError`, before sending, if it is invalid."""
    brand = Brand.from_document(document)
    return await _change(platform, brand.name, operator, lambda state: Publish(document))


async def switch(
    platform: Platform, brand: str, preset: Preset, operator: Operator
) -> ChangeResult:
    """Put a preset in force for a brand."""
    return await _change(platform, brand, operator, lambda state: SwitchPreset(preset))


async def remove(platform: Platform, brand: str, operator: Operator) -> ChangeResult:
    """Remove a brand."""
    return await _change(platform, brand, operator, lambda state: RemoveBrand())


async def edit(
    platform: Platform,
    brand: str,
    operator: Operator,
    change: Callable[[Mapping[str, Any]], Mapping[str, Any]],
) -> ChangeResult:
    """Edit the document in force for a brand and publish it, based on the version that was read.

    Raises `ConfigError`, before anything is sent, if the brand is not in force or the edited
    document is invalid.
    """

    def publication(state: State) -> Publish:
        if brand not in state.brands:
            raise ConfigError((Fault("brand", repr(brand), "a brand in force"),))
        document = change(state.brands[brand].document)
        Brand.from_document(document)
        return Publish(document)

    return await _change(platform, brand, operator, publication)


async def settle(platform: Platform, change_id: str) -> ChangeResult:
    """Return the outcome of a change whose answer was lost."""
    reader = LogReader(platform)
    try:
        return await _find_result(reader, change_id)
    except PlatformError as error:
        return ChangeResult(Settlement.UNKNOWN, change_id, str(error))


async def _change(
    platform: Platform, brand: str, operator: Operator, action: Callable[[State], Action]
) -> ChangeResult:
    change_id = uuid.uuid4().hex
    reader = LogReader(platform)
    try:
        await reader.read_to_end()
    except PlatformError as error:
        return ChangeResult(Settlement.REFUSED, change_id, str(error))
    version = reader.state.version_of(brand)
    if version < operator.known_versions.get(brand, 0):
        reason = "the log has lost records: daemons have a newer version; try again later"
        return ChangeResult(Settlement.REFUSED, change_id, reason)
    chosen = action(reader.state)
    change = Change(change_id, brand, version, operator.name, chosen, int(time.time() * 1000))
    try:
        return await _append(platform, reader, change)
    except asyncio.CancelledError:
        reason = "interrupted after the change was sent"
        return ChangeResult(Settlement.UNKNOWN, change_id, reason, brand)


async def _append(platform: Platform, reader: LogReader, change: Change) -> ChangeResult:
    """Append a change and search the log for it, at most `APPEND_ATTEMPTS` times."""
    for attempt in range(APPEND_ATTEMPTS):
        try:
            await platform.append(CONFIG_STREAM, encode_record(change))
        except PlatformSilentError:
            pass
        except PlatformError as error:
            if attempt == 0:
                return ChangeResult(Settlement.REFUSED, change.change_id, str(error), change.brand)
        try:
            result = await _find_result(reader, change.change_id)
        except PlatformError as error:
            return ChangeResult(Settlement.UNKNOWN, change.change_id, str(error), change.brand)
        if result.settlement is not Settlement.UNKNOWN:
            break
    return result


async def _find_result(reader: LogReader, change_id: str) -> ChangeResult:
    """Search the log for a change, a few times.  Raises `PlatformError` if the last read fails."""
    for attempt in range(SEARCH_ATTEMPTS):
        await asyncio.sleep(SEARCH_BACKOFF_MS * attempt / 1000)
        try:
            await reader.read_to_end()
        except PlatformError:
            if attempt == SEARCH_ATTEMPTS - 1:
                raise
            continue
        found = _result(reader, change_id)
        if found is not None:
            return found
    return ChangeResult(Settlement.UNKNOWN, change_id, "the log does not show the change")


def _result(reader: LogReader, change_id: str) -> ChangeResult | None:
    accepted = reader.state.find_accepted(change_id)
    if accepted is not None:
        brand, change = accepted
        return ChangeResult(Settlement.ACCEPTED, change_id, "", brand, change.version)
    outcomes = reader.change_outcomes(change_id)
    if not outcomes:
        return None
    outcome = outcomes[0]
    brand = outcome.change.brand
    if outcome.verdict is None:
        return ChangeResult(Settlement.UNKNOWN, change_id, outcome.reason, brand)
    if outcome.verdict is Verdict.ACCEPTED:
        version = outcome.change.base_version + 1
        return ChangeResult(Settlement.ACCEPTED, change_id, "", brand, version)
    return ChangeResult(
        Settlement.REJECTED,
        change_id,
        outcome.reason,
        brand,
        winner=_describe_winner(outcome),
        differences=_lost_differences(reader.state, outcome.change),
    )


def _describe_winner(outcome: ChangeOutcome) -> str:
    winner = outcome.winner
    if winner is None:
        return ""
    return f"{winner.change_id} by {winner.operator} ({winner.action}), version {winner.version}"


def _lost_differences(state: State, change: Change) -> tuple[Difference, ...]:
    """Return the differences between what is in force and what a rejected change would set."""
    current = state.brands.get(change.brand)
    if current is None:
        return ()
    match change.action:
        case Publish(document):
            return differences(current.document, document)
        case SwitchPreset(preset) if preset is not current.preset:
            return (Difference("preset", current.preset.value, preset.value),)
        case _:
            return ()
