"""The HTTP/1.1 server for callers: it answers the requests of a connection in order.

Layer: transport.  A request is read completely before it is served, within the configured limits.
Requests that may overlap are served concurrently (`response_order`).  A body is read while there is
memory for it (`body_budget`).  If the caller disconnects,
the work on its requests is cancelled.  If a response fails midway, the connection is reset, so that
the caller can't take a partial response for a complete one.
"""

import asyncio
import socket
from collections.abc import Callable

from cloverhook.clock import monotonic_ms
from cloverhook.errors import ErrorKind
from cloverhook.gateway.body_budget import (
    SMALL_BODY_BYTES,
    BodyBudget,
    BodyReservation,
    Grant,
)
from cloverhook.gateway.calls import CallerAnswer, CallerRequest, Handler
from cloverhook.gateway.request_reader import RequestReader, RequestRejectedError
from cloverhook.gateway.response_order import READ_AHEAD_BYTES, Entry, ResponseOrder
from cloverhook.gateway.response_writer import ResponseWriter
from cloverhook.gateway.routes import IngressLimits

__all__ = ["Ingress"]

BACKLOG = 1_024
IDLE_TIMEOUT_MARGIN_MS = 1_000.0
"""An idle connection is kept this much longer than the idle timeout that callers were told, so
that it is never closed while a caller is still using it."""
HEADER_TIMEOUT_MARGIN_MS = 250.0
LINGER_LIMIT_MS = 10_000.0
"""A caller that goes on to send a rejected body is waited for until then."""
LINGER_MS = 1_000.0
"""A connection is kept this long after its last response if the caller may still send: closing it
with unread input would reset it, and the caller could lose the response."""


def never_overlaps(request: CallerRequest) -> bool:
    """Have the requests of a connection served one at a time."""
    return False


class Ingress:
    """An HTTP listener with its open connections and the handler that serves their requests.

    `limits` is called for the limits in force, and `may_overlap` tells whether a request may run
    while others of its connection run.  Several listeners may share a `budget`; `on_refusal` is
    called with the size of each body that it refuses.  `accepted` counts the connections accepted.
    """

    def __init__(
        self,
        handler: Handler,
        limits: Callable[[], IngressLimits] = IngressLimits,
        may_overlap: Callable[[CallerRequest], bool] = never_overlaps,
        budget: BodyBudget | None = None,
        on_refusal: Callable[[int], None] = lambda size_bytes: None,
    ) -> None:
        self.handler = handler
        self.limits = limits
        self.may_overlap = may_overlap
        self.budget = BodyBudget.from_memory_mb(0) if budget is None else budget
        self.on_refusal = on_refusal
        self.draining = False
        self.connections: set[_CallerConnection] = set()
        self.accepted = 0
        self._server: asyncio.Server | None = None

    async def listen(self, address: str) -> None:
        """Start to listen on `address`, an `ip:port`."""
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _CallerConnection(self), host, int(port), backlog=BACKLOG, reuse_address=True
        )

    def close_listener(self) -> None:
        """Stop accepting connections; open ones stay open."""
        if self._server is not None:
            self._server.close()
            self._server = None

    def start_draining(self) -> None:
        """Close each connection with its next response, so that callers connect elsewhere.

        Requests whose bodies wait for memory are rejected: another VM has room sooner.
        """
        self.draining = True
        for connection in tuple(self.connections):
            connection.reject_if_waiting_for_memory()

    def close_idle(self) -> None:
        """Close the connections that have no request in progress."""
        for connection in tuple(self.connections):
            connection.close_if_idle()

    def in_flight(self) -> int:
        """Return how many connections have a request being read or served."""
        return sum(1 for item in self.connections if item.busy)

    def lingering(self) -> int:
        """Return how many connections wait for their callers to receive the last response."""
        return sum(1 for item in self.connections if item.lingering)


