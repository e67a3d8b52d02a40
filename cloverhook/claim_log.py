"""Appends claims to the platform's log and feeds the log's records to the claim table.

Layer: coordination.  One loop appends a batch of everything that the table has queued and then
reads the log up to that batch, so under load one record carries many claims.  If the answer to an
append is lost, the log is read before the batch is sent again; a claim that is appended twice
counts once.
"""

import asyncio
import uuid
from collections.abc import Callable, Mapping
from typing import Any

from absl import logging

from cloverhook.claims import ClaimTable, Decision, Denied, Granted
from cloverhook.errors import ErrorKind, PlatformError, PlatformSilentError, RequestError
from cloverhook.platform_api import LogSlice, Platform

__all__ = ["ClaimLog"]

STREAM = "claims"
FLUSH_TIMEOUT_MS = 2_000
READ_INTERVAL_MS = 1_000
RETRY_MS = 200
RETRY_AFTER_MS = 2_000


class ClaimLog:
    """Claims idempotency keys for this daemon."""

    def __init__(
        self,
        platform: Platform,
        table: ClaimTable,
        clock_ms: Callable[[], float],
        wait_ms: float,
        appends_per_s: float,
    ) -> None:
        self._platform = platform
        self._table = table
        self._clock_ms = clock_ms
        self._wait_ms = wait_ms
        self._appends_per_s = appends_per_s
        self._tokens = appends_per_s
        self._last_refill_ms = clock_ms()
        self._futures: dict[str, asyncio.Future[Decision]] = {}
        self._has_work = asyncio.Event()
        self._last_record: Mapping[str, Any] | None = None

    async def claim(self, key: str) -> Decision:
        """Claim a key and return the decision.

        Raises `RequestError` of the kind `LOG_UNAVAILABLE` if no decision is made in time.
        """
        claim_id = uuid.uuid4().hex
        future: asyncio.Future[Decision] = asyncio.get_running_loop().create_future()
        self._futures[claim_id] = future
        started_ms = self._clock_ms()
        self._table.claim(key, claim_id, started_ms)
        self._has_work.set()
        decision: Decision | None = None
        try:
            async with asyncio.timeout(self._wait_ms / 1000):
                decision = await future
        except TimeoutError:
            decision = None
        finally:
            del self._futures[claim_id]
            late = self._clock_ms() - started_ms > 2 * self._wait_ms
            if late or not isinstance(decision, Granted):
                self.release(key, claim_id)
        if late or decision is None:
            raise RequestError(
                ErrorKind.LOG_UNAVAILABLE,
                "the claim on the idempotency key could not be settled in time",
                RETRY_AFTER_MS,
            )
        return decision

    def release(self, key: str, claim_id: str) -> None:
        """Release a key whose request certainly did not run."""
        self._table.release(key, claim_id)
        self._has_work.set()

    def mark_ran(self, key: str, claim_id: str) -> None:
        """Report to the other daemons, with the next record, that a request has run."""
        self._table.mark_ran(key, claim_id)

    async def run(self) -> None:
        """Append batches and read the log until cancelled."""
        while True:
            try:
                await self._append_and_read()
            except PlatformError as error:
                logging.warning("claims: the log could not be appended to or read: %s.", error)
                await asyncio.sleep(RETRY_MS / 1000)
                continue
            await self._wait_for_work()

    async def flush(self) -> None:
        """Append what is still queued, within a time limit; for a daemon that is stopping."""
        try:
            async with asyncio.timeout(FLUSH_TIMEOUT_MS / 1000):
                await self._append_and_read()
        except (PlatformError, TimeoutError) as error:
            logging.warning(
                "claims: the last records could not be appended at shutdown: %s.", error
            )

    async def _append_and_read(self) -> None:
        await self._wait_for_token()
        batch = self._table.take_batch(self._clock_ms())
        if batch is not None:
            try:
                await self._platform.append(STREAM, batch.to_document())
            except PlatformSilentError:
                self._table.append_failed(batch)
                await self._read()
                raise
            except PlatformError:
                self._table.append_failed(batch)
                raise
        await self._read()

    async def _read(self) -> None:
        """Read up to the end of the log.

        The first read begins with the last record that was folded: if the log has another one
        there, it has started over and grown past that offset, and others may have claimed keys in
        the part that was not read.
        """
        verify = self._last_record is not None
        more = True
        while more:
            offset = self._table.next_offset
            wait_ms = RETRY_MS if self._table.undecided and not verify else 0
            read = await self._platform.read(STREAM, offset - 1 if verify else offset, wait_ms)
            now_ms = self._clock_ms()
            if read.next_offset < offset or (verify and self._last_record_differs(read)):
                logging.warning("claims: the log has started over.")
                self._table.record_gap(read.first_offset, now_ms)
                self._last_record, verify = None, False
                continue
            for decision in self._table.fold(read.from_offset, read.records, now_ms):
                self._resolve(decision)
            if read.records:
                self._last_record = read.records[-1]
            more = self._table.next_offset < read.next_offset or (verify and self._table.undecided)
            verify = False

    def _last_record_differs(self, read: LogSlice) -> bool:
        """Return whether the log has a different record at the offset that was folded last."""
        index = self._table.next_offset - 1 - read.from_offset
        return 0 <= index < len(read.records) and read.records[index] != self._last_record

    def _resolve(self, decision: Decision) -> None:
        future = self._futures.get(decision.claim_id)
        if future is not None and not future.done():
            future.set_result(decision)
        if isinstance(decision, Denied):
            logging.info(
                "claims: a request was not run because claim %s holds its key.", decision.holder_id
            )

    async def _wait_for_work(self) -> None:
        if self._table.undecided:
            return
        try:
            async with asyncio.timeout(READ_INTERVAL_MS / 1000):
                await self._has_work.wait()
        except TimeoutError:
            return
        finally:
            self._has_work.clear()

    async def _wait_for_token(self) -> None:
        """Wait until another append is within this daemon's share of the log's append rate."""
        while self._table.has_batch:
            now_ms = self._clock_ms()
            refill = max(0.0, now_ms - self._last_refill_ms) / 1000 * self._appends_per_s
            self._tokens = min(self._appends_per_s, self._tokens + refill)
            self._last_refill_ms = now_ms
            if self._tokens >= 1:
                self._tokens -= 1
                return
            await asyncio.sleep((1 - self._tokens) / self._appends_per_s)
