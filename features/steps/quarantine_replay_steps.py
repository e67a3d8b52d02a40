"""Steps that simulate a fleet of VMs sharing one quarantine."""

import random

from behave import given, then, when

from cloverhook.gateway.quarantine import Quarantine, SendPermission
from features.quarantine_fleet import QuarantineFleet, keys_of

CRASHING_REQUEST = keys_of(1)
HARMLESS_REQUEST = keys_of(2)
REPLAYS = 10
ISOLATED_VMS = ("vm-0", "vm-1", "vm-2")
CRASH_ODDS = 3
DAY_MS = 86_400_000.0


def crashes_endpoint(keys, now_ms):
    """Return whether the request is the one that crashes every endpoint that runs it."""
    return keys == CRASHING_REQUEST


@given("a replay of {vms:d} VMs between which {lost:d} in 100 messages are lost")
def step_replay(context, vms, lost):
    context.vms, context.lost_share = vms, lost / 100


def fleet_of(context, seed, crashes=crashes_endpoint):
    """Return the fleet for one replay with this seed."""
    return QuarantineFleet(context.vms, seed, crashes, context.lost_share)


def send_every(fleet, every_ms, for_ms, keys, copies=1, vms=None):
    """Schedule copies of a request to randomly chosen VMs, at a fixed interval."""
    names = list(vms or fleet.vms)
    for step in range(int(for_ms / every_ms)):
        for vm in fleet.random.choices(names, k=copies):
            fleet.at(step * every_ms, fleet.request, vm, keys)


@when("{copies:d} copies of a request that crashes who runs it come every 300 ms for 90 s")
def step_copies(context, copies):
    context.fleets = [fleet_of(context, seed) for seed in range(REPLAYS)]
    for fleet in context.fleets:
        send_every(fleet, 300, 90_000, CRASHING_REQUEST, copies)
        fleet.run()


@then("at most {most:d} endpoints have ended, in each of 10 replays")
def step_crashed_endpoints(context, most):
    ended = [len(fleet.outcomes.crashed_ms) for fleet in context.fleets]
    assert 0 < max(ended) <= most, ended


@when("copies come to all, 3 VMs are cut off from 5 to 15 s, and 5 start again at 16 s")
def step_isolated(context):
    context.fleet = fleet = fleet_of(context, 1)
    send_every(fleet, 300, 30_000, CRASHING_REQUEST, vms=list(fleet.vms)[len(ISOLATED_VMS) :])
    for number in range(30):
        for vm in ISOLATED_VMS:
            fleet.at(5_100.0 + 300 * number, fleet.request, vm, CRASHING_REQUEST)
    fleet.at(0.0, fleet.reachable.difference_update, ISOLATED_VMS)
    fleet.at(15_000.0, fleet.reachable.update, ISOLATED_VMS)
    for vm in ISOLATED_VMS:
        fleet.at(15_000.0, fleet.send_suspicions, vm)
    for number in range(5, 10):
        fleet.at(16_000.0, fleet.join, f"vm-{number}")
    fleet.run()


@then("each VM that was cut off has ended at most 2 endpoints, and all others together 3")
def step_isolated_crashes(context):
    crashed_ms = context.fleet.outcomes.crashed_ms
    assert len(crashed_ms) <= 2 * len(ISOLATED_VMS) + 3, crashed_ms


@when("both come every 100 ms for 15 s")
def step_both(context):
    context.fleet = fleet = fleet_of(context, 1)
    send_every(fleet, 100, 15_000, CRASHING_REQUEST)
    send_every(fleet, 100, 15_000, keys_of(1, caller=7))
    fleet.run()


@then("at most {most:d} endpoints have ended, and each sound request was served")
def step_crashed_and_served(context, most):
    outcomes = context.fleet.outcomes
    assert 0 < len(outcomes.crashed_ms) <= most, outcomes
    assert outcomes.served == 150, outcomes


@when("a request that was answered before comes every 50 ms while endpoints crash for 15 s")
def step_harmless(context):
    context.fleets = []
    for seed in range(REPLAYS):
        source = random.Random(seed)

        def crashes(keys, now_ms, source=source):
            return 1_000 < now_ms < 16_000 and not source.randrange(CRASH_ODDS)

        fleet = fleet_of(context, seed, crashes)
        send_every(fleet, 50, 30_000, HARMLESS_REQUEST)
        fleet.run()
        context.fleets.append(fleet)


@then("it was never refused, in each of 10 replays")
def step_never_refused(context):
    refused = [fleet.outcomes.refused for fleet in context.fleets]
    assert not any(refused), refused
    assert all(fleet.outcomes.crashed_ms for fleet in context.fleets)


@given("a VM that has met the crash of an endpoint under each of {count:d} requests")
def step_many(context, count):
    context.quarantine = Quarantine("vm-0")
    for number in range(2, count):
        context.quarantine.record_crash(keys_of(number), (0, 0), float(number))


@given("a request that it holds in quarantine")
def step_one(context):
    context.quarantine.record_crash(CRASHING_REQUEST, (1, 1), 10_000.0)
    for number in range(10_000, 12_000):
        context.quarantine.record_crash(keys_of(number), (0, 0), 10_000.0 + number)


@then("it holds at most {most:d}, and still that one")
def step_bounded(context, most):
    assert len(context.quarantine) <= most
    assert (
        context.quarantine.send_permission(CRASHING_REQUEST, 22_000.0) is SendPermission.QUARANTINED
    )


@then("all are forgotten a day after the last")
def step_forgotten(context):
    context.quarantine.remove_expired(22_000.0 + 2 * DAY_MS)
    assert len(context.quarantine) == 0
