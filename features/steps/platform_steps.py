"""Steps that run the adapter of the users' platform against a stand-in for its store."""

import asyncio
import json
import re
import socket
import sys
import tomllib
from pathlib import Path

from behave import given, then, when

import features
from cloverhook.errors import PlatformError, PlatformSilentError, SettingsError
from cloverhook.gateway.call_headers import parse_rate_limit
from cloverhook.gateway.daemon import Gateway
from cloverhook.gateway.evacuation import Evacuations
from cloverhook.gateway.settings import GatewaySettings
from cloverhook.gateway.store import Feed, HistoryLostError, MemberRecord, QuarantineRecord
from cloverhook_emulator.log_store_server import LogStoreServer
from features import gateway_fleet as fleet
from features.shared import run

ROOT = Path(features.__file__).resolve().parent.parent
sys.path.append(str(ROOT / "platform"))

from cloverhook_platform import store_client  # noqa: E402
from cloverhook_platform.directory import answer_directory  # noqa: E402
from cloverhook_platform.names import (  # noqa: E402
    HEADERS,
    MEMBERS_TOPIC,
    QUARANTINE_KEY,
    QUARANTINE_TOPIC,
    TOPICS,
)
from cloverhook_platform.store_client import HttpStore  # noqa: E402

CONFIG = TOPICS[Feed.CONFIG]
SERVERS = TOPICS[Feed.SERVERS]
SHORT_TIMEOUT_MS = 200
DOCUMENT = {
    "version": 7,
    "routes": [
        {
            "name": "r-write",
            "host": fleet.HOST,
            "pathPrefix": "/write/",
            "kind": "unsafe",
            "timeout": 1.2,
            "targetLatency": 0.4,
            "priority": 1,
            "service": "orders",
            "maxAttempts": 2,
        },
        {
            "name": "r-read",
            "host": fleet.HOST,
            "pathPrefix": "/read/",
            "kind": "safe",
            "timeout": 1,
            "targetLatency": 0.3,
            "priority": 2,
            "trafficSplit": [
                {"service": "orders", "weight": 90},
                {"service": "menus", "weight": 10},
            ],
            "maxAttempts": 2,
        },
    ],
    "services": [
        {"name": "orders", "healthPath": "/health", "maxConnections": 220, "protocol": "h1"},
        {"name": "menus", "healthPath": "/health", "maxConnections": 220, "protocol": "h1"},
    ],
    "limits": {
        "maxHeaderBytes": 16_384,
        "maxBodyBytes": 67_108_864,
        "headerTimeout": 3,
        "idleTimeout": 15,
    },
}
TEMPLATE_FIELDS = {
    "nodeName": "front-1",
    "zone": "papine",
    "ip": "10.1.0.35",
    "bootstrap": True,
    "listen": {
        "front": "10.1.0.35:8144",
        "ready": "10.1.0.35:8140",
        "directory": "10.1.0.35:8143",
    },
    "internalPorts": [7660, 7675],
    "seeds": ["10.1.0.35:8146", "10.2.0.28:8146"],
    "zones": {"papine": "kingston", "moonah-depot": "south-tas"},
    "platform": {"address": "10.200.1.7:8142"},
    "bounds": {
        "drain": 2,
        "grace": 6,
        "retryBudgetRatio": 0.2,
        "retryWindow": 10,
        "retryBudgetExtra": 56,
        "ttl_max": 5,
    },
}


def entry(address="10.0.0.1:9000", state="ready"):
    """Return the JSON value of a backend server's entry in the store."""
    fields = {
        "service": "orders",
        "address": address,
        "zone": "papine",
        "version": "v1",
        "slots": 4,
        "state": state,
        "warmupLeft": 2.5,
        "seq": 4,
    }
    return json.dumps(fields).encode()


async def start_store(context):
    """Start the store's stand-in and the adapter's client; return the stand-in's address."""
    address = fleet.free_address()
    context.server = LogStoreServer()
    await context.server.listen(address)
    context.stack.callback(context.server.close)
    context.client = HttpStore(address)
    context.stack.callback(context.client.close)
    return address


@given("a stand-in of the store with a configuration, 5 entries and 4 other members")
def step_store(context):
    run(context, start_store(context))
    server = context.server
    server.put(CONFIG, "config", json.dumps(DOCUMENT).encode())
    server.put(CONFIG, "else", b"{}")
    for number in range(5):
        server.put(SERVERS, f"i-{number}", entry())
    for number in range(4):
        server.put(MEMBERS_TOPIC, f"vm-{number}", b'["papine", "10.0.0.2:1", "10.0.0.2:2"]')


