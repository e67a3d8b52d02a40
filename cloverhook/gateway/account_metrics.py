"""Counts per client account how its requests ended.

Layer: state.  A configuration may have 1,000 accounts, and each name is a label of several metrics.
Only the first `NAMES_LIMIT` accounts that have sent requests to this process have a label of their
own; all others share one.  A name is kept until the process ends, because a counter that moved to
another label would fall.

>>> counters = Counters()
>>> metrics = AccountMetrics(counters)
>>> metrics.record_end("mill", "answered", 200, 80.0, aim_ms=100.0).value
'in-time'
>>> metrics.record_end("mill", "overloaded", 503, 5.0, aim_ms=100.0).value
'rejected'
>>> print(counters.to_prometheus_text().decode(), end="")
cloverhook_gateway_account_answers{account="mill",result="in-time"} 1
cloverhook_gateway_account_answers{account="mill",result="rejected"} 1
"""

from collections.abc import Iterable
from enum import StrEnum

from cloverhook.errors import ANSWERS, ErrorKind, Outcome
from cloverhook.gateway.accounts import ClientAccount
from cloverhook.gateway.counters import Counters

__all__ = ["NAMES_LIMIT", "OTHER", "AccountMetrics", "AccountResult"]

NAMES_LIMIT = 100
OTHER = "other"
"""The label of the accounts without one of their own, and of an account with this name."""
ANSWERED = "answered"
FAILURE_STATUS_MIN = 500
NOT_RUN_CAUSES = {kind.value for kind, item in ANSWERS.items() if item.outcome is Outcome.NOT_RUN}


class AccountResult(StrEnum):
    """How a request ended: answered by an endpoint, or not run, or neither."""

    IN_TIME = "in-time"
    LATE = "late"
    REJECTED = "rejected"
    FAILED = "failed"

    @property
    def is_served(self) -> bool:
        """Whether the caller got the answer of an endpoint that isn't a failure."""
        return self in (AccountResult.IN_TIME, AccountResult.LATE)

    @classmethod
    def of(cls, cause: str, status: int, latency_ms: float, aim_ms: float) -> "AccountResult":
        """Return the result of a request that ended with a cause and a status."""
        if cause in NOT_RUN_CAUSES:
            return cls.REJECTED
        if cause != ANSWERED or status >= FAILURE_STATUS_MIN:
            return cls.FAILED
        return cls.IN_TIME if latency_ms <= aim_ms else cls.LATE


class AccountMetrics:
    """The counters and gauges per client account, with a bounded number of names."""

    def __init__(self, counters: Counters) -> None:
        self._counters = counters
        self._names: set[str] = set()

    def label_of(self, account: str) -> str:
        """Return the label of an account in all metrics; the first accounts get their name."""
        if account not in self._names:
            if len(self._names) >= NAMES_LIMIT or account == OTHER:
                return OTHER
            self._names.add(account)
        return account

    def record_end(
        self, account: str, cause: str, status: int, latency_ms: float, aim_ms: float
    ) -> AccountResult | None:
        """Count a request that has ended, and return its result.

        A request over its account's allotment has no result: `account_requests` counts it, and it
        says nothing about how the account is served within its allotment.
        """
        label = self.label_of(account)
        if cause == ErrorKind.OVER_ALLOTMENT.value:
            return None
        result = AccountResult.of(cause, status, latency_ms, aim_ms)
        self._counters.add("account_answers", account=label, result=result.value)
        return result

    def set_limits(self, accounts: Iterable[ClientAccount]) -> None:
        """Set the gauges of the limits that a configuration states for accounts with a label.

        The limits of accounts that share a label would add up to a number without a meaning.
        """
        self._counters.remove("account_limit_per_s")
        for item in accounts:
            if item.rate_per_s and item.name in self._names:
                self._counters.set("account_limit_per_s", item.rate_per_s, account=item.name)
