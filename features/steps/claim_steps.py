"""Steps for claims on idempotency keys: the table alone, and real daemons over a failing log."""

import asyncio
import random
import signal
import time

import aiohttp
from behave import given, then, when

from cloverhook.claim_log import ClaimLog
from cloverhook.claims import ClaimState, ClaimTable, Denied, Granted, Undecidable
from cloverhook.errors import PlatformError, PlatformSilentError
from cloverhook.platform_api import MemoryPlatform
from cloverhook_emulator.fleet_runner import Fleet
from features.http_peers import HOST, ScriptedBackend, call, request
from features.shared import CONFIG, eventually, run

WINDOW_MS = 60_000
SETTLE_S = 0.05
WAIT_MS = 20_000
KEYS = 4
SEEDS = 30
STEPS = 600
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"
REJECTION = b"HTTP/1.1 503 No\r\nCloverhook-Outcome: not-run\r\nContent-Length: 0\r\n\r\n"


def _now_ms():
    return time.time() * 1000


def _new_table(vm="vm-0"):
    return ClaimTable(vm, WINDOW_MS)


def _append(log, table, now_ms):
    batch = table.take_batch(now_ms)
    log.append(batch.to_document())
    return batch


def _read(log, table, now_ms, first=0):
    start = max(first, table.next_offset)
    return table.fold(start, log[start:], now_ms)


# The claim table alone.


@then("the first claim in the log holds the key, whichever daemon reads first")
def step_first(context):
    log, table_1, table_2 = [], _new_table("vm-1"), _new_table("vm-2")
    table_2.claim("k", "second", 0)
    table_1.claim("k", "first", 5)
    _append(log, table_1, 5)
    _append(log, table_2, 0)
    assert _read(log, table_2, 9) == (Denied("second", "first", "vm-1", ClaimState.CLAIMED),)
    assert _read(log, table_1, 9) == (Granted("first"),)


@then("a claim that lands twice, or after its own release, never holds a key again")
def step_late_claim(context):
    log, table_1, table_2 = [], _new_table("vm-1"), _new_table("vm-2")
    table_1.claim("k", "a", 0)
    batch = _append(log, table_1, 0)
    assert _read(log, table_1, 1) == (Granted("a"),)
    table_1.release("k", "a")
    _append(log, table_1, 2)
    log.append(batch.to_document())
    table_2.claim("k", "b", 3)
    _append(log, table_2, 3)
    assert _read(log, table_2, 4) == (Granted("b"),)
    other_log, table_3 = [], _new_table("vm-3")
    table_3.claim("k", "late", 0)
    lost_batch = table_3.take_batch(0)
    table_3.release("k", "late")
    _append(other_log, table_3, 1)
    other_log.append(lost_batch.to_document())
    table_2 = _new_table("vm-2")
    table_2.claim("k", "c", 2)
    _append(other_log, table_2, 2)
    assert _read(other_log, table_2, 3) == (Granted("c"),)


@then("a claim whose append was not answered is asked for again and counts once")
def step_lost(context):
    log, table_1 = [], _new_table()
    table_1.claim("k", "a", 0)
    batch = _append(log, table_1, 0)
    table_1.append_failed(batch)
    assert table_1.has_claims
    assert _read(log, table_1, 1) == (Granted("a"),)
    assert not table_1.has_batch
    table_1.append_failed(batch)
    assert not table_1.has_claims
    table_1.claim("j", "b", 2)
    table_1.append_failed(table_1.take_batch(2))
    _append(log, table_1, 3)
    assert _read(log, table_1, 4) == (Granted("b"),)


@then("a key is free again after its release or its window, by the times in the log")
def step_window(context):
    log, table_1, table_2 = [], _new_table("vm-1"), _new_table("vm-2")
    table_1.claim("k", "a", 0)
    _append(log, table_1, 0)
    table_2.claim("k", "b", WINDOW_MS)
    _append(log, table_2, WINDOW_MS)
    table_1.claim("k", "c", WINDOW_MS + 1)
    _append(log, table_1, WINDOW_MS + 1)
    assert isinstance(_read(log, table_2, 10 * WINDOW_MS)[0], Denied)
    assert Granted("c") in _read(log, table_1, 0)


