"""Runs requests with an idempotency key at most once, even if their caller retries them.

Layer: transport.  A request runs only while its claim holds the key.  If this daemon has the first
request's answer, a retry gets that answer; if the first request is in progress here, the retry
waits for it.  Otherwise the retry gets an error that says what is known: that the first request
has run, or that it is unknown whether it has.
"""

import asyncio
from collections import OrderedDict
from collections.abc import Awaitable, Callable

from cloverhook import headers as h
from cloverhook.claim_log import ClaimLog
from cloverhook.claims import ClaimState, Denied, Granted, key_hash
from cloverhook.errors import ErrorKind, RequestError
from cloverhook.exchange import AnswerCapture, CapturedAnswer, Exchange

__all__ = ["AnswerCache", "AtMostOnceRunner"]

ANSWER_LIMIT_BYTES = 65_536
ENTRY_OVERHEAD_BYTES = 1_024
MAX_KEY_BYTES = 255

Forward = Callable[[Exchange], Awaitable[None]]


class AnswerCache:
    """The latest answers, by claim, up to a total size in bytes."""

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self._stored_bytes = 0
        self._answers: OrderedDict[str, CapturedAnswer] = OrderedDict()

    def get(self, claim_id: str) -> CapturedAnswer | None:
        """Return the answer to a claim's request, or None."""
        return self._answers.get(claim_id)

    def put(self, claim_id: str, answer: CapturedAnswer) -> None:
        """Store an answer; the oldest answers are evicted to stay within the limit."""
        self._answers[claim_id] = answer
        self._stored_bytes += _size_bytes(answer)
        while self._stored_bytes > self._limit_bytes:
            _, oldest = self._answers.popitem(last=False)
            self._stored_bytes -= _size_bytes(oldest)


class AtMostOnceRunner:
    """Runs requests with an idempotency key at most once."""

    def __init__(self, claims: ClaimLog, cache: AnswerCache, clock_ms: Callable[[], float]) -> None:
        self._claims = claims
        self._cache = cache
        self._clock_ms = clock_ms
        self._running: dict[str, asyncio.Event] = {}

    async def run(self, exchange: Exchange, key: bytes, forward: Forward) -> None:
        """Forward a request, or answer it as a retry if an earlier request holds its key.

        Raises `RequestError` if there is no stored answer to a retry, or if the key can't be
        claimed.
        """
        if not key or len(key) > MAX_KEY_BYTES:
            raise RequestError(ErrorKind.BAD_REQUEST, "the idempotency key is empty or too long")
        name = key_hash(exchange.target.brand, exchange.target.service.name, key)
        while True:
            decision = await self._claims.claim(name)
            if isinstance(decision, Granted):
                await self._run_claimed(exchange, name, decision.claim_id, forward)
                return
            if not isinstance(decision, Denied):
                raise RequestError(
                    ErrorKind.REPEAT_UNSETTLED,
                    "records of claims were missed",
                )
            if await self._answer_retry(exchange, decision):
                return

    async def _run_claimed(
        self, exchange: Exchange, name: str, claim_id: str, forward: Forward
    ) -> None:
        exchange.capture = capture = AnswerCapture(ANSWER_LIMIT_BYTES)
        self._running[claim_id] = asyncio.Event()
        try:
            await forward(exchange)
        finally:
            if not exchange.maybe_ran:
                self._claims.release(name, claim_id)
            elif capture.ran:
                self._claims.mark_ran(name, claim_id)
            if capture.answer is not None:
                self._cache.put(claim_id, capture.answer)
            self._running.pop(claim_id).set()

    async def _answer_retry(self, exchange: Exchange, denied: Denied) -> bool:
        """Answer a retry; return False if the key has to be claimed again.

        That is the case if the first request ended here without an answer to replay, for example
        because it did not run after all.
        """
        running = self._running.get(denied.holder_id)
        if running is not None:
            await self._wait(exchange, running)
        answer = self._cache.get(denied.holder_id)
        if answer is not None:
            await self._replay(exchange, answer)
            return True
        if running is not None:
            return False
        if denied.state is ClaimState.RAN:
            raise RequestError(ErrorKind.REPEATED, "a request with this idempotency key has run")
        raise RequestError(
            ErrorKind.REPEAT_UNSETTLED, "a request with this idempotency key may have run"
        )

    async def _wait(self, exchange: Exchange, running: asyncio.Event) -> None:
        remaining_ms = exchange.deadline_ms - self._clock_ms()
        try:
            async with asyncio.timeout(remaining_ms / 1000):
                await running.wait()
        except TimeoutError as error:
            raise RequestError(
                ErrorKind.REPEAT_UNSETTLED,
                "the first request goes on",
            ) from error

    async def _replay(self, exchange: Exchange, answer: CapturedAnswer) -> None:
        own_id = (h.REQUEST_ID, exchange.request_id.encode())
        headers = [own_id if pair[0] == h.REQUEST_ID else pair for pair in answer.headers]
        headers.append((h.REPLAYED, b"1"))
        exchange.answer_started = True
        start = {"type": "http.response.start", "status": answer.status, "headers": headers}
        await exchange.send(start)
        await exchange.send({"type": "http.response.body", "body": answer.body})


def _size_bytes(answer: CapturedAnswer) -> int:
    headers = sum(len(name) + len(value) for name, value in answer.headers)
    return ENTRY_OVERHEAD_BYTES + headers + len(answer.body)
