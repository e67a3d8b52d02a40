"""Compares the run records of backend servers with the answers that callers received.

The module does no input or output.  For example, a booking that ran twice:

>>> from cloverhook_emulator.run_record import RunOutcome, RunRecord, ToldRecord
>>> run = RunRecord("s1", "b", "r1", "", "POST", 0.0, 5.0, RunOutcome.DONE, "r1")
>>> told = ToldRecord("r1", "", "POST", "b", "vm-1", 0.0, 6.0, 200, "ran", "r1", "b")
>>> check([run, run], [told]).doubled
('r1',)
"""

from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, fields

from cloverhook_emulator.run_record import RunOutcome, RunRecord, ToldRecord

__all__ = ["Report", "check"]

IDEMPOTENT_METHODS = frozenset(("GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"))
OK = 200
RAN = "ran"
NOT_RUN = "not-run"
CONNECTION_CUT = "connection-cut"


@dataclass(frozen=True, slots=True)
class Report:
    """The violations found, each given by the request identifiers or idempotency keys concerned.

    `lost`: a request that was reported as run but has no run on record, or that never got a final
    answer.  `doubled`: a non-idempotent request, or an idempotency key, whose work was started more
    than once; a cancelled or failed run counts, because it is unknown how far it came.  `crossed`:
    a request that got the answer to another request or from another brand.  `cut`: a request that
    ended with a broken connection; only unplanned failures excuse it.  `false_not_run`: a request
    that was reported as "not run" but ran.
    """

    lost: tuple[str, ...] = ()
    doubled: tuple[str, ...] = ()
    crossed: tuple[str, ...] = ()
    cut: tuple[str, ...] = ()
    false_not_run: tuple[str, ...] = ()

    @property
    def is_clean(self) -> bool:
        """Whether there is no violation."""
        return not any(getattr(self, field.name) for field in fields(self))

    def merged_with(self, other: "Report") -> "Report":
        """Return a report of the violations of both reports."""
        names = [field.name for field in fields(self)]
        return Report(*(getattr(self, name) + getattr(other, name) for name in names))


def check(
    run_records: Sequence[RunRecord],
    caller_records: Sequence[ToldRecord],
    sent_ids: Iterable[str] = (),
) -> Report:
    """Compare records and return the violations.

    `sent_ids` holds the identifiers of all requests that callers sent, to find those that never got
    an answer.
    """
    runs: dict[str, list[RunRecord]] = defaultdict(list)
    for record in run_records:
        runs[record.request_id].append(record)
    keys = {(record.brand, record.idempotency_key) for record in run_records}
    known = {item.request_id for item in caller_records}
    without_run = (
        item.request_id for item in caller_records if not _has_expected_run(item, runs, keys)
    )
    without_answer = (request_id for request_id in sent_ids if request_id not in known)
    return Report(
        lost=(*without_run, *without_answer),
        doubled=_doubled_requests(runs) + _doubled_keys(run_records),
        crossed=tuple(item.request_id for item in caller_records if _is_crossed(item, runs)),
        cut=tuple(item.request_id for item in caller_records if _is_cut(item)),
        false_not_run=tuple(
            item.request_id
            for item in caller_records
            if item.outcome == NOT_RUN and item.request_id in runs
        ),
    )


def _has_expected_run(
    item: ToldRecord, runs: dict[str, list[RunRecord]], keys: set[tuple[str, str]]
) -> bool:
    """Return whether a request that was reported as run has a run on record.

    A retry with an idempotency key gets the outcome of the first run of that key.
    """
    if item.status == OK:
        records = runs.get(item.answer_id, ()) if item.idempotency_key else ()
        records = (*records, *runs.get(item.request_id, ()))
        return any(record.outcome is RunOutcome.DONE for record in records)
    if item.outcome != RAN:
        return True
    keyed = bool(item.idempotency_key) and (item.brand, item.idempotency_key) in keys
    return keyed or item.request_id in runs


def _doubled_requests(runs: dict[str, list[RunRecord]]) -> tuple[str, ...]:
    return tuple(
        request_id
        for request_id, records in runs.items()
        if len(records) > 1 and records[0].method not in IDEMPOTENT_METHODS
    )


def _doubled_keys(ran: Sequence[RunRecord]) -> tuple[str, ...]:
    requests_of: dict[tuple[str, str], set[str]] = defaultdict(set)
    for record in ran:
        if record.idempotency_key:
            requests_of[(record.brand, record.idempotency_key)].add(record.request_id)
    return tuple(key for (_, key), requests in requests_of.items() if len(requests) > 1)


def _is_cut(item: ToldRecord) -> bool:
    if item.status == 0:
        return item.sent
    return item.error == CONNECTION_CUT


def _is_crossed(item: ToldRecord, runs: dict[str, list[RunRecord]]) -> bool:
    if item.status != OK:
        return False
    if item.answer_brand != item.brand:
        return True
    if item.answer_id == item.request_id:
        return False
    return not any(
        item.idempotency_key and record.idempotency_key == item.idempotency_key
        for record in runs.get(item.answer_id, ())
    )
