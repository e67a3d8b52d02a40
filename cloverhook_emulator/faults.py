"""The faults that can be set on a stand-in backend server while it runs."""

from dataclasses import asdict, dataclass, fields
from typing import Any

__all__ = ["Faults"]


@dataclass(frozen=True, slots=True)
class Faults:
    """The faults of a server.

    `slow_factor` multiplies the work time; `fail_fast` answers 500 after `fail_ms`; `hang` never
    answers a request; `cut` closes the connection after the work; `down` refuses all connections
    and cuts those that are open; `drain` rejects new requests and lets those in flight end;
    `shed_ratio` is the share of new requests that are rejected before any work; `mislead` is the
    load that is reported instead of the true one (-1: the true one); `report_lag_ms` is the age of
    the load that `/load` reports; the first `cold_requests` requests take `cold_factor` times their
    work time.

    >>> Faults().changed({"slow_factor": 5}).slow_factor
    5
    """

    slow_factor: float = 1.0
    fail_fast: bool = False
    fail_ms: float = 1.0
    hang: bool = False
    cut: bool = False
    down: bool = False
    drain: bool = False
    shed_ratio: float = 0.0
    mislead: int = -1
    report_lag_ms: float = 0.0
    cold_requests: int = 0
    cold_factor: float = 5.0

    def with_changes(self, document: dict[str, Any]) -> "Faults":
        """Return a copy with some faults replaced.  Raises `ValueError` for an unknown name."""
        unknown = set(document) - {field.name for field in fields(self)}
        if unknown:
            raise ValueError(f"unknown faults: {', '.join(sorted(unknown))}")
        return Faults(**{**asdict(self), **document})
