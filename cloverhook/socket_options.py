"""Socket options with which the kernel detects that the peer has become unreachable.

Layer: transport.  A connection whose packets are permanently lost reports no error by itself.  With
these options the kernel sends keepalive probes to an idle peer, and closes a connection whose bytes
stay unacknowledged.  A peer that is only slow still acknowledges, so slow work closes no
connection.
"""

import socket
from dataclasses import dataclass

__all__ = ["CALLER_LIVENESS", "STORE_LIVENESS", "UPSTREAM_LIVENESS", "Liveness"]


@dataclass(frozen=True, slots=True)
class Liveness:
    """When a connection without packets from the peer is closed.

    After `idle_s` without a packet, a keepalive probe is sent every `interval_s`, at most `probes`
    times; sent bytes may stay unacknowledged for `unacknowledged_ms`.
    """

    idle_s: int
    interval_s: int
    probes: int
    unacknowledged_ms: int

    def apply(self, sock: socket.socket) -> None:
        """Set the options on a connected TCP socket."""
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, self.idle_s)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, self.interval_s)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, self.probes)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, self.unacknowledged_ms)


UPSTREAM_LIVENESS = Liveness(idle_s=3, interval_s=1, probes=3, unacknowledged_ms=3_000)
CALLER_LIVENESS = Liveness(idle_s=10, interval_s=5, probes=3, unacknowledged_ms=20_000)
STORE_LIVENESS = Liveness(idle_s=1, interval_s=1, probes=2, unacknowledged_ms=2_000)
"""Detects the loss of the store within 3 s, also during a long poll.

A longer detection time would delay new configurations.
"""
