"""Reads the time lines of daemons from their operators' listeners, page by page.

Layer: transport.
"""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass, field

import aiohttp

from cloverhook.event_view import merge_events
from cloverhook.timeline import TimeLineEvent

__all__ = ["EventFilter", "FoundEvents", "read_events"]

CALL_TIMEOUT_MS = 5_000


@dataclass(frozen=True, slots=True)
class EventFilter:
    """Selects events; an empty field matches all."""

    request_id: str = ""
    address: str = ""
    change_id: str = ""

    def to_query(self) -> dict[str, str]:
        """Return the filter as the query parameters of a URL."""
        query = {
            "request": self.request_id,
            "endpoint": self.address,
            "change": self.change_id,
        }
        return {key: value for key, value in query.items() if value}


ALL_EVENTS = EventFilter()


@dataclass(frozen=True, slots=True)
class FoundEvents:
    """Events in causal order, and the daemons whose events are missing, each with the reason."""

    events: tuple[TimeLineEvent, ...]
    missing: dict[str, str] = field(default_factory=dict)


async def read_events(
    addresses: Sequence[str], token: str, wanted: EventFilter = ALL_EVENTS
) -> FoundEvents:
    """Return the merged time line of the daemons at these operators' addresses.

    It ends with the newest event that each daemon had at the first request.  A daemon that gives no
    usable answer is listed in `missing`; no exception is raised for it.
    """
    timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_MS / 1000)
    headers = {"Authorization": f"Bearer {token}"}
    events: list[TimeLineEvent] = []
    missing: dict[str, str] = {}
    async with aiohttp.ClientSession(timeout=timeout, headers=headers) as session:
        parts = await asyncio.gather(
            *(_read_all(session, address, wanted) for address in addresses),
            return_exceptions=True,
        )
    for address, part in zip(addresses, parts, strict=True):
        if isinstance(part, (aiohttp.ClientError, TimeoutError, KeyError, TypeError, ValueError)):
            missing[address] = str(part) or type(part).__name__
        elif isinstance(part, BaseException):
            raise part
        else:
            events.extend(part)
    return FoundEvents(tuple(merge_events(events)), missing)


async def _read_all(
    session: aiohttp.ClientSession, address: str, wanted: EventFilter
) -> list[TimeLineEvent]:
    events: list[TimeLineEvent] = []
    after = 0
    last: int | None = None
    while last is None or after < last:
        query = wanted.to_query() | {"after": str(after)}
        async with session.get(f"http://{address}/v1/events", params=query) as answer:
            answer.raise_for_status()
            page = await answer.json()
        events.extend(TimeLineEvent.from_document(item) for item in page["events"])
        after = page["after"]
        last = page["last"] if last is None else last
    return events
