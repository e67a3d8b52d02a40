"""Counts and logs the requests that have ended.

Layer: transport.  The lines of a request are written together at its end: all of a request that
failed, was refused or was sent more than once, and of a sample of the others.
"""

import traceback

from cloverhook.clock import monotonic_ms
from cloverhook.errors import ErrorKind
from cloverhook.gateway.attempt import Attempt
from cloverhook.gateway.calls import CallerAnswer, CallerRequest
from cloverhook.gateway.choice import Choice
from cloverhook.gateway.counters import Counters
from cloverhook.gateway.event_log import EventKind, EventLog
from cloverhook.gateway.knowledge import GatewayState
from cloverhook.gateway.request_run import RequestState

__all__ = ["RequestReport"]

FAILURE_STATUSES = 500


class RequestReport:
    """What is kept of requests for those who ask afterwards."""

    def __init__(self, knowledge: GatewayState, log: EventLog, counters: Counters) -> None:
        self._knowledge = knowledge
        self._log = log
        self._counters = counters

    def record_retry(self, service: str, allowed: bool) -> None:
        """Count a repeat, or one for which no allowance was left."""
        self._counters.add("repeats" if allowed else "repeats_denied", service=service)

    def record_internal_error(self, request_id: bytes) -> None:
        """Log the exception that is being handled."""
        trace = traceback.format_exc()
        self._log.note(EventKind.FAULT, part="forwarding", id=_text(request_id), error=trace)

    def record_unrouted(
        self,
        request: CallerRequest,
        request_id: bytes,
        kind: ErrorKind,
        reason: str,
        answer: CallerAnswer,
    ) -> None:
        """Report a request that has no route."""
        self._counters.add("answers", service="", cause=kind.value)
        self._log.note(
            EventKind.ANSWER,
            id=_text(request_id),
            host=request.host,
            path=request.path,
            status=answer.status,
            cause=kind.value,
            reason=reason,
            config=self._knowledge.config_version,
        )

    def record_end(self, run: RequestState, answer: CallerAnswer) -> None:
        """Count a request that has ended; log it if it is a sampled or a troubled one."""
        now_ms = monotonic_ms()
        latency_ms = now_ms - run.request.arrived_ms
        won = any(item.answer is answer for item in run.results)
        cause = "answered" if won else answer.body.decode()
        self._counters.add("answers", service=run.service, cause=cause)
        self._counters.observe("latency", latency_ms, route=run.route.name)
        request_id = _text(run.request_id)
        troubled = not won or answer.status >= FAILURE_STATUSES or len(run.attempts) > 1
        if not troubled and not self._log.is_sampled(request_id):
            return
        config = self._knowledge.config
        for result in run.results:
            if result.crashed:
                self._counters.add("crashes", service=run.service)
        for attempt in run.attempts:
            self._log_attempt(run, attempt, request_id)
        self._log.note(
            EventKind.ANSWER if troubled else EventKind.SAMPLE,
            id=request_id,
            **_content(run),
            route=run.route.name,
            service=run.service,
            status=answer.status,
            cause=cause,
            latency_ms=round(latency_ms, 1),
            time_limit_ms=round(run.deadline_ms - run.request.arrived_ms),
            attempts=len(run.attempts),
            config=config.version if config is not None else -1,
            config_age_ms=round(now_ms - self._knowledge.config_at_ms),
            registry=self._knowledge.registry.version,
        )

    def _log_attempt(self, run: RequestState, attempt: Attempt, request_id: str) -> None:
        choice: Choice = attempt.choice
        result = next((item for item in run.results if item.choice is choice), None)
        self._log.note(
            EventKind.ATTEMPT,
            id=request_id,
            **_content(run),
            server=choice.server.incarnation,
            address=choice.server.address,
            expected_ms=round(choice.expected_ms),
            load=choice.load,
            slots=choice.server.slots,
            pace=round(choice.slowdown, 2),
            figure_age_ms=round(min(choice.load_report_age_ms, 1e6)),
            candidates=choice.candidates,
            outcome="given-up" if result is None else result.outcome.value,
            status=0 if result is None else result.status,
            crashed=result is not None and result.crashed,
            latency_ms=-1 if result is None else round(result.latency_ms, 1),
            usual_ms=-1 if result is None else round(result.nominal_ms, 1),
            detail="" if result is None else result.detail,
        )


def _content(run: RequestState) -> dict[str, str]:
    """Return what requests with the same content have in common."""
    return {
        "content": f"{run.keys.content:016x}",
        "content_of_caller": f"{run.keys.of_caller:016x}",
        "caller": run.request.caller,
    }


def _text(request_id: bytes) -> str:
    return request_id.decode("latin-1")
