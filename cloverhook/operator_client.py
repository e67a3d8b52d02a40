"""Calls the operators' listeners of daemons: status, drain, and waiting for a version.

Layer: transport.
"""

import asyncio
import time
from dataclasses import dataclass
from typing import Any

import aiohttp

__all__ = ["ApplyStatus", "drain", "fetch_statuses", "wait_applied"]

CALL_TIMEOUT_MS = 2_000
POLL_INTERVAL_MS = 100

Status = dict[str, Any]


@dataclass(frozen=True, slots=True)
class ApplyStatus:
    """Which daemons have applied a change, by their operators' addresses.

    `not_applied` gives the reason for each of the others.
    """

    applied: tuple[str, ...]
    not_applied: dict[str, str]


async def fetch_statuses(addresses: list[str], token: str) -> dict[str, Status]:
    """Return the status of each daemon by its operators' address.

    The status of a daemon that does not answer holds only an `error`.
    """
    async with _session(token) as session:
        found = await asyncio.gather(*(_status(session, address) for address in addresses))
    return dict(zip(addresses, found, strict=True))


async def drain(address: str, token: str) -> Status:
    """Start a planned shutdown of a daemon; without an answer, the result holds an `error`."""
    async with _session(token) as session:
        return await _call(session, "POST", f"http://{address}/v1/drain")


async def wait_applied(
    addresses: list[str], token: str, brand: str, version: int, wait_ms: float
) -> ApplyStatus:
    """Wait until every daemon has applied a version of a brand, at most `wait_ms`."""
    deadline = time.monotonic() + wait_ms / 1000
    while True:
        found = await fetch_statuses(addresses, token)
        reasons = {
            address: _reason_not_applied(status, brand, version)
            for address, status in found.items()
        }
        not_applied = {address: why for address, why in reasons.items() if why}
        if not not_applied or time.monotonic() >= deadline:
            applied = tuple(address for address in addresses if address not in not_applied)
            return ApplyStatus(applied, not_applied)
        await asyncio.sleep(POLL_INTERVAL_MS / 1000)


def _reason_not_applied(status: Status, brand: str, version: int) -> str:
    if "error" in status:
        return status["error"]
    known = status["versions"].get(brand, 0)
    return "" if known >= version else f"{status['vm']} has version {known}"


def _session(token: str) -> aiohttp.ClientSession:
    timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_MS / 1000)
    return aiohttp.ClientSession(timeout=timeout, headers={"Authorization": f"Bearer {token}"})


async def _status(session: aiohttp.ClientSession, address: str) -> Status:
    return await _call(session, "GET", f"http://{address}/v1/status")


async def _call(session: aiohttp.ClientSession, method: str, url: str) -> Status:
    try:
        async with session.request(method, url) as answer:
            data = await answer.json()
            if answer.status >= 400:
                return {"error": f"status {answer.status}"}
            return data
    except (aiohttp.ClientError, TimeoutError, ValueError) as error:
        return {"error": repr(error)}