@then("what has run is known to every daemon")
def step_known(context):
    log, table_1, table_2 = [], _new_table("vm-1"), _new_table("vm-2")
    table_1.claim("k", "a", 0)
    _append(log, table_1, 0)
    _read(log, table_1, 0)
    table_1.mark_ran("k", "a")
    table_2.claim("k", "b", 1)
    _append(log, table_1, 1)
    _append(log, table_2, 1)
    assert _read(log, table_2, 1) == (Denied("b", "a", "vm-1", ClaimState.RAN),)


@then("a daemon that missed records grants nothing until a window has passed")
def step_missed(context):
    log, table_1, table_2 = [], _new_table("vm-1"), _new_table("vm-2")
    table_1.claim("k", "a", 0)
    _append(log, table_1, 0)
    table_2.claim("k", "b", 1)
    _append(log, table_2, 1)
    assert _read(log, table_2, 1, first=1) == (Undecidable("b"),)
    table_2.release("k", "b")
    table_2.claim("k", "c", WINDOW_MS + 1)
    _append(log, table_2, WINDOW_MS + 1)
    assert _read(log, table_2, WINDOW_MS + 1, first=1) == (Granted("c"),)


@then("records that are no claims change nothing")
def step_invalid(context):
    table = _new_table()
    table.claim("k", "a", 0)
    good = table.take_batch(0).to_document()
    bad = [{}, {**good, "claims": [["k"]]}, {**good, "vm": 1}, {**good, "released": None}]
    assert table.fold(0, [*bad, good], 0) == (Granted("a"),)
    assert table.next_offset == len(bad) + 1


@then("no key runs twice while appends are lost, late and doubled and daemons start over")
def step_random(context):
    ran = 0
    for seed in range(SEEDS):
        ran += _random_run(random.Random(seed))
    assert ran > SEEDS, ran


def _random_run(rng):
    """Let three daemons claim a few keys at random, and return how many requests ran."""
    log, delayed, pending, ran = [], [], {}, {}
    tables = {f"vm-{index}": _new_table(f"vm-{index}") for index in range(3)}
    for step in range(STEPS):
        vm = rng.choice(sorted(tables))
        table, claim_id, key = tables[vm], f"c{step}", f"k{rng.randrange(KEYS)}"
        match rng.randrange(8):
            case 0 | 1:
                table.claim(key, claim_id, step)
                pending[claim_id] = (vm, key)
            case 2 | 3 if table.has_batch:
                batch = table.take_batch(step)
                if rng.random() < 0.6:
                    log.append(batch.to_document())
                elif rng.random() < 0.7:
                    delayed.append(batch.to_document())
                if rng.random() < 0.4:
                    table.append_failed(batch)
            case 4 | 5:
                for decision in _read(log, table, step):
                    _act_on_decision(rng, table, pending, ran, decision)
            case 6 if delayed:
                log.append(delayed[rng.randrange(len(delayed))])
            case 7 if rng.random() < 0.1:
                tables[vm] = _new_table(vm)
                pending = {name: item for name, item in pending.items() if item[0] != vm}
    assert all(count == 1 for count in ran.values()), ran
    return len(ran)


def _act_on_decision(rng, table, pending, ran, decision):
    vm, key = pending.pop(decision.claim_id, (None, None))
    if vm is None:
        return
    if isinstance(decision, Granted) and rng.random() < 0.4:
        ran[key] = ran.get(key, 0) + 1
        table.mark_ran(key, decision.claim_id)
    else:
        table.release(key, decision.claim_id)


# The claim log, over a platform in this process.


class _FailingPlatform(MemoryPlatform):
    """Drops the first append and does not answer it, rejects the second, and counts all appends."""

    appends = 0

    async def append(self, stream, record):
        self.appends += 1
        if self.appends == 1:
            raise PlatformSilentError("no answer")
        if self.appends == 2:
            raise PlatformError("refused")
        return await super().append(stream, record)


