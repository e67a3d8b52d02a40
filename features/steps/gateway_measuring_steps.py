"""Steps on which VM probes which backend servers, and on what an isolated VM does."""

from collections import Counter

from behave import given, then, when

from cloverhook.gateway.backend_server import BackendServer, ServerRecord
from cloverhook.gateway.probe_schedule import ProbeSchedule
from cloverhook.gateway.registry import Registry
from cloverhook.gateway.server_load import LoadReport, LoadTable
from features import gateway_fleet as fleet
from features.gateway_crowd import LOCAL, REMOTE, heartbeat, members_of

PROBE_INTERVAL_MS = 50


class ProbingFleet:
    """VMs that probe every 50 ms and receive each other's load reports at once."""

    def __init__(self, vms, servers, data_center):
        self.now_ms = 0.0
        self.requests_per_s = 60.0
        self.names = [f"vm-{number}" for number in range(vms)]
        self.dead = set()
        self.cut_off = set()
        self.servers = [f"i-{number}" for number in range(servers)]
        self.load_tables = {name: LoadTable() for name in self.names}
        self.members = {name: members_of(name, self.names) for name in self.names}
        self.schedules = {}
        for name in self.names:
            registry = Registry()
            for offset, server in enumerate(self.servers):
                entry = BackendServer(server, fleet.SERVICE, "10.0.0.1:1", data_center)
                registry.apply(ServerRecord(server, offset, entry), 0.0, False)
            self.schedules[name] = ProbeSchedule(
                name,
                self.members[name],
                registry,
                self.load_tables[name],
                20.0,
                lambda service, now_ms: self.requests_per_s,
            )

    def step(self):
        """Advance by one probe interval; return the VMs that probed each backend server."""
        self.now_ms += PROBE_INTERVAL_MS
        alive = [name for name in self.names if name not in self.dead]
        found = {server: [] for server in self.servers}
        for name in alive:
            for server in self.schedules[name].due(self.now_ms):
                found[server.incarnation].append(name)
        for server, probing_vms in found.items():
            for name in alive:
                if any(self.receives_from(name, other) for other in probing_vms):
                    self.load_tables[name].get_or_create(server).update_from_probe(
                        LoadReport(0, 0, 1.0), self.now_ms
                    )
        for name in alive:
            for other in alive:
                if other != name and self.receives_from(name, other):
                    self.members[name].record_heartbeat(heartbeat(other), self.now_ms)
        return found

    def receives_from(self, name, other):
        """Return whether a VM receives messages from another one; it always does from itself."""
        return name == other or self.cut_off.isdisjoint((name, other))

    def ages_ms(self, name):
        """Return the ages of a VM's load reports in ascending order."""
        load_table = self.load_tables[name]
        return sorted(
            load_table.get_or_create(server).age_ms(self.now_ms) for server in self.servers
        )


@given("{vms:d} VMs of one data centre and {count:d} backend servers in it")
def step_measuring(context, vms, count):
    context.vms = ProbingFleet(vms, count, LOCAL)


@given("{vms:d} VMs of one data centre and {count:d} backend servers in another one")
def step_measuring_far(context, vms, count):
    context.vms = ProbingFleet(vms, count, REMOTE)


