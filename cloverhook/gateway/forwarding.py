"""Forwards each request: admission, attempts, retries and hedged attempts, and the final response.

Layer: transport.  A request that must run at most once is sent again only if it is certain that it
has not run.  An idempotent request may also be sent to a second backend server while the first one
has not answered (a hedged request), within the retry budget.  A request that is given up gets its
final response at once.
"""

import asyncio
import math
import random
from collections.abc import Callable

from cloverhook.clock import monotonic_ms
from cloverhook.errors import ErrorKind
from cloverhook.gateway.accounts import ClientAccount
from cloverhook.gateway.admission import Admission
from cloverhook.gateway.allotment_updates import AllotmentUpdates
from cloverhook.gateway.attempt import Attempt, AttemptResult, Outcome
from cloverhook.gateway.authorization import authorize
from cloverhook.gateway.backend_pool import BackendPool
from cloverhook.gateway.backend_server import BackendServer
from cloverhook.gateway.balancer import Balancer
from cloverhook.gateway.call_headers import CallHeaders, find
from cloverhook.gateway.calls import CallerAnswer, CallerRequest
from cloverhook.gateway.choice import CapacityRequirement, Choice, WorkEstimates
from cloverhook.gateway.config_gate import ConfigGate
from cloverhook.gateway.crash_detection import CrashDetector
from cloverhook.gateway.final_answer import error_answer, final_error_kind
from cloverhook.gateway.gateway_state import GatewayState
from cloverhook.gateway.links import Links
from cloverhook.gateway.notice_recorder import NoticeRecorder
from cloverhook.gateway.planned_stop import PlannedStop
from cloverhook.gateway.proxying import Proxying
from cloverhook.gateway.quarantine_updates import QuarantineUpdates
from cloverhook.gateway.rate_limit_updates import RateLimitUpdates
from cloverhook.gateway.request_queue import QueuedRequest, RequestQueue, waits_late
from cloverhook.gateway.request_report import RequestReport
from cloverhook.gateway.request_state import ProxiedAttempt, RequestState
from cloverhook.gateway.response_matching import ResponseMatcher
from cloverhook.gateway.retry_budget import RetryBudget
from cloverhook.gateway.routes import Route
from cloverhook.gateway.server_load import SLOW_FACTOR
from cloverhook.gateway.slot_claims import SlotClaims
from cloverhook.gateway.weighted_round_robin import WeightedRoundRobin

__all__ = ["Forwarder"]

ATTEMPTS_LIMIT = 4
"""If this many backend servers have rejected a request, the gateway rejects it too."""
LOAD_PROBES_LIMIT = 2
"""At most this many attempts of a request begin with a load probe; the next one sends at once."""
HEDGE_SHARE = 0.7
"""If an endpoint that works without slowdown has not answered after this share of the latency
objective, a hedged request is sent."""
AVAILABLE_SHARE_MIN = 0.5
"""A hedged request is sent only while this share of the service's endpoints has capacity: in
overload it would take a slot from a request that has not been attempted yet."""
LOAD_REPORT_LAG_MS = 150.0
"""A request keeps the slowdown with which its work began, and a load report may show that slowdown
this much later."""
QUARANTINE_WAIT_SHARE = 0.5
"""The share of its latency objective for which a request waits to learn whether another copy of it
crashes an endpoint."""
UNANSWERED_WORK_FACTOR = 6.0
"""An endpoint has failed a request if it has not answered in a time in which it could have done the
work this many times; an endpoint that merely takes a few times as long as it reports has not."""
ATTEMPT_TIME_MIN_MS = 10.0
"""With less time than this left before the deadline, a further attempt isn't worth starting."""
LINK_CHECKS_POLL_MS = 10.0
CONNECTION_SHARE = 0.8
"""The share of an endpoint's connections that all gateways together may use."""


