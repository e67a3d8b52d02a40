"""Steps that replay load against the gateway's balancing decisions."""

import contextlib
import math
from dataclasses import replace
from unittest import mock

from behave import given, then, when

from bench import gateway_replay
from bench.gateway_replay import Deployment, Load, play
from cloverhook.gateway import balancer, circuit_breaker, request_queue, server_load

SEEDS = range(8)
DISABLED_MECHANISMS = {
    "the last slot at the last moment": (request_queue, "LAST_SLACK", -math.inf),
    "leaving the last slot at first": (request_queue, "LAST_SLACK", math.inf),
    "putting off soon": (request_queue, "DEFERRAL_SHARE", math.inf),
    "returning soon": (gateway_replay, "RETRY_AFTER_RANGE_MS", (150.0, 450.0)),
    "weighing refusals that all meet": (balancer, "REFUSAL_WEIGHT", 0.0),
    "leaving out whom nobody reaches": (server_load.ServerLoad, "unreachable", lambda *_: False),
    "trust by what requests met": (circuit_breaker, "FAILURES", math.inf),
}
"""For each mechanism: the module or class, the name and the value that switch it off. With a slack
of minus infinity the last free slot of an endpoint is never taken."""


def outcomes(context):
    """Play the load once for each seed and return the outcomes."""
    return [play(context.deployment, context.load, seed) for seed in SEEDS]


def mean(found, name):
    """Return the mean of one figure over the outcomes of all seeds."""
    return sum(getattr(item, name) for item in found) / len(found)


@given("a replay of {vms:d} VMs at {rate:d} requests a second, {burst:g} times as many in a burst")
def step_replay(context, vms, rate, burst):
    context.deployment = Deployment(vms=vms)
    context.load = Load(float(rate), burst)


@given(
    "a replay of {vms:d} VMs and {endpoints:d} endpoints, {share:g} of which {fail} what they get"
)
def step_failing_endpoints(context, vms, endpoints, share, fail):
    context.deployment = Deployment(
        vms=vms, endpoints=endpoints, silent_failure_share=share, hanging=fail == "hang"
    )
    # Six tenths of the endpoints fail, so the remaining ones have to handle the whole load.
    context.load = Load(1.4 * endpoints, duration_ms=9_000.0)


@given(
    "a replay of {vms:d} VMs and {endpoints:d} endpoints, {share:g} of which turn requests away"
    " with free slots"
)
def step_shedding(context, vms, endpoints, share):
    context.deployment = Deployment(vms=vms, endpoints=endpoints, shedding_share=share)
    context.load = Load(4.0 * endpoints * (1.0 - share / 2), duration_ms=9_000.0)


@given(
    "a replay of {vms:d} VMs and {endpoints:d} endpoints, {share:g} of which are down in a burst"
)
def step_down(context, vms, endpoints, share):
    context.deployment = Deployment(vms=vms, endpoints=endpoints, down_share=share)
    context.load = Load(5.0 * endpoints * (1.0 - share), 1.5, 2_000.0, 5_000.0, 9_000.0)


@given("a replay of {vms:d} VMs and {endpoints:d} endpoints, of which {count:d} VMs are cut off")
def step_isolated(context, vms, endpoints, count):
    context.deployment = Deployment(vms=vms, endpoints=endpoints, isolated_vms=count)
    context.load = Load(3.3 * endpoints, 1.6, duration_ms=9_000.0)


@when("those measure a group of their own, and when they measure all every {period_ms:d} ms")
def step_own_group(context, period_ms):
    context.values = [mean(outcomes(context), "value")]
    everything = context.deployment.endpoints
    context.deployment = replace(
        context.deployment, isolated_probe_count=everything, isolated_probe_ms=float(period_ms)
    )
    context.values.append(mean(outcomes(context), "value"))


@when("it is played with {mechanism} and without")
def step_played(context, mechanism):
    module, name, value = DISABLED_MECHANISMS[mechanism]
    context.values = []
    for patch in (contextlib.nullcontext(), mock.patch.object(module, name, value)):
        with patch:
            context.values.append(mean(outcomes(context), "value"))


@then("with it the load is worth at least {gain:g} more")
def step_gain(context, gain):
    own, other = context.values
    assert own - other >= gain, context.values


@then("{share:g} of the requests are in time and at most {refused:g} are refused")
def step_in_time(context, share, refused):
    found = outcomes(context)
    assert mean(found, "in_aim") >= share, mean(found, "in_aim")
    assert mean(found, "refused") <= refused, mean(found, "refused")


@then("at most {share:g} of the arrivals find an endpoint full")
def step_full(context, share):
    found = mean(outcomes(context), "wasted")
    assert found <= share, found


@then("of the important requests as large a part is served in time as of the others")
def step_important(context):
    found = outcomes(context)
    shares = {name: sum(item.by_kind[name] for item in found) for name in found[0].by_kind}
    assert shares["cancel"] >= shares["check"], shares


@then("of the important requests at least {share:g} is served in time")
def step_important_served(context, share):
    found = outcomes(context)
    served = sum(item.by_kind["cancel"] for item in found) / len(found)
    assert served >= share, served
