"""Steps that replay accounts and uneven work against the request queue."""

import random
from dataclasses import replace

from behave import given, then, when

from bench.gateway_loads import DEPLOYMENT_B, LOADS_A, LOADS_B
from bench.gateway_replay import play
from cloverhook.gateway.accounts import AccountIndex, ClientAccount
from cloverhook.gateway.backend_server import BackendServer, ServerRecord
from cloverhook.gateway.balancer import Balancer
from cloverhook.gateway.choice import WorkEstimates
from cloverhook.gateway.registry import Registry
from cloverhook.gateway.request_queue import QueuedRequest, RequestQueue
from cloverhook.gateway.routes import GatewayConfig, IngressLimits, Route, WeightedService
from cloverhook.gateway.server_load import LoadTable

THIRD_ACCOUNT = 2
SERVICE = "alerts"


def shares(outcomes, table, name):
    """Return a share of the requests of each account or kind, over all outcomes."""
    totals = {}
    for outcome in outcomes:
        for key, counts in getattr(outcome, table).items():
            found, total = totals.get(key, (0, 0))
            totals[key] = found + getattr(counts, name), total + counts.total
    return {key: found / total for key, (found, total) in totals.items()}


def play_all(context, deployment=None, load=None, oracle=False):
    return [
        play(deployment or context.deployment, load or context.load, seed, oracle)
        for seed in context.seeds
    ]


def criteria(outcomes):
    return sum(item.criteria for item in outcomes) / len(outcomes)


@given("a replay of deployment A with {accounts:d} accounts and seeds {first:d} to {last:d}")
def step_deployment_a(context, accounts, first, last):
    deployment, load = LOADS_A["usual"]
    context.deployment, context.load = deployment, replace(load, accounts=accounts)
    context.seeds = range(first, last + 1)


@given("a replay of deployment B and seeds {first:d} to {last:d}")
def step_deployment_b(context, first, last):
    context.deployment, context.load = DEPLOYMENT_B, LOADS_B["burst of 2.2"][1]
    context.seeds = range(first, last + 1)


@when("the third account sends {factor:g} times its usual load")
def step_busy(context, factor):
    context.usual = play_all(context)
    context.load = replace(context.load, burst=factor, busy_account=THIRD_ACCOUNT)
    context.outcomes = play_all(context)


@when('its load is "{name}"')
def step_load(context, name):
    context.deployment, load = LOADS_A[name]
    context.load = replace(load, accounts=context.load.accounts)
    context.outcomes = play_all(context)


@when("it is played as before and as now")
def step_both(context):
    before = replace(context.deployment, waits_and_shares=False)
    context.pair = play_all(context, before), play_all(context)


@then("no other account's share in time is more than {loss:g} lower than with the usual load")
def step_others(context, loss):
    usual = shares(context.usual, "accounts", "in_aim")
    now = shares(context.outcomes, "accounts", "in_aim")
    others = usual.keys() - {THIRD_ACCOUNT}
    assert all(usual[key] - now[key] <= loss for key in others), (usual, now)


@then("no account and no kind has a share served below half of the mean")
def step_served(context):
    for table in ("accounts", "kinds"):
        found = shares(context.outcomes, table, "served")
        total = sum(item.in_aim + item.late for item in context.outcomes)
        mean = total / len(context.outcomes)
        assert min(found.values()) >= mean / 2, (found, mean)


@then(
    "it is worth at least {share:g} of what the oracle earns, and more than without waiting and"
    " shares"
)
def step_worth(context, share):
    own, oracle = criteria(context.outcomes), criteria(play_all(context, oracle=True))
    before = criteria(play_all(context, replace(context.deployment, waits_and_shares=False)))
    assert own >= share * oracle and own > before, (own, oracle, before)


@then("the outcomes are equal to the last digit")
def step_equal(context):
    before, now = context.pair
    assert before == now


@given("routes of priority 0 and 2, and accounts of priority 1, 3 and without")
def step_priorities(context):
    context.routes = {
        priority: Route(
            f"r{priority}",
            "a.example",
            f"/{priority}",
            (WeightedService(SERVICE, 1.0),),
            priority=priority,
        )
        for priority in (0, 2)
    }
    context.accounts = {
        priority: ClientAccount(f"account-{priority}", priority=priority)
        for priority in (1, 3, None)
    }
    context.gateway_config = GatewayConfig.of(
        1,
        tuple(context.routes.values()),
        (),
        IngressLimits(),
        AccountIndex(tuple(context.accounts.values())),
    )


def top_routes(context, account_priority):
    account = context.accounts[account_priority]
    return {
        priority
        for priority, route in context.routes.items()
        if context.gateway_config.is_top_priority(SERVICE, route, account)
    }


@then("requests of the account of priority 1 are of top priority and those of priority 3 are not")
def step_top(context):
    assert top_routes(context, 1) == {0, 2}
    assert not top_routes(context, 3)


@then(
    "requests of the account without priority are of top priority on the route of priority 0 only"
)
def step_top_route(context):
    assert top_routes(context, None) == {0}


def waiting_request(context, timeout_ms, objective_ms=1_000.0):
    return QueuedRequest(
        SERVICE,
        1,
        100.0,
        context.now_ms,
        objective_ms,
        context.now_ms + timeout_ms,
        kind="r",
        waits_late=True,
    )


def advance(context, until_ms):
    """End the request in flight every 100 ms, and collect the decisions."""
    while context.now_ms < until_ms:
        context.now_ms += 100.0
        context.load.in_flight = 0
        while (decision := context.queue.next(SERVICE, context.now_ms)) is not None:
            context.decisions.append((context.now_ms, decision))
            if decision.choice is not None:
                context.load.in_flight += 1


@given("a queue that starts one request of 100 ms every 100 ms and has 60 waiting")
def step_queue(context):
    registry, table, estimates = Registry(), LoadTable(), WorkEstimates()
    server = BackendServer("i-0", SERVICE, "10.0.0.0:1", "here", 1)
    registry.apply(ServerRecord(server.name, 0, server), 0.0, False)
    balancer = Balancer(registry, table, estimates, "here", random.Random(1))
    context.queue, context.load = RequestQueue(balancer), table.get_or_create(server.incarnation)
    context.now_ms, context.decisions = 0.0, []
    for _ in range(60):
        context.queue.add(waiting_request(context, 20_000.0), context.now_ms)
    advance(context, 1_000.0)


@when(
    "two requests that can't be in time arrive, to be answered within {short_ms:d} and {long_ms:d}"
    " ms"
)
def step_hopeless(context, short_ms, long_ms):
    context.requests = [waiting_request(context, limit, 100.0) for limit in (short_ms, long_ms)]
    for request in context.requests:
        context.queue.add(request, context.now_ms)
    context.arrived_ms = context.now_ms
    advance(context, 10_000.0)


@then("the first is rejected at once, and the second is served when its turn has come")
def step_rejected(context):
    first, second = (
        next((at_ms, item.choice) for at_ms, item in context.decisions if item.request is request)
        for request in context.requests
    )
    assert first == (context.arrived_ms + 100.0, None) and context.requests[0].too_late, first
    assert second[1] is not None and second[0] >= context.arrived_ms + 4_900.0, second


@then("its retry is asked for when the queue has been served, not sooner")
def step_retry(context):
    request = context.requests[0]
    assert request.work_ahead_ms >= 3_000.0, request
    assert 2_000.0 <= request.unavailable_ms <= 3_000.0, request
