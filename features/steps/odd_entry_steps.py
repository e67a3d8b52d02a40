"""Steps for records of other writers, read by gateways that run as processes of their own."""

import asyncio
import itertools
import json
import sys
import tempfile
from pathlib import Path

from behave import given, then, when

import features
from features import gateway_fleet as fleet
from features.gateway_soak import Soak, log_faults
from features.shared import run

ROOT = Path(features.__file__).resolve().parent.parent
sys.path.append(str(ROOT / "platform"))

from cloverhook_platform.names import (  # noqa: E402
    EVACUATE_PREFIX,
    HEADERS,
    MEMBERS_TOPIC,
    QUARANTINE_TOPIC,
    TOPICS,
)

SEED = 5_001
CONFIG_TOPIC = next(topic for feed, topic in TOPICS.items() if feed.value == "config")
REQUEST_NUMBERS = itertools.count()
USES = 40
DRAIN_S = 2.5
LIMIT_S = 20.0
DEPTHS = (100, 1_000, 5_000, 30_000, 100_000)
NUMBERS = ("1e999", "-1e999", "9" * 400, "9" * 5_000, "NaN", "Infinity", "1" + "0" * 30, "1e308")
PORTS = ("0", "65536", "99999", "-1", "1e3", "00001", "9" * 300, "\u0661\u0662", "")
KEYS = (
    'quo"te',
    "back\\slash",
    "per%cent%zz",
    "a&after=b",
    "with space",
    "new\nline",
    "sla/sh?que#ry",
    "k" * 255,
    "\u0000",
    "plus+plus",
)


def entry(**fields):
    """Return the text of an entry; a field's value is text in JSON."""
    sound = {
        "service": json.dumps(fleet.SERVICE),
        "address": '"127.0.0.1:9"',
        "zone": '"papine"',
        "slots": "4",
        "state": '"draining"',
        "warmupLeft": "0",
        "seq": "1",
    }
    return "{" + ", ".join(f'"{name}": {value}' for name, value in (sound | fields).items()) + "}"


def nested():
    """Yield values that are nested deeply."""
    for depth in DEPTHS:
        yield "[" * depth
        yield "[" * depth + "]" * depth
        yield '{"service":' * depth
        yield entry(slots="[" * depth + "]" * depth)


def numbers():
    """Yield entries with a number that is too large, or none."""
    for field, number in itertools.product(("slots", "seq", "warmupLeft", "born"), NUMBERS):
        yield entry(**{field: number})


def ports():
    """Yield entries with an address that can't be connected to."""
    for port in PORTS:
        yield entry(address=json.dumps(f"127.0.0.1:{port}"))
    yield entry(address='"127.0.0.1"')
    yield entry(address='":80"')


def extreme():
    """Yield entries that are sound, of servers that leave, with values at the edge of the types."""
    yield entry(slots=str(2**53))
    yield entry(zone=json.dumps("z" * 4_000))
    yield entry(service=json.dumps("\u00e9" * 4_000))
    yield entry(warmupLeft='"86400s"')
    yield entry(seq=str(2**62))


KINDS = {
    "nested 100 to 100000 levels": nested,
    "numbers too large": numbers,
    "ports out of range": ports,
    "keys that have to be quoted": lambda: [entry(slots="0"), "{}"],
    "extreme but sound": extreme,
}


def values_of(kind):
    """Return the values of a kind of odd record."""
    kinds = KINDS.values() if kind == "all of these" else (KINDS[kind],)
    return [value for make in kinds for value in make()]


def keys_of(kind, prefix):
    """Yield keys for odd records without end."""
    if "quoted" in kind or kind == "all of these":
        yield from (prefix + key[: 255 - len(prefix)] for key in KEYS)
    yield from (f"{prefix}odd-{number}" for number in itertools.count())


@given("{gateways:d} gateway processes with {backends:d} backend servers")
def step_processes(context, gateways, backends):
    folder = tempfile.TemporaryDirectory(prefix="cloverhook-odd-")
    context.add_cleanup(folder.cleanup)
    context.soak = Soak(SEED, Path(folder.name), context.stack, gateways)
    run(context, context.soak.start_all())
    assert len(context.soak.backends) == backends


@when("another writer puts {count:d} odd records into each topic, of the kind: {kind}")
def step_odd_records(context, count, kind):
    values = itertools.cycle(values_of(kind))
    context.are_sound = "sound" in kind
    topics = (*TOPICS.values(), MEMBERS_TOPIC, QUARANTINE_TOPIC)
    for topic, prefix in (*((topic, "") for topic in topics), (CONFIG_TOPIC, EVACUATE_PREFIX)):
        for key in itertools.islice(keys_of(kind, prefix), count):
            context.soak.store.put(topic, key, next(values).encode())


@then("a backend server that joins afterwards gets requests, and one that leaves gets none")
def step_follow(context):
    async def follow():
        soak = context.soak
        joined, left = await soak.add_backend(), soak.backends[0]
        soak.put(left, "draining")
        await ask_until(soak, lambda: joined.ran)
        await asyncio.sleep(DRAIN_S)
        ran = len(left.ran)
        await ask_each(soak, fleet.SAFE)
        assert len(left.ran) == ran, (ran, len(left.ran))

    run(context, follow())


async def ask_until(soak, condition):
    """Ask the gateways until a condition holds."""
    async with asyncio.timeout(LIMIT_S):
        while not condition():
            await ask_each(soak, fleet.SAFE, uses=1)


async def ask_each(soak, path, uses=USES):
    """Ask each gateway some times; return the statuses."""
    statuses = []
    for gateway, _ in itertools.product(soak.gateways, range(uses)):
        lines = (f"{HEADERS.request_id.decode()}: odd-{next(REQUEST_NUMBERS)}",)
        address = gateway.addresses["caller_address"]
        statuses.append((await fleet.call(address, path, lines=lines)).status)
    return statuses


@then("a route that is added afterwards is served by every gateway")
def step_route(context):
    async def add():
        soak = context.soak
        soak.put_config()
        added = [path for _, path, _, _ in soak._added_routes()]
        await asyncio.sleep(DRAIN_S)
        for path in added:
            statuses = await ask_each(soak, path, uses=4)
            assert set(statuses) == {200}, (path, statuses)
        assert added

    run(context, add())


@then("a gateway process that starts afterwards serves too")
def step_start(context):
    async def start():
        soak = context.soak
        gateway = soak._configure_gateway("vm-late")
        soak.gateways.append(gateway)
        await soak.start(gateway)
        await soak.wait_until_served()

    run(context, start())


@then("no process has ended by itself or logged a fault, and each log has less than {limit:d} KB")
def step_no_fault(context, limit):
    ended = [item.name for item in context.soak.gateways if not item.alive]
    assert not ended, ended
    faults = list(log_faults(context.soak.folder))
    assert not faults, faults[:3]
    logs = list(context.soak.folder.glob("*.log"))
    assert context.are_sound or any('"unreadable"' in item.read_text() for item in logs)
    sizes = {item.name: item.stat().st_size // 1024 for item in logs}
    assert all(size < limit for size in sizes.values()), sizes
