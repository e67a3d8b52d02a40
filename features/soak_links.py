"""Cuts between gateway processes and the soak's backend servers, and what callers lose by them."""

import contextlib
import os
import socket
import struct
from collections import Counter
from dataclasses import dataclass, field
from weakref import WeakKeyDictionary

__all__ = ["LinkChecks", "LinkCut", "Owner", "owner_of"]

NETLINK_SOCK_DIAG = 4
SOCK_DIAG_BY_FAMILY = 20
NLM_F_REQUEST = 1
NETLINK_HEADER_BYTES = 16
INODE_OFFSET = NETLINK_HEADER_BYTES + 4 + 48 + 16
ANY = 0xFFFFFFFF
SETTLE_MS = 1_000.0
LOST_MIN, LOST_SHARE = 10, 0.02
SERVED_RATIO = 2 / 3
"""Callers at gateways without links may be served this much less often than those at others, once
`SETTLE_MS` have passed, and a few first tries may be lost."""


def owner_of(local, remote, pids):
    """Return which of some processes has the socket with these two addresses, or None.

    The kernel is asked for the socket's inode: its list of all connections takes too long to read
    while a soak has thousands of them.
    """
    name = f"socket:[{_inode(local, remote)}]"
    for pid in pids:
        with contextlib.suppress(OSError):
            for descriptor in os.listdir(f"/proc/{pid}/fd"):
                with contextlib.suppress(OSError):
                    if os.readlink(f"/proc/{pid}/fd/{descriptor}") == name:
                        return pid
    return None


def _inode(local, remote):
    """Return the inode of an open TCP socket, or 0."""
    socket_id = (
        struct.pack("!HH", local[1], remote[1])
        + socket.inet_aton(local[0])
        + bytes(12)
        + socket.inet_aton(remote[0])
        + bytes(12)
        + struct.pack("=III", 0, ANY, ANY)
    )
    request = struct.pack("=BBBBI", socket.AF_INET, socket.IPPROTO_TCP, 0, 0, ANY) + socket_id
    header = struct.pack(
        "=IHHII", NETLINK_HEADER_BYTES + len(request), SOCK_DIAG_BY_FAMILY, NLM_F_REQUEST, 1, 0
    )
    with socket.socket(socket.AF_NETLINK, socket.SOCK_RAW, NETLINK_SOCK_DIAG) as link:
        link.send(header + request)
        answer = link.recv(4_096)
    (kind,) = struct.unpack_from("=H", answer, 4)
    if kind != SOCK_DIAG_BY_FAMILY:
        return 0
    return struct.unpack_from("=I", answer, INODE_OFFSET)[0]


@dataclass(frozen=True, slots=True)
class Owner:
    """The gateway process that has opened a connection: how often it was started before."""

    name: str
    start_count: int


@dataclass(frozen=True, slots=True)
class LinkCut:
    """A cut of some gateways from all backend servers."""

    names: frozenset[str]
    how: str
    from_ms: float
    to_ms: float


@dataclass(slots=True)
class LinkChecks:
    """The cuts of a run; `lost` holds the gateways that are cut off now, and how.

    `owners` holds the gateway processes that have opened connections, where that is known.
    """

    lost: dict[str, str] = field(default_factory=dict)
    cuts: list[LinkCut] = field(default_factory=list)
    owners: WeakKeyDictionary = field(default_factory=WeakKeyDictionary)

    def can_be_served(self, call, size):
        """Return whether any of `size` gateways had its links when a call was sent."""
        total = (cut for cut in self.cuts if len(cut.names) == size)
        return not any(cut.from_ms <= call.sent_ms < cut.to_ms for cut in total)

    def violations(self, calls, disturbed):
        """Yield a text for each cut by which callers at some gateways lost far more than others.

        `calls` have a gateway's identity, a time and an answer; `disturbed` are the names of
        gateways that were killed, paused or stopped at any time.
        """
        for cut in self.cuts:
            sent, served = Counter(), Counter()
            for call in calls:
                name = call.identity[0]
                if name in disturbed or not cut.from_ms + SETTLE_MS <= call.sent_ms < cut.to_ms:
                    continue
                is_cut = name in cut.names
                sent[is_cut] += 1
                served[is_cut] += call.answer is not None and call.answer.status == 200
            if not sent[True] or not sent[False]:
                continue
            share, others = served[True] / sent[True], served[False] / sent[False]
            lost = sum(sent.values()) - sum(served.values())
            if share < SERVED_RATIO * others and lost > LOST_MIN + LOST_SHARE * sum(sent.values()):
                yield (
                    f"gateways without links ({cut.how}) served {served[True]} of {sent[True]},"
                    f" the others {served[False]} of {sent[False]}"
                )