@then("the adapter reads the configuration with all its fields")
def step_config(context):
    found = run(context, context.client.newest(Feed.CONFIG))
    (config,) = found.configs
    assert config.version == 7 and not found.unreadable
    write, read = config.routes
    assert not write.idempotent and read.idempotent
    assert (write.timeout_ms, write.aim_ms, write.priority, write.attempts) == (1200, 400, 1, 2)
    assert [(part.service, part.weight) for part in read.parts] == [("orders", 90), ("menus", 10)]
    assert config.services["orders"].connections == 220
    assert (config.limits.header_timeout_ms, config.limits.idle_timeout_ms) == (3_000, 15_000)


@then("it reads all entries though they come in pages")
def step_entries(context):
    found = run(context, context.client.newest(Feed.SERVERS))
    assert sorted(item.name for item in found.servers) == [f"i-{x}" for x in range(5)]
    assert found.end_offset == 5
    server = found.servers[0].server
    assert (server.service, server.data_center, server.slots) == ("orders", "papine", 4)
    assert not server.draining


@then("it announces a member and finds all")
def step_members(context):
    own = MemberRecord("vm-own", "papine", "10.0.0.3:1", "10.0.0.3:2")
    run(context, context.client.announce(own))
    found = run(context, context.client.members())
    assert own in found.members and len(found.members) == 5


@when("an entry is changed and another one dropped while the adapter waits")
def step_change(context):
    async def change():
        task = asyncio.ensure_future(context.client.changes(Feed.SERVERS, 5, 5_000))
        await fleet.until(lambda: context.server.calls)
        context.server.put(SERVERS, "i-1", entry(state="draining"))
        context.server.put(SERVERS, "i-2")
        context.found = await task

    run(context, change())


@then("the adapter gets both with their offsets")
def step_both_changes(context):
    first, second = context.found.servers
    assert (first.name, first.offset, first.server.draining) == ("i-1", 5, True)
    assert (second.name, second.offset, second.server) == ("i-2", 6, None)
    assert context.found.end_offset == 7


def raised_error(context, work):
    """Return the platform error or lost-history error that the call raises."""
    try:
        run(context, work)
    except (PlatformError, HistoryLostError) as error:
        return error
    raise AssertionError("the call raised no error")


@then("a read of lost history says so")
def step_lost_history(context):
    context.server.topic(SERVERS).drop_records()
    error = raised_error(context, context.client.changes(Feed.SERVERS, 2, 100))
    assert isinstance(error, HistoryLostError)


@then("a refused call is known to have done nothing")
def step_refused(context):
    context.server.error_status = 429
    error = raised_error(context, context.client.newest(Feed.SERVERS))
    assert isinstance(error, PlatformError) and not isinstance(error, PlatformSilentError)
    context.server.error_status = 0


@then("a call without an answer is not, and the next one works on a new connection")
def step_unanswered(context):
    normal_timeout_ms, store_client.TIMEOUT_MS = store_client.TIMEOUT_MS, SHORT_TIMEOUT_MS
    try:
        context.server.answers_to_lose = 1
        own = MemberRecord("vm-own", "papine", "10.0.0.3:1", "10.0.0.3:2")
        assert isinstance(raised_error(context, context.client.announce(own)), PlatformSilentError)
    finally:
        store_client.TIMEOUT_MS = normal_timeout_ms
    assert own in run(context, context.client.members()).members


@when("the store names its era as {header}")
def step_era(context, header):
    context.server.era = header.encode()


@then("the adapter hands on the era {era}, whole and with changes")
def step_era_read(context, era):
    wanted = None if era == "none" else int(era)
    assert run(context, context.client.newest(Feed.SERVERS)).era == wanted
    assert run(context, context.client.changes(Feed.SERVERS, 2, 0)).era == wanted


@when("it comes back without the last {lost:d} entries")
def step_restore(context, lost):
    context.server.restore({SERVERS: lost})


@then("a read from the end before is one of lost history, and a whole list has {left:d} entries")
def step_restored(context, left):
    error = raised_error(context, context.client.changes(Feed.SERVERS, 5, 0))
    assert isinstance(error, HistoryLostError), error
    found = run(context, context.client.newest(Feed.SERVERS))
    assert len(found.servers) == left and found.era == 2


@then("the adapter finds none in quarantine")
def step_no_quarantine(context):
    found = run(context, context.client.load_quarantine())
    assert not found.records and not found.unreadable


