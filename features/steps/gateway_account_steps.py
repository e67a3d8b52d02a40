"""Steps for client accounts, their keys and what endpoints learn of them."""

import asyncio
import copy
import json
import sys
import zlib
from dataclasses import replace
from pathlib import Path

from behave import given, then, when

import features
from cloverhook.errors import ErrorKind
from cloverhook.gateway.accounts import AccountIndex, ClientAccount, digest_of
from cloverhook.gateway.authorization import authorize
from cloverhook.gateway.config_gate import ConfigGate
from cloverhook.gateway.gateway_state import GatewayState
from cloverhook.gateway.proxied_request import ProxiedRequest
from features import gateway_fleet as fleet
from features.link_cuts import Cut
from features.link_fleet import LinkFleet
from features.shared import run
from features.steps.platform_steps import DOCUMENT

ROOT = Path(features.__file__).resolve().parent.parent
sys.path.append(str(ROOT / "platform"))

from cloverhook_platform.decoding import decode_config  # noqa: E402

PUBLIC = "/public/"
MILL_KEY, MILL_KEY_2, FARM_KEY, NEW_KEY = "mill-secret-1", "mill-secret-2", "farm-secret", "fresh"
UNKNOWN_KEY = "nobody-secret"
KEYS = (MILL_KEY, MILL_KEY_2, FARM_KEY, NEW_KEY, UNKNOWN_KEY)
NAMES = fleet.NAMES
BOUND_MS = 2_000.0
NOW_MS = 1_000_000.0
DEFAULT_AGE_MS = 100.0


def account(name, *keys):
    """Return an account with these keys."""
    return ClientAccount(name, tuple(digest_of(key.encode()) for key in keys))


def accounts_config(version=1, mill=(MILL_KEY, MILL_KEY_2), farm=(FARM_KEY,)):
    """Return a configuration with two accounts and a public route."""
    config = fleet.config(version, fleet.route("public", PUBLIC, True, public=True))
    return replace(config, accounts=AccountIndex((account("mill", *mill), account("farm", *farm))))


def with_key(key, scheme="Token"):
    """Return the header line with a key."""
    return f"Authorization: {scheme} {key}"


REQUESTS = {
    "a request with mill's key": (fleet.SAFE, [with_key(MILL_KEY)]),
    "a request with mill's second key": (fleet.SAFE, [with_key(MILL_KEY_2)]),
    "a request with the scheme in capitals": (fleet.SAFE, [with_key(MILL_KEY, "TOKEN")]),
    "farm's key and the name mill as account": (
        fleet.SAFE,
        [f"{NAMES.account.decode()}: mill", with_key(FARM_KEY)],
    ),
    "mill's key and a Connection header": (
        fleet.SAFE,
        [with_key(MILL_KEY), f"Connection: keep-alive, {NAMES.account.decode()}"],
    ),
    "a request without a key": (fleet.SAFE, []),
    "a request with an unknown key": (fleet.SAFE, [with_key(UNKNOWN_KEY)]),
    "a request with the keys of both": (fleet.SAFE, [with_key(MILL_KEY), with_key(FARM_KEY)]),
    "a request with mill's key as Bearer": (fleet.SAFE, [with_key(MILL_KEY, "Bearer")]),
    "a public request without a key": (PUBLIC, []),
    "a public request with an unknown key": (PUBLIC, [with_key(UNKNOWN_KEY)]),
    "a public request with the name mill": (PUBLIC, [f"{NAMES.account.decode()}: mill"]),
    "a public request with mill's key": (PUBLIC, [with_key(MILL_KEY)]),
}


@given("a gateway whose configuration has the accounts mill and farm and a public route")
def step_gateway_with_accounts(context):
    context.log_data = bytearray()

    def write_log(data):
        context.log_data += data
        return len(data)

    async def start():
        await fleet.start_fleet(context, 1, write_log=write_log)
        context.gateways[0][0]._log.is_sampled = lambda request_id: True
        context.gateway, settings = context.gateways[0]
        context.address = settings.caller_address
        context.store.put_config(accounts_config(2))
        await fleet.until(lambda: context.gateway._gateway_state.config_version == 2)

    run(context, start())


@when("a caller of a deployment without accounts sends a key and an account")
def step_headers_of_caller(context):
    address = context.gateways[0][1].caller_address
    lines = [with_key(MILL_KEY), f"{NAMES.account.decode()}: mill"]
    context.answer = run(context, fleet.call(address, lines=lines))


@then("the endpoint gets both as the caller sent them")
def step_headers_kept(context):
    _, headers, _ = context.backends[0].seen[-1]
    assert headers[b"authorization"] == b"Token " + MILL_KEY.encode()
    assert headers[NAMES.account] == b"mill"


@when("the caller's request is {what}")
def step_request(context, what):
    path, lines = REQUESTS[what]
    context.answer = run(context, fleet.call(context.address, path, lines=lines))


