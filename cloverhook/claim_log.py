"""Carries claims to the platform's log and its records to the claim book.

Layer: coordination.  One loop appends what the book has gathered and then reads up to it, so
under load a record carries many claims.  An append whose answer was lost is looked for in the log
before it is sent again; a claim that lands twice counts once.
"""

import asyncio
import uuid
from collections.abc import Callable

from absl import logging

from cloverhook.claims import ClaimTable, Decision, Denied, Granted
from cloverhook.errors import ErrorKind, PlatformError, PlatformSilentError, RequestError
from cloverhook.platform_api import Platform

__all__ = ["ClaimLog"]

STREAM = "claims"
FLUSH_TIMEOUT_MS = 2_000
READ_EVERY_MS = 1_000
RETRY_MS = 200
RETRY_AFTER_MS = 2_000


class ClaimLog:
    """This daemon's way to claim idempotency keys."""

    def __init__(
        self,
        platform: Platform,
        book: ClaimTable,
        clock_ms: Callable[[], float],
        wait_ms: float,
        appends_per_s: float,
    ) -> None:
        self._platform = platform
        self._book = book
        self._clock_ms = clock_ms
        self._wait_ms = wait_ms
        self._appends_per_s = appends_per_s
        self._allowance = appends_per_s
        self._allowance_ms = clock_ms()
        self._futures: dict[str, asyncio.Future[Decision]] = {}
        self._work = asyncio.Event()

    async def claim(self, key: str) -> Decision:
        """Claim a key and return the decision.

        Raises `RequestError` of the kind `LOG_UNAVAILABLE` when there is none in time.
        """
        claim_id = uuid.uuid4().hex
        future: asyncio.Future[Decision] = asyncio.get_running_loop().create_future()
        self._futures[claim_id] = future
        asked_ms = self._clock_ms()
        self._book.claim(key, claim_id, asked_ms)
        self._work.set()
        decision: Decision | None = None
        try:
            async with asyncio.timeout(self._wait_ms / 1000):
                decision = await future
        except TimeoutError:
            decision = None
        finally:
            del self._futures[claim_id]
            late = self._clock_ms() - asked_ms > 2 * self._wait_ms
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
        """Give a key back whose request certainly did not run."""
        self._book.release(key, claim_id)
        self._work.set()

    def mark_ran(self, key: str, claim_id: str) -> None:
        """Tell the other daemons, with the next record, that a request has run."""
        self._book.mark_ran(key, claim_id)

    async def run(self) -> None:
        """Append and read until cancelled."""
        while True:
            try:
                await self._round()
            except PlatformError as error:
                logging.warning("claims: the log can't be used: %s.", error)
                await asyncio.sleep(RETRY_MS / 1000)
                continue
            await self._wait_for_work()

    async def flush(self) -> None:
        """Append what still waits, within a bound; for a daemon that stops."""
        try:
            async with asyncio.timeout(FLUSH_TIMEOUT_MS / 1000):
                await self._round()
        except (PlatformError, TimeoutError) as error:
            logging.warning("claims: the last records could not be appended: %s.", error)

    async def _round(self) -> None:
        await self._take_allowance()
        batch = self._book.take_batch(self._clock_ms())
        if batch is not None:
            try:
                await self._platform.append(STREAM, batch.to_document())
            except PlatformSilentError:
                self._book.append_failed(batch)
                await self._read()
                raise
            except PlatformError:
                self._book.append_failed(batch)
                raise
        await self._read()

    async def _read(self) -> None:
        more = True
        while more:
            wait_ms = RETRY_MS if self._book.undecided else 0
            read = await self._platform.read(STREAM, self._book.next_offset, wait_ms)
            now_ms = self._clock_ms()
            if read.next_offset < self._book.next_offset:
                logging.warning("claims: the log has started over.")
                self._book.record_gap(read.first_offset, now_ms)
                continue
            for decision in self._book.fold(read.from_offset, read.records, now_ms):
                self._settle(decision)
            more = self._book.next_offset < read.next_offset

    def _settle(self, decision: Decision) -> None:
        future = self._futures.get(decision.claim_id)
        if future is not None and not future.done():
            future.set_result(decision)
        if isinstance(decision, Denied):
            logging.info("claims: a repeat of %s was held back.", decision.holder_id)

    async def _wait_for_work(self) -> None:
        if self._book.undecided:
            return
        try:
            async with asyncio.timeout(READ_EVERY_MS / 1000):
                await self._work.wait()
        except TimeoutError:
            return
        finally:
            self._work.clear()

    async def _take_allowance(self) -> None:
        """Wait until another append is within this daemon's share of the log."""
        while self._book.has_batch:
            now_ms = self._clock_ms()
            gained = max(0.0, now_ms - self._allowance_ms) / 1000 * self._appends_per_s
            self._allowance = min(self._appends_per_s, self._allowance + gained)
            self._allowance_ms = now_ms
            if self._allowance >= 1:
                self._allowance -= 1
                return
            await asyncio.sleep((1 - self._allowance) / self._appends_per_s)
