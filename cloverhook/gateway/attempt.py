"""One attempt of a request at one backend server.

Layer: transport.  An attempt ends in one of the ways of `Outcome`; only `NOT_SENT`, `DECLINED`,
`WITHHELD` and `REJECTED` say for certain that the request did not run there.

A request that must not be sent twice asks first: over the connection that it is about to use, it
asks the endpoint for its load, and goes elsewhere if that has turned slow since the last figure or
does not answer.  Once sent there would be no way back.
"""

import asyncio
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, replace
from enum import Enum

from cloverhook.clock import monotonic_ms
from cloverhook.errors import UpstreamError
from cloverhook.gateway.backend_pool import BackendPool
from cloverhook.gateway.backend_server import BackendServer
from cloverhook.gateway.call_headers import (
    CallHeaders,
    end_to_end_headers,
    find,
    parse_load,
    parse_rate_limit,
)
from cloverhook.gateway.calls import CallerAnswer, CallerRequest
from cloverhook.gateway.choice import Choice
from cloverhook.gateway.load import SLOW_FACTOR, LoadTable, ServerLoad
from cloverhook.gateway.load_probe import probe_load
from cloverhook.upstream_connection import AnswerHead, RequestHead, UpstreamConnection

__all__ = ["Attempt", "AttemptResult", "Outcome"]

MISDIRECTED = 421
FAILURE_STATUSES = 500
TIME_OUT = 504
"""An endpoint says so of a request whose time has passed: that may be the caller's doing."""
FORGOTTEN_MS = 20.0
"""A reset within this time of the send comes from an end that had forgotten the connection."""
LOAD_MAX_AGE_MS = 15.0
"""A figure that is younger needs no question; an answer takes about 1 ms in the data centre."""
ASK_TIMEOUT_MS = 60.0
KEPT_BODY_BYTES = 262_144
"""An answer of up to this size is taken whole before its caller gets a byte, so that one that
breaks off can be asked for again."""


class Outcome(Enum):
    """How an attempt ended."""

    ANSWERED = "answered"
    REJECTED = "rejected"
    NOT_SENT = "not-sent"
    DECLINED = "declined"
    WITHHELD = "withheld"
    CUT = "cut"


NEVER_ARRIVED = frozenset((Outcome.NOT_SENT, Outcome.DECLINED, Outcome.WITHHELD))


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """The end of an attempt; `answer` is there for `ANSWERED` alone."""

    outcome: Outcome
    choice: Choice
    latency_ms: float
    status: int = 0
    answer: CallerAnswer | None = None
    detail: str = ""
    crashed: bool = False
    """Whether the backend server ended while it had the request."""
    server_failed: bool = False
    """Whether the backend server has failed a request that it should have answered."""
    refused_with_free_slot: bool = False
    """Whether the backend server turned the request away although it had a free slot."""
    advertised_limit_per_s: float | None = None
    """The requests a second that the backend server said it takes."""
    nominal_ms: float = 0.0
    """How long the work would have taken at the usual pace, by the figures known meanwhile."""

    @property
    def arrived(self) -> bool:
        """Whether the request may have reached the backend server."""
        return self.outcome not in NEVER_ARRIVED

    @property
    def failed(self) -> bool:
        """Whether another backend server might do better."""
        return self.outcome is not Outcome.ANSWERED or self.status >= FAILURE_STATUSES