@then("its answer is {status:d}, and the endpoint {sees}")
def step_seen(context, status, sees):
    assert context.answer.status == status, context.answer
    seen = context.backends[0].seen
    if sees == "gets nothing":
        assert not seen
        return
    _, headers, _ = seen[-1]
    assert b"authorization" not in headers
    name = sees.split()[3] if sees.startswith("gets the account") else None
    assert headers.get(NAMES.account) == (None if name is None else name.encode()), headers


@when("one connection has requests while mill's key is revoked and a key of farm is added")
def step_open_connection(context):
    context.statuses = []

    async def send(reader, writer, key):
        request_id = f"{NAMES.request_id.decode()}: {len(context.statuses)}"
        lines = [f"GET {fleet.SAFE} HTTP/1.1", f"Host: {fleet.HOST}", request_id, with_key(key)]
        version = context.gateway._gateway_state.config_version
        writer.write("\r\n".join((*lines, "", "")).encode())
        head = await reader.readuntil(b"\r\n\r\n")
        length = next(
            int(line.split(b":")[1])
            for line in head.lower().split(b"\r\n")
            if line.startswith(b"content-length")
        )
        await reader.readexactly(length)
        context.statuses.append((version, key, int(head.split()[1])))

    async def exchange():
        host, _, port = context.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        await send(reader, writer, MILL_KEY)
        await send(reader, writer, NEW_KEY)
        context.store.put_config(accounts_config(3, (MILL_KEY_2,), (FARM_KEY, NEW_KEY)))
        await fleet.until(lambda: context.gateway._gateway_state.config_version == 3)
        await send(reader, writer, MILL_KEY)
        await send(reader, writer, NEW_KEY)
        writer.close()

    run(context, exchange())


@then(
    "mill's requests are answered 401 and farm's 200 as soon as the new configuration is in force"
)
def step_statuses(context):
    assert context.statuses == [
        (2, MILL_KEY, 200),
        (2, NEW_KEY, 401),
        (3, MILL_KEY, 401),
        (3, NEW_KEY, 200),
    ], context.statuses


@given("its configuration has not been confirmed in time")
def step_not_confirmed(context):
    context.gateway._forwarder._config_gate._is_confirmed = lambda now_ms: False


@given("a gate with {rule} whose configuration was confirmed {age:d} ms ago")
def step_gate(context, rule, age):
    bound_ms = 5_000.0 if rule.startswith("strict") else None
    context.gate = gate_with(accounts_config(), age, bound_ms)


@given("a gate whose configuration has an account that could not be understood")
def step_gate_rejected(context):
    config = replace(accounts_config(), rejected_items=("account x: invalid",))
    context.gate = gate_with(config, DEFAULT_AGE_MS)


def gate_with(config, age_ms, bound_ms=None):
    """Return the gate of a VM with a configuration that was confirmed some time ago."""
    state = GatewayState()
    state.apply_config(config, 0.0)
    state.confirm_config(state.config_versions, NOW_MS - age_ms)
    return ConfigGate(state, BOUND_MS, lambda now_ms: 0.0, lambda: True, bound_ms)


def access_with(key):
    """Return the access of a request with a key."""
    headers = [(b"authorization", b"Token " + key.encode())]
    return authorize(accounts_config().accounts, headers, NAMES)


@then("a request with a known key is {served}")
def step_known_key(context, served):
    rejection = context.gate.reject_key(access_with(MILL_KEY), NOW_MS)
    assert rejection == (None if served == "accepted" else ErrorKind.OUTDATED)


@then("a request with an unknown key is told to come back")
def step_unknown_key(context):
    assert context.gate.reject_key(access_with(UNKNOWN_KEY), NOW_MS) is ErrorKind.OUTDATED


@given("3 gateways with accounts, where the first gateway has lost its links to 2 backend servers")
def step_cut_fleet_with_accounts(context):
    async def start():
        context.fleet = await LinkFleet.start(3, 2, work_ms=20.0)
        context.stack.push_async_callback(context.fleet.close)
        context.fleet.store.put_config(accounts_config(2))
        gateways = [gateway for gateway, _ in context.fleet.gateways]
        await fleet.until(lambda: all(item._gateway_state.config_version == 2 for item in gateways))
        context.sent = []
        for gateway in gateways:
            record_messages(gateway, context.sent)
        for backend in context.fleet.backends:
            backend.on_request = None
        context.fleet.cuts["vm-0"].begin(Cut.RESET)
        offers = gateways[0]._peering.link_updates.offers
        address = context.fleet.gateways[0][1].caller_address
        async with asyncio.timeout(fleet.WAIT_S):
            while not offers._offers:
                await fleet.call(address, lines=[with_key(FARM_KEY)])
        for backend in context.fleet.backends:
            backend.seen.clear()
            backend.ran.clear()

    run(context, start())


