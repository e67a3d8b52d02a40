"""Requests with an idempotency key run once, also when their caller repeats them.

Layer: transport.  A request runs only while its claim holds the key.  A repeat gets the first
request's answer where this daemon has it, waits for it where it is under way here, and else is told
what is known: that the first request ran, or that nobody can tell.
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
ENTRY_BYTES = 1_024
MAX_KEY_BYTES = 255

Forward = Callable[[Exchange], Awaitable[None]]


class AnswerCache:
    """Answers by claim, the latest within a number of bytes."""

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self._held_bytes = 0
        self._answers: OrderedDict[str, CapturedAnswer] = OrderedDict()

    def get(self, claim_id: str) -> CapturedAnswer | None:
        """Return the answer to a claim's request, or None."""
        return self._answers.get(claim_id)

    def put(self, claim_id: str, answer: CapturedAnswer) -> None:
        """Keep an answer; the oldest make room for it."""
        self._answers[claim_id] = answer
        self._held_bytes += _weight(answer)
        while self._held_bytes > self._limit_bytes:
            _, oldest = self._answers.popitem(last=False)
            self._held_bytes -= _weight(oldest)


class AtMostOnceRunner:
    """Runs keyed requests at most once."""

    def __init__(self, claims: ClaimLog, store: AnswerCache, clock_ms: Callable[[], float]) -> None:
        self._claims = claims
        self._store = store
        self._clock_ms = clock_ms
        self._running: dict[str, asyncio.Event] = {}

    async def run(self, exchange: Exchange, key: bytes, forward: Forward) -> None:
        """Forward a request unless an earlier one holds its key, and answer it else.

        Raises `RequestError` with the answer to a repeat, or when the key can't be claimed.
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
                raise RequestError(ErrorKind.REPEAT_UNSETTLED, "records of claims were missed")
            if await self._answer_repeat(exchange, decision):
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
                self._store.put(claim_id, capture.answer)
            self._running.pop(claim_id).set()

    async def _answer_repeat(self, exchange: Exchange, denied: Denied) -> bool:
        """Answer a repeat; return False when the first request did not run after all."""
        running = self._running.get(denied.holder_id)
        if running is not None:
            await self._wait(exchange, running)
        answer = self._store.get(denied.holder_id)
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
            raise RequestError(ErrorKind.REPEAT_UNSETTLED, "the first request goes on") from error

    async def _replay(self, exchange: Exchange, answer: CapturedAnswer) -> None:
        own = (h.REQUEST_ID, exchange.request_id.encode())
        headers = [own if pair[0] == h.REQUEST_ID else pair for pair in answer.headers]
        headers.append((h.REPLAYED, b"1"))
        exchange.answer_started = True
        start = {"type": "http.response.start", "status": answer.status, "headers": headers}
        await exchange.send(start)
        await exchange.send({"type": "http.response.body", "body": answer.body})


def _weight(answer: CapturedAnswer) -> int:
    headers = sum(len(name) + len(value) for name, value in answer.headers)
    return ENTRY_BYTES + headers + len(answer.body)
