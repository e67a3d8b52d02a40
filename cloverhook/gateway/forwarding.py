"""Brings each request to an end: choice, attempts, second attempts, and the final answer.

Layer: transport.  A request that may run once only is sent again only when it certainly has not
run.  An idempotent one may also be sent to a second backend server while the first is silent, so
long as the allowance for repeats lasts.  Once given up, a request gets its final answer at once.
"""

import asyncio
from collections.abc import Callable

from cloverhook.clock import monotonic_ms
from cloverhook.errors import ErrorKind
from cloverhook.gateway.admission import Admission
from cloverhook.gateway.attempt import Attempt, AttemptResult, Outcome
from cloverhook.gateway.backend_pool import BackendPool
from cloverhook.gateway.backend_server import BackendServer
from cloverhook.gateway.balancer import Balancer
from cloverhook.gateway.call_headers import CallHeaders, find
from cloverhook.gateway.calls import CallerAnswer, CallerRequest
from cloverhook.gateway.choice import CapacityRequirement, Choice, WorkEstimates
from cloverhook.gateway.final_answer import error_answer, final_error_kind
from cloverhook.gateway.knowledge import GatewayState
from cloverhook.gateway.load import SLOW_FACTOR
from cloverhook.gateway.quarantine_updates import QuarantineUpdates
from cloverhook.gateway.rate_limit_updates import RateLimitUpdates
from cloverhook.gateway.request_report import RequestReport
from cloverhook.gateway.request_run import RequestState
from cloverhook.gateway.retry_allowance import RetryBudget
from cloverhook.gateway.splits import TrafficSplitter
from cloverhook.gateway.waiting_line import QueuedRequest, RequestQueue

__all__ = ["Forwarder"]

SENDS_LIMIT = 4
"""A request that keeps being rejected is offered to this many backend servers, then refused."""
ASKS_LIMIT = 2
"""So many endpoints are asked for their load before a request; the next one gets it at once."""
HEDGE_SHARE = 0.7
"""A silent endpoint at its usual pace gets company after this share of the objective."""
SPARE_SHARE = 0.5
"""A silent endpoint gets company only while this share of its service's endpoints has room: in
overload a second attempt takes the slot of a request that has had none."""
FIGURE_LAG_MS = 150.0
"""Work keeps the pace at which it began; a figure may tell of that pace so much later."""
VERDICT_SHARE = 0.5
"""The part of its objective for which a request waits to see whether another copy of it crashes an
endpoint."""
SILENT_WORKS = 6.0
"""An endpoint that could have done the work so many times and says nothing has failed it; one that
works a few times as long as it says has not."""
LAST_MS = 10.0
"""With less time left, no attempt is worth starting."""
CONNECTION_SHARE = 0.8
"""The part of an endpoint's connections that the gateways use together."""