@given("a way to a log that loses one append and refuses the next")
def step_claim_log(context):
    context.platform = _FailingPlatform()
    table = ClaimTable("vm-0", WINDOW_MS)
    context.claims = ClaimLog(context.platform, table, _now_ms, WAIT_MS, appends_per_s=10)


@then("{count:d} claims at once are all granted, with {appends:d} appends at most")
def step_granted(context, count, appends):
    async def claim_all():
        task = asyncio.create_task(context.claims.run())
        try:
            return await asyncio.gather(*(context.claims.claim(f"k{i}") for i in range(count)))
        finally:
            task.cancel()

    decisions = run(context, claim_all())
    assert all(isinstance(decision, Granted) for decision in decisions), decisions
    assert context.platform.appends <= appends, context.platform.appends


@then("what is left at a planned stop is appended")
def step_flush(context):
    context.claims.mark_ran("k0", "c0")
    run(context, context.claims.flush())
    assert context.platform.streams["claims"][-1]["ran"] == [["k0", "c0"]]


async def _claim(platform, table, keys):
    """Claim keys one after the other, as a daemon with this table; return the decisions."""
    claims = ClaimLog(platform, table, _now_ms, WAIT_MS, appends_per_s=100)
    task = asyncio.create_task(claims.run())
    try:
        return [await claims.claim(key) for key in keys]
    finally:
        task.cancel()


@given("a daemon that has read {count:d} claims, which the log then loses")
def step_claims_lost(context, count):
    context.platform = MemoryPlatform()
    context.claim_table = ClaimTable("vm-0", WINDOW_MS)
    context.claims = ClaimLog(
        context.platform, context.claim_table, _now_ms, WAIT_MS, appends_per_s=100
    )
    context.stack.callback(lambda: context.task.cancel())

    async def read():
        context.task = asyncio.create_task(context.claims.run())
        for index in range(count):
            assert isinstance(await context.claims.claim(f"old-{index}"), Granted)
        await asyncio.sleep(SETTLE_S)

    run(context, read())
    assert context.claim_table.next_offset == count
    context.platform.streams.clear()


@when("another daemon claims a key there, and {count:d} others")
def step_other_claims(context, count):
    keys = ["contested", *(f"new-{index}" for index in range(count))]
    decisions = run(context, _claim(context.platform, ClaimTable("vm-1", WINDOW_MS), keys))
    assert all(isinstance(item, Granted) for item in decisions), decisions


@then("the first daemon does not get the key")
def step_not_granted(context):
    decision = run(context, context.claims.claim("contested"))
    assert not isinstance(decision, Granted), decision


# Real daemons.


async def _start(context, daemons):
    context.fleet = await context.stack.enter_async_context(Fleet())
    context.backend = await context.stack.enter_async_context(ScriptedBackend({"/pay": OK}))
    for index in range(daemons):
        await context.fleet.start_daemon(f"vm-{index}", "papine", drain_ms=100)
    path = context.fleet.folder / "brand.toml"
    path.write_text(CONFIG.format(host=HOST, endpoints=f'"{context.backend.address}"'))
    code, output, errors = await context.fleet.run_tool("publish", str(path))
    assert code == 0, output + errors

    async def all_configured():
        statuses = [await context.fleet.status(vm) for vm in context.fleet.daemons]
        return all("brathwaite" in status["brands"] for status in statuses)

    await eventually(all_configured)


async def _set_faults(context, **faults):
    url = f"{context.fleet.platform_url}/v1/faults"
    async with aiohttp.ClientSession() as session, session.put(url, json=faults) as answer:
        answer.raise_for_status()


async def _pay(context, vm, key, path="/pay", method="POST"):
    headers = [b"Content-Length: 3"]
    if key:
        headers.append(b"Idempotency-Key: " + key.encode())
    address = context.fleet.daemons[vm].caller_address
    return await call(address, request(method, path, *headers, body=b"pay"))


def _rejection_of(reply):
    kind = (reply.header(b"cloverhook-error") or [b""])[0].decode()
    return reply.status, reply.header(b"cloverhook-outcome")[0].decode(), kind


@given("{daemons:d} daemons before one backend server")
def step_daemons(context, daemons):
    run(context, _start(context, daemons))


