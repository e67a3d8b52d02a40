"""Counts and logs the requests that have ended.

Layer: transport.  The log lines of a request are written together when it ends.  Every request that
failed, was rejected or was attempted more than once is logged, and a sample of the others.
"""

import traceback

from cloverhook.clock import monotonic_ms
from cloverhook.errors import ErrorKind
from cloverhook.gateway.account_metrics import AccountMetrics
from cloverhook.gateway.accounts import ClientAccount
from cloverhook.gateway.attempt import Attempt
from cloverhook.gateway.calls import CallerAnswer, CallerRequest
from cloverhook.gateway.choice import Choice
from cloverhook.gateway.counters import Counters
from cloverhook.gateway.event_log import EventKind, EventLog
from cloverhook.gateway.gateway_state import GatewayState
from cloverhook.gateway.request_queue import QueuedRequest
from cloverhook.gateway.request_state import ProxiedAttempt, RequestState
from cloverhook.gateway.starvation import Starvation

__all__ = ["RequestReport"]

FAILURE_STATUS_MIN = 500


class RequestReport:
    """Records requests in the counters and in the event log."""

    def __init__(self, gateway_state: GatewayState, log: EventLog, counters: Counters) -> None:
        self._gateway_state = gateway_state
        self._log = log
        self._counters = counters
        self.account_metrics = AccountMetrics(counters)
        self._starvation = Starvation()

    def record_retry(self, service: str, allowed: bool) -> None:
        """Count a retry, or one that was not made because the retry budget was exhausted."""
        self._counters.add("repeats" if allowed else "repeats_denied", service=service)

    def record_queue_wait(self, state: RequestState, waited_ms: float) -> None:
        """Count how long a request of a route with a long timeout was in the queue."""
        self._counters.observe("queue_wait", waited_ms, service=state.service)

    def record_long_queue(self, state: RequestState, queued: QueuedRequest) -> None:
        """Count and log a request that is rejected because its turn would come too late."""
        now_ms = monotonic_ms()
        self._counters.add("queue_rejected", service=state.service)
        self._log.note(
            EventKind.LONG_QUEUE,
            id=_text(state.request_id),
            service=state.service,
            route=state.route.name,
            priority=queued.priority,
            **_account_fields(state),
            waited_ms=round(now_ms - state.request.arrived_ms),
            left_ms=round(state.deadline_ms - now_ms),
            work_ms=round(queued.work_ms),
            work_ahead_ms=round(queued.work_ahead_ms),
            unavailable_ms=round(queued.unavailable_ms),
        )

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
        account: ClientAccount | None = None,
    ) -> None:
        """Count and log a request that is rejected before a service is chosen for it.

        Of those beyond an allotment only a sample is logged: there may be hundreds a second, and
        the lines of requests that failed would be dropped.
        """
        self._counters.add("answers", service="", cause=kind.value)
        id_text, is_over = _text(request_id), kind is ErrorKind.OVER_ALLOTMENT
        if is_over and not self._log.is_sampled(id_text):
            return
        self._log.note(
            EventKind.SAMPLE if is_over else EventKind.ANSWER,
            id=id_text,
            host=request.host,
            path=request.path,
            caller=request.caller,
            status=answer.status,
            cause=kind.value,
            reason=reason,
            **_account_fields(account),
            config=self._gateway_state.config_version,
            **self._confirmed_ages(monotonic_ms()),
        )

    def record_end(self, state: RequestState, answer: CallerAnswer) -> None:
        """Count a request that has ended; log it if it had trouble or is in the sample.

        A request had trouble if the gateway answered it itself, the response has a failure status
        or there was more than one attempt.
        """
        now_ms = monotonic_ms()
        latency_ms = now_ms - state.request.arrived_ms
        answered_by_server = any(item.answer is answer for item in state.results)
        cause = "answered" if answered_by_server else answer.body.decode()
        self._counters.add("answers", service=state.service, cause=cause)
        self._counters.observe("latency", latency_ms, route=state.route.name)
        self._record_account(state, cause, answer.status, now_ms)
        request_id = _text(state.request_id)
        had_trouble = (
            not answered_by_server
            or answer.status >= FAILURE_STATUS_MIN
            or len(state.attempts) > 1
            or bool(state.proxied or state.proxied_for)
        )
        if not had_trouble and not self._log.is_sampled(request_id):
            return
        config = self._gateway_state.config
        for result in state.results:
            if result.crashed:
                self._counters.add("crashes", service=state.service)
        for attempt in state.attempts:
            self._log_attempt(state, attempt, request_id)
        for proxied in state.proxied:
            self._log_proxied(state, proxied, request_id)
        self._log.note(
            EventKind.ANSWER if had_trouble else EventKind.SAMPLE,
            id=request_id,
            **_content_fields(state),
            route=state.route.name,
            service=state.service,
            status=answer.status,
            cause=cause,
            latency_ms=round(latency_ms, 1),
            time_limit_ms=round(state.deadline_ms - state.request.arrived_ms),
            attempts=len(state.attempts) + len(state.proxied),
            **_account_fields(state.account),
            proxied_for=state.proxied_for,
            config=config.version if config is not None else -1,
            config_age_ms=round(now_ms - self._gateway_state.config_at_ms),
            registry=self._gateway_state.registry.version,
            **self._confirmed_ages(now_ms),
        )

    def record_broken_off(self, state: RequestState, now_ms: float) -> None:
        """Count and log a request that is still in progress when a planned stop ends."""
        self._counters.add("broken_off", service=state.service)
        servers = [item.choice.server.incarnation for item in state.attempts if item.sent]
        self._log.note(
            EventKind.BROKEN_OFF,
            id=_text(state.request_id),
            route=state.route.name,
            service=state.service,
            proxied_for=state.proxied_for,
            servers=servers,
            proxies=[item.vm for item in state.proxied if item.sent],
            age_ms=round(now_ms - state.request.arrived_ms),
            left_ms=round(state.deadline_ms - now_ms),
        )

    def log_starved_accounts(self, now_ms: float) -> None:
        """Log the accounts that have become starved, or are served again."""
        for change in self._starvation.check(now_ms):
            self._log.note(
                EventKind.ACCOUNT,
                account=change.account,
                state="starved" if change.is_starved else "served",
                requests=change.requests,
                served=change.served,
                share_of_all=round(change.share_of_all, 3),
            )

    def _record_account(self, state: RequestState, cause: str, status: int, now_ms: float) -> None:
        """Count a request for its client account, if it has one.

        The gateway to which the caller has sent it counts it, not one that it was passed on to.
        """
        account = state.account
        if account is None or state.proxied_for:
            return
        latency_ms = now_ms - state.request.arrived_ms
        result = self.account_metrics.record_end(
            account.name, cause, status, latency_ms, state.route.aim_ms
        )
        if result is not None:
            self._starvation.record_end(account.name, result.is_served, now_ms)

    def _confirmed_ages(self, now_ms: float) -> dict[str, int | str]:
        """Return as log fields how long ago the state was known to be the newest, and by whom."""
        state = self._gateway_state
        config, registry = state.config_freshness, state.registry.position.freshness
        return {
            "config_confirmed_age_ms": round(min(config.age_ms(now_ms), now_ms)),
            "config_confirmed_by": config.source,
            "registry_confirmed_age_ms": round(min(registry.age_ms(now_ms), now_ms)),
            "registry_confirmed_by": registry.source,
        }

    def _log_proxied(self, state: RequestState, proxied: ProxiedAttempt, request_id: str) -> None:
        result = next((item for item in state.results if item.proxy == proxied.vm), None)
        self._log.note(
            EventKind.ATTEMPT,
            id=request_id,
            **_content_fields(state),
            proxy=proxied.vm,
            executions=proxied.executions,
            outcome="given-up" if result is None else result.outcome.value,
            status=0 if result is None else result.status,
            latency_ms=-1 if result is None else round(result.latency_ms, 1),
            crashed=False,
            detail="" if result is None else result.detail,
        )

    def _log_attempt(self, state: RequestState, attempt: Attempt, request_id: str) -> None:
        choice: Choice = attempt.choice
        result = next((item for item in state.results if item.choice is choice), None)
        self._log.note(
            EventKind.ATTEMPT,
            id=request_id,
            **_content_fields(state),
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


def _content_fields(state: RequestState) -> dict[str, str]:
    """Return the log fields that identify a request's content and its caller."""
    return {
        "content": f"{state.keys.content:016x}",
        "content_of_caller": f"{state.keys.of_caller:016x}",
        "caller": state.request.caller,
    }


def _account_fields(account: ClientAccount | None) -> dict[str, str]:
    """Return the log field that names the client account, where there are accounts."""
    return {} if account is None else {"account": account.name}


def _text(request_id: bytes) -> str:
    return request_id.decode("latin-1")
