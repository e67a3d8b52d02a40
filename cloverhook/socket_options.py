"""Socket options by which the kernel notices that the other end can't be reached any more.

Layer: transport.  A connection whose packets get lost for good gives no error by itself.  With
these options the kernel asks an idle peer for a sign of life, and gives up on bytes that nobody
acknowledges.  A peer that is only slow acknowledges, so slow work ends no connection.
"""

import socket
from dataclasses import dataclass

__all__ = ["CALLER_LIVENESS", "STORE_LIVENESS", "UPSTREAM_LIVENESS", "Liveness"]


@dataclass(frozen=True, slots=True)
class Liveness:
    """When a silent connection is given up.

    After `idle_s` without a packet the peer is asked every `interval_s`, at most `probes` times;
    bytes may stay unacknowledged for `unacknowledged_ms`.
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
"""A store that is waited on for long is missed within 3 s: a configuration has to come in time."""