class Forwarder:
    """Serves callers' requests."""

    def __init__(
        self,
        knowledge: GatewayState,
        balancer: Balancer,
        estimates: WorkEstimates,
        pool: BackendPool,
        allowance: RetryBudget,
        headers: CallHeaders,
        vms: Callable[[], int],
        on_count: Callable[[str], None],
        on_failure: Callable[[str, float], None],
        on_refusal: Callable[[str], None],
        quarantine_updates: QuarantineUpdates,
        rate_limit_updates: RateLimitUpdates,
        report: RequestReport,
    ) -> None:
        self._knowledge = knowledge
        self._balancer = balancer
        self._pool = pool
        self._allowance = allowance
        self._headers = headers
        self._vms = vms
        self._on_count = on_count
        self._on_failure = on_failure
        self._on_refusal = on_refusal
        self._quarantine_updates = quarantine_updates
        self._rate_limit_updates = rate_limit_updates
        self._report = report
        self._estimates = estimates
        self.admission = Admission(
            RequestQueue(balancer), self._place, lambda choice: self._count(choice, -1)
        )
        self._splits = TrafficSplitter()
        self._running: dict[str, set[RequestState]] = {}

    def slowdown_changed(self, incarnation: str) -> None:
        """Look again at the requests that began at a backend server just before its pace fell."""
        runs = self._running.get(incarnation)
        if not runs:
            return
        now_ms = monotonic_ms()
        if self._knowledge.load_table.get_or_create(incarnation).slowdown(now_ms) < SLOW_FACTOR:
            return
        for run in runs:
            young = now_ms - run.attempts[-1].began_ms < FIGURE_LAG_MS
            if young and run.recheck is not None and not run.recheck.done():
                run.recheck.set_result(None)

    async def handle(self, request: CallerRequest) -> CallerAnswer:
        """Return the answer to a caller's request; a fault of ours is logged and told as such."""
        try:
            return await self._handle(request)
        except Exception:
            self._report.record_internal_error(
                find(request.headers, self._headers.request_id) or b""
            )
            return error_answer(ErrorKind.INTERNAL)

    async def _handle(self, request: CallerRequest) -> CallerAnswer:
        config = self._knowledge.config
        request_id = find(request.headers, self._headers.request_id) or b""
        if config is None:
            kind, reason = ErrorKind.NO_BACKEND_SERVER, "no configuration"
            return self._turn_away(request, request_id, kind, reason)
        route = config.find(request.host, request.path)
        if route is None:
            kind, reason = ErrorKind.UNKNOWN_HOST, "no route"
            return self._turn_away(request, request_id, kind, reason)
        service = self._splits.next_service(route)
        run = RequestState.of(request, request_id, route, service, self._headers)
        self._allowance.count_request(service, request.arrived_ms)
        try:
            answer = await self._bring_to_end(run)
        except asyncio.CancelledError:
            self._report.record_end(run, error_answer(ErrorKind.CALLER_GONE))
            raise
        finally:
            for task, attempt in run.tasks.items():
                task.cancel()
                self._judge_silence(run, attempt)
            for attempt in run.attempts:
                self._no_longer_at(run, attempt)
        self._report.record_end(run, answer)
        return answer

    async def _bring_to_end(self, run: RequestState) -> CallerAnswer:
        choice = await self._admit(run) if await self._is_clear(run) else None
        if choice is None:
            return self._final(run)
        self._begin(run, choice)
        while run.tasks:
            done = await self._wait(run)
            for task in done:
                attempt = run.tasks.pop(task)
                run.results.append(task.result())
                self._judge(run, task.result(), attempt)
            good = next((item for item in run.results if not item.failed), None)
            if good is not None:
                self._quarantine_updates.record_success(run.keys)
                self._measured(run, good)
                return good.answer
            if monotonic_ms() >= run.deadline_ms:
                break
            if done:
                wanted = self._may_repeat(run) and await self._is_clear(run)
            else:
                wanted = self._wants_hedge(run)
            if wanted:
                self._start(run)
        return self._final(run)

    async def _is_clear(self, run: RequestState) -> bool:
        """Return whether a request may be sent, as far as it has crashed no endpoints.

        While another VM sends a request with the same content, this one waits for what becomes of
        it, as long as it may still be answered in time.
        """
        updates, aim_ms = self._quarantine_updates, run.route.aim_ms
        if await updates.admit(run.keys, run.request.arrived_ms + VERDICT_SHARE * aim_ms):
            return True
        run.quarantine_left_ms = updates.quarantine.remaining_ms(run.keys, monotonic_ms())
        return False

    def _judge(self, run: RequestState, result: AttemptResult, attempt: Attempt) -> None:
        """Keep what an attempt says of whether its endpoint can be trusted."""
        incarnation = result.choice.server.incarnation
        self._hear_limit(incarnation, result)
        if result.refused_with_free_slot:
            self._on_refusal(incarnation)
        if result.crashed and not self._was_leaving(incarnation):
            known = run.crash_counts_at_send[incarnation]
            self._quarantine_updates.record_crash(run.keys, known, incarnation)
        if result.server_failed:
            self._on_failure(incarnation, attempt.began_ms)
        elif not result.failed:
            self._knowledge.load_table.get_or_create(incarnation).circuit_breaker.record_answer(
                monotonic_ms()
            )

    def _hear_limit(self, incarnation: str, result: AttemptResult) -> None:
        """Take the limit that an endpoint names, or names no more in an answer to a request."""
        succeeded = result.outcome is Outcome.ANSWERED and not result.failed
        if result.advertised_limit_per_s is not None or succeeded:
            now_ms = monotonic_ms()
            self._rate_limit_updates.record_response(
                incarnation, result.advertised_limit_per_s, now_ms
            )

    def _was_leaving(self, incarnation: str) -> bool:
        """Return whether an endpoint has announced that it ends, or has ended before."""
        registry = self._knowledge.registry
        server = registry.get(incarnation)
        return server is None or server.draining or registry.in_grace_period(server)

    def _judge_silence(self, run: RequestState, attempt: Attempt) -> None:
        """Count it as a failure if work should have ended long ago that is given up now.

        An endpoint that is full, or answers others meanwhile, is only slow or lets a request wait.
        """
        server, now_ms = attempt.choice.server, monotonic_ms()
        load = self._knowledge.load_table.get_or_create(server.incarnation)
        figure = load.latest_report
        if not attempt.sent or load.circuit_breaker.answered_since(attempt.began_ms):
            return
        if figure is not None and figure.running + figure.waiting >= server.slots:
            return
        work_ms = self._estimates.work_ms(run.route.name, run.route.aim_ms)
        done_ms = load.expected_progress_ms(now_ms) - attempt.progress_at_start_ms
        if figure is None:
            done_ms = now_ms - attempt.began_ms
        if done_ms >= SILENT_WORKS * work_ms:
            self._on_failure(server.incarnation, attempt.began_ms)

    async def _wait(self, run: RequestState) -> set[asyncio.Task[AttemptResult]]:
        """Wait for the end of an attempt, or until the request wants another look."""
        awaited: set[asyncio.Future] = set(run.tasks)
        if self._can_hedge(run):
            run.recheck = asyncio.get_running_loop().create_future()
            awaited.add(run.recheck)
        timeout_s = max(0.0, self._wait_ms(run)) / 1000
        done, _ = await asyncio.wait(
            awaited, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED
        )
        done.discard(run.recheck)
        run.recheck = None
        return done

    def _no_longer_at(self, run: RequestState, attempt: Attempt) -> None:
        incarnation = attempt.choice.server.incarnation
        runs = self._running.get(incarnation)
        if runs is not None:
            runs.discard(run)
            if not runs:
                del self._running[incarnation]

    async def _admit(self, run: RequestState) -> Choice | None:
        """Wait for room at a backend server; return None when the request is refused."""
        route = run.route
        first_priorities = self._knowledge.config.first_priorities
        waiter = QueuedRequest(
            run.service,
            route.priority,
            self._estimates.work_ms(route.name, route.aim_ms),
            run.request.arrived_ms,
            route.aim_ms,
            run.deadline_ms,
            is_top_priority=route.priority <= first_priorities.get(run.service, 0),
            retryable=route.idempotent,
            regions=route.regions,
        )
        return await self.admission.wait(waiter)

    def _place(self, choice: Choice) -> None:
        """Count a request at the backend server chosen, before the next one is placed."""
        self._balancer.record_placement(choice.server, monotonic_ms())
        self._count(choice, 1)

    def _count(self, choice: Choice, change: int) -> None:
        incarnation = choice.server.incarnation
        self._knowledge.load_table.get_or_create(incarnation).in_flight += change
        self._on_count(incarnation)

    def _start(self, run: RequestState) -> bool:
        """Start another attempt if one is allowed and there is a backend server for it."""
        now_ms = monotonic_ms()
        if run.deadline_ms - now_ms < LAST_MS:
            return False
        route = run.route
        work_ms = self._estimates.work_ms(route.name, route.aim_ms)
        # Beside a first attempt, one must not keep another request waiting.
        room = CapacityRequirement.NO_SLOWDOWN if run.tasks else CapacityRequirement.FREE_SLOT
        choice = self._balancer.choose(
            run.service,
            work_ms,
            now_ms,
            run.tried_incarnations,
            room,
            route.idempotent,
            route.regions,
        )
        if choice is None or (run.tasks and choice.available_share < SPARE_SHARE):
            return False
        if choice.expected_ms > run.deadline_ms - now_ms:
            return False  # It would hold a slot for long, and answer too late for its caller.
        arrived = any(item.arrived for item in run.results) or run.tasks
        if arrived and not self._allowance.try_take(run.service, now_ms, self._vms()):
            self._report.record_retry(run.service, allowed=False)
            return False
        if arrived:
            self._report.record_retry(run.service, allowed=True)
        self._place(choice)
        self._begin(run, choice)
        return True

    def _begin(self, run: RequestState, choice: Choice) -> None:
        """Start an attempt at a backend server where the request already counts."""
        attempt = Attempt(
            run.request,
            run.request_id,
            choice,
            run.deadline_ms,
            run.route.idempotent,
            self._headers,
            self._ask_path(run),
            lambda server: self._objection(run, server),
        )
        limit = self._connection_limit(run.service)
        work = attempt.run(self._pool, self._knowledge.load_table, limit)
        task = asyncio.get_running_loop().create_task(work)
        task.add_done_callback(lambda _: self._attempt_over(choice))
        run.tasks[task] = attempt
        run.attempts.append(attempt)
        self._running.setdefault(choice.server.incarnation, set()).add(run)

    def _objection(self, run: RequestState, server: BackendServer) -> str:
        """Return why a request that was placed must not be sent after all, or nothing."""
        if not self._balancer.may_receive(server):
            return "its data centre is evacuated"
        if not self._quarantine_updates.try_begin_send(run.keys):
            return "endpoints crashed under requests with this content"
        known = self._quarantine_updates.quarantine.crash_counts(run.keys)
        run.crash_counts_at_send[server.incarnation] = known
        return ""

    def _ask_path(self, run: RequestState) -> str | None:
        """Return where to ask an endpoint for its load before a request that can't be repeated."""
        if run.route.idempotent or len(run.attempts) >= ASKS_LIMIT:
            return None
        spec = self._knowledge.config.services.get(run.service)
        return None if spec is None else spec.health_path

    def _attempt_over(self, choice: Choice) -> None:
        """Let the next request in; also an attempt that was cancelled before it began ends here."""
        self._count(choice, -1)
        self.admission.admit_ready(choice.server.service)

    def _connection_limit(self, service: str) -> int:
        config = self._knowledge.config
        spec = config.services.get(service)
        if spec is None:
            return 1
        return max(2, int(CONNECTION_SHARE * spec.connections / self._vms()))

    def _may_repeat(self, run: RequestState) -> bool:
        """Return whether the request may be sent once more after a failure."""
        if len(run.attempts) >= SENDS_LIMIT or run.tasks:
            return False
        if run.possible_executions == 0:
            return True
        return run.route.idempotent and run.possible_executions < run.route.attempts

    def _wait_ms(self, run: RequestState) -> float:
        """Return how long to wait before the next look at the request."""
        now_ms = monotonic_ms()
        waits = [run.deadline_ms]
        if self._can_hedge(run):
            elapsed_ms = now_ms - run.request.arrived_ms
            if elapsed_ms < HEDGE_SHARE * run.route.aim_ms:
                waits.append(run.request.arrived_ms + HEDGE_SHARE * run.route.aim_ms)
        return min(waits) - now_ms + 0.1

    def _can_hedge(self, run: RequestState) -> bool:
        return (
            run.route.idempotent
            and len(run.tasks) == 1
            and len(run.attempts) < SENDS_LIMIT
            and run.possible_executions < run.route.attempts
            and not any(self._quarantine_updates.quarantine.crash_counts(run.keys))
        )

    def _wants_hedge(self, run: RequestState) -> bool:
        """Return whether a second backend server should start on the request now."""
        if not self._can_hedge(run):
            return False
        now_ms = monotonic_ms()
        elapsed_ms = now_ms - run.request.arrived_ms
        if elapsed_ms >= HEDGE_SHARE * run.route.aim_ms:
            return True
        attempt = next(iter(run.tasks.values()))
        load = self._knowledge.load_table.get_or_create(attempt.choice.server.incarnation)
        return load.slowdown(now_ms) >= SLOW_FACTOR

    def _final(self, run: RequestState) -> CallerAnswer:
        """Return the answer to a request that no backend server has answered well."""
        answered = [item for item in run.results if item.answer is not None]
        if answered:
            return answered[-1].answer
        late = monotonic_ms() >= run.deadline_ms
        known = bool(self._knowledge.registry.of_service(run.service))
        limited = self._balancer.is_rate_limited(run.service, monotonic_ms(), 0.0)
        kind = final_error_kind(run, late, self._balancer.is_evacuated(run.service), known, limited)
        return error_answer(kind, run.quarantine_left_ms)

    def _measured(self, run: RequestState, result: AttemptResult) -> None:
        choice = result.choice
        if choice.load < choice.server.slots:
            route = run.route
            self._estimates.record_latency(route.name, route.aim_ms, result.latency_ms, choice)

    def _turn_away(
        self, request: CallerRequest, request_id: bytes, kind: ErrorKind, reason: str
    ) -> CallerAnswer:
        answer = error_answer(kind)
        self._report.record_unrouted(request, request_id, kind, reason, answer)
        return answer
