"""Steps that drive the membership protocol over links in memory."""

import random
from collections import Counter

from behave import given, then, when

from cloverhook.address_answers import UNCONFIRMED_LIFETIME_MS, AddressAnswers
from cloverhook.catch_up import ANSWER_TIMEOUT_MS, REQUEST_DELAY_MS, CatchUp
from cloverhook.fleet import Endpoint, Service
from cloverhook.homes import HomeTable
from cloverhook.member_events import CallerConnectFailed, MessageReceived, ShutdownStarted
from cloverhook.members import Member, Status
from cloverhook.messages import Heartbeat, MemberUpdates, RecordsRequest
from cloverhook.outbox import Outbox
from cloverhook.overlay import neighbours
from cloverhook.steering import UNSETTLED_LIFETIME_MS, home_vms
from features.member_network import DATA_CENTERS, MemberNetwork


def vm_names(first, last):
    return [f"vm-{index}" for index in range(first, last + 1)]


def update_of(network, vm, **changes):
    member = network.nodes[vm].table.own
    values = {name: getattr(member, name) for name in Member.__slots__} | changes
    return MemberUpdates((Member(**values).to_update(),))


@given("{count:d} members that know each other")
def step_members(context, count):
    step_lossy_members(context, count, 0.0)


@given("{count:d} members that know each other, with a loss of {loss:f}")
def step_lossy_members(context, count, loss):
    context.network = MemberNetwork(loss=loss)
    for vm in vm_names(0, count - 1):
        context.network.add(vm)
    context.network.list_vms(vm_names(0, count - 1))
    context.network.run(5_000)
    step_hand_out(context, 0, count - 1)


@when('the list also names "{vm}" and {seconds:d} seconds pass')
def step_unknown_vm_listed(context, vm, seconds):
    context.network.list_vms([*context.network.nodes, vm])
    context.network.run(seconds * 1_000)


@when('"{vm}" starts unlisted, knowing the list, and {seconds:d} seconds pass')
def step_unlisted(context, vm, seconds):
    listed = tuple(context.network.nodes)
    context.network.add(vm)
    context.network.list_vms(listed)
    context.network.run(seconds * 1_000)


@when('"{vm}" says that it leaves and the list still calls all live')
def step_leaves_listed(context, vm):
    context.network.handle(vm, ShutdownStarted())
    context.network.run(1_000)
    context.network.list_vms(context.network.nodes)
    context.network.run(1_000)


@when('"{vm}" says that it leaves and {seconds:d} seconds pass')
def step_leaves(context, vm, seconds):
    context.network.handle(vm, ShutdownStarted())
    context.network.run(seconds * 1_000)


@when('the list calls "{vm}" leaving')
def step_list_leaving(context, vm):
    context.network.list_vms(context.network.nodes, leaving=(vm,))


@when('"{vm}" starts anew and old updates of it come late')
def step_restarted(context, vm):
    network = context.network
    stale_update = update_of(network, vm, sequence=9, status=Status.LOST)
    network.kill(vm)
    network.add(vm, incarnation=2)
    network.list_vms(network.nodes)
    network.run(3_000)
    for node in tuple(network.nodes):
        network.handle(node, MessageReceived("vm-0" if node != "vm-0" else "vm-1", stale_update))
    network.run(1_000)


@when('"{vm}" starts anew with a lower incarnation and {seconds:d} seconds pass')
def step_lower_incarnation(context, vm, seconds):
    context.network.kill(vm)
    context.network.run(3_000)
    context.network.add(vm, incarnation=0)
    context.network.list_vms(context.network.nodes)
    context.network.run(seconds * 1_000)


@when('"{vm}" learns of a newer process under its name')
def step_newer_incarnation(context, vm):
    context.network.run(10_000)
    newer = update_of(context.network, vm, incarnation=5)
    context.network.handle(vm, MessageReceived("vm-0", newer))


@when('"{vm}" is lost and {seconds:d} seconds pass')
def step_lost(context, vm, seconds):
    context.network.kill(vm)
    context.network.run(seconds * 1_000)


@when('"vm-{first:d}" to "vm-{last:d}" are paused for good and {seconds:d} seconds pass')
def step_many_paused(context, first, last, seconds):
    context.network.paused.update(vm_names(first, last))
    context.network.run(seconds * 1_000)


