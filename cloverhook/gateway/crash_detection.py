"""Finds out whether an endpoint that has broken off a connection has crashed.

Layer: transport.  A crashed endpoint refuses new connections, but so does a link that is cut.  What
tells them apart is whether this VM still reaches other endpoints.  If several links fail at the
same moment, either several endpoints have crashed or this VM has lost the links to some of them;
then it is a crash only if another VM does not reach the endpoint either.
"""

import asyncio
from dataclasses import dataclass

from cloverhook.clock import monotonic_ms
from cloverhook.errors import ConnectError
from cloverhook.gateway.backend_pool import BackendPool
from cloverhook.gateway.backend_server import BackendServer
from cloverhook.gateway.links import LinkFailure, Links
from cloverhook.gateway.peer_links import PeerLinks

__all__ = ["CrashDetector"]

OTHERS_TRIED = 6
"""How many other endpoints are connected to.  Those in the same rack may have crashed together."""
SIMULTANEOUS_MS = 25.0
"""Links that are lost together show that within this time."""
DECISION_MS = 100.0
"""By then other endpoints have accepted a connection, and other VMs, which check their own links
when they receive a report, have sent what they found."""
POLL_MS = 5.0


@dataclass(frozen=True, slots=True)
class _OtherLinks:
    """Whether another endpoint has accepted a connection, and which ones could not be connected."""

    reached: bool
    failures: list[tuple[BackendServer, ConnectError]]


class CrashDetector:
    """Tests the connections of a VM to its endpoints."""

    def __init__(self, pool: BackendPool, links: Links, peer_links: PeerLinks) -> None:
        self._pool = pool
        self._links = links
        self._peer_links = peer_links
        self._running: dict[str, asyncio.Task[bool]] = {}

    async def has_crashed(self, server: BackendServer) -> bool:
        """Return whether an endpoint that has just broken off a connection has crashed.

        Requests whose connections broke off together share the tests.
        """
        running = self._running.get(server.incarnation)
        if running is None:
            running = asyncio.get_running_loop().create_task(self._has_crashed(server))
            self._running[server.incarnation] = running
            running.add_done_callback(lambda _: self._running.pop(server.incarnation))
        return await asyncio.shield(running)

    async def _has_crashed(self, server: BackendServer) -> bool:
        broken_ms = monotonic_ms()
        error = await self._pool.test_connection(server)
        if error is None:
            return False
        self._links.record_failure(server, LinkFailure.of(error), monotonic_ms())
        if not error.refused:
            return False
        others = await self._test_others(server)
        if not others.reached:
            for other, failure in others.failures:
                self._links.record_failure(other, LinkFailure.of(failure), monotonic_ms())
            return False
        await asyncio.sleep((broken_ms + SIMULTANEOUS_MS - monotonic_ms()) / 1000)
        since_ms = broken_ms - SIMULTANEOUS_MS
        if not others.failures and not self._links.others_failed_since(server, since_ms):
            return True
        return await self._is_confirmed(server, since_ms, broken_ms + DECISION_MS)

    async def _test_others(self, server: BackendServer) -> _OtherLinks:
        """Connect to other endpoints until one of them accepts that."""
        others = self._links.sample_contacts(OTHERS_TRIED, server)
        if not others:
            return _OtherLinks(True, [])  # Nothing speaks against a crash.
        tests = {
            asyncio.ensure_future(self._pool.test_connection(other)): other for other in others
        }
        pending, failures = set(tests), []
        end_ms = monotonic_ms() + DECISION_MS
        while pending:
            timeout_s = max(0.0, end_ms - monotonic_ms()) / 1000
            done, pending = await asyncio.wait(
                pending, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED
            )
            errors = {tests[test]: test.result() for test in done}
            failures += [(other, error) for other, error in errors.items() if error is not None]
            if not done or None in errors.values():
                return _OtherLinks(bool(done), failures)
        return _OtherLinks(False, failures)

    async def _is_confirmed(self, server: BackendServer, since_ms: float, end_ms: float) -> bool:
        """Wait until another VM reports that it does not reach the endpoint either."""
        while monotonic_ms() < end_ms:
            if self._peer_links.is_reported(server, since_ms):
                return True
            await asyncio.sleep(POLL_MS / 1000)
        return False
