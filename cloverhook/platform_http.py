"""The client of the platform's HTTP and JSON interface.

Layer: transport.  A call had no effect if the status is 400 to 499 or if the connection could not
be opened.  After any other failure, the call may have had its effect.
"""

from collections.abc import Callable, Mapping
from typing import Any, TypeVar

import aiohttp

from cloverhook.errors import PlatformError, PlatformSilentError
from cloverhook.platform_api import ListedVm, LogSlice, VmPhase

__all__ = ["HttpPlatform"]

CLIENT_ERROR_STATUS = 400
SERVER_ERROR_STATUS = 500

T = TypeVar("T")


class HttpPlatform:
    """An implementation of `Platform` over HTTP and JSON."""

    def __init__(self, base_url: str, timeout_ms: float = 2_000) -> None:
        self._base_url = base_url.rstrip("/")
        self._timeout_ms = timeout_ms
        self._session: aiohttp.ClientSession | None = None

    async def append(self, stream: str, record: Mapping[str, Any]) -> int:
        """Append a record and return its offset."""
        path = f"/v1/streams/{stream}/records"
        return await self._call("POST", path, self._timeout_ms, _offset, json=record)

    async def read(self, stream: str, from_offset: int, wait_ms: float = 0) -> LogSlice:
        """Read records from an offset; if there is none yet, wait up to `wait_ms` for one."""
        path = f"/v1/streams/{stream}/records"
        params = {"from": str(from_offset), "wait_ms": str(int(wait_ms))}
        return await self._call("GET", path, self._timeout_ms + wait_ms, _slice, params=params)

    async def list_vms(self) -> tuple[ListedVm, ...]:
        """Return the platform's list of VMs."""
        return await self._call("GET", "/v1/vms", self._timeout_ms, _vms)

    async def close(self) -> None:
        """Close the connections to the platform."""
        if self._session is not None:
            await self._session.close()

    async def _call(
        self,
        method: str,
        path: str,
        timeout_ms: float,
        decode: Callable[[Any], T],
        **options: Any,
    ) -> T:
        if self._session is None:
            self._session = aiohttp.ClientSession()
        timeout = aiohttp.ClientTimeout(total=timeout_ms / 1000)
        url = self._base_url + path
        try:
            async with self._session.request(method, url, timeout=timeout, **options) as answer:
                if answer.status >= SERVER_ERROR_STATUS:
                    raise PlatformSilentError(f"{method} {path}: status {answer.status}")
                if answer.status >= CLIENT_ERROR_STATUS:
                    raise PlatformError(f"{method} {path}: status {answer.status}")
                return decode(await answer.json())
        except aiohttp.ClientConnectorError as error:
            raise PlatformError(f"{method} {path}: {error}") from error
        except (aiohttp.ClientError, TimeoutError, ValueError, KeyError, TypeError) as error:
            raise PlatformSilentError(f"{method} {path}: {error!r}") from error


def _offset(data: Any) -> int:
    return int(data["offset"])


def _slice(data: Any) -> LogSlice:
    return LogSlice(
        data["first_offset"], data["next_offset"], data["from_offset"], tuple(data["records"])
    )


def _vms(data: Any) -> tuple[ListedVm, ...]:
    return tuple(
        ListedVm(
            item["vm"],
            VmPhase(item["phase"]),
            item["data_center"],
            item["caller_address"],
            item["peer_address"],
        )
        for item in data["vms"]
    )
