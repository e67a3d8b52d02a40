"""Sums the metrics of client accounts over the gateways of a fleet.

Layer: protocol.  The input are metrics pages of gateways in the Prometheus text format.

>>> page = '''cloverhook_gateway_account_answers{account="mill",result="in-time"} 3
... cloverhook_gateway_account_answers{account="mill",result="late"} 1
... cloverhook_gateway_account_limit_per_s{account="mill"} 20
... '''
>>> use, = sum_accounts([page, page])
>>> use.account, use.limit_per_s, use.answers["in-time"], use.share_in_time
('mill', 20.0, 6, 0.75)
"""

import re
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import Any

from cloverhook.gateway.account_metrics import AccountResult
from cloverhook.gateway.counters import PREFIX

__all__ = ["AccountUse", "is_metrics_page", "sum_accounts", "to_table"]

SAMPLE = re.compile(rf"{PREFIX}(account_[a-z_]+)\{{(.*)\}} (\S+)")
LABEL = re.compile(r'([a-z_]+)="((?:[^"\\]|\\.)*)"')
ESCAPED = re.compile(r"\\(.)")
RESULTS = tuple(item.value for item in AccountResult)
COLUMNS = ("account", "limit/s", "admitted", "over limit", *RESULTS, "share in time")
UNKNOWN = "-"


@dataclass(slots=True)
class AccountUse:
    """What an account has used over the fleet since its gateways started.

    `outcomes` is empty where no gateway counts admissions, and `limit_per_s` None where none states
    a limit.  Where gateways have different configurations, the highest limit counts.
    """

    account: str
    limit_per_s: float | None = None
    outcomes: dict[str, int] = field(default_factory=dict)
    answers: dict[str, int] = field(default_factory=lambda: dict.fromkeys(RESULTS, 0))

    @property
    def share_in_time(self) -> float | None:
        """The share of the ended requests that were answered in time; None if there are none.

        Requests over the account's limit don't count.
        """
        ended = sum(self.answers.values())
        return self.answers[AccountResult.IN_TIME.value] / ended if ended else None

    def to_document(self) -> dict[str, Any]:
        """Return the use as a JSON object."""
        return {
            "account": self.account,
            "limit_per_s": self.limit_per_s,
            "admitted": self.outcomes.get("admitted"),
            "over_limit": self.outcomes.get("over-allotment"),
            **{name.replace("-", "_"): count for name, count in self.answers.items()},
            "share_in_time": self.share_in_time,
        }


def is_metrics_page(page: str) -> bool:
    """Return whether a text holds metrics of a gateway."""
    return any(line.startswith(PREFIX) for line in page.split("\n"))


def sum_accounts(pages: Iterable[str]) -> list[AccountUse]:
    """Return the use of each account, the worst share in time first."""
    uses: dict[str, AccountUse] = {}
    for page in pages:
        for name, labels, value in _samples(page):
            use = uses.setdefault(labels["account"], AccountUse(labels["account"]))
            if name == "account_limit_per_s":
                use.limit_per_s = max(value, use.limit_per_s or 0.0)
            elif name == "account_requests":
                outcome = labels.get("outcome", "")
                use.outcomes[outcome] = use.outcomes.get(outcome, 0) + int(value)
            elif name == "account_answers" and labels.get("result") in use.answers:
                use.answers[labels["result"]] += int(value)
    return sorted(uses.values(), key=_rank)


def to_table(uses: Iterable[AccountUse]) -> str:
    """Return the uses as a text table."""
    rows = [COLUMNS, *(_cells(use) for use in uses)]
    widths = [max(len(row[column]) for row in rows) for column in range(len(COLUMNS))]
    return "\n".join(
        "  ".join([row[0].ljust(widths[0]), *map(str.rjust, row[1:], widths[1:])]) for row in rows
    )


def _samples(page: str) -> Iterator[tuple[str, dict[str, str], float]]:
    """Yield name, labels and value of each metric of a client account."""
    for line in page.split("\n"):
        found = SAMPLE.fullmatch(line)
        if found is None:
            continue
        labels = {name: _unescaped(value) for name, value in LABEL.findall(found[2])}
        try:
            value = float(found[3])
        except ValueError:
            continue
        if "account" in labels:
            yield found[1], labels, value


def _unescaped(value: str) -> str:
    return ESCAPED.sub(lambda found: "\n" if found[1] == "n" else found[1], value)


def _rank(use: AccountUse) -> tuple[float, str]:
    """Return the sort key; accounts of which no request has ended come last."""
    share = use.share_in_time
    return (2.0 if share is None else share, use.account)


def _cells(use: AccountUse) -> tuple[str, ...]:
    share = use.share_in_time
    outcomes = (use.outcomes.get(name, UNKNOWN) for name in ("admitted", "over-allotment"))
    return (
        use.account,
        UNKNOWN if use.limit_per_s is None else f"{use.limit_per_s:g}",
        *(str(count) for count in (*outcomes, *use.answers.values())),
        UNKNOWN if share is None else f"{share:.3f}",
    )