@when("two requests in quarantine are written down, and then one")
def step_keep_quarantine(context):
    records = (QuarantineRecord(2**64 - 1, 2, 1_700_000_000_000), QuarantineRecord(7, 3, 5))
    run(context, context.client.save_quarantine(records))
    run(context, context.client.save_quarantine(records[:1]))
    context.kept = records[:1]


@then("the adapter finds that one")
def step_quarantine(context):
    assert run(context, context.client.load_quarantine()).records == context.kept


@when("what is written there is no list of requests")
def step_bad_quarantine(context):
    context.server.put(QUARANTINE_TOPIC, QUARANTINE_KEY, b'[["a", 2, 3]]')


@then("the adapter says so and finds none")
def step_bad_quarantine_named(context):
    found = run(context, context.client.load_quarantine())
    assert not found.records and len(found.unreadable) == 1


@when("an entry lacks its address")
def step_unreadable(context):
    context.server.put(SERVERS, "i-bad", b'{"service": "orders"}')


@then("the adapter names it and reads the others")
def step_unreadable_named(context):
    found = run(context, context.client.newest(Feed.SERVERS))
    readable = [record.name for record in found.servers if record.server is not None]
    assert sorted(readable) == [f"i-{number}" for number in range(5)]
    assert len(found.unreadable) == 1 and "i-bad" in found.unreadable[0]


@given("the template of the settings")
def step_template(context):
    context.template = (ROOT / "deploy" / "gateway.toml").read_text()


def fill(template, fields):
    """Fill in a template, with the part of the template language that this project uses."""

    def value(path):
        found = fields
        for name in path.split("."):
            found = found[int(name)] if name.isdigit() else found[name]
        return found

    def section(match):
        return ", ".join(json.dumps(item) for item in value(match.group(1)))

    def single(match):
        found = value(match.group(1))
        return found if isinstance(found, str) and not match.group(2) else json.dumps(found)

    def where_present(match):
        table, _, name = match.group(1).partition(".")
        return match.group(2) if fields.get(table, {}).get(name) not in (None, False) else ""

    def pairs(match):
        rows = value(match.group(1)).items()
        return ", ".join(f"{json.dumps(key)} = {json.dumps(item)}" for key, item in rows)

    table = r"\{\{#(\w+)\}\}\"\{\{@\}\}\" = \{\{\.\|json\}\}\{\{,\}\}\{\{/\w+\}\}"
    template = re.sub(table, pairs, template)
    template = re.sub(r"\{\{#(\w+\.\w+)\}\}(.*?)\{\{/\1\}\}", where_present, template)
    text = re.sub(r"\{\{#(\w+)\}\}\{\{\.\|json\}\}\{\{,\}\}\{\{/\w+\}\}", section, template)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", single, text)


@then("filled in as the platform does, it is valid and complete")
def step_valid(context):
    context.document = tomllib.loads(fill(context.template, TEMPLATE_FIELDS))
    settings = GatewaySettings.from_document(context.document)
    assert settings.peer_address == "10.1.0.35:7660"
    assert settings.seed_addresses == tuple(TEMPLATE_FIELDS["seeds"])
    assert settings.first_start and settings.retry_extra == 56
    assert (settings.cold_over, settings.cold_slack) == (1.5, 8)
    assert settings.regions == TEMPLATE_FIELDS["zones"]
    bounds = {**TEMPLATE_FIELDS["bounds"], "coldOver": 1.2, "coldSlack": 4, "configApply": 2.5}
    document = tomllib.loads(fill(context.template, {**TEMPLATE_FIELDS, "bounds": bounds}))
    settings = GatewaySettings.from_document(document)
    assert (settings.cold_over, settings.cold_slack) == (1.2, 4)
    assert settings.config_apply_s == 2.5
    assert settings.processor_cores == 0 and not settings.strict_revocation
    bounds |= {"quotaWindow": 4, "quotaOvershoot": 0.2, "quotaSlack": 7}
    bounds |= {"strictRevoke": True, "revoke": 3}
    limits = {"cpuShare": 0.5, "cpuCores": 3, "linkMbps": 100.0}
    fields = {**TEMPLATE_FIELDS, "bounds": bounds, "limits": limits}
    settings = GatewaySettings.from_document(tomllib.loads(fill(context.template, fields)))
    assert (settings.processor_cores, settings.link_mbps) == (1.5, 100)
    assert (settings.allotment_window_s, settings.allotment_overshoot) == (4, 0.2)
    assert settings.allotment_slack == 7
    assert settings.strict_revocation and settings.revocation_s == 3


