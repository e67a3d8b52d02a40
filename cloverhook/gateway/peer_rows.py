"""The rows of the messages between gateways that report on many requests or endpoints.

Layer: protocol.  `from_row` raises `TypeError` or `ValueError` for a row with fields of the wrong
type or out of range, so that code behind it never has to handle one.

>>> BackoffEntry.from_row("i-7", 2_500).to_row()
['i-7', 2500]
"""

from dataclasses import dataclass
from math import inf
from typing import Any

from cloverhook.retry_after_header import BACKOFF_LIMIT_MS

__all__ = [
    "AGE_LIMIT_MS",
    "AccountUseRow",
    "BackoffEntry",
    "CrashRecord",
    "DrainNoticeEntry",
    "RateLimitEntry",
]

KEY_LIMIT = 2**64
AGE_LIMIT_MS = 1e12
"""A greater age, of 31 years, can't be meant, and may be no float."""
USE_LIMIT = 10**12
"""A process admits fewer requests than this; greater integers may be no floats."""
RATE_LIMIT_PER_S = 1e9
INTEGER_RATE_PER_S = 20


@dataclass(frozen=True, slots=True)
class CrashRecord:
    """The number of consecutive endpoint crashes while running a request, identified by its key.

    Other VMs must not send the request for `hold_ms`.  If `is_claim`, the sender of this record has
    the lease on the single trial copy, and sends it during that time.  With 0 crashes the request
    has been answered successfully, and its record is cleared.
    """

    key: int
    crashes: int
    hold_ms: float = 0.0
    is_claim: bool = False

    @classmethod
    def from_row(cls, key: int, crashes: int, hold_ms: float, is_claim: bool) -> "CrashRecord":
        """Build a crash record from a datagram's row.  Raises `TypeError` or `ValueError`."""
        has_types = type(key) is type(crashes) is int and isinstance(is_claim, bool)
        if not has_types or type(hold_ms) not in (int, float):
            raise TypeError("crash record with fields of the wrong type")
        if not 0 <= key < KEY_LIMIT or crashes < 0 or not 0 <= hold_ms < inf:
            raise ValueError("crash record with a value out of range")
        return cls(key, crashes, float(hold_ms), is_claim)

    def to_row(self) -> list[Any]:
        """Return the row for a datagram."""
        return [self.key, self.crashes, round(self.hold_ms), self.is_claim]


@dataclass(frozen=True, slots=True)
class RateLimitEntry:
    """The rate limit that an endpoint has advertised, in requests per second, and its age in ms.

    If `per_s` is None, the endpoint no longer advertises a limit.
    """

    incarnation: str
    per_s: float | None
    age_ms: float

    @classmethod
    def from_row(cls, incarnation: str, per_s: float | None, age_ms: float) -> "RateLimitEntry":
        """Build an entry from a datagram's row.  Raises `TypeError` or `ValueError`."""
        numbers = [age_ms] if per_s is None else [age_ms, per_s]
        if not isinstance(incarnation, str) or any(type(x) not in (int, float) for x in numbers):
            raise TypeError("rate limit with fields of the wrong type")
        if not all(0 <= number < inf for number in numbers):
            raise ValueError("rate limit with a value out of range")
        return cls(incarnation, None if per_s is None else float(per_s), float(age_ms))

    def to_row(self) -> list[Any]:
        """Return the row for a datagram."""
        return [self.incarnation, self.per_s, round(self.age_ms)]


@dataclass(frozen=True, slots=True)
class DrainNoticeEntry:
    """The notice by which an endpoint says that it is about to stop, as a VM knows it.

    The endpoint has given notice `first_age_ms` ago for the first time and `last_age_ms` ago for
    the last time.  If `first_age_ms` is None, it has answered without a notice to a request that
    was sent `last_age_ms` ago.
    """

    incarnation: str
    first_age_ms: float | None
    last_age_ms: float

    @classmethod
    def from_row(
        cls, incarnation: str, first_age_ms: float | None, last_age_ms: float
    ) -> "DrainNoticeEntry":
        """Build an entry from a datagram's row.  Raises `TypeError` or `ValueError`."""
        ages_ms = [last_age_ms] if first_age_ms is None else [first_age_ms, last_age_ms]
        if not isinstance(incarnation, str) or any(type(x) not in (int, float) for x in ages_ms):
            raise TypeError("drain notice with fields of the wrong type")
        if not all(0 <= age_ms <= AGE_LIMIT_MS for age_ms in ages_ms):
            raise ValueError("drain notice with a value out of range")
        return cls(incarnation, first_age_ms, last_age_ms)

    def to_row(self) -> list[Any]:
        """Return the row for a datagram."""
        first_age_ms = None if self.first_age_ms is None else round(self.first_age_ms)
        return [self.incarnation, first_age_ms, round(self.last_age_ms)]


@dataclass(frozen=True, slots=True)
class BackoffEntry:
    """For how long an endpoint that has rejected a request of a VM wants no further ones."""

    incarnation: str
    remaining_ms: float

    @classmethod
    def from_row(cls, incarnation: str, remaining_ms: float) -> "BackoffEntry":
        """Build an entry from a datagram's row.  Raises `TypeError` or `ValueError`."""
        if not isinstance(incarnation, str) or type(remaining_ms) not in (int, float):
            raise TypeError("backoff with fields of the wrong type")
        if not 0 <= remaining_ms <= BACKOFF_LIMIT_MS:
            raise ValueError("backoff with a value out of range")
        return cls(incarnation, remaining_ms)

    def to_row(self) -> list[Any]:
        """Return the row for a datagram."""
        return [self.incarnation, round(self.remaining_ms)]


@dataclass(frozen=True, slots=True)
class AccountUseRow:
    """The use of a client account at one VM.

    `total` is the number of its requests that the VM has admitted, and `demand_per_s` the rate at
    which callers send them, whether they are admitted or not.  `use_per_s` is the recent rate of
    admissions; a VM that lacks the last total learns from it what was admitted of late.  `level` is
    how many requests the fleet may admit at once, as the VM estimates it; it may be negative.
    """

    account: str
    total: int
    demand_per_s: float
    use_per_s: float
    level: float

    @classmethod
    def from_row(
        cls, account: str, total: int, demand_per_s: float, use_per_s: float, level: float
    ) -> "AccountUseRow":
        """Build a row from a datagram's row.  Raises `TypeError` or `ValueError`."""
        numbers = (demand_per_s, use_per_s, level)
        has_types = isinstance(account, str) and type(total) is int
        if not has_types or any(type(number) not in (int, float) for number in numbers):
            raise TypeError("account use with fields of the wrong type")
        if not 0 <= total <= USE_LIMIT or not -USE_LIMIT <= level <= USE_LIMIT:
            raise ValueError("account use with a value out of range")
        if not (0 <= demand_per_s <= RATE_LIMIT_PER_S and 0 <= use_per_s <= RATE_LIMIT_PER_S):
            raise ValueError("account use with a rate out of range")
        return cls(account, total, float(demand_per_s), float(use_per_s), float(level))

    def to_row(self) -> list[Any]:
        """Return the row for a datagram; numbers are rounded, which keeps it small."""
        rates = (_rounded(self.demand_per_s), _rounded(self.use_per_s))
        return [self.account, self.total, *rates, round(self.level)]


def _rounded(rate_per_s: float) -> float:
    """Round a rate to an integer where that makes little difference."""
    return round(rate_per_s) if rate_per_s >= INTEGER_RATE_PER_S else round(rate_per_s, 2)
