"""Steps on how, and how fast, changes reach all gateways."""

import asyncio
from unittest import mock

from behave import given, then, when

from cloverhook.gateway.backend_server import BackendServer, ServerRecord
from cloverhook.gateway.config_codec import EncodedConfig
from cloverhook.gateway.gateway_state import GatewayState
from cloverhook.gateway.state_fetch import build_state_reply
from cloverhook.gateway.transfer_queue import Refer, Requester, Send, TransferQueue
from features import gateway_fleet as fleet
from features.gateway_crowd import LOCAL, REMOTE, peering_of
from features.registry_replay import RegistryReplay
from features.shared import run
from features.transfer_replay import TransferReplay

SERVICE = "orders"


def records_of(offsets):
    """Return the store's records of backend servers, given the offset of each server number."""
    return tuple(
        ServerRecord(
            f"i-{number}", offset, BackendServer(f"i-{number}", SERVICE, "10.0.0.1:1", "d")
        )
        for number, offset in offsets.items()
    )


@given("a gateway that knows {count:d} backend servers")
def step_knows(context, count):
    context.behind = GatewayState()
    records = records_of({number: number for number in range(count)})
    context.behind.apply_server_list(records, count, 0.0)


@when("one of them leaves and a gateway that starts then reads the whole list")
def step_newcomer(context):
    context.new_vm = GatewayState()
    context.new_vm.apply_server_list(records_of({0: 0, 2: 2, 3: 6}), 7, 0.0)


@then("the first one has dropped that server once it has the other's state")
def step_dropped(context):
    behind = context.behind
    context.known_as_of = behind.registry.as_of
    request = {"registry": behind.registry.as_of}
    state = build_state_reply(request, context.new_vm, None, 100.0)
    assert behind.registry.adopt(state["registry"], 100.0)
    behind.expire(100.0 + behind.drain_ms)
    assert behind.registry.get("i-1") is None
    assert behind.registry.digest() == context.new_vm.registry.digest()


@then("changes that the other one tells build on more than the first knew")
def step_build_on(context):
    assert context.new_vm.registry.version > context.known_as_of


@given(
    "{runs:d} replays of {vms:d} gateways of which a tenth restarts every 400 ms and {share:g} are"
    " killed at once"
)
def step_replays(context, runs, vms, share):
    context.replays = [RegistryReplay(vms, seed, share, vms // 10) for seed in range(runs)]


@when("backend servers leave all the while")
def step_play(context):
    for replay in context.replays:
        replay.play()


@then("no two gateways of one version ever differ in the servers that they use")
def step_equal(context):
    differences = [replay.differing_ms[:1] for replay in context.replays]
    assert not any(differences), differences


@then("none uses a server later than {bound_ms:d} ms after it has left")
def step_none_late(context, bound_ms):
    last_uses_ms = [replay.last_use_ms for replay in context.replays]
    assert max(last_uses_ms) <= bound_ms, last_uses_ms


@given(
    "{runs:d} replays of {vms:d} VMs that ask for a configuration of {size:d} KB, of which"
    " {killed:g} fall silent"
)
def step_transfers(context, runs, vms, size, killed):
    context.replays = [TransferReplay(vms, size, killed, seed) for seed in range(runs)]
    context.last_ms = [replay.play() for replay in context.replays]


@then("all that live have it within {bound_ms:d} ms, by {asks:d} questions of each at most")
def step_transferred(context, bound_ms, asks):
    for replay in context.replays:
        assert set(replay.data_centers) - replay.killed == set(replay.received_ms)
        assert replay.request_count <= asks * len(replay.data_centers), replay.request_count
    assert max(context.last_ms) <= bound_ms, context.last_ms


@then("none sends more than {count:d} copies at a time")
def step_sends(context, count):
    assert max(replay.max_concurrent_sends for replay in context.replays) <= count


@then("at most {count:d} copies cross to each other data centre")
def step_few_crossings(context, count):
    remote_transfers = [replay.remote_transfers for replay in context.replays]
    others = len({*context.replays[0].data_centers.values()}) - 1
    assert max(remote_transfers) <= others * count, remote_transfers


@given("a VM that has sent a configuration to {count:d} VMs of another data centre")
def step_sent_remote(context, count):
    context.queue = TransferQueue(LOCAL)
    context.receivers = [Requester(f"vm-{number}:2", REMOTE) for number in range(count)]
    for receiver in context.receivers:
        assert context.queue.request_transfer(receiver) == [Send(receiver)]
        context.queue.transfer_ended(receiver, received=True)
    context.requester = Requester("vm-late:2", REMOTE)


@then("another one of there is referred to one of the {count:d}")
def step_referred(context, count):
    (action,) = context.queue.request_transfer(context.requester)
    assert isinstance(action, Refer), action
    assert action.peer_address in {item.peer_address for item in context.receivers[:count]}


@then("is sent the configuration when it asks once more")
def step_sent_again(context):
    assert context.queue.request_transfer(context.requester) == [Send(context.requester)]


@given("{gateways:d} gateways and a configuration of {routes:d} routes")
def step_many_routes(context, gateways, routes):
    async def start():
        await fleet.start_fleet(context, 1, gateways)
        put_config(context, 2, routes)
        await until_all_use_version(context, 2)
        await fleet.until(lambda: sum(item._follower.active for item, _ in context.gateways) == 2)

    run(context, start())


def put_config(context, version, routes):
    """Write a configuration with `routes` routes in addition to the usual ones."""
    extra = [fleet.route(f"r-{number}", f"/{version}/{number}/", True) for number in range(routes)]
    context.store.put_config(fleet.config(version, *extra))


async def until_all_use_version(context, version):
    """Wait until every gateway uses the given configuration version."""
    await fleet.until(
        lambda: {item._gateway_state.config_version for item, _ in context.gateways} == {version}
    )


@when("one route changes")
def step_change_route(context):
    context.encoded_versions = []
    encode = EncodedConfig.from_config.__func__

    def recording_encode(cls, config):
        context.encoded_versions.append(config.version)
        return encode(cls, config)

    async def change():
        with mock.patch.object(EncodedConfig, "from_config", classmethod(recording_encode)):
            put_config(context, 3, 1_800)
            await until_all_use_version(context, 3)

    run(context, change())


@then("every gateway has it, and the readers alone have encoded it")
def step_encoded(context):
    assert context.encoded_versions.count(3) <= 2, context.encoded_versions


@given("a VM that fetches a configuration which takes long")
def step_fetches_config(context):
    context.state_requests = []
    context.peering = peering_of("vm-0", ["vm-0", "vm-1"])

    async def fetch(address, request):
        context.state_requests.append(request)
        if "config" in request:
            await asyncio.sleep(fleet.WAIT_S)
        return {}

    async def start_fetch():
        context.peering.link.fetch = fetch
        context.peering._members.get("vm-1").config_version = 7
        context.peering.state_fetch.schedule_fetch("vm-1", immediately=True)
        await fleet.until(lambda: any("config" in request for request in context.state_requests))

    run(context, start_fetch())


@when("it hears that a backend server has left")
def step_hears_of_leaving(context):
    async def learn_new_version():
        context.state_requests.clear()
        context.peering._members.get("vm-1").registry_version = 40
        context.peering.state_fetch.schedule_fetch("vm-1", immediately=True)
        await fleet.until(lambda: context.state_requests)

    run(context, learn_new_version())


@then("it has asked for that before the configuration has come")
def step_asked_for_servers(context):
    for task in context.peering.state_fetch._tasks.values():
        task.cancel()
    run(context, asyncio.sleep(0))
    assert all("registry" in request for request in context.state_requests), context.state_requests
