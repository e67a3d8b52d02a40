"""One attempt of a request at one backend server.

Layer: transport.  An attempt ends with one `Outcome`; only `NOT_SENT`, `DECLINED`, `WITHHELD` and
`REJECTED` mean with certainty that the request did not run there.

Before a request that must not be sent twice, the attempt probes the endpoint's load over the
connection that it is about to use.  If the endpoint has become slow since the last load report or
does not answer the probe, the request goes to another endpoint: once sent, it could no longer be
moved.
"""

import asyncio
from collections.abc import AsyncGenerator, AsyncIterator, Callable
from dataclasses import dataclass, replace
from enum import Enum

from cloverhook.clock import monotonic_ms
from cloverhook.errors import ConnectError, UpstreamError
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
from cloverhook.gateway.crash_detection import CrashDetector
from cloverhook.gateway.endpoint_notice import EndpointNotice
from cloverhook.gateway.links import LinkFailure, Links
from cloverhook.gateway.load_probe import probe_load
from cloverhook.gateway.notice_recorder import NoticeRecorder
from cloverhook.gateway.response_matching import ResponseMatcher
from cloverhook.gateway.server_load import SLOW_FACTOR, LoadTable, ServerLoad
from cloverhook.upstream_connection import AnswerHead, RequestHead, UpstreamConnection

__all__ = ["Attempt", "AttemptResult", "Outcome"]

MISDIRECTED_REQUEST = 421
FAILURE_STATUS_MIN = 500
GATEWAY_TIMEOUT = 504
"""The status for a request whose deadline has passed, which isn't counted as a failure of the
endpoint: the caller may have set too short a deadline."""
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
"""Statuses from which a caller concludes that its request has not run."""
STALE_RESET_MS = 20.0
"""A reset this soon after the send shows that the peer had already dropped the idle connection."""
LOAD_MAX_AGE_MS = 15.0
"""Up to this age of the load report no load probe is needed; within a data centre, the response to
one takes about 1 ms."""
LOAD_PROBE_TIMEOUT_MS = 60.0
BUFFERED_BODY_BYTES = 262_144
"""A response body up to this size is read completely before the caller gets a byte of it, so that
the request can be retried if the response breaks off."""


class Outcome(Enum):
    """How an attempt ended."""

    ANSWERED = "answered"
    REJECTED = "rejected"
    NOT_SENT = "not-sent"
    DECLINED = "declined"
    WITHHELD = "withheld"
    CUT = "cut"


OUTCOMES_NOT_ARRIVED = frozenset((Outcome.NOT_SENT, Outcome.DECLINED, Outcome.WITHHELD))


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """The result of an attempt; `answer` is set for `ANSWERED` only.

    If another gateway, `proxy`, has sent the request, there is no `choice`.
    """

    outcome: Outcome
    choice: Choice | None
    latency_ms: float
    status: int = 0
    answer: CallerAnswer | None = None
    detail: str = ""
    crashed: bool = False
    """Whether the backend server's process ended while it had the request."""
    server_failed: bool = False
    """Whether the backend server failed a request that it should have answered."""
    refused_with_free_slot: bool = False
    """Whether the backend server rejected the request although it had a free slot."""
    asked_to_back_off: bool = False
    """Whether the backend server has asked for a time without requests.  This takes the place of
    what a rejection or failure shows otherwise, so that the endpoint is used again at once after
    that time."""
    advertised_limit_per_s: float | None = None
    """The rate limit that the backend server advertised, in requests a second."""
    proxy: str = ""
    nominal_ms: float = 0.0
    """How long the work would have taken without slowdown, by the load reports of that time."""

    @property
    def arrived(self) -> bool:
        """Whether the request may have reached the backend server."""
        return self.outcome not in OUTCOMES_NOT_ARRIVED

    @property
    def failed(self) -> bool:
        """Whether the attempt failed, so that another backend server might succeed."""
        return self.outcome is not Outcome.ANSWERED or self.status >= FAILURE_STATUS_MIN