def record_messages(gateway, sent):
    """Keep a copy of what a gateway sends to others: datagrams and requests that it passes on."""
    link = gateway._peering.link
    send_encoded = link.send_encoded
    make_request = gateway._forwarder._proxying._request

    def send(address, data):
        sent.append(bytes(data))
        send_encoded(address, data)

    def make(state, proxied):
        request = make_request(state, proxied)
        sent.append(request.encode())
        return request

    link.send_encoded = send
    gateway._forwarder._proxying._request = make


@when("callers send it requests with mill's key, an unknown key and no key")
def step_to_cut_gateway(context):
    address = context.fleet.gateways[0][1].caller_address

    async def send():
        context.answers = [
            await fleet.call(address, fleet.UNSAFE, "POST", "m-1", lines=[with_key(MILL_KEY)]),
            await fleet.call(address, fleet.UNSAFE, "POST", "u-1", lines=[with_key(UNKNOWN_KEY)]),
            await fleet.call(address, fleet.UNSAFE, "POST", "n-1"),
        ]

    run(context, send())


@then("mill's request has run once as mill's without a key, and the others are answered 401")
def step_passed_on(context):
    assert [item.status for item in context.answers] == [200, 401, 401], context.answers
    runs = [seen for item in context.fleet.backends for seen in item.seen]
    payments = [headers for line, headers, _ in runs if line.startswith(b"POST")]
    assert len(payments) == 1 and payments[0][NAMES.account] == b"mill"
    assert all(b"authorization" not in headers for _, headers, _ in runs)


@then("no message between the gateways holds a key")
def step_no_key_sent(context):
    assert context.sent
    assert not [key for key in KEYS for data in context.sent if key.encode() in data]


@when("another gateway passes on requests with farm's key, a revoked key and no key")
def step_passed_on_to(context):
    def proxied(digest):
        headers = [(NAMES.request_id, b"p-1")]
        target = fleet.SAFE.encode()
        return ProxiedRequest(
            *("vm-9", b"GET", target, fleet.HOST, headers, b"", False, "10.0.0.1"),
            *(fleet.SERVICE, 0.0, 1, 2, digest),
        )

    async def serve():
        digests = (digest_of(FARM_KEY.encode()), digest_of(UNKNOWN_KEY.encode()), b"")
        context.served = [
            await context.gateway._proxy_server._serve(proxied(digest)) for digest in digests
        ]

    run(context, serve())


@then("farm's request runs as farm's, and the others are rejected as unknown-key")
def step_judged_here(context):
    assert [item.cause for item in context.served] == ["", "unknown-key", "unknown-key"]
    assert [item.answer.status for item in context.served] == [200, 401, 401]
    ((_, headers, _),) = context.backends[0].seen
    assert headers[NAMES.account] == b"farm"


@given("a configuration of which the accounts have {fault}")
def step_faulty_accounts(context, fault):
    document = copy.deepcopy(DOCUMENT)
    mill = {"name": "mill", "apiKeys": [MILL_KEY], "ratePerS": 5, "burst": 5, "priority": 1}
    farm = {"name": "farm", "apiKeys": [FARM_KEY]}
    document["tenants"] = [mill, farm]
    match fault:
        case "one key in two":
            mill["apiKeys"].append(FARM_KEY)
        case "an empty key":
            mill["apiKeys"].append("")
        case "a rate below zero":
            mill["ratePerS"] = -1
        case "a burst of text":
            mill["burst"] = "5"
        case "one name twice":
            document["tenants"].append({"name": "farm", "apiKeys": [MILL_KEY_2]})
        case "one that is no table":
            document["tenants"][0] = MILL_KEY
        case "a name of two lines":
            mill["name"] = "mill\nfarm"
    context.read_config = decode_config(json.dumps(document).encode())


@then("the accounts {left} are left, and the reason given shows no key")
def step_accounts_left(context, left):
    config = context.read_config
    assert [item.name for item in config.accounts.accounts] == left.split()
    assert len(config.rejected_items) == 1
    assert not [key for key in KEYS if key in config.rejected_items[0]]
    shared = config.accounts.find(digest_of(FARM_KEY.encode()))
    is_shared = "in common" in config.rejected_items[0]
    assert (shared is None) == is_shared
    assert len(config.routes) == len(DOCUMENT["routes"])


@then("neither key is in its log, its metrics or its encoded configuration")
def step_no_key(context):
    async def metrics():
        return await context.gateway._serve_metrics(None)

    text = run(context, metrics()).body
    context.gateway._log.flush()
    encoded = context.gateway._gateway_state.encoded_config().data
    for data in (bytes(context.log_data), text, zlib.decompress(encoded)):
        assert data and not [key for key in KEYS if key.encode() in data]


@then("the log line of the request names the account mill")
def step_account_logged(context):
    lines = [json.loads(line) for line in bytes(context.log_data).splitlines()]
    answers = [line for line in lines if line["kind"] in ("answer", "sample")]
    assert any(line.get("cause") == "unknown-key" for line in answers), answers
    assert any(line.get("account") == "mill" for line in answers), answers