@then("a repeat at the same daemon gets the same answer and does not run")
def step_same(context):
    first = run(context, _pay(context, "vm-0", "same"))
    again = run(context, _pay(context, "vm-0", "same"))
    assert first.status == again.status == 200 and first.body == again.body == b"done"
    assert not first.header(b"cloverhook-replayed")
    assert again.header(b"cloverhook-replayed") == [b"1"], again
    assert len(context.backend.ran("/pay")) == 1


@then("a repeat at another daemon is told that the first ran")
def step_other(context):
    async def rejected():
        return _rejection_of(await _pay(context, "vm-1", "same")) == (409, "ran", "repeated")

    run(context, eventually(rejected))
    assert len(context.backend.ran("/pay")) == 1


@then("requests with the same key at once, at all daemons, run once")
def step_at_once(context):
    async def all_at_once():
        calls = [_pay(context, f"vm-{index % 2}", "burst") for index in range(10)]
        return await asyncio.gather(*calls)

    before = len(context.backend.ran("/pay"))
    replies = run(context, all_at_once())
    assert len(context.backend.ran("/pay")) == before + 1
    assert {reply.status for reply in replies} <= {200, 409}, replies
    assert sum(reply.status == 200 for reply in replies) >= 1, replies
    for reply in replies:
        assert reply.header(b"cloverhook-outcome") != [b"not-run"], reply


@then("a request that was refused before it ran may be repeated anywhere")
def step_released(context):
    context.backend.answers["/pay"] = REJECTION
    rejected = run(context, _pay(context, "vm-0", "refused"))
    assert rejected.header(b"cloverhook-outcome") == [b"not-run"], rejected
    context.backend.answers["/pay"] = OK

    async def runs():
        return (await _pay(context, "vm-1", "refused")).body == b"done"

    run(context, eventually(runs))


@when("a daemon is killed while a request with a key runs there")
def step_killed(context):
    async def kill():
        context.backend.answers["/pay"] = ScriptedBackend.hang
        first = asyncio.create_task(_pay(context, "vm-0", "lost"))
        await context.backend.wait_for("/pay")
        await context.fleet.daemons["vm-0"].process.stop(signal.SIGKILL)
        context.backend.answers["/pay"] = OK
        return await first

    assert run(context, kill()).data == b""


@then("its repeat at another daemon is answered as unknown and does not run")
def step_unknown(context):
    reply = run(context, _pay(context, "vm-1", "lost"))
    assert _rejection_of(reply) == (409, "unknown", "repeat-unsettled"), reply
    assert len(context.backend.ran("/pay")) == 1


@then("with the log down only non-idempotent requests with a key are refused, as unknown")
def step_down(context):
    assert run(context, _pay(context, "vm-1", "elsewhere")).status == 200
    before = len(context.backend.ran("/pay"))
    run(context, _set_faults(context, down=True))
    repeat = run(context, _pay(context, "vm-0", "elsewhere"))
    assert repeat.header(b"cloverhook-outcome") != [b"not-run"], repeat
    reply = run(context, _pay(context, "vm-0", "down"))
    assert _rejection_of(reply) == (503, "unknown", "log-unavailable"), reply
    assert reply.header(b"retry-after"), reply
    assert run(context, _pay(context, "vm-0", "")).status == 200
    assert run(context, _pay(context, "vm-0", "down", method="PUT")).status == 200
    assert len(context.backend.ran("/pay")) == before + 2


@then("with the log back the same key runs once")
def step_back(context):
    run(context, _set_faults(context))
    before = len(context.backend.ran("/pay"))

    async def runs():
        return (await _pay(context, "vm-1", "down")).status == 200

    run(context, eventually(runs))
    run(context, _pay(context, "vm-0", "down"))
    assert len(context.backend.ran("/pay")) == before + 1


@then("an append that lands without an answer still lets its request run once")
def step_lost_answers(context):
    before = len(context.backend.ran("/pay"))
    run(context, _set_faults(context, lose_append_answers=3))
    assert run(context, _pay(context, "vm-0", "silent")).status == 200
    assert run(context, _pay(context, "vm-1", "silent")).status == 409
    assert len(context.backend.ran("/pay")) == before + 1