class Attempt:
    """Sends a request to the chosen backend server and reads its response."""

    def __init__(
        self,
        request: CallerRequest,
        request_id: bytes,
        choice: Choice,
        deadline_ms: float,
        idempotent: bool,
        headers: CallHeaders,
        notices: NoticeRecorder,
        matcher: ResponseMatcher,
        links: Links,
        crashes: CrashDetector,
        probe_path: str | None = None,
        reason_not_to_send: Callable[[BackendServer], str] = lambda server: "",
    ) -> None:
        """With `probe_path`, the endpoint's load is probed at that path before the request is sent.

        `reason_not_to_send` is called immediately before the send and returns "" if the request may
        be sent.  After the choice of the endpoint, its data centre may have been evacuated, or
        another VM may have found that the request crashes endpoints.
        """
        self._notices = notices
        self._matcher = matcher
        self._links = links
        self._crashes = crashes
        self._reason_not_to_send = reason_not_to_send
        self._probe_path = probe_path
        self._declined: AnswerHead | None = None
        self._withheld = False
        self.choice = choice
        self.sent = False
        self.broken = False
        """Whether the exchange has failed; it may not be known yet if the endpoint has crashed."""
        self.began_ms = monotonic_ms()
        self.progress_at_start_ms = 0.0
        self._request = request
        self._request_id = request_id
        self._deadline_ms = deadline_ms
        self._idempotent = idempotent
        self._headers = headers

    async def run(self, pool: BackendPool, load_table: LoadTable, limit: int) -> AttemptResult:
        """Make the attempt; cancelling it also ends the work at the backend server."""
        server = self.choice.server
        load = load_table.get_or_create(server.incarnation)
        started_ms = monotonic_ms()
        self.progress_at_start_ms = load.expected_progress_ms(started_ms)
        connection: UpstreamConnection | None = None
        kept = False
        try:
            left_ms = self._deadline_ms - started_ms
            connection = await pool.acquire(server, limit, self._idempotent, left_ms)
            if self._probe_path and self._should_probe(load, started_ms):
                await self._probe(connection, pool, load, self._probe_path)
            sent_ms = monotonic_ms()
            wait = self._links.begin_wait(server, self.choice.expected_ms, sent_ms)
            try:
                head = await self._send(connection)
            finally:
                self._links.end_wait(wait)
            self._links.record_contact(server, monotonic_ms())
            notice = self._record_notice(head)
            load_report = parse_load(find(head.headers, self._headers.load))
            if load_report is not None:
                load.update(load_report, monotonic_ms(), ended_count=1)
            result = await self._read_response(head, connection, pool, started_ms)
            if head.status != MISDIRECTED_REQUEST:
                limit_per_s = parse_rate_limit(head.headers, self._headers)
                result = replace(result, advertised_limit_per_s=limit_per_s)
            if notice.backoff_ms:
                result = replace(
                    result,
                    asked_to_back_off=True,
                    server_failed=False,
                    refused_with_free_slot=False,
                )
            if not result.failed:
                self._notices.record_success(server, notice, sent_ms)
            if result.answer is None or result.answer.remaining_body is None:
                pool.release(server, connection, head)
            kept = True
        except UpstreamError as error:
            self.broken = True
            if isinstance(error, ConnectError):
                self._record_link_failure(pool, LinkFailure.of(error))
            self.sent = self.sent and error.sent
            result = self._failure_result(error, monotonic_ms() - started_ms)
            stale = False
            if connection is not None and connection.is_unanswered:
                pool.close_idle_since(server, started_ms)
                quick = result.latency_ms < STALE_RESET_MS
                if quick and self.choice.load < server.slots:
                    pool.shorten_idle_limit(server, connection)
                stale = quick and connection.idle_since_ms > 0.0
            may_have_crashed = self.sent and not error.bad_answer
            crashed = may_have_crashed and await self._crashes.has_crashed(server)
            result = replace(result, server_failed=self.sent and not stale, crashed=crashed)
        finally:
            if connection is not None and not kept and self._declined is None:
                connection.close()
        if self._declined is not None:
            pool.release(server, connection, self._declined)
        self._update_load(result, load_table)
        return replace(
            result, nominal_ms=load.expected_progress_ms(monotonic_ms()) - self.progress_at_start_ms
        )

    def drop_body(self) -> None:
        """Free the request's body, once the request has ended."""
        self._request = self._request.without_body()

    def _should_probe(self, load: ServerLoad, now_ms: float) -> bool:
        """Return whether to probe: the endpoint reports its load, but not recently."""
        return load.latest_report is not None and load.age_ms(now_ms) > LOAD_MAX_AGE_MS

    async def _probe(
        self, connection: UpstreamConnection, pool: BackendPool, load: ServerLoad, path: str
    ) -> None:
        """Probe the load.  Raises `UpstreamError` if the request should go to another endpoint."""
        server = self.choice.server
        try:
            async with asyncio.timeout(LOAD_PROBE_TIMEOUT_MS / 1000):
                result = await probe_load(connection, server, path, self._headers, self._matcher)
        except TimeoutError as error:
            connection.close()
            self._record_link_failure(pool, LinkFailure.PROBE_UNANSWERED)
            raise UpstreamError("no response to the load probe", sent=False) from error
        except UpstreamError as error:
            raise UpstreamError(f"load probe failed: {error}", sent=False) from error
        self._links.record_contact(server, monotonic_ms())
        if result.notice is not None:
            self._notices.record_probe(server, result.notice)
        load_report = result.report
        if load_report is None:
            return
        load.update(load_report, monotonic_ms(), ended_count=1)
        if not load_report.reachable:
            self._record_link_failure(pool, LinkFailure.OTHER_INCARNATION)
            raise UpstreamError("another incarnation answered the load probe", sent=False)
        if load_report.slowdown >= SLOW_FACTOR > self.choice.slowdown:
            self._declined = result.head
            raise UpstreamError(
                f"load probe shows a slowdown of {load_report.slowdown:g}",
                sent=False,
            )

    def _record_link_failure(self, pool: BackendPool, failure: LinkFailure) -> None:
        """Record that this VM does not reach the endpoint; its idle connections are not used."""
        server = self.choice.server
        self._links.record_failure(server, failure, monotonic_ms())
        if failure is not LinkFailure.REFUSED:
            pool.forget(server.incarnation)

    async def _send(self, connection: UpstreamConnection) -> AnswerHead:
        request, names = self._request, self._headers
        reason = self._reason_not_to_send(self.choice.server)
        if reason:
            self._withheld = True
            connection.close()
            raise UpstreamError(reason, sent=False)
        left_ms = max(1, int(self._deadline_ms - monotonic_ms()))
        headers = end_to_end_headers(request.headers, names.set_by_gateway())
        headers += (
            (names.request_id, self._request_id),
            (names.timeout_ms, b"%d" % left_ms),
            (names.incarnation_wanted, self.choice.server.name.encode()),
        )
        if request.has_body:
            headers.append((b"content-length", b"%d" % request.body_bytes))
        head = RequestHead(request.method, request.target, headers, request.has_body)
        matches = self._matcher.for_request(self.choice.server, self._request_id)
        self.sent = True
        rest = _iterate(request.remaining_body) if request.remaining_body else None
        response = await connection.send(head, request.body, rest, matches_request=matches)
        if response.status != MISDIRECTED_REQUEST and self._matcher.is_unidentified(response):
            connection.close()
            raise UpstreamError("the response names no request", sent=True, bad_answer=True)
        return response

    def _record_notice(self, head: AnswerHead) -> EndpointNotice:
        """Record what the endpoint states about itself, unless another incarnation has answered."""
        if head.status == MISDIRECTED_REQUEST:
            return EndpointNotice()
        notice = EndpointNotice.from_response(head.status, head.headers, self._headers)
        self._notices.record_response(self.choice.server, notice)
        return notice

    async def _read_response(
        self,
        head: AnswerHead,
        connection: UpstreamConnection,
        pool: BackendPool,
        started_ms: float,
    ) -> AttemptResult:
        names = self._headers
        parts, more = [], True
        size_bytes = 0
        while more and size_bytes <= BUFFERED_BODY_BYTES:
            part, more = await connection.read()
            parts.append(part)
            size_bytes += len(part)
        latency_ms = monotonic_ms() - started_ms
        if head.status == MISDIRECTED_REQUEST or find(head.headers, names.not_run) is not None:
            self.sent = False
            return AttemptResult(
                Outcome.REJECTED,
                self.choice,
                latency_ms,
                head.status,
                refused_with_free_slot=head.status != MISDIRECTED_REQUEST and self._has_room(head),
            )
        if head.status in NOT_RUN_STATUSES and not self._idempotent:
            reason = f"status {head.status} without the statement that the request did not run"
            raise UpstreamError(reason, sent=True, bad_answer=True)
        if head.status < 300 and find(head.headers, names.receipt) is None:
            raise UpstreamError("successful response without a receipt", sent=True, bad_answer=True)
        remaining_body = None
        if more:
            remaining_body = _remaining_body(connection, pool, self.choice.server, head)
            await anext(remaining_body)
        length = find(head.headers, b"content-length") if more or not size_bytes else None
        answer = CallerAnswer(
            head.status,
            end_to_end_headers(head.headers, names.internal()),
            b"".join(parts),
            remaining_body,
            int(length) if length is not None else None,
        )
        at_fault = head.status >= FAILURE_STATUS_MIN and head.status != GATEWAY_TIMEOUT
        return AttemptResult(
            Outcome.ANSWERED, self.choice, latency_ms, head.status, answer, server_failed=at_fault
        )

    def _has_room(self, head: AnswerHead) -> bool:
        """Return whether an endpoint has a free slot, by the response or else by the choice."""
        slots = self.choice.server.slots
        load_report = parse_load(find(head.headers, self._headers.load))
        if load_report is None:
            return self.choice.load < slots
        return load_report.running + load_report.waiting < slots

    def _failure_result(self, error: UpstreamError, latency_ms: float) -> AttemptResult:
        outcome = Outcome.CUT if self.sent else Outcome.NOT_SENT
        if self._declined is not None:
            outcome = Outcome.DECLINED
        if self._withheld:
            outcome = Outcome.WITHHELD
        return AttemptResult(outcome, self.choice, latency_ms, detail=str(error))

    def _update_load(self, result: AttemptResult, load_table: LoadTable) -> None:
        """Update the load data of the backend server from the result of the attempt."""
        now_ms = monotonic_ms()
        load = load_table.get_or_create(self.choice.server.incarnation)
        load.record_end(now_ms)
        if result.outcome is Outcome.NOT_SENT and not load.link_down:
            load.record_unreachable(now_ms)
        elif (
            result.outcome in (Outcome.DECLINED, Outcome.WITHHELD)
            or result.refused_with_free_slot
            or result.asked_to_back_off
        ):
            return
        elif result.failed:
            load.record_failure(now_ms)
        else:
            load.record_success(now_ms)


async def _iterate(parts: tuple[bytes, ...]) -> AsyncIterator[bytes]:
    for part in parts:
        yield part


async def _remaining_body(
    connection: UpstreamConnection, pool: BackendPool, server: BackendServer, head: AnswerHead
) -> AsyncGenerator[bytes, None]:
    """Yield the rest of a response's body; this doesn't keep the request's body in memory."""
    more = True
    try:
        yield b""  # From here on, `aclose` releases the connection.
        while more:
            part, more = await connection.read()
            yield part
    finally:
        if more:
            connection.close()
        pool.release(server, connection, None if more else head)
