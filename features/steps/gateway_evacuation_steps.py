"""Steps for evacuated data centres, whose endpoints get neither requests nor probes."""

import asyncio
import json
import random
import time
from unittest.mock import Mock

from behave import given, then, when

from cloverhook.errors import PlatformSilentError
from cloverhook.gateway.attempt import Attempt, Outcome
from cloverhook.gateway.backend_pool import BackendPool
from cloverhook.gateway.backend_server import BackendServer, ServerRecord
from cloverhook.gateway.balancer import Balancer
from cloverhook.gateway.calls import CallerRequest
from cloverhook.gateway.choice import CapacityRequirement, Choice, WorkEstimates
from cloverhook.gateway.crash_detection import CrashDetector
from cloverhook.gateway.eligibility import Eligibility
from cloverhook.gateway.evacuation import Evacuation, Evacuations
from cloverhook.gateway.gateway_state import GatewayState
from cloverhook.gateway.links import Links
from cloverhook.gateway.notice_recorder import NoticeRecorder
from cloverhook.gateway.response_matching import ResponseMatcher
from cloverhook.gateway.server_load import LoadTable
from cloverhook.gateway.store import MemoryStore
from features import gateway_fleet as fleet
from features.shared import run

EVACUATED_DATA_CENTER = "new-kingston"
REQUESTS = 60


def evacuated_endpoints(context):
    """Return the endpoints in the data centre that the scenarios evacuate."""
    return [item for item in context.backends if item.incarnation.startswith("away")]


def probes_of(backends):
    """Return how many probes these endpoints have received in total."""
    return sum(item.probes for item in backends)


async def serve(context, number):
    """Send a number of requests, to the gateways in turn."""
    for index in range(number):
        _, settings = context.gateways[index % len(context.gateways)]
        path = fleet.UNSAFE if index % 2 else fleet.SAFE
        answer = await fleet.call(settings.caller_address, path, request_id=f"r-{index}")
        assert answer.status == 200, answer


def evacuated_by_gateway(context):
    """Return, for each gateway, the data centres that it considers evacuated."""
    return [gateway._gateway_state.evacuated() for gateway, _ in context.gateways]


@given("3 gateways and backend servers in two data centres")
def step_two_data_centers(context):
    async def start():
        context.log = bytearray()
        context.store = MemoryStore()
        context.store.put_config(fleet.config())
        context.backends = []
        for name, data_center in (("here", fleet.DATA_CENTER), ("away", EVACUATED_DATA_CENTER)):
            for number in range(2):
                backend = await fleet.Backend(f"{name}-{number}").start(context)
                context.backends.append(backend)
                context.store.put_server(backend.entry(data_center=data_center))

        def write(data):
            context.log.extend(data)
            return len(data)

        # The gateways are in the data centre that gets evacuated: they prefer its endpoints before.
        context.gateways = [
            await fleet.start_gateway(
                context, f"vm-{n}", write_log=write, data_center=EVACUATED_DATA_CENTER
            )
            for n in range(3)
        ]
        for gateway, _ in context.gateways:
            knowledge = gateway._gateway_state
            await fleet.until(lambda item=gateway: len(item._members.all()) == 2)
            await fleet.until(lambda item=knowledge: len(item.registry) == 4 and item.can_serve)
        await serve(context, REQUESTS)
        assert any(item.ran for item in evacuated_endpoints(context))

    run(context, start())


@when("one data centre is evacuated")
def step_evacuate(context):
    context.store.evacuate(EVACUATED_DATA_CENTER)


@when("both data centres are evacuated")
def step_evacuate_all(context):
    context.store.evacuate(EVACUATED_DATA_CENTER)
    context.store.evacuate(fleet.DATA_CENTER)
    run(context, fleet.until(lambda: all(len(item) == 2 for item in evacuated_by_gateway(context))))


@then("all gateways know of it and say so in their logs")
def step_known(context):
    run(
        context,
        fleet.until(
            lambda: all(item == {EVACUATED_DATA_CENTER} for item in evacuated_by_gateway(context))
        ),
    )

    def vms_that_logged():
        lines = (json.loads(line) for line in bytes(context.log).splitlines())
        found = [item for item in lines if item["kind"] == "evacuation"]
        return {item["vm"] for item in found if item["data_centers"] == [EVACUATED_DATA_CENTER]}

    run(context, fleet.until(lambda: vms_that_logged() == {"vm-0", "vm-1", "vm-2"}))


@then("of 60 requests and all probes none reaches an endpoint there")
def step_none_there(context):
    async def check():
        await asyncio.sleep(0.5)  # Probes in flight end, and the probe order is drawn again.
        endpoints = evacuated_endpoints(context)
        ran, probed = [len(item.seen) for item in endpoints], probes_of(endpoints)
        await serve(context, REQUESTS)
        assert [len(item.seen) for item in endpoints] == ran
        assert probes_of(endpoints) == probed

    run(context, check())


@when("the data centre is taken back")
def step_taken_back(context):
    context.store.evacuate(EVACUATED_DATA_CENTER, wanted=False)


@when("the data centre is taken back and the store forgets its history")
def step_forgotten(context):
    context.store.evacuate(EVACUATED_DATA_CENTER, wanted=False)
    context.store.put_config(fleet.config(2))
    context.store.compact()