class _CallerConnection(asyncio.Protocol):
    """One connection from a caller; the transport calls its methods."""

    def __init__(self, ingress: Ingress) -> None:
        self._ingress = ingress
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._reader: RequestReader | None = None
        self._writer: ResponseWriter | None = None
        self._order = ResponseOrder(ingress.may_overlap)
        self._tasks: dict[Entry, asyncio.Task[None]] = {}
        self._answers: dict[Entry, CallerAnswer | ErrorKind | Exception] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._reservation: BodyReservation | None = None
        self._reservations: dict[Entry, BodyReservation] = {}
        self._linger_until_ms = 0.0
        self._dropped_bytes = 0
        self._unparsed = b""
        self._writing = False
        self._ignore_input = False
        self._pipelined = False
        self.lingering = False

    @property
    def busy(self) -> bool:
        """Whether a request is being read or served on this connection."""
        return bool(self._order) or self._reader.in_message or bool(self._unparsed)

    # Methods that the transport calls.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection and start its idle timer."""
        self._transport = transport
        caller = transport.get_extra_info("peername")[0]
        self._reader = RequestReader(
            caller, self._ingress.limits, self._on_message_start, self._on_head, self._on_request
        )
        self._writer = ResponseWriter(transport)
        self._ingress.connections.add(self)
        self._ingress.accepted += 1
        transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._start_idle_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the requests in progress, because the caller has disconnected."""
        self._ingress.connections.discard(self)
        self._stop_timer()
        self._writer.resume()
        self._unparsed = b""
        self._ignore_input = True
        self._reader.close()
        self._cancel(self._order.clear())
        for task in self._tasks.values():
            task.cancel()
        self._release_partial_body()
        self._release_dropped_bodies()

    def pause_writing(self) -> None:
        """Make the sender of a response wait until the transport can take more."""
        self._writer.pause()

    def resume_writing(self) -> None:
        """Let the sender of a response continue."""
        self._writer.resume()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; after a request was rejected, further input is ignored.

        Reading pauses once bytes have arrived that exceed the bounds.  Before that it goes on, so
        that a disconnect is noticed.
        """
        if self._ignore_input:
            self._reader.has_dropped_input = True
            self._dropped_bytes += len(data)
        else:
            self._parse(self._unparsed + data)
        if self._reservation is not None:
            self._reservation.received_bytes += len(data)
        if self._unparsed:
            self._pipelined = True
        if len(self._unparsed) >= READ_AHEAD_BYTES or self._waits_for_memory:
            self._transport.pause_reading()

    # Reading of requests.

    def _parse(self, data: bytes) -> None:
        self._unparsed = b""
        try:
            self._unparsed = self._reader.feed(data, self._may_parse)
            self._expect_body()
        except RequestRejectedError as error:
            self._reject(error.kind)

    def _may_parse(self) -> bool:
        return self._order.may_read(self._reader.partial_body_bytes) and self._has_memory()

    def _continue_reading(self) -> None:
        """Parse what had to wait, and read on unless there is still too much."""
        if self._unparsed or (self._reader.expects_continue and not self._ignore_input):
            self._parse(self._unparsed)
        if len(self._unparsed) < READ_AHEAD_BYTES and not self._waits_for_memory:
            self._transport.resume_reading()

    def _on_message_start(self) -> None:
        self._pipelined = self._pipelined or bool(self._order)
        self._start_header_timer()

    def _start_header_timer(self) -> None:
        self._stop_timer()
        delay_ms = self._ingress.limits().header_timeout_ms + HEADER_TIMEOUT_MARGIN_MS
        self._timer = self._loop.call_later(delay_ms / 1000, self._on_header_timeout)

    def _on_head(self) -> None:
        self._stop_timer()

    def _expect_body(self) -> None:
        """Reserve memory for a body that is still to come, and ask for it if its caller waits.

        Asking waits for the responses to earlier requests.
        """
        reader = self._reader
        if not reader.in_message or not self._has_memory() or self._order:
            return
        if reader.expects_continue:
            reader.expects_continue = False
            self._writer.write_continue()

    def _on_request(self, request: CallerRequest, keep_alive: bool) -> None:
        """Add a complete request, and serve it at once if none has to be answered before."""
        if not keep_alive:
            self._ignore_input = True
        entry = self._order.add(request, keep_alive, request.body_bytes)
        if self._reservation is not None:
            self._ingress.budget.complete(self._reservation, request.body_bytes, monotonic_ms())
            self._reservations[entry], self._reservation = self._reservation, None
        self._start_requests()

    # Memory for bodies.

    @property
    def _waits_for_memory(self) -> bool:
        return self._reservation is not None and self._reservation.is_waiting

    def _has_memory(self) -> bool:
        """Reserve memory for what is parsed next; return whether it has been granted.

        Behind an unanswered request only the beginning of a body is read.  Raises
        `RequestRejectedError` if the body is refused.
        """
        size_bytes = self._reader.needed_body_bytes
        if not size_bytes:
            return True
        if self._order:
            size_bytes = min(size_bytes, SMALL_BODY_BYTES)
        budget = self._ingress.budget
        if self._reservation is None:
            self._reservation = budget.open(self._on_memory_decision)
        grant = budget.reserve(
            self._reservation, size_bytes, self._reader.most_body_bytes, monotonic_ms()
        )
        if grant is Grant.REFUSED:
            self._ingress.on_refusal(size_bytes)
            raise RequestRejectedError(ErrorKind.MEMORY_FULL)
        return grant is Grant.GRANTED

    def _on_memory_decision(self, granted: bool) -> None:
        """Go on once the budget, which other connections are using now, has been updated."""
        self._loop.call_soon(self._continue_body if granted else self._refuse_body)

    def _continue_body(self) -> None:
        if not self._transport.is_closing():
            self._continue_reading()

    def _refuse_body(self) -> None:
        if self._transport.is_closing() or self._ignore_input or not self._reader.in_message:
            return
        self._ingress.on_refusal(self._reader.needed_body_bytes)
        self._reject(ErrorKind.MEMORY_FULL)

    def reject_if_waiting_for_memory(self) -> None:
        """Reject the request whose body waits for memory."""
        if self._waits_for_memory:
            self._reject(ErrorKind.STOPPING)

    def _release_partial_body(self) -> None:
        if self._reservation is not None:
            self._ingress.budget.release(self._reservation, monotonic_ms())
            self._reservation = None

    def _release_body(self, entry: Entry) -> None:
        reservation = self._reservations.pop(entry, None)
        if reservation is not None:
            self._ingress.budget.release(reservation, monotonic_ms())

    def _release_dropped_bodies(self) -> None:
        """Release the memory of requests that were dropped before they were served."""
        for entry in tuple(self._reservations):
            if entry not in self._order and entry not in self._tasks:
                self._release_body(entry)

    # Serving of requests.

    def _start_requests(self) -> None:
        for entry in self._order.start_ready(self._ingress.draining):
            self._tasks[entry] = self._loop.create_task(self._serve(entry))

    async def _serve(self, entry: Entry) -> None:
        try:
            try:
                answer = await self._ingress.handler(entry.request)
            except asyncio.CancelledError:
                if entry in self._order:
                    self._writer.reset()
                raise
            except Exception as error:
                self._finish(entry, error)
                await self._write_finished()
                raise
            self._finish(entry, answer)
            await self._write_finished()
        finally:
            self._tasks.pop(entry, None)
            self._release_body(entry)

    def _finish(self, entry: Entry, answer: CallerAnswer | ErrorKind | Exception) -> None:
        self._answers[entry] = answer
        if entry in self._reservations:
            entry.request = entry.request.without_body()
            self._release_body(entry)
        is_answer = isinstance(answer, CallerAnswer)
        size_bytes = len(answer.body) if is_answer else 0
        streams = is_answer and answer.remaining_body is not None
        self._order.record_finished(entry, size_bytes, streams)

    async def _write_finished(self) -> None:
        """Write the responses that are ready, in order, unless another task does that."""
        if self._writing:
            return
        self._writing = True
        try:
            while (entry := self._order.next_to_write()) is not None:
                await self._writer.wait_until_writable()
                if self._transport.is_closing() or not await self._write(entry):
                    return
        except BaseException:
            self._writer.reset()
            raise
        finally:
            self._writing = False
        if not self._transport.is_closing() and not self.busy:
            self._start_idle_timer()

    async def _write(self, entry: Entry) -> bool:
        """Write the next response; return whether the connection stays open after it."""
        closes = self._order.closes_after(entry, self._ingress.draining)
        if closes:
            self._unparsed = b""
            self._ignore_input = True
            self._cancel(self._order.drop_following())
            self._release_dropped_bodies()
        answer = self._answers.pop(entry)
        if isinstance(answer, Exception):
            self._writer.reset()
            return False
        if isinstance(answer, ErrorKind):
            self._writer.write_rejection(answer)
        else:
            await self._writer.write(entry.request.method, answer, not closes)
        if self._transport.is_closing():
            return False
        self._order.record_written(entry)
        if closes:
            self._close(
                linger=self._pipelined or self._ingress.draining or isinstance(answer, ErrorKind)
            )
            return False
        self._continue_reading()
        if self._order:
            self._start_requests()
        return True

    def _cancel(self, entries: list[Entry]) -> None:
        """End the work on requests that get no response."""
        for entry in entries:
            answer = self._answers.pop(entry, None)
            task = self._tasks.pop(entry, None)
            if task is not None:
                task.cancel()
            if isinstance(answer, CallerAnswer) and answer.remaining_body is not None:
                self._loop.create_task(answer.remaining_body.aclose())

    # Closing.

    def _close(self, linger: bool) -> None:
        """Close after the last response, for which a caller that may still send needs time."""
        self._stop_timer()
        if not (linger or self._reader.in_message or self._reader.has_dropped_input):
            self._transport.close()
            return
        self.lingering = True
        self._reader.in_message = False
        self._transport.resume_reading()
        if self._transport.can_write_eof():
            self._transport.write_eof()
        self._end_linger_later()

    def _end_linger_later(self) -> None:
        self._timer = self._loop.call_later(LINGER_MS / 1000, self._end_linger)

    def _end_linger(self) -> None:
        still_sends = self._dropped_bytes and monotonic_ms() < self._linger_until_ms
        self._dropped_bytes = 0
        if self._transport.get_write_buffer_size() or still_sends:
            self._end_linger_later()  # A slow link has not taken the last response yet.
        else:
            self._transport.abort()

    def close_if_idle(self) -> None:
        """Close the connection unless it has a request in progress."""
        if not self.busy and not self.lingering:
            self._transport.close()

    # Limits.

    def _reject(self, kind: ErrorKind) -> None:
        """Stop reading, and answer with an error once all earlier requests are answered."""
        self._ignore_input = True
        self._reader.in_message = False
        self._unparsed = b""
        self._release_partial_body()
        if kind is ErrorKind.MEMORY_FULL:
            self._linger_until_ms = monotonic_ms() + LINGER_LIMIT_MS
        self._stop_timer()
        self._transport.resume_reading()
        entry = self._order.add(None, keep_alive=False)
        self._finish(entry, kind)
        if self._order.next_to_write() is entry and not self._writing:
            self._order.record_written(entry)
            self._writer.write_rejection(self._answers.pop(entry))
            self._close(linger=True)

    def _on_header_timeout(self) -> None:
        self._timer = None
        if self._unparsed:
            self._start_header_timer()  # The head may have arrived: this end has not read it.
            return
        self._reject(ErrorKind.HEADERS_TIMED_OUT)

    def _start_idle_timer(self) -> None:
        self._stop_timer()
        delay_ms = self._ingress.limits().idle_timeout_ms + IDLE_TIMEOUT_MARGIN_MS
        self._timer = self._loop.call_later(delay_ms / 1000, self.close_if_idle)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