class Attempt:
    """Sends a request to the backend server chosen and takes its answer."""

    def __init__(
        self,
        request: CallerRequest,
        request_id: bytes,
        choice: Choice,
        deadline_ms: float,
        idempotent: bool,
        headers: CallHeaders,
        ask_path: str | None = None,
        objection: Callable[[BackendServer], str] = lambda server: "",
    ) -> None:
        """With `ask_path`, the endpoint is asked for its load there before the request is sent.

        `objection` is asked last of all, and says why the request is not to be sent: an evacuation
        may begin after the choice, or another VM learn what the request does.
        """
        self._objection = objection
        self._ask_path = ask_path
        self._declined: AnswerHead | None = None
        self._withheld = False
        self.choice = choice
        self.sent = False
        self.began_ms = monotonic_ms()
        self.progress_at_start_ms = 0.0
        self._request = request
        self._request_id = request_id
        self._deadline_ms = deadline_ms
        self._idempotent = idempotent
        self._headers = headers

    async def run(self, pool: BackendPool, board: LoadTable, limit: int) -> AttemptResult:
        """Make the attempt; being cancelled ends the work at the backend server too."""
        server = self.choice.server
        load = board.get_or_create(server.incarnation)
        started_ms = monotonic_ms()
        self.progress_at_start_ms = load.expected_progress_ms(started_ms)
        connection: UpstreamConnection | None = None
        kept = False
        try:
            left_ms = self._deadline_ms - started_ms
            connection = await pool.acquire(server, limit, self._idempotent, left_ms)
            if self._ask_path and self._should_ask(load, started_ms):
                await self._ask(connection, load, self._ask_path)
            head = await self._send(connection)
            figure = parse_load(find(head.headers, self._headers.load))
            if figure is not None:
                load.update(figure, monotonic_ms(), ended_count=1)
            result = await self._take(head, connection, pool, started_ms)
            if head.status != MISDIRECTED:
                limit_per_s = parse_rate_limit(head.headers, self._headers)
                result = replace(result, advertised_limit_per_s=limit_per_s)
            kept = result.answer is not None and result.answer.remaining_body is not None
            if not kept:
                pool.release(server, connection, head)
        except UpstreamError as error:
            self.sent = self.sent and error.sent
            result = self._failed(error, monotonic_ms() - started_ms)
            forgotten = False
            if connection is not None and connection.is_unanswered:
                pool.close_idle_since(server, started_ms)
                quick = result.latency_ms < FORGOTTEN_MS
                if quick and self.choice.load < server.slots:
                    pool.shorten_idle_limit(server, connection)
                forgotten = quick and connection.idle_since_ms > 0.0
            crashed = (
                self.sent and not error.bad_answer and await pool.has_stopped_listening(server)
            )
            result = replace(result, server_failed=self.sent and not forgotten, crashed=crashed)
        finally:
            if connection is not None and not kept and not connection.usable:
                connection.close()
        if self._declined is not None:
            pool.release(server, connection, self._declined)
        self._learn(result, board)
        return replace(
            result, nominal_ms=load.expected_progress_ms(monotonic_ms()) - self.progress_at_start_ms
        )

    def _should_ask(self, load: ServerLoad, now_ms: float) -> bool:
        """Return whether a question is of use: it is where the endpoint tells its load at all."""
        return load.latest_report is not None and load.age_ms(now_ms) > LOAD_MAX_AGE_MS

    async def _ask(self, connection: UpstreamConnection, load: ServerLoad, path: str) -> None:
        """Ask for the load.  Raises `UpstreamError` if the request should go elsewhere."""
        server = self.choice.server
        try:
            async with asyncio.timeout(ASK_TIMEOUT_MS / 1000):
                head, figure = await probe_load(connection, server, path, self._headers)
        except TimeoutError as error:
            connection.close()
            raise UpstreamError("no answer to the question for its load", sent=False) from error
        except UpstreamError as error:
            raise UpstreamError(f"asked for its load: {error}", sent=False) from error
        if figure is None:
            return
        load.update(figure, monotonic_ms(), ended_count=1)
        if not figure.reachable:
            raise UpstreamError("another incarnation answers there", sent=False)
        if figure.slowdown >= SLOW_FACTOR > self.choice.slowdown:
            self._declined = head
            raise UpstreamError(f"it has turned slow, pace {figure.slowdown:g}", sent=False)

    async def _send(self, connection: UpstreamConnection) -> AnswerHead:
        request, names = self._request, self._headers
        objection = self._objection(self.choice.server)
        if objection:
            self._withheld = True
            connection.close()
            raise UpstreamError(objection, sent=False)
        left_ms = max(1, int(self._deadline_ms - monotonic_ms()))
        headers = end_to_end_headers(request.headers, names.set_by_gateway())
        headers += (
            (names.request_id, self._request_id),
            (names.timeout_ms, b"%d" % left_ms),
            (names.incarnation_wanted, self.choice.server.name.encode()),
        )
        if request.has_body:
            headers.append((b"content-length", b"%d" % len(request.body)))
        head = RequestHead(request.method, request.target, headers, request.has_body)
        self.sent = True
        return await connection.send(head, request.body, matches_request=self._is_own)

    def _is_own(self, head: AnswerHead) -> bool:
        """Return whether an answer is to this request; one that names none may be a refusal."""
        named = find(head.headers, self._headers.request_id)
        if named is None:
            return head.status >= FAILURE_STATUSES or head.status == MISDIRECTED
        return named == self._request_id

    async def _take(
        self,
        head: AnswerHead,
        connection: UpstreamConnection,
        pool: BackendPool,
        started_ms: float,
    ) -> AttemptResult:
        names = self._headers
        parts, more = [], True
        size_bytes = 0
        while more and size_bytes <= KEPT_BODY_BYTES:
            part, more = await connection.read()
            parts.append(part)
            size_bytes += len(part)
        latency_ms = monotonic_ms() - started_ms
        if head.status == MISDIRECTED or find(head.headers, names.not_run) is not None:
            self.sent = False
            return AttemptResult(
                Outcome.REJECTED,
                self.choice,
                latency_ms,
                head.status,
                refused_with_free_slot=head.status != MISDIRECTED and self._has_room(head),
            )
        if head.status < 300 and find(head.headers, names.receipt) is None:
            raise UpstreamError("a success without a receipt", sent=True, bad_answer=True)
        rest = self._rest(connection, pool, head) if more else None
        length = find(head.headers, b"content-length") if more or not size_bytes else None
        answer = CallerAnswer(
            head.status,
            end_to_end_headers(head.headers, names.internal()),
            b"".join(parts),
            rest,
            int(length) if length is not None else None,
        )
        at_fault = head.status >= FAILURE_STATUSES and head.status != TIME_OUT
        return AttemptResult(
            Outcome.ANSWERED, self.choice, latency_ms, head.status, answer, server_failed=at_fault
        )

    def _has_room(self, head: AnswerHead) -> bool:
        """Return whether an endpoint has a free slot by its own word, or else by what is known."""
        slots = self.choice.server.slots
        figure = parse_load(find(head.headers, self._headers.load))
        if figure is None:
            return self.choice.load < slots
        return figure.running + figure.waiting < slots

    async def _rest(
        self, connection: UpstreamConnection, pool: BackendPool, head: AnswerHead
    ) -> AsyncIterator[bytes]:
        more = True
        try:
            while more:
                part, more = await connection.read()
                yield part
        finally:
            if more:
                connection.close()
            pool.release(self.choice.server, connection, None if more else head)

    def _failed(self, error: UpstreamError, latency_ms: float) -> AttemptResult:
        outcome = Outcome.CUT if self.sent else Outcome.NOT_SENT
        if self._declined is not None:
            outcome = Outcome.DECLINED
        if self._withheld:
            outcome = Outcome.WITHHELD
        return AttemptResult(outcome, self.choice, latency_ms, detail=str(error))

    def _learn(self, result: AttemptResult, board: LoadTable) -> None:
        """Keep what the end of the attempt says of the backend server."""
        now_ms = monotonic_ms()
        load = board.get_or_create(self.choice.server.incarnation)
        load.record_end(now_ms)
        if result.outcome is Outcome.NOT_SENT:
            load.record_unreachable(now_ms)
        elif (
            result.outcome in (Outcome.DECLINED, Outcome.WITHHELD) or result.refused_with_free_slot
        ):
            return
        elif result.failed:
            load.record_failure(now_ms)
        else:
            load.record_success(now_ms)