@when('one neighbour of "{vm}" can\'t be heard by it and {seconds:d} seconds pass')
def step_one_way(context, vm, seconds):
    peer = context.network.nodes[vm].neighbours()[0]
    context.network.cut.add((peer, vm))
    context.network.run(seconds * 1_000)


@when('a wrong suspicion of "{vm}" is spread and {seconds:d} seconds pass')
def step_suspicion(context, vm, seconds):
    false_suspicion = update_of(context.network, vm, status=Status.SUSPECT)
    context.network.handle("vm-0", MessageReceived("vm-1", false_suspicion))
    context.network.run(seconds * 1_000)


@when("the halves are cut from each other for {seconds:d} seconds")
def step_halves(context, seconds):
    vms = sorted(context.network.nodes)
    context.halves = set(vms[: len(vms) // 2]), set(vms[len(vms) // 2 :])
    first_half = context.halves[0]
    context.network.cut = {
        (a, b) for a in vms for b in vms if (a in first_half) != (b in first_half)
    }
    context.network.run(seconds * 1_000)


@when("the cut ends and {seconds:d} seconds pass")
def step_cut_ends(context, seconds):
    context.network.cut.clear()
    context.network.run(seconds * 1_000)


@when('"{vm}" is paused while "{one}" and "{other}" are lost and "{fresh}" comes')
def step_paused(context, vm, one, other, fresh):
    network = context.network
    network.paused.add(vm)
    network.run(5_000)
    network.kill(one)
    network.kill(other)
    network.add(fresh)
    network.list_vms([*vm_names(0, 7), fresh])
    network.run(55_000)


@when('"{vm}" wakes')
def step_resumes(context, vm):
    context.network.resume(vm)


@when('{seconds:d} seconds pass without anyone taking up "{one}" or "{other}"')
def step_no_reversion(context, seconds, one, other):
    for _ in range(seconds * 20):
        context.network.run(50)
        for vm in set(context.network.nodes) - {"vm-0"}:
            assert not context.network.serving(vm) & {one, other}, vm


@when('a VM that "{asked}" does not watch is paused and a caller reports it {late_ms:d} ms later')
def step_report(context, asked, late_ms):
    watched = context.network.nodes[asked].neighbours()
    context.reported = next(
        vm for vm in sorted(context.network.nodes) if vm not in (asked, *watched)
    )
    context.network.paused.add(context.reported)
    context.network.run(late_ms)
    context.network.handle(asked, CallerConnectFailed(f"{context.reported}:80"))


@then('it is not handed out by "{asked}" {within_ms:d} ms after that')
def step_report_applied(context, asked, within_ms):
    context.network.run(within_ms)
    assert context.reported not in context.network.serving(asked)


@then("every member hands out vm-{first:d} to vm-{last:d}")
def step_hand_out(context, first, last):
    step_hand_out_all(context, " ".join(vm_names(first, last)))


@then('every member hands out all of "{vms}"')
def step_hand_out_all(context, vms):
    for vm in set(context.network.nodes) - context.network.paused:
        found = context.network.serving(vm)
        assert found == set(vms.split()), (vm, found)


@then("each half hands out only itself")
def step_half_only(context):
    for half in context.halves:
        for vm in half:
            assert context.network.serving(vm) == half, (vm, context.network.serving(vm))


@then('every member knows the new incarnation of "{vm}"')
def step_new_incarnation(context, vm):
    for node in context.network.nodes.values():
        member = node.table.get(vm)
        assert (member.incarnation, member.status) == (2, Status.ALIVE), member


@then('"{vm}" is told to leave')
def step_replaced(context, vm):
    assert context.network.replaced == [vm]


@then("nobody was ever suspected to be lost")
def step_none_suspected(context):
    for node in context.network.nodes.values():
        assert node.table.own.sequence == 0, node.table.own


@then('"{vm}" has raised its sequence number')
def step_sequence_raised(context, vm):
    for node in context.network.nodes.values():
        assert node.table.get(vm).sequence == 1


@then('"{vm}" holds what it knows for doubtful')
def step_unconfirmed(context, vm):
    assert context.network.nodes[vm].has_unconfirmed_members


@then('"{vm}" holds nothing for doubtful')
def step_all_confirmed(context, vm):
    assert not context.network.nodes[vm].has_unconfirmed_members


@then("with 20, 100, 300 and 600 VMs each has at most 6 neighbours and all are within 6 steps")
def step_bounded(context):
    for count in (20, 100, 300, 600):
        vms = vm_names(0, count - 1)
        neighbours_by_vm = {vm: neighbours(vm, vms) for vm in vms}
        assert max(len(found) for found in neighbours_by_vm.values()) <= 6
        reached, steps = {vms[0]}, 0
        while len(reached) < count:
            reached |= {peer for vm in reached for peer in neighbours_by_vm[vm]}
            steps += 1
            assert steps <= 6, (count, steps)


@then("after each of {count:d} random changes of members the home tables are the same")
def step_homes(context, count):
    source = random.Random(3)
    table, serving = HomeTable(), {}
    counts = {f"brand/service-{index}": index % 4 + 1 for index in range(12)}
    for _ in range(count):
        vm = f"vm-{source.randrange(25)}"
        if serving.pop(vm, None) is None or source.random() < 0.2:
            serving[vm] = Member(vm, source.choice(DATA_CENTERS), f"{vm}:80", f"{vm}:90")
        members = [serving[name] for name in sorted(serving)]
        table.update(counts, members)
        for key, wanted in counts.items():
            assert list(table.homes(key)) == home_vms(key, members, wanted)


@then("a daemon that is behind asks each peer that is ahead in turn, and none when it is not")
def step_catch_up(context):
    catch_up = CatchUp()
    for vm, offset in (("vm-1", 7), ("vm-2", 7), ("vm-3", 4)):
        catch_up.record_offset(vm, offset, 0.0)
    assert catch_up.next_peer(4, REQUEST_DELAY_MS - 1) is None
    first = catch_up.next_peer(4, REQUEST_DELAY_MS)
    assert catch_up.next_peer(4, REQUEST_DELAY_MS + ANSWER_TIMEOUT_MS - 1) is None
    second = catch_up.next_peer(4, REQUEST_DELAY_MS + ANSWER_TIMEOUT_MS)
    assert {first, second} == {"vm-1", "vm-2"}
    assert catch_up.next_peer(7, REQUEST_DELAY_MS + 2 * ANSWER_TIMEOUT_MS) is None


@then("a full queue drops its heartbeat before anything else and counts it")
def step_outbox(context):
    outbox = Outbox(limit=3)
    assert outbox.put(Heartbeat("vm-1", 1, 0))
    assert all(outbox.put(RecordsRequest(offset)) for offset in range(3))
    assert (len(outbox), outbox.dropped) == (3, 1)
    assert not outbox.put(RecordsRequest(3))
    assert (len(outbox), outbox.dropped) == (3, 2)


@then("the answers for a service name its homes first and spread callers over them")
def step_answers(context):
    answers = AddressAnswers(random.Random(5))
    members = [Member(vm, DATA_CENTERS[int(vm[3:]) % 3], vm, "") for vm in vm_names(0, 18)]
    places = tuple(Endpoint(f"10.0.0.{i}:80", DATA_CENTERS[i % 3]) for i in range(6))
    service = Service("s", ("s.example",), places)
    answers.update({"b/s": 3}, members, 0.0)
    homes = {member.vm for member in home_vms("b/s", members, 3)}
    given_answers = [answers.answer("b/s", service, 5_000, 9_000.0) for _ in range(60)]
    orders = [found["addresses"] for found in given_answers]
    assert all(set(found[:3]) == homes for found in orders)
    assert sorted(Counter(found[0] for found in orders).values()) == [20, 20, 20]
    assert {found["lifetime_ms"] for found in given_answers} == {5_000}
    assert answers.answer("b/s", service, 5_000, 100.0)["lifetime_ms"] == UNSETTLED_LIFETIME_MS
    local_answer = answers.answer("b/s", service, 5_000, 9_000.0, "papine", unconfirmed=True)
    assert local_answer["lifetime_ms"] == UNCONFIRMED_LIFETIME_MS
    own_center = [int(vm[3:]) % 3 == 2 for vm in local_answer["addresses"][3:]]
    assert int(local_answer["addresses"][0][3:]) % 3 == 2
    assert own_center == sorted(own_center, reverse=True)