@then("its endpoints get requests again")
def step_used_again(context):
    async def check():
        await fleet.until(lambda: not any(evacuated_by_gateway(context)))
        endpoints = evacuated_endpoints(context)
        before = sum(len(item.ran) for item in endpoints)
        await serve(context, REQUESTS)
        assert sum(len(item.ran) for item in endpoints) > before

    run(context, check())


@then("a request is refused within half its objective, and its caller told to come back")
def step_refused(context):
    _, settings = context.gateways[0]
    started_s = time.monotonic()
    answer = run(context, fleet.call(settings.caller_address))
    assert time.monotonic() - started_s < 0.5
    assert answer.status == 503 and answer.body == b"evacuated", answer
    assert float(answer.headers["retry-after"]) >= 0.5, answer.headers


@when("the store is away and a gateway starts that knows a peer")
def step_late(context):
    async def start():
        context.store.failure = PlatformSilentError("away")
        context.late, _ = await fleet.start_gateway(
            context, "vm-late", data_center=EVACUATED_DATA_CENTER
        )
        context.late._peering.add_address(context.gateways[0][1].peer_address)

    run(context, start())


@then("the late gateway knows of it too")
def step_late_knows(context):
    run(
        context,
        fleet.until(lambda: context.late._gateway_state.evacuated() == {EVACUATED_DATA_CENTER}),
    )


@given("an attempt at an endpoint whose data centre is evacuated before it is sent")
def step_attempt(context):
    async def attempt():
        context.backend = await fleet.Backend("i-0").start(context)
        server = context.backend.entry()
        request = CallerRequest(
            b"GET", fleet.SAFE.encode(), fleet.SAFE, fleet.HOST, [], b"", False, 0.0
        )
        choice = Choice(server, 10.0, 0, 1.0, 0.0, 1)
        objections = iter(("its data centre is evacuated",))
        work = Attempt(
            request,
            b"r-1",
            choice,
            1e12,
            True,
            fleet.NAMES,
            Mock(spec=NoticeRecorder),
            Mock(spec=ResponseMatcher),
            Mock(spec=Links),
            Mock(spec=CrashDetector),
            None,
            lambda _: next(objections),
        )
        pool = BackendPool()
        context.stack.callback(pool.close)
        context.result = await work.run(pool, LoadTable(), 10)

    run(context, attempt())


@then("nothing is sent, and the request may go elsewhere")
def step_not_sent(context):
    assert context.result.outcome is Outcome.WITHHELD, context.result
    assert not context.result.arrived and not context.backend.seen


@given("the evacuations {known} as of offset {offset:d}")
def step_evacuations(context, known, offset):
    context.known = GatewayState()
    context.known.apply_evacuations(Evacuations(offset, parse_data_centers(known)), 0.0)


def parse_data_centers(text):
    """Parse the data centres in a step text."""
    return frozenset() if text == "none" else frozenset(text.split(" and "))


@when("change {offset:d} {change} comes")
def step_change(context, offset, change):
    step_changes(context, f"{offset} {change}")


@when("changes {rows} comes")
def step_changes(context, rows):
    words = rows.split()
    records = [
        Evacuation(change[1:], int(offset), change[0] == "+")
        for offset, change in zip(words[::2], words[1::2], strict=True)
    ]
    context.known.apply_evacuations(context.known.evacuations.with_records(records), 0.0)


@when("whole list of offset {offset:d} with {found} comes")
def step_whole(context, offset, found):
    records = [Evacuation(name, 1, True) for name in parse_data_centers(found)]
    context.known.apply_evacuations(Evacuations.from_records(offset, records), 0.0)


@when("a peer's state of offset {offset:d} with {found} comes")
def step_state(context, offset, found):
    document = Evacuations(offset, parse_data_centers(found)).to_document()
    context.known.apply_evacuations(Evacuations.from_document(document), 0.0)


@then("{result} are evacuated")
def step_result(context, result):
    assert context.known.evacuated() == parse_data_centers(result), context.known.evacuations


@given("endpoints in data centres of regions kingston and hobart, and a route to {region}")
def step_regions(context, region):
    context.region = region
    context.known = GatewayState()
    places = {"papine": "kingston", "moonah": "hobart"}
    for offset, place in enumerate(places):
        server = BackendServer(f"i-{place}", fleet.SERVICE, "10.0.0.1:1", place, 3)
        context.known.registry.apply(ServerRecord(server.name, offset, server), 0.0, False)
    context.balancer = Balancer(
        context.known.registry,
        context.known.load_table,
        WorkEstimates(),
        "papine",
        random.Random(2),
        eligibility=Eligibility(context.known.registry, context.known.evacuated, places.get),
    )


@then("of {count:d} choices all are in {region}, with all of kingston {state}")
def step_kept_to(context, count, region, state):
    if state == "evacuated":
        context.known.apply_evacuations(Evacuations(1, frozenset({"papine"})), 0.0)
    for required_capacity in (CapacityRequirement.FREE_SLOT, CapacityRequirement.NO_SLOWDOWN):
        for number in range(count):
            choice = context.balancer.choose(
                fleet.SERVICE, 10.0, number, (), required_capacity, regions=(region,)
            )
            if state == "evacuated":
                assert choice is None, choice
            else:
                place = "papine" if region == "kingston" else "moonah"
                assert choice.server.data_center == place, choice
