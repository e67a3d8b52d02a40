"""What membership costs one daemon, by feeding it the messages of any number of peers."""

import time

from bench.slope import Slope, measured
from cloverhook.members import Member, Membership
from cloverhook.messages import Heartbeat, Hello, decode, encode

__all__ = ["MEMBERS", "membership_slopes"]

MEMBERS = (19, 100, 400)
HEARTBEATS_PER_S = 4
START_MS = 1_000_000.0
BEST_OF = 5


def membership_slopes() -> list[Slope]:
    """Measure a second of a daemon's membership with each number of peers."""
    return [
        measured("membership", "a second of one daemon", "us", "member", MEMBERS, _second_us),
        measured("membership", "bytes a second", "bytes", "member", MEMBERS, _second_bytes),
    ]


def _beat(index: int) -> Heartbeat:
    return Heartbeat(f"vm-{index:03d}", 1_700_000_000_000, 8_600)


def _membership(members: int) -> Membership:
    membership = Membership(Member("vm-own", "dc-0", "10.0.0.1:1", "10.0.0.1:2"))
    for index in range(members):
        hello = Hello(
            f"vm-{index:03d}", f"dc-{index % 13}", f"10.1.{index % 256}.1:1", "", 1, b"", b""
        )
        membership.greeted(hello, START_MS)
    return membership


def _second_us(members: int) -> float:
    membership = _membership(members)
    beats = [encode(_beat(index)) for index in range(members)]
    best = float("inf")
    for _ in range(BEST_OF):
        start = time.perf_counter()
        for _ in range(HEARTBEATS_PER_S):
            for data in beats:
                membership.heard(decode(data), START_MS)
                encode(_beat(0))
            membership.serving(START_MS)
        best = min(best, time.perf_counter() - start)
    return best * 1e6


def _second_bytes(members: int) -> float:
    return 2.0 * HEARTBEATS_PER_S * members * len(encode(_beat(0)))