@then("in a second each backend server is measured by one VM alone, {limit:d} measure at most")
def step_one_each_in_a_second(context, limit):
    context.found = {server: [] for server in context.vms.servers}
    for _ in range(1_000 // PROBE_INTERVAL_MS):
        for server, probing_vms in context.vms.step().items():
            context.found[server] += probing_vms
    assert all(len(set(probing_vms)) == 1 for probing_vms in context.found.values()), context.found
    assert len({probing_vms[0] for probing_vms in context.found.values()}) <= limit, context.found


@then(
    "within {time_s:d} seconds each is measured, after the first by one VM alone,"
    " by {most:d} a second at most"
)
def step_bounded(context, time_s, most):
    measured_by = {server: [] for server in context.vms.servers}
    probes = Counter()
    for step in range(time_s * 1_000 // PROBE_INTERVAL_MS):
        for server, probing_vms in context.vms.step().items():
            measured_by[server] += probing_vms
            if step >= 1_000 // PROBE_INTERVAL_MS:
                probes.update(probing_vms)
    assert all(measured_by.values())
    assert all(len(set(probing_vms)) == 1 for probing_vms in measured_by.values())
    assert max(probes.values()) <= most * (time_s - 1), probes


@then("none of those that measure serves callers")
def step_measurers_spared(context):
    vms_that_probe = {probing_vms[0] for probing_vms in context.found.values()}
    for name in vms_that_probe:
        assert name not in context.vms.members[name].serving_vms(context.vms.now_ms), name


@then("each backend server is measured by one VM alone, and {limit:d} or fewer VMs measure")
def step_one_each(context, limit):
    for _ in range(20):
        context.found = context.vms.step()
        assert all(len(probing_vms) == 1 for probing_vms in context.found.values()), context.found
    assert len({probing_vms[0] for probing_vms in context.found.values()}) <= limit, context.found


@when("a VM that measures has died without a sign")
def step_measurer_dies(context):
    context.vms.dead = {context.found["i-0"][0]}


@then("within {time_ms:d} ms each backend server is measured again")
def step_stepped_in(context, time_ms):
    seen = set()
    for _ in range(time_ms // PROBE_INTERVAL_MS):
        seen |= {server for server, probing_vms in context.vms.step().items() if probing_vms}
    assert seen == set(context.vms.servers), set(context.vms.servers) - seen


@when("one that callers are sent to is cut off with {count:d} request in flight for {time_ms:d} ms")
def step_serving_cut_off(context, count, time_ms):
    vms = context.vms
    vms.isolated_vm = vms.members["vm-0"].serving_vms(vms.now_ms)[0]
    vms.load_tables[vms.isolated_vm].get_or_create("i-0").in_flight = count
    vms.requests_per_s = 0.0
    vms.cut_off = {vms.isolated_vm}
    for _ in range(time_ms // PROBE_INTERVAL_MS):
        vms.step()


@then("it has figures of {count:d} backend servers that are {age_ms:d} ms old at most")
def step_own_figures(context, count, age_ms):
    vms = context.vms
    oldest_ms = 0.0
    for _ in range(1_000 // PROBE_INTERVAL_MS):
        vms.step()
        oldest_ms = max(oldest_ms, vms.ages_ms(vms.isolated_vm)[count - 1])
    assert oldest_ms <= age_ms, oldest_ms


@then("it does not name itself to callers, and the others no longer do after {time_s:d} seconds")
def step_does_not_name_itself(context, time_s):
    vms = context.vms
    members = vms.members[vms.isolated_vm]
    assert members.serves_callers(vms.now_ms) and not members.advertises_itself(vms.now_ms)
    assert len(members.caller_addresses(vms.now_ms)) == 11
    for _ in range(time_s * 1_000 // PROBE_INTERVAL_MS):
        vms.step()
    for name in vms.names:
        if name != vms.isolated_vm:
            assert vms.isolated_vm not in vms.members[name].serving_vms(vms.now_ms)


@then("without requests it measures nothing while it is cut off")
def step_measures_nothing(context):
    vms = context.vms
    vms.load_tables[vms.isolated_vm].get_or_create("i-0").in_flight = 0
    vms.step()
    for _ in range(500 // PROBE_INTERVAL_MS):
        assert all(vms.isolated_vm not in probing_vms for probing_vms in vms.step().values())


@then("it measures for itself no more")
def step_measures_no_more(context):
    vms = context.vms
    vms.load_tables[vms.isolated_vm].get_or_create("i-0").in_flight = 1
    vms.cut_off = set()
    for _ in range(500 // PROBE_INTERVAL_MS):
        vms.step()
    assert vms.members[vms.isolated_vm].advertises_itself(vms.now_ms)
    for _ in range(500 // PROBE_INTERVAL_MS):
        assert all(vms.isolated_vm not in probing_vms for probing_vms in vms.step().values())


@when("it is back")
def step_measurer_back(context):
    context.vms.dead = set()


@then("within 150 ms each backend server is measured by one VM alone")
def step_one_again(context):
    context.vms.step()
    context.vms.step()
    found = context.vms.step()
    assert all(len(probing_vms) == 1 for probing_vms in found.values()), found


@when("each VM gets {rate:d} requests a second")
def step_rate(context, rate):
    context.vms.requests_per_s = rate
    for _ in range(20):
        context.vms.step()


@then("each backend server is measured {low:d} to {high:d} times a second")
def step_measured_rate(context, low, high):
    seconds = 5
    counts = dict.fromkeys(context.vms.servers, 0)
    for _ in range(seconds * 1_000 // PROBE_INTERVAL_MS):
        for server, probing_vms in context.vms.step().items():
            counts[server] += len(probing_vms)
    rates = {count / seconds for count in counts.values()}
    assert low <= min(rates) and max(rates) <= high, rates


@when("it has been started to listen for {listen_ms:d} ms and to measure {count:d} meanwhile")
def step_listens(context, listen_ms, count):
    (schedule,) = context.vms.schedules.values()
    schedule._startup_until_ms = context.listen_ms = listen_ms
    schedule._startup_probe_limit = count


@then("it measures {first:d} before and all {count:d} after that")
def step_listened(context, first, count):
    (schedule,) = context.vms.schedules.values()
    found = set()
    for now_ms in range(0, context.listen_ms, PROBE_INTERVAL_MS):
        found.update(server.incarnation for server in schedule.due(now_ms))
    assert len(found) == first
    for now_ms in range(context.listen_ms, context.listen_ms + 500, PROBE_INTERVAL_MS):
        found.update(server.incarnation for server in schedule.due(now_ms))
    assert len(found) == count