class Forwarder:
    """Forwards callers' requests to backend servers."""

    def __init__(
        self,
        gateway_state: GatewayState,
        balancer: Balancer,
        estimates: WorkEstimates,
        pool: BackendPool,
        retry_budget: RetryBudget,
        headers: CallHeaders,
        vms: Callable[[], int],
        dispatchers: Callable[[], int],
        on_count: Callable[[str], None],
        on_failure: Callable[[str, float], None],
        on_refusal: Callable[[str], None],
        quarantine_updates: QuarantineUpdates,
        rate_limit_updates: RateLimitUpdates,
        notices: NoticeRecorder,
        matcher: ResponseMatcher,
        links: Links,
        crashes: CrashDetector,
        proxying: Proxying,
        config_gate: ConfigGate,
        allotment_updates: AllotmentUpdates,
        planned_stop: PlannedStop,
        report: RequestReport,
    ) -> None:
        """`vms` returns the size of the fleet, `dispatchers` how many VMs have requests in flight.

        `on_count`, `on_failure` and `on_refusal` are called with the incarnation concerned.
        """
        self._gateway_state = gateway_state
        self._balancer = balancer
        self._pool = pool
        self._retry_budget = retry_budget
        self._headers = headers
        self._vms = vms
        self._claims = SlotClaims(dispatchers, random.Random())
        self._on_count = on_count
        self._on_failure = on_failure
        self._on_refusal = on_refusal
        self._quarantine_updates = quarantine_updates
        self._rate_limit_updates = rate_limit_updates
        self._notices = notices
        self._matcher = matcher
        self._links = links
        self._crashes = crashes
        self._proxying = proxying
        self._config_gate = config_gate
        self._allotment_updates = allotment_updates
        self._planned_stop = planned_stop
        self._report = report
        self._estimates = estimates
        self.admission = Admission(
            RequestQueue(balancer, self._claims),
            self._count_placed,
            lambda choice: self._change_in_flight(choice, -1),
        )
        self._round_robin = WeightedRoundRobin()
        self._running: dict[str, set[RequestState]] = {}
        self._in_progress: set[RequestState] = set()

    def slowdown_changed(self, incarnation: str) -> None:
        """Recheck for hedging the requests sent to a backend server just before it became slow."""
        states = self._running.get(incarnation)
        if not states:
            return
        now_ms = monotonic_ms()
        if self._gateway_state.load_table.get_or_create(incarnation).slowdown(now_ms) < SLOW_FACTOR:
            return
        for state in states:
            if now_ms - state.attempts[-1].began_ms < LOAD_REPORT_LAG_MS:
                state.request_recheck()

    def link_lost(self, incarnation: str) -> None:
        """Recheck for hedging the requests sent to a backend server that is not reached now."""
        for state in self._running.get(incarnation, ()):
            state.request_recheck()

    def begin_stop(self) -> None:
        """Reject the queued requests for which a planned stop leaves too little time."""
        now_ms = monotonic_ms()
        self.admission.reject(
            lambda queued: not self._planned_stop.allows(
                now_ms, queued.deadline_ms, queued.work_ms if queued.retryable else math.inf
            )
        )

    def record_broken_off(self) -> None:
        """Record the requests in progress, which end with this process."""
        now_ms = monotonic_ms()
        for state in self._in_progress:
            self._report.record_broken_off(state, now_ms)

    async def handle(self, request: CallerRequest) -> CallerAnswer:
        """Return the response to a request; an exception is logged and gives an internal error."""
        try:
            return await self._route_and_forward(request)
        except Exception:
            self._report.record_internal_error(
                find(request.headers, self._headers.request_id) or b""
            )
            return error_answer(ErrorKind.INTERNAL)

    async def _route_and_forward(self, request: CallerRequest) -> CallerAnswer:
        config = self._gateway_state.config
        request_id = find(request.headers, self._headers.request_id) or b""
        if config is None:
            kind, reason = ErrorKind.NO_BACKEND_SERVER, "no configuration received yet"
            return self._reject_unrouted(request, request_id, kind, reason)
        if not self._config_gate.is_open(monotonic_ms()):
            kind, reason = ErrorKind.OUTDATED, "a newer configuration is overdue here"
            return self._reject_unrouted(request, request_id, kind, reason)
        route = config.find(request.host, request.path)
        if route is None and self._config_gate.may_lack_routes(monotonic_ms()):
            kind, reason = ErrorKind.OUTDATED, "a newer configuration may have its route"
            return self._reject_unrouted(request, request_id, kind, reason)
        if route is None:
            kind, reason = ErrorKind.UNKNOWN_HOST, "no route matches the host and path"
            return self._reject_unrouted(request, request_id, kind, reason)
        if route.unusable:
            kind, reason = ErrorKind.OUTDATED, "its route could not be understood"
            return self._reject_unrouted(request, request_id, kind, reason)
        access = authorize(config.accounts, request.headers, self._headers)
        if config.accounts is not None and not route.public:
            rejection = self._config_gate.reject_key(access, monotonic_ms())
            if rejection is not None:
                reason = "its key belongs to no account of this configuration"
                return self._reject_unrouted(request, request_id, rejection, reason)
        account = access.account
        if account is not None:
            decision = self._allotment_updates.try_take(account, monotonic_ms(), route.priority)
            if not decision.admitted:
                kind, reason = ErrorKind.OVER_ALLOTMENT, "its account is beyond its allotment"
                retry_ms = decision.retry_after_ms
                return self._reject_unrouted(request, request_id, kind, reason, retry_ms, account)
        service = self._round_robin.next_service(route)
        state = RequestState.of(request, request_id, route, service, self._headers, access)
        try:
            return await self.forward(state)
        finally:
            if account is not None and not state.possible_executions:
                self._allotment_updates.refund(account, monotonic_ms())

    async def forward(self, state: RequestState) -> CallerAnswer:
        """Forward a request that has a route, and return the response; log and count its end."""
        self._retry_budget.count_request(state.service, monotonic_ms())
        self._in_progress.add(state)
        try:
            answer = await self._forward(state)
        except asyncio.CancelledError:
            self._report.record_end(state, error_answer(ErrorKind.CALLER_GONE))
            raise
        finally:
            self._in_progress.discard(state)
            for task, attempt in state.tasks.items():
                task.cancel()
                if isinstance(attempt, Attempt):
                    self._record_if_unanswered(state, attempt)
            for attempt in state.attempts:
                self._remove_running(state, attempt)
                attempt.drop_body()
            # The state and its attempts refer to each other, so they are freed only by a run of the
            # garbage collector.
            state.request = state.request.without_body()
        self._report.record_end(state, answer)
        return answer

    async def _forward(self, state: RequestState) -> CallerAnswer:
        if not await self._start_first(state):
            return self._final_response(state)
        while state.tasks:
            done = await self._wait(state)
            for task in done:
                attempt = state.tasks.pop(task)
                state.results.append(task.result())
                if isinstance(attempt, Attempt):
                    self._record_result(state, task.result(), attempt)
            successful = next((item for item in state.results if not item.failed), None)
            if successful is not None:
                self._quarantine_updates.record_success(state.keys)
                self._record_latency(state, successful)
                return successful.answer
            if monotonic_ms() >= state.deadline_ms:
                break
            if done:
                await self._retry(state)
            elif self._should_hedge(state) and not self._try_start_attempt(state):
                await self._try_proxy(state)
        return self._final_response(state)

    async def _start_first(self, state: RequestState) -> bool:
        """Start the first attempt of a request; return False if it is rejected."""
        if not self._fits_planned_stop(state):
            return False
        if await self._try_proxy(state):
            return True
        if not await self._passes_quarantine(state):
            return False
        choice = await self._wait_for_capacity(state)
        if choice is None:
            return await self._try_proxy(state) or await self._try_after_link_checks(state)
        self._start_attempt(state, choice)
        return True

    async def _retry(self, state: RequestState) -> None:
        """Start another attempt after a failed one, if that is allowed and may succeed."""
        if await self._try_retry_here(state) or state.tasks or await self._try_proxy(state):
            return
        # The last proxy may have failed after links came back.
        if not await self._try_retry_here(state):
            await self._try_after_link_checks(state)

    async def _try_retry_here(self, state: RequestState) -> bool:
        """Start another attempt of this VM if that is allowed; return whether one was started."""
        if not self._may_retry(state) or self._is_out_of_reach(state):
            return False
        return await self._passes_quarantine(state) and self._try_start_attempt(state)

    async def _try_after_link_checks(self, state: RequestState) -> bool:
        """Try a request again once checks have shown whether this VM has lost its links.

        Until then requests that wait for connections may hold the slots of all endpoints.  Returns
        whether the request was sent.
        """
        may_send = self._may_retry(state) or self._proxying.may_start(state)
        if not may_send or not self._links.is_suspected(state.service, monotonic_ms()):
            return False
        if not self._fits_planned_stop(state):
            return False
        while self._links.is_suspected(state.service, monotonic_ms()):
            await asyncio.sleep(LINK_CHECKS_POLL_MS / 1000)
        return await self._try_proxy(state) or await self._try_retry_here(state)

    async def _try_proxy(self, state: RequestState) -> bool:
        """Send a request by way of another gateway if this one reaches no endpoint for it.

        Returns whether it was sent.  If no other gateway offers that, links that have come back
        only a short time ago are used.
        """
        if not self._is_out_of_reach(state) or not self._proxying.may_start(state):
            return False
        if not self._fits_planned_stop(state):
            return False
        vm = await self._proxying.choose(state)
        now_ms = monotonic_ms()
        if vm is None:
            self._links.use_held_links(state.service, now_ms)
            return False
        if state.deadline_ms - now_ms < ATTEMPT_TIME_MIN_MS or not self._take_retry(state, now_ms):
            return False
        if not state.proxied:
            self._retry_budget.uncount_request(state.service, now_ms)
        executions = max(1, state.attempts_allowed - state.possible_executions)
        proxied = ProxiedAttempt(vm, executions)
        task = asyncio.get_running_loop().create_task(self._proxying.run(state, proxied))
        state.tasks[task] = proxied
        state.proxied.append(proxied)
        return True

    def _fits_planned_stop(self, state: RequestState) -> bool:
        """Return whether a planned stop, if one has begun, leaves enough time for a request."""
        route = state.route
        work_ms = self._estimates.work_ms(route.name, route.aim_ms)
        return self._planned_stop.allows(
            monotonic_ms(), state.deadline_ms, work_ms if route.idempotent else math.inf
        )

    def _is_out_of_reach(self, state: RequestState) -> bool:
        """Return whether this VM reaches none of the endpoints for a request."""
        eligibility = self._balancer.eligibility
        return eligibility.is_out_of_reach(state.service, state.route.regions)

    def _take_retry(self, state: RequestState, now_ms: float) -> bool:
        """Charge another attempt to the retry budget if an earlier one may have arrived."""
        if not (any(item.arrived for item in state.results) or state.tasks):
            return True
        allowed = self._retry_budget.try_take(state.service, now_ms, self._vms())
        self._report.record_retry(state.service, allowed)
        return allowed

    async def _passes_quarantine(self, state: RequestState) -> bool:
        """Return whether the quarantine allows a request to be sent.

        While another copy with the same content is being tried under a lease, the request waits for
        the outcome for as long as it may still be answered in time.
        """
        updates, objective_ms = self._quarantine_updates, state.route.aim_ms
        if await updates.admit(
            state.keys, state.request.arrived_ms + QUARANTINE_WAIT_SHARE * objective_ms
        ):
            return True
        state.quarantine_left_ms = updates.quarantine.remaining_ms(state.keys, monotonic_ms())
        return False

    def _record_result(self, state: RequestState, result: AttemptResult, attempt: Attempt) -> None:
        """Record what the result of an attempt shows about its endpoint."""
        incarnation = result.choice.server.incarnation
        self._record_rate_limit(incarnation, result)
        if result.refused_with_free_slot:
            self._on_refusal(incarnation)
        if result.crashed and not self._was_draining_or_gone(incarnation):
            known = state.crash_counts_at_send[incarnation]
            self._quarantine_updates.record_crash(state.keys, known, incarnation)
        if result.server_failed:
            self._on_failure(incarnation, attempt.began_ms)
        elif not result.failed:
            self._gateway_state.load_table.get_or_create(incarnation).circuit_breaker.record_answer(
                monotonic_ms()
            )

    def _record_rate_limit(self, incarnation: str, result: AttemptResult) -> None:
        """Record the rate limit that an endpoint advertises, or that it no longer advertises one.

        Only a successful response without a limit shows that there is no limit any more.
        """
        succeeded = result.outcome is Outcome.ANSWERED and not result.failed
        if result.advertised_limit_per_s is not None or succeeded:
            now_ms = monotonic_ms()
            self._rate_limit_updates.record_response(
                incarnation, result.advertised_limit_per_s, now_ms
            )

    def _was_draining_or_gone(self, incarnation: str) -> bool:
        """Return whether an endpoint is draining or gone, or its entry is in its grace period."""
        server = self._gateway_state.registry.get(incarnation)
        return server is None or self._gateway_state.is_leaving(server)

    def _record_if_unanswered(self, state: RequestState, attempt: Attempt) -> None:
        """Count an abandoned attempt as a failure if its work should have been done long ago.

        An endpoint that is full, or has answered other requests meanwhile, is only slow or has
        queued the request, so no failure is counted.
        """
        server, now_ms = attempt.choice.server, monotonic_ms()
        load = self._gateway_state.load_table.get_or_create(server.incarnation)
        load_report = load.latest_report
        if not attempt.sent or load.circuit_breaker.answered_since(attempt.began_ms):
            return
        if load_report is not None and load_report.running + load_report.waiting >= server.slots:
            return
        work_ms = self._estimates.work_ms(state.route.name, state.route.aim_ms)
        work_done_ms = load.expected_progress_ms(now_ms) - attempt.progress_at_start_ms
        if load_report is None:
            work_done_ms = now_ms - attempt.began_ms
        if work_done_ms >= UNANSWERED_WORK_FACTOR * work_ms:
            self._on_failure(server.incarnation, attempt.began_ms)

    async def _wait(self, state: RequestState) -> set[asyncio.Task[AttemptResult]]:
        """Wait until an attempt ends, or until the request has to be checked again."""
        awaited: set[asyncio.Future] = set(state.tasks)
        if self._can_hedge(state):
            state.recheck = asyncio.get_running_loop().create_future()
            awaited.add(state.recheck)
        timeout_s = max(0.0, self._wait_ms(state)) / 1000
        done, _ = await asyncio.wait(
            awaited, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED
        )
        done.discard(state.recheck)
        state.recheck = None
        return done

    def _remove_running(self, state: RequestState, attempt: Attempt) -> None:
        incarnation = attempt.choice.server.incarnation
        states = self._running.get(incarnation)
        if states is not None:
            states.discard(state)
            if not states:
                del self._running[incarnation]

    async def _wait_for_capacity(self, state: RequestState) -> Choice | None:
        """Wait for capacity at a backend server; return None if the request is rejected."""
        route = state.route
        config, account = self._gateway_state.config, state.account
        queued_request = QueuedRequest(
            state.service,
            state.priority,
            self._estimates.work_ms(route.name, route.aim_ms),
            state.request.arrived_ms,
            route.aim_ms,
            state.deadline_ms,
            is_top_priority=config.is_top_priority(state.service, route, account),
            retryable=route.idempotent,
            regions=route.regions,
            kind=route.name,
            waits_late=self._waits_late(route),
        )
        if config.accounts is not None:
            queued_request.account = "" if account is None else account.name
            queued_request.weight = 1.0 if account is None else account.rate_per_s or 1.0
            queued_request.over_share_is_last = account is None or account.priority is None
        added_ms = monotonic_ms()
        if not self._fits_planned_stop(state):
            return None  # The stop may have begun while the request was in quarantine.
        choice = await self.admission.wait(queued_request)
        if queued_request.waits_late:
            self._report.record_queue_wait(state, monotonic_ms() - added_ms)
        if queued_request.too_late:
            state.queue_left_ms = queued_request.unavailable_ms
            self._report.record_long_queue(state, queued_request)
        return choice

    def _count_placed(self, choice: Choice) -> None:
        """Count a request at the chosen backend server, before the next choice is made."""
        self._balancer.record_placement(choice.server, monotonic_ms())
        self._change_in_flight(choice, 1)

    def _change_in_flight(self, choice: Choice, change: int) -> None:
        incarnation = choice.server.incarnation
        self._gateway_state.load_table.get_or_create(incarnation).in_flight += change
        self._on_count(incarnation)

    def _try_start_attempt(self, state: RequestState) -> bool:
        """Start another attempt if one is allowed and a backend server is available for it."""
        now_ms = monotonic_ms()
        if state.deadline_ms - now_ms < ATTEMPT_TIME_MIN_MS:
            return False
        route = state.route
        work_ms = self._estimates.work_ms(route.name, route.aim_ms)
        # A hedged attempt must not make another request wait.
        required_capacity = (
            CapacityRequirement.NO_SLOWDOWN if state.tasks else CapacityRequirement.FREE_SLOT
        )
        choice = self._balancer.choose(
            state.service,
            work_ms,
            now_ms,
            state.tried_incarnations,
            required_capacity,
            route.idempotent,
            route.regions,
        )
        if choice is None or (state.tasks and choice.available_share < AVAILABLE_SHARE_MIN):
            return False
        if choice.expected_ms > state.deadline_ms - now_ms:
            return False  # It would occupy a slot for long and still answer after the deadline.
        if not self._take_retry(state, now_ms):
            return False
        self._count_placed(choice)
        self._start_attempt(state, choice)
        return True

    def _start_attempt(self, state: RequestState, choice: Choice) -> None:
        """Start an attempt at a backend server whose in-flight count already includes it."""
        attempt = Attempt(
            state.request,
            state.request_id,
            choice,
            state.deadline_ms,
            state.route.idempotent,
            self._headers,
            self._notices,
            self._matcher,
            self._links,
            self._crashes,
            self._load_probe_path(state),
            lambda server: self._reason_not_to_send(state, server),
        )
        limit = self._connection_limit(state.service)
        work = attempt.run(self._pool, self._gateway_state.load_table, limit)
        task = asyncio.get_running_loop().create_task(work)
        task.add_done_callback(lambda _: self._on_attempt_end(choice))
        state.tasks[task] = attempt
        state.attempts.append(attempt)
        self._running.setdefault(choice.server.incarnation, set()).add(state)

    def _reason_not_to_send(self, state: RequestState, server: BackendServer) -> str:
        """Return why a request must not be sent to the chosen backend server; "" if it may be."""
        reason = self._balancer.eligibility.reason_not_to_send(server, monotonic_ms())
        if reason:
            return reason
        if not self._fits_planned_stop(state):
            return "the planned stop leaves too little time for the request"
        if not self._quarantine_updates.try_begin_send(state.keys):
            return "endpoints crashed while they ran requests with this content"
        known = self._quarantine_updates.quarantine.crash_counts(state.keys)
        state.crash_counts_at_send[server.incarnation] = known
        return ""

    def _load_probe_path(self, state: RequestState) -> str | None:
        """Return the path for a load probe before a request that is not idempotent, or None."""
        if state.route.idempotent or len(state.attempts) >= LOAD_PROBES_LIMIT:
            return None
        spec = self._gateway_state.config.services.get(state.service)
        return None if spec is None else spec.health_path

    def _on_attempt_end(self, choice: Choice) -> None:
        """Uncount an ended attempt and admit waiting requests.

        As a done callback, this also runs for an attempt that was cancelled before it began.
        """
        self._change_in_flight(choice, -1)
        self._claims.record_freed(choice.server.incarnation, monotonic_ms())
        self.admission.admit_ready(choice.server.service)

    def _connection_limit(self, service: str) -> int:
        config = self._gateway_state.config
        spec = config.services.get(service)
        if spec is None:
            return 1
        return max(2, int(CONNECTION_SHARE * spec.connections / self._vms()))

    def _may_retry(self, state: RequestState) -> bool:
        """Return whether the request may be retried after a failure."""
        if len(state.attempts) >= ATTEMPTS_LIMIT or state.tasks:
            return False
        if not self._fits_planned_stop(state):
            return False
        if state.possible_executions == 0:
            return True
        return state.route.idempotent and state.possible_executions < state.attempts_allowed

    def _wait_ms(self, state: RequestState) -> float:
        """Return how long to wait before the request is checked again."""
        now_ms = monotonic_ms()
        waits = [state.deadline_ms]
        if self._can_hedge(state):
            elapsed_ms = now_ms - state.request.arrived_ms
            if elapsed_ms < HEDGE_SHARE * state.route.aim_ms:
                waits.append(state.request.arrived_ms + HEDGE_SHARE * state.route.aim_ms)
        return min(waits) - now_ms + 0.1

    def _can_hedge(self, state: RequestState) -> bool:
        return (
            state.route.idempotent
            and len(state.tasks) == 1
            and len(state.attempts) < ATTEMPTS_LIMIT
            and state.possible_executions < state.attempts_allowed
            and self._fits_planned_stop(state)
            and not any(self._quarantine_updates.quarantine.crash_counts(state.keys))
        )

    def _should_hedge(self, state: RequestState) -> bool:
        """Return whether the request should be hedged now: sent to a second backend server."""
        if not self._can_hedge(state):
            return False
        now_ms = monotonic_ms()
        elapsed_ms = now_ms - state.request.arrived_ms
        if elapsed_ms >= HEDGE_SHARE * state.route.aim_ms:
            return True
        attempt = next(iter(state.tasks.values()))
        if not isinstance(attempt, Attempt):
            return False
        incarnation = attempt.choice.server.incarnation
        if self._links.is_down(incarnation):
            return not attempt.broken
        load = self._gateway_state.load_table.get_or_create(incarnation)
        return load.slowdown(now_ms) >= SLOW_FACTOR

    def _final_response(self, state: RequestState) -> CallerAnswer:
        """Return the response to a request that no backend server has answered successfully."""
        answered = [item for item in state.results if item.answer is not None]
        if answered:
            return answered[-1].answer
        if state.rejection is not None and not state.possible_executions:
            return state.rejection
        late = monotonic_ms() >= state.deadline_ms
        known = bool(self._gateway_state.registry.of_service(state.service))
        eligibility, regions = self._balancer.eligibility, state.route.regions
        now_ms = monotonic_ms()
        unavailable = eligibility.why_unavailable(state.service, now_ms, regions=regions)
        stopping = not self._fits_planned_stop(state)
        kind = final_error_kind(state, late, known, unavailable, stopping)
        unavailable_ms = state.quarantine_left_ms
        if kind is ErrorKind.OVERLOADED:
            unavailable_ms = state.queue_left_ms
        if kind is ErrorKind.BACKING_OFF:
            unavailable_ms = eligibility.first_backoff_end_ms(state.service, now_ms, regions)
        return error_answer(kind, unavailable_ms)

    def _record_latency(self, state: RequestState, result: AttemptResult) -> None:
        choice = result.choice
        if choice is not None and choice.load < choice.server.slots:
            route = state.route
            limits_outliers = self._waits_late(route)
            self._estimates.record_latency(
                route.name, route.aim_ms, result.latency_ms, choice, limits_outliers
            )

    def _waits_late(self, route: Route) -> bool:
        """Return whether requests of a route wait for a slot beyond their objective.

        That is measured for deployments with client accounts only; the others are served as before.
        """
        accounts = self._gateway_state.config.accounts
        return accounts is not None and waits_late(route.timeout_ms, route.aim_ms)

    def _reject_unrouted(
        self,
        request: CallerRequest,
        request_id: bytes,
        kind: ErrorKind,
        reason: str,
        unavailable_ms: float = 0.0,
        account: ClientAccount | None = None,
    ) -> CallerAnswer:
        answer = error_answer(kind, unavailable_ms)
        self._report.record_unrouted(request, request_id, kind, reason, answer, account)
        return answer
