"""Steps on data centres with many VMs: which VMs receive which messages and serve callers."""

from dataclasses import replace
from unittest import mock

from behave import given, then, when

from cloverhook.clock import monotonic_ms
from cloverhook.gateway import load_updates
from cloverhook.gateway.members import Members
from cloverhook.gateway.peer_messages import LoadReports, Relay, encode
from cloverhook.gateway.server_load import LoadReport
from features.gateway_crowd import (
    LOCAL,
    LOCAL_HOSTS,
    REMOTE,
    REMOTE_HOSTS,
    addresses_for_callers,
    advance_time,
    heartbeat,
    members_of,
    peering_of,
    start_large_data_centers,
)
from features.shared import run


@given("{count:d} VMs in each of two data centres that know each other")
def step_crowd(context, count):
    start_large_data_centers(context, count)


@then("each hears at most {limit:d} heartbeats in a second")
def step_few_heartbeats(context, limit):
    advance_time(context, 3_000)
    received_counts = advance_time(context, 3_000)
    assert max(received_counts.values()) <= 3 * limit, max(received_counts.values())


@then("after {time_s:d} seconds each knows all neighbours and {count:d} VMs elsewhere to be alive")
def step_crowd_alive(context, time_s, count):
    advance_time(context, time_s * 1_000)
    for peering in context.peerings.values():
        alive = peering._members.alive(context.now_ms)
        local_vms = [item for item in alive if item.data_center == peering._identity.data_center]
        assert len(local_vms) == len(context.peerings) // 2 - 1, len(local_vms)
        assert len(alive) - len(local_vms) == count, len(alive) - len(local_vms)


@then("all of a data centre name the same {count:d} of its VMs to callers")
def step_local_names(context, count):
    for place, hosts in ((LOCAL, LOCAL_HOSTS), (REMOTE, REMOTE_HOSTS)):
        found = addresses_for_callers(context)
        (named,) = {answer for (data_center, _), answer in found.items() if data_center == place}
        assert len(named) == count and all(item.startswith(hosts) for item in named), named


@when("one that callers are sent to falls silent")
def step_serving_silent(context):
    advance_time(context, 3_000)
    context.named_before = addresses_for_callers(context)
    context.silent_vm = next(iter(context.peerings.values()))._members.serving_vms(context.now_ms)[
        0
    ]
    del context.peerings[f"{context.silent_vm}:2"]


@then("{time_s:d} seconds later another one is named in its place, and no other has changed")
def step_replaced(context, time_s):
    advance_time(context, time_s * 1_000)
    after = addresses_for_callers(context)
    for key, named in after.items():
        gone, new = context.named_before[key] - named, named - context.named_before[key]
        silent = f"{context.silent_vm}:1"
        assert gone == ({silent} if silent in context.named_before[key] else set()), gone
        assert len(new) == len(gone), new


@when("one of them is cut off from all others and from the store")
def step_cut_off(context):
    step_others_dead(context)
    context.reaches_nobody = True


@when("all others but one are killed")
def step_others_dead(context):
    advance_time(context, 3_000)
    context.survivor = next(iter(context.peerings.values()))
    context.named_before = addresses_for_callers(context)
    context.peerings = {context.survivor._identity.peer_address: context.survivor}


@then("{time_s:d} seconds later it names the same {count:d}")
def step_names_same(context, time_s, count):
    advance_time(context, time_s * 1_000)
    ((key, named),) = addresses_for_callers(context).items()
    assert named == context.named_before[key] and len(named) == count, named


@then("{time_s:d} seconds later it names itself alone")
def step_names_itself(context, time_s):
    advance_time(context, time_s * 1_000)
    (named,) = addresses_for_callers(context).values()
    assert named == {context.survivor._identity.caller_address}, named


def load_report_recipients(context, peering, relayed):
    """Return the addresses to which a VM sends a load report of its own, or a relayed one."""

    async def send_report():
        peering.link.sent.clear()
        if relayed:
            data = encode(LoadReports("vm-far", (("i-0", LoadReport(1, 0, 2.0), 0.0),)))
            peering._on_relay(Relay("vm-far", data), "vm-far:2", context.now_ms)
        else:
            with mock.patch.object(load_updates, "monotonic_ms", lambda: context.now_ms):
                peering.load_updates.add("i-0", LoadReport(1, 0, 2.0), context.now_ms)
                peering.load_updates._flush()

    run(context, send_report())
    recipients, peering.link.sent = {address for address, _ in peering.link.sent}, []
    return recipients