@then("a setting that is wrong is named")
def step_invalid_setting(context):
    try:
        GatewaySettings.from_document({**context.document, "retry_ratio": 2, "speed": 1})
    except SettingsError as error:
        assert "retry_ratio" in str(error) and "speed" in str(error)
        return
    raise AssertionError("invalid settings were accepted")


@given("a stand-in of the store and a gateway with the adapter")
def step_gateway(context):
    async def start():
        address = await start_store(context)
        context.settings = fleet.gateway_settings("vm-1", store_address=address)
        gateway = Gateway(context.settings, HttpStore(address), HEADERS, answer_directory, len)
        await gateway.start()
        context.stack.push_async_callback(fleet.stop_gateway, gateway)
        context.gateway = gateway

    run(context, start())


@when("a backend server and a configuration are written there")
def step_written(context):
    async def write():
        context.backend = await fleet.Backend("i-0", names=HEADERS).start(context)
        context.server.put(SERVERS, "i-0", entry(context.backend.address))
        context.server.put(CONFIG, "config", json.dumps(DOCUMENT).encode())
        await fleet.until(context.gateway._is_ready)

    run(context, write())


@then("callers are served, with the platform's headers")
def step_served(context):
    lines = ("X-Cloverhook-Request-Id: q-1", "X-Cloverhook-Deadline-Ms: 900")
    address = context.settings.caller_address
    answer = run(context, fleet.call(address, "/write/x", "POST", lines=lines, body=b"pay"))
    assert answer.status == 200 and answer.headers["x-cloverhook-server-stamp"], answer
    assert context.backend.ran == [b"q-1"]


@then("the directory answers in the platform's form")
def step_directory(context):
    work = fleet.call(context.settings.directory_address, "/api/resolve?name=a&zone=papine")
    answer = run(context, work)
    document = json.loads(answer.body)
    assert document == {"addresses": [context.settings.caller_address], "ttl": 5.0}, document


@then("the kernel gives up the connection of a waiting call after {limit_s:d} seconds of silence")
def step_liveness(context, limit_s):
    async def check():
        connection = await context.client._connect()
        sock = connection._transport.get_extra_info("socket")
        assert sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE) == 1
        idle_s, interval_s, probes = (
            sock.getsockopt(socket.IPPROTO_TCP, option)
            for option in (socket.TCP_KEEPIDLE, socket.TCP_KEEPINTVL, socket.TCP_KEEPCNT)
        )
        assert idle_s + interval_s * probes <= limit_s
        assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT) <= limit_s * 1_000
        connection.close()

    run(context, check())


@when("the operator evacuates {data_center}, and takes back {other}")
def step_operator_evacuates(context, data_center, other):
    context.server.put(CONFIG, f"evacuate/{other}", b"{}")
    context.server.put(CONFIG, f"evacuate/{data_center}", b"{}")
    context.server.put(CONFIG, f"evacuate/{other}", b"")
    context.server.put(CONFIG, "evacuate/", b"{}")


@then("the adapter tells that {data_center} is evacuated, whole and by changes, and what it can't")
def step_adapter_evacuates(context, data_center):
    for found in (
        run(context, context.client.newest(Feed.CONFIG)),
        run(context, context.client.changes(Feed.CONFIG, 0, 0)),
    ):
        after = Evacuations().with_records(found.evacuations)
        assert after.data_centers == {data_center}, found
        assert [line.split(" at ")[0] for line in found.unreadable] == ["evacuate/"], found


@when("two versions with {count:d} routes each are written before the next read")
def step_two_versions(context, count):
    read = DOCUMENT["routes"][1]
    routes = [
        {**read, "name": f"r-{number}", "pathPrefix": f"/{number}/"} for number in range(count)
    ]
    for version in (8, 9):
        document = {**DOCUMENT, "version": version, "routes": routes}
        context.server.put(CONFIG, "config", json.dumps(document).encode())


@then("the adapter has read the later one after two calls")
def step_later_version(context):
    async def read():
        first = await context.client.changes(Feed.CONFIG, 2, 0)
        second = await context.client.changes(Feed.CONFIG, first.end_offset, 0)
        return [config.version for found in (first, second) for config in found.configs]

    assert run(context, read()) == [8, 9]


@then("a limit is read under either name that the platform may give it")
def step_limit_names(context):
    for name in (b"server-limit", b"x-cloverhook-server-limit"):
        assert parse_rate_limit([(name, b"2.5")], HEADERS) == 2.5
