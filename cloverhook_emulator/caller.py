"""A caller: fetches addresses from a daemon, keeps them for their lifetime, and sends requests.

It retries a request only as an ordinary caller would: at the next address when no byte of the
request was sent, after the delay given by a "not run" answer, and after a request that got no
complete answer when the request is a read or carries an idempotency key.  A write without a key is
never retried when it may have run.
"""

import asyncio
import json
import random
import time
import uuid
from collections.abc import Callable
from dataclasses import dataclass

from cloverhook_emulator.http_client import CallError, ClientPool, HttpAnswer
from cloverhook_emulator.run_record import ToldRecord

__all__ = ["Call", "Caller", "now_ms"]

ADDRESSES_PATH = "/.well-known/cloverhook/addresses"
ADDRESSES_TIMEOUT_S = 2
NOT_RUN = "not-run"
MAX_RETRY_DELAY_S = 2.0


def now_ms() -> float:
    """Return the wall-clock time in milliseconds."""
    return time.time() * 1000


@dataclass(frozen=True, slots=True)
class Call:
    """One logical call, which may take several requests.

    `intended_ms` is the wall-clock time at which the call is due.  With `keyed`, its requests carry
    an idempotency key.
    """

    method: str
    path: str
    intended_ms: float
    timeout_ms: int
    keyed: bool = False

    @property
    def is_read(self) -> bool:
        """Whether the call is a read."""
        return self.method == "GET"

    @property
    def retryable(self) -> bool:
        """Whether a retry is safe even though the call may have run."""
        return self.is_read or self.keyed


class Caller:
    """One caller of a service.

    `seed_addresses` are the daemons from which it may first fetch addresses.  A call goes to the
    first address of the fetched list and its retries to the following ones; with `spread`, each
    request goes to a random address of the list.  `min_lifetime_ms` keeps a list for longer than
    its lifetime.  `on_record` receives the record of each request.
    """

    def __init__(
        self,
        host: str,
        brand: str,
        seed_addresses: list[str],
        rng: random.Random,
        on_record: Callable[[ToldRecord], None],
        max_retries: int = 2,
        min_lifetime_ms: float = 0.0,
        spread: bool = False,
    ) -> None:
        self._host = host
        self._brand = brand
        self._seed_addresses = list(seed_addresses)
        self._random = rng
        self._on_record = on_record
        self._max_retries = max_retries
        self._min_lifetime_ms = min_lifetime_ms
        self._spread = spread
        self._addresses: list[str] = []
        self._addresses_expire_ms = 0.0
        self._refresh_task: asyncio.Task[None] | None = None
        self._pool = ClientPool()

    async def call(self, call: Call) -> ToldRecord:
        """Make a call, with retries, and return the record of its last request."""
        key = uuid.uuid4().hex if call.keyed else ""
        for attempt in range(self._max_retries + 1):
            record, wait_s = await self._send_request(call, key, attempt)
            self._on_record(record)
            if wait_s is None or attempt == self._max_retries:
                return record
            if now_ms() + wait_s * 1000 > call.intended_ms + call.timeout_ms:
                return record
            await asyncio.sleep(wait_s)
        raise AssertionError("a call ends in its last attempt")

    def close(self) -> None:
        """Close all connections."""
        self._pool.close()

    async def _send_request(
        self, call: Call, key: str, attempt: int
    ) -> tuple[ToldRecord, float | None]:
        request_id = uuid.uuid4().hex
        address = ""
        try:
            address = await self._address(attempt)
            answer = await self._pool.call(
                address, self._request(call, request_id, key), call.timeout_ms / 1000 + 1
            )
        except CallError as error:
            wait_s = 0.0 if not error.sent or call.retryable else None
            self._addresses_expire_ms = 0.0
            record = self._record(call, request_id, key, address, None, error)
            return record, wait_s
        record = self._record(call, request_id, key, address, answer, None)
        return record, self._retry_delay_s(answer)

    def _retry_delay_s(self, answer: HttpAnswer) -> float | None:
        if answer.status != 503 or answer.header_text(b"cloverhook-outcome") != NOT_RUN:
            return None
        seconds = answer.header_text(b"retry-after")
        base_s = float(seconds) if seconds.isdigit() else 1.0
        return min(MAX_RETRY_DELAY_S, base_s * self._random.uniform(1.0, 1.25))

    def _record(
        self,
        call: Call,
        request_id: str,
        key: str,
        address: str,
        answer: HttpAnswer | None,
        error: CallError | None,
    ) -> ToldRecord:
        found = answer or HttpAnswer()
        return ToldRecord(
            request_id,
            key,
            call.method,
            self._brand,
            address,
            call.intended_ms,
            now_ms() - call.intended_ms,
            found.status,
            found.header_text(b"cloverhook-outcome"),
            found.body.decode("latin-1") if found.status == 200 else "",
            found.header_text(b"emulator-brand"),
            float(found.headers.get(b"emulator-work-ms", b"0")),
            str(error) if error is not None else found.header_text(b"cloverhook-error"),
            error is None or error.sent,
            call.path,
        )

    def _request(self, call: Call, request_id: str, key: str) -> bytes:
        lines = [
            f"{call.method} {call.path} HTTP/1.1",
            f"host: {self._host}",
            f"x-request-id: {request_id}",
            f"cloverhook-timeout-ms: {call.timeout_ms}",
        ]
        if key:
            lines.append(f"idempotency-key: {key}")
        body = "" if call.is_read else json.dumps({"order": request_id})
        if body:
            lines.append(f"content-length: {len(body)}")
        return ("\r\n".join(lines) + "\r\n\r\n" + body).encode()

    async def _address(self, attempt: int) -> str:
        if now_ms() >= self._addresses_expire_ms or not self._addresses:
            await self._refresh()
        if not self._addresses:
            raise CallError("no daemon returned addresses", sent=False)
        if self._spread:
            return self._random.choice(self._addresses)
        return self._addresses[attempt % len(self._addresses)]

    async def _refresh(self) -> None:
        if self._refresh_task is None or self._refresh_task.done():
            self._refresh_task = asyncio.create_task(self._fetch_addresses())
        await asyncio.shield(self._refresh_task)

    async def _fetch_addresses(self) -> None:
        candidates = [
            *self._addresses,
            *self._random.sample(self._seed_addresses, len(self._seed_addresses)),
        ]
        request = f"GET {ADDRESSES_PATH} HTTP/1.1\r\nhost: {self._host}\r\n\r\n".encode()
        for address in candidates:
            try:
                answer = await self._pool.call(address, request, ADDRESSES_TIMEOUT_S)
            except CallError:
                continue
            if answer.status == 200:
                self._store_addresses(json.loads(answer.body))
                return

    def _store_addresses(self, document: dict) -> None:
        self._addresses = document["addresses"]
        lifetime_ms = max(document["lifetime_ms"], self._min_lifetime_ms)
        self._addresses_expire_ms = now_ms() + lifetime_ms
