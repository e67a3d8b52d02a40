"""Runs the checks of links that are due, and reports their results.

Layer: transport.
"""

import asyncio

from cloverhook.clock import monotonic_ms
from cloverhook.gateway.backend_server import BackendServer
from cloverhook.gateway.counters import Counters
from cloverhook.gateway.gateway_state import GatewayState
from cloverhook.gateway.links import Links
from cloverhook.gateway.peer_links import PeerLinks
from cloverhook.gateway.prober import Prober

__all__ = ["LinkChecks"]


class LinkChecks:
    """The checks in progress; `close` prevents further ones."""

    def __init__(
        self,
        gateway_state: GatewayState,
        links: Links,
        peer_links: PeerLinks,
        prober: Prober,
        counters: Counters,
    ) -> None:
        self._gateway_state = gateway_state
        self._links = links
        self._peer_links = peer_links
        self._prober = prober
        self._counters = counters
        self._tasks: set[asyncio.Task[bool]] = set()
        self._closed = False

    def start_due(self) -> None:
        """Start the checks that are due."""
        for server in self._links.due_checks(monotonic_ms()):
            self.start(server)

    def start(self, server: BackendServer) -> None:
        """Start a check of the link to an endpoint."""
        if not self._closed:
            task = asyncio.get_running_loop().create_task(self.check(server))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def check(self, server: BackendServer) -> bool:
        """Return whether this VM reaches an endpoint now."""
        config = self._gateway_state.config
        spec = None if config is None else config.services.get(server.service)
        if spec is None:
            return False
        reached = await self._prober.check_link(server, spec.health_path)
        self._counters.add("link_checks", reached="yes" if reached else "no")
        self._peer_links.record_check(server, reached, monotonic_ms())
        return reached

    def close(self) -> None:
        """Start no further checks."""
        self._closed = True
