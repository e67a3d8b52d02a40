"""What operators do, as functions: check, publish, switch, status, events, drain.

Layer: transport.  The command-line tool is a thin layer over this module, and other programs may
use it in the same way.  A function takes a `Platform` or the operators' addresses of daemons.
"""

import tomllib
import uuid
from dataclasses import dataclass
from enum import Enum
from pathlib import Path
from typing import Any

import aiohttp

from cloverhook.errors import ConfigError, Fault, MessageError, PlatformError, PlatformSilentError
from cloverhook.fleet import Brand, Preset
from cloverhook.fold import State, Verdict, fold
from cloverhook.platform_api import Platform
from cloverhook.records import (
    CONFIG_STREAM,
    Action,
    Change,
    Publish,
    SwitchPreset,
    decode_record,
    encode_record,
)

__all__ = ["ChangeResult", "Settlement", "check", "publish", "read_state", "statuses", "switch"]

CALL_TIMEOUT_MS = 2_000


class Settlement(Enum):
    """What became of a change."""

    ACCEPTED = "accepted"
    REJECTED = "rejected"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class ChangeResult:
    """What became of a change, with its identifier and the reason."""

    settlement: Settlement
    change_id: str
    reason: str = ""


def check(path: str) -> Brand:
    """Return the brand that a configuration file describes.

    Raises `ConfigError` with every fault of the file.
    """
    return Brand.from_document(_load(path))


async def read_state(platform: Platform) -> State:
    """Return the state that the log's records fold to.  Raises `PlatformError`."""
    state = State()
    while True:
        read = await platform.read(CONFIG_STREAM, state.next_offset)
        for offset, data in enumerate(read.records, start=read.from_offset):
            try:
                state = fold(state, offset, decode_record(data)).state
            except MessageError:
                continue
        if not read.records or state.next_offset >= read.next_offset:
            return state


async def publish(platform: Platform, path: str, operator: str) -> ChangeResult:
    """Publish a configuration file.  Raises `ConfigError` before anything is sent."""
    document = _load(path)
    brand = Brand.from_document(document)
    return await _change(platform, brand.name, operator, Publish(document))


async def switch(platform: Platform, brand: str, preset: Preset, operator: str) -> ChangeResult:
    """Put a preset in force for a brand."""
    return await _change(platform, brand, operator, SwitchPreset(preset))


async def statuses(addresses: list[str], token: str) -> dict[str, dict[str, Any]]:
    """Return the status of each daemon by its operators' address.

    The status of a daemon that gives no answer holds an `error`.
    """
    found: dict[str, dict[str, Any]] = {}
    timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_MS / 1000)
    headers = {"Authorization": f"Bearer {token}"}
    async with aiohttp.ClientSession(timeout=timeout, headers=headers) as session:
        for address in addresses:
            try:
                async with session.get(f"http://{address}/v1/status") as answer:
                    found[address] = await answer.json()
            except (aiohttp.ClientError, TimeoutError) as error:
                found[address] = {"error": repr(error)}
    return found


async def _change(platform: Platform, brand: str, operator: str, action: Action) -> ChangeResult:
    change_id = uuid.uuid4().hex
    try:
        state = await read_state(platform)
    except PlatformError as error:
        return ChangeResult(Settlement.REFUSED, change_id, str(error))
    change = Change(change_id, brand, state.version_of(brand), operator, action)
    try:
        await platform.append(CONFIG_STREAM, encode_record(change))
    except PlatformSilentError as error:
        return ChangeResult(Settlement.UNKNOWN, change_id, str(error))
    except PlatformError as error:
        return ChangeResult(Settlement.REFUSED, change_id, str(error))
    return await _settle(platform, state, change)


async def _settle(platform: Platform, state: State, change: Change) -> ChangeResult:
    try:
        read = await platform.read(CONFIG_STREAM, state.next_offset)
    except PlatformError as error:
        return ChangeResult(Settlement.UNKNOWN, change.change_id, str(error))
    for offset, data in enumerate(read.records, start=read.from_offset):
        result = fold(state, offset, decode_record(data))
        state = result.state
        if data.get("change_id") == change.change_id:
            accepted = result.verdict is Verdict.ACCEPTED
            settlement = Settlement.ACCEPTED if accepted else Settlement.REJECTED
            return ChangeResult(settlement, change.change_id, result.reason)
    return ChangeResult(Settlement.UNKNOWN, change.change_id, "the log does not show the change")


def _load(path: str) -> dict[str, Any]:
    try:
        return tomllib.loads(Path(path).read_text())
    except (OSError, tomllib.TOMLDecodeError) as error:
        raise ConfigError((Fault(path, str(error), "a readable TOML file"),)) from error
