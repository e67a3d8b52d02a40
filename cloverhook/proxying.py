"""Sends requests by way of another daemon while this one reaches no endpoint of their service.

Layer: transport.  There is one hop at most.  The other daemon treats the request like one of its
own callers; its answer says whether the request has run.
"""

import asyncio
import random
from collections.abc import Callable, Sequence

from cloverhook.errors import ErrorKind, RequestError, UpstreamError
from cloverhook.exchange import Exchange, RejectedError
from cloverhook.members import Member
from cloverhook.proxied import proxied_header
from cloverhook.upstream import UpstreamPool

__all__ = ["Proxying"]

PROXIES_LIMIT = 2
"""By how many daemons a request is tried that none of them has run."""
IN_FLIGHT_LIMIT = 64
"""The most requests that this daemon passes on at a time, so that it doesn't overload others."""


class Proxying:
    """Passes requests on to the other daemons that serve callers."""

    def __init__(
        self,
        key: bytes,
        vm: str,
        pool: UpstreamPool,
        members: Callable[[], Sequence[Member]],
        clock_ms: Callable[[], float],
        on_attempt: Callable[[str, str, str], None],
    ) -> None:
        """`members` returns the daemons that serve callers.

        `on_attempt` is called with a request's identifier, an address and what is done there.
        """
        self._key = key
        self._vm = vm
        self._pool = pool
        self._members = members
        self._clock_ms = clock_ms
        self._on_attempt = on_attempt
        self._in_flight = 0
        self.passed_on = 0

    def may_pass_on(self, exchange: Exchange) -> bool:
        """Return whether a request may be sent by way of another daemon."""
        if exchange.proxied_for or exchange.maybe_ran or self._in_flight >= IN_FLIGHT_LIMIT:
            return False
        return exchange.retryable and self._clock_ms() < exchange.deadline_ms

    async def pass_on(self, exchange: Exchange, closing: bool) -> bool:
        """Send a request by way of another daemon; return False if none has run it.

        Raises `RequestError` if it may have run without an answer.
        """
        others = [member for member in self._members() if member.vm != self._vm]
        self._in_flight += 1
        try:
            for member in random.sample(others, min(PROXIES_LIMIT, len(others))):
                if await self._try(exchange, member, closing):
                    return True
        finally:
            self._in_flight -= 1
        return False

    async def _try(self, exchange: Exchange, member: Member, closing: bool) -> bool:
        self.passed_on += 1
        self._on_attempt(exchange.request_id, member.caller_address, f"by way of {member.vm}")
        exchange.proxy_header = proxied_header(self._key, self._vm, exchange.request_id)
        started_ms = self._clock_ms()
        try:
            async with asyncio.timeout((exchange.deadline_ms - started_ms) / 1000):
                await exchange.attempt(member.caller_address, self._pool, self._clock_ms, closing)
        except RejectedError:
            return False
        except UpstreamError as error:
            exchange.maybe_ran |= error.sent
            if error.sent:
                raise RequestError(ErrorKind.CONNECTION_CUT) from error
            return False
        except TimeoutError as error:
            exchange.maybe_ran |= exchange.sent
            kind = ErrorKind.DEADLINE_IN_RUN if exchange.sent else ErrorKind.DEADLINE_BEFORE_RUN
            raise RequestError(kind) from error
        finally:
            exchange.proxy_header = None
            exchange.observation.record_attempt(self._clock_ms() - started_ms)
        exchange.maybe_ran = True
        return True
