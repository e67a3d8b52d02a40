"""Cuts between gateway processes and the soak's backend servers, and what callers lose by them."""

import contextlib
import os
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

__all__ = ["LinkChecks", "owner_of"]

SETTLE_MS = 1_500.0
LOST_MIN, LOST_SHARE = 10, 0.02
SERVED_RATIO = 2 / 3
"""Callers at gateways without links may be served this much less often than those at others, once
`SETTLE_MS` have passed, and a few first tries may be lost."""


def owner_of(port, pids):
    """Return which of some processes has the socket with this local port, or None."""
    inode = _inode_of(port)
    for pid in pids:
        with contextlib.suppress(OSError):
            for name in os.listdir(f"/proc/{pid}/fd"):
                with contextlib.suppress(OSError):
                    if os.readlink(f"/proc/{pid}/fd/{name}") == f"socket:[{inode}]":
                        return pid
    return None


def _inode_of(port):
    local = f":{port:04X}"
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        row = line.split()
        if row[1].endswith(local):
            return row[9]
    return None


@dataclass(frozen=True, slots=True)
class LinkCut:
    """A cut of some gateways from all backend servers."""

    names: frozenset[str]
    from_ms: float
    to_ms: float


@dataclass(slots=True)
class LinkChecks:
    """The cuts of a run; `lost` holds the gateways that are cut off now, and how."""

    lost: dict[str, str] = field(default_factory=dict)
    cuts: list[LinkCut] = field(default_factory=list)

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
                    f"gateways without links served {served[True]} of {sent[True]}, the others"
                    f" {served[False]} of {sent[False]}"
                )