@then("{count:d} of a data centre are told load figures, of which callers are sent to {serving:d}")
def step_load_subscribers(context, count, serving):
    advance_time(context, 1_000)
    for peering in list(context.peerings.values())[:5]:
        peering._on_load_report = lambda incarnation: None
        subscribers = peering._members.load_subscribers(context.now_ms)
        assert subscribers[:serving] == peering._members.serving_vms(context.now_ms)
        expected = {f"{vm}:2" for vm in subscribers} - {peering._identity.peer_address}
        assert len(subscribers) == count
        for relayed in (False, True):
            assert load_report_recipients(context, peering, relayed) == expected


@then("one that has requests all the same is told load figures too")
def step_count_sender(context):
    advance_time(context, 1_000)
    peering = next(iter(context.peerings.values()))
    members = peering._members
    standby = next(
        item
        for item in members.local_members()
        if item.vm not in members.load_subscribers(context.now_ms)
    )
    assert standby.peer_address not in load_report_recipients(context, peering, False)
    members.record_count_sender(standby.vm, context.now_ms)
    assert standby.peer_address in load_report_recipients(context, peering, False)


@given("a VM that hears {heard:d} of {total:d} VMs of another data centre and {near:d} neighbours")
def step_remote_fleet(context, heard, total, near):
    context.members = members_of("vm-own", [f"vm-{number}" for number in range(near)])
    for number in range(heard):
        remote_heartbeat = replace(heartbeat(f"far-{number}", REMOTE), near_vms=total)
        context.members.record_heartbeat(remote_heartbeat, 0.0)
    context.members.forget(0.0)


@when("all that it hears from there are silent for a minute")
def step_remote_silent(context):
    context.members.forget(60_000.0)


@then("it shares with {count:d} others")
def step_shares(context, count):
    assert (
        context.members.estimated_fleet_size() == count + 1
    ), context.members.estimated_fleet_size()


def receive_batch_times_ms(context, is_selected):
    """Return the receive batch times of the VMs whose `Members` satisfy `is_selected`."""
    now_ms = monotonic_ms()
    batch_times_ms = {
        peering._receive_batch_ms()
        for peering in context.peerings.values()
        if is_selected(peering._members, now_ms)
    }
    assert batch_times_ms
    return batch_times_ms


@then("one that callers are sent to hears at once")
def step_serving_receives(context):
    assert receive_batch_times_ms(context, Members.serves_callers) == {0.0}


@then("one that would be next hears within 10 ms, and any other one within 100 ms")
def step_others_receive(context):
    def is_next(members, now_ms):
        return members.is_load_subscriber(now_ms) and not members.serves_callers(now_ms)

    def is_other(members, now_ms):
        return not members.is_load_subscriber(now_ms)

    assert receive_batch_times_ms(context, is_next) == {10.0}
    assert receive_batch_times_ms(context, is_other) == {100.0}


@then("one that has a request hears at once")
def step_busy_receives(context):
    for peering in context.peerings.values():
        peering._gateway_state.load_table.get_or_create("i-0").in_flight = 1
    assert receive_batch_times_ms(context, lambda members, now_ms: True) == {0.0}


@then("each of these few hears at once")
def step_few_receive(context):
    for name in context.names:
        assert peering_of(name, context.names)._receive_batch_ms() == 0.0


@when("a third of the other data centre dies without a sign")
def step_remote_deaths(context):
    advance_time(context, 8_000)
    remote_addresses = [address for address in context.peerings if address.startswith(REMOTE_HOSTS)]
    context.dead = set(remote_addresses[::3])
    for address in context.dead:
        del context.peerings[address]


@then("{time_s:d} seconds later nothing is sent to the dead ones to be relayed")
def step_no_dead_relay(context, time_s):
    advance_time(context, time_s * 1_000)
    for address, peering in context.peerings.items():
        if address.startswith(LOCAL_HOSTS):
            relays = peering._members.relay_candidates(context.now_ms)[REMOTE]
            assert len(relays) >= 10
            assert context.dead.isdisjoint(item.peer_address for item in relays)
