"""Steps that run followers and operators over an in-process log."""

import asyncio
import random

from behave import given, then, when

from cloverhook import porcelain
from cloverhook.clock import monotonic_ms
from cloverhook.errors import PlatformSilentError
from cloverhook.fleet import Preset
from cloverhook.follower import Follower
from cloverhook.platform_api import MemoryPlatform
from cloverhook.porcelain import Operator, Settlement
from cloverhook.records import CONFIG_STREAM, Change, Publish, SwitchPreset, encode_record
from cloverhook_emulator.faulty_platform import FaultyPlatform, PlatformFaults

BRAND = "saltbush"
DOCUMENT = {"brand": BRAND, "services": [{"name": "orders", "hosts": ["a.example"]}]}
ANN = Operator("ann", {})
STEP_MS = 250
POLLS = 8
SILENT_S = 60
AGE_SLACK_MS = 100


class NonBlockingLog(FaultyPlatform):
    """A platform whose reads never wait, with hooks that run once before or after an append."""

    before_append = None
    after_append = None

    async def read(self, stream, from_offset, wait_ms=0):
        """Read without waiting."""
        return await super().read(stream, from_offset)

    async def append(self, stream, record):
        """Append, and run the scenario's hooks before and after it."""
        before, self.before_append = self.before_append, None
        if before:
            await before()
        offset = await super().append(stream, record)
        after, self.after_append = self.after_append, None
        if after:
            await after()
        return offset


def run(context, work):
    """Run a coroutine on the scenario's loop."""
    return context.loop.run_until_complete(work)


def start_follower(context):
    """Start a follower with its own random source."""
    rng = random.Random(len(context.followers))
    follower = Follower(context.log, lambda record, result: None, lambda: context.now_ms, rng)
    context.followers.append(follower)
    return follower


def poll_all(context, followers=None):
    """Let followers poll often enough to reach the end of the log."""

    async def poll_each():
        for follower in followers or context.followers:
            for _ in range(POLLS):
                await follower.poll()

    run(context, poll_each())


def pass_time(context, passed_ms):
    """Let time pass, while followers read and append snapshots when due."""

    async def poll_until_end():
        end_ms = context.now_ms + passed_ms
        while context.now_ms < end_ms:
            context.now_ms += STEP_MS
            for follower in context.followers:
                await follower.poll()
                await follower.append_snapshot_if_due()

    run(context, poll_until_end())


def records(context):
    """Return the records in the log."""
    return context.log.streams.get(CONFIG_STREAM, [])


def set_unavailable(context, unavailable):
    """Make the log unavailable or available again."""
    context.log.set_faults(PlatformFaults(down=unavailable))


@given("a log and {count:d} followers")
def step_log(context, count):
    context.now_ms = 0.0
    context.log = NonBlockingLog(appends_per_s=100_000)
    context.followers = []
    context.appends_before = 0
    for _ in range(count):
        start_follower(context)


@given("{count:d} more followers")
def step_more(context, count):
    for _ in range(count):
        start_follower(context)


@given("the operator has published version 3 of a brand")
def step_published(context):
    for _ in range(3):
        result = run(context, porcelain.publish(context.log, DOCUMENT, ANN))
        assert result.settlement is Settlement.ACCEPTED, result
    poll_all(context)


@when("the answer to the next append is lost")
def step_lose(context):
    context.log.set_faults(PlatformFaults(lose_append_answers=1))


@when("the log goes down after the next append")
def step_down_after(context):
    async def go_down():
        set_unavailable(context, True)
        raise PlatformSilentError("the log went down")

    context.log.after_append = go_down


@when("another operator switches to maintenance just before the append")
def step_race(context):
    async def race():
        await porcelain.switch(context.log, BRAND, Preset.MAINTENANCE, Operator("bob", {}))

    context.log.before_append = race


@when("the operator switches to peak")
def step_switch(context):
    context.result = run(context, porcelain.switch(context.log, BRAND, Preset.PEAK, ANN))


@when("the operator switches to peak and interrupts it in the append")
def step_interrupt(context):
    async def interrupt():
        context.log.after_append = asyncio.Event().wait
        work = asyncio.create_task(porcelain.switch(context.log, BRAND, Preset.PEAK, ANN))
        while len(records(context)) < 4:
            await asyncio.sleep(0)
        work.cancel()
        return await work

    context.result = run(context, interrupt())


@when("the log is down")
def step_down(context):
    set_unavailable(context, True)


@when("the log is down for an hour")
def step_down_hour(context):
    set_unavailable(context, True)
    context.appends_before = context.log.appends
    pass_time(context, 10_000)
    context.now_ms += 3_600_000
    set_unavailable(context, False)


@when("the log is back")
def step_back(context):
    set_unavailable(context, False)


@when("a snapshot is due and the log loses its head")
def step_truncate(context):
    pass_time(context, 11_000)
    assert records(context)[-1]["type"] == "snapshot"
    context.log.truncate(CONFIG_STREAM, 3)


@when("a new follower starts")
def step_new_follower(context):
    start_follower(context)


@when("one follower is cut off, a race is lost and the log keeps nothing but the loser")
def step_gap(context):
    context.isolated = context.followers[0]
    for change_id, preset in (("winner", Preset.PEAK), ("loser", Preset.MAINTENANCE)):
        change = Change(change_id, BRAND, 3, "ann", SwitchPreset(preset))
        run(context, context.log.append(CONFIG_STREAM, encode_record(change)))
    poll_all(context, context.followers[1:])
    context.log.truncate(CONFIG_STREAM, 4)


@then("the follower that was cut off has version 3 and says that it is behind")
def step_isolated(context):
    poll_all(context, [context.isolated])
    assert context.isolated.state.version_of(BRAND) == 3
    assert context.isolated.behind
    assert context.isolated.status()["records_lost"]


@when("the other followers append a snapshot")
def step_others_snapshot(context):
    all_followers, context.followers = context.followers, context.followers[1:]
    pass_time(context, 11_000)
    context.followers = all_followers


@when("the log starts over")
def step_start_over(context):
    context.log.reset(CONFIG_STREAM)


@when("an operator who knows nothing publishes the brand anew")
def step_publish_anew(context):
    run(context, porcelain.publish(context.log, DOCUMENT, Operator("eve", {})))


@then("an operator who knows the daemons' versions is refused")
def step_refused_by_versions(context):
    informed_operator = Operator("ann", context.followers[0].status()["versions"])
    count = len(records(context))
    result = run(context, porcelain.switch(context.log, BRAND, Preset.PEAK, informed_operator))
    assert result.settlement is Settlement.REFUSED, result
    assert len(records(context)) == count


@when("the log is down for the followers, starts over and grows further")
def step_log_replaced(context):
    set_unavailable(context, True)
    poll_all(context)
    set_unavailable(context, False)
    context.log.reset(CONFIG_STREAM)
    for index in range(6):
        change = Change(f"new-{index}", BRAND, 0, "eve", Publish(DOCUMENT))
        run(context, context.log.append(CONFIG_STREAM, encode_record(change)))


@when("the followers' patience is over")
def step_timeout(context):
    pass_time(context, 14_000)


@when(
    "a follower reads it empty, and gets the state of one that has appended a snapshot before the"
    " answer"
)
def step_old_answer(context):
    poll_all(context)
    first, second = context.followers[:2]

    async def answer_late(stream, from_offset, wait_ms=0):
        found = await NonBlockingLog.read(context.log, stream, from_offset)
        assert found.next_offset == 0, found
        while not await first.append_snapshot_if_due():
            context.now_ms += STEP_MS
        del context.log.read
        for _ in range(POLLS):
            await first.poll()
        second.adopt(first.state)
        return found

    context.log.read = answer_late
    poll_all(context, [second])


@then("every follower counts {restarts:d} restart of the log")
def step_restarts(context, restarts):
    counts = [follower.status()["log_restarts"] for follower in context.followers]
    assert set(counts) == {restarts}, counts


@when("the log refuses appends for {time_s:d} s, and then starts over")
def step_refuse(context, time_s):
    poll_all(context)
    context.log.set_faults(PlatformFaults(refuse_appends=True))
    pass_time(context, 1_000 * time_s)
    assert context.log.refused_appends >= len(context.followers)
    context.log.set_faults(PlatformFaults())
    context.log.reset(CONFIG_STREAM)


@when("a snapshot comes due while the log is down, and the log starts over")
def step_due_in_outage(context):
    pass_time(context, STEP_MS)
    set_unavailable(context, True)
    pass_time(context, 12_000)
    set_unavailable(context, False)
    context.log.reset(CONFIG_STREAM)


@when("{minutes:d} minutes pass")
def step_minutes(context, minutes):
    context.appends_before = context.log.appends
    pass_time(context, minutes * 60_000)


@then("at most {count:d} appends were snapshots")
def step_few_snapshots(context, count):
    appended = context.log.appends - context.appends_before
    assert 1 <= appended <= count, appended


@then("the change is accepted, and the log holds it once")
def step_accepted_once(context):
    assert context.result.settlement is Settlement.ACCEPTED, context.result
    ids = [record.get("change_id") for record in records(context)]
    assert ids.count(context.result.change_id) == 1, ids


@then("the outcome is {settlement}")
def step_settlement(context, settlement):
    assert context.result.settlement.value == settlement, context.result


@then("settling the change says {settlement}")
def step_settled(context, settlement):
    result = run(context, porcelain.settle(context.log, context.result.change_id))
    assert result.settlement.value == settlement, result


@then("the change is rejected, and the operator is told of the one that won and what differs")
def step_rejected(context):
    result = context.result
    assert result.settlement is Settlement.REJECTED, result
    assert "by bob (switch to maintenance), version 4" in result.winner, result
    assert str(result.differences[0]) == "preset: maintenance -> peak", result


@then("every follower has version {version:d} and says that it is behind")
def step_behind(context, version):
    poll_all(context)
    for follower in context.followers:
        assert follower.state.version_of(BRAND) == version, follower.status()
        assert follower.behind, follower.status()


@then("every follower has version {version:d} and is not behind")
def step_not_behind(context, version):
    poll_all(context)
    for follower in context.followers:
        assert follower.state.version_of(BRAND) == version, follower.status()
        assert not follower.behind, follower.status()


@when("a change on version 3 reaches the log")
def step_change(context):
    poll_all(context)
    change = Change("late", BRAND, 3, "ann", SwitchPreset(Preset.PEAK))
    run(context, context.log.append(CONFIG_STREAM, encode_record(change)))


@when("a change on version 3 reaches the log, and a follower gets it with a peer's state")
def step_change_by_state(context):
    step_change(context)
    first, second = context.followers[:2]
    poll_all(context, [first, *context.followers[2:]])
    assert second.adopt(first.state)
    poll_all(context, [second])


@then("a follower folds it from a peer only at its own position")
def step_position(context):
    follower = context.followers[0]
    position = follower.state.next_offset
    late = (records(context)[-1],)
    assert follower.fold_records(position + 1, late) == 0
    assert follower.state.version_of(BRAND) == 3
    assert follower.fold_records(position, late) == 1
    assert follower.state.version_of(BRAND) == 4


class SilentRead(MemoryPlatform):
    """A platform whose next read that may wait gets no answer."""

    is_silent = False

    async def read(self, stream, from_offset, wait_ms=0):
        """Read, or leave the caller without an answer."""
        if self.is_silent and wait_ms:
            self.is_silent = False
            await asyncio.sleep(SILENT_S)
        return await super().read(stream, from_offset, wait_ms)


@when("the follower's next read gets no answer, and version 4 is published meanwhile")
def step_silent_read(context):
    async def follow():
        platform = SilentRead()
        platform.streams.update({name: list(items) for name, items in context.log.streams.items()})
        follower = Follower(platform, lambda record, result: None)
        await follower.poll()
        platform.is_silent = True
        silent_since_ms = monotonic_ms()
        following = asyncio.ensure_future(follow_log(follower))
        await asyncio.sleep(0.1)
        await porcelain.publish(platform, DOCUMENT, ANN)
        published_ms = monotonic_ms()
        context.ages_ms = []
        while follower.state.version_of(BRAND) < 4:
            await asyncio.sleep(0.02)
            context.ages_ms.append((monotonic_ms() - silent_since_ms, follower.age_ms()))
        context.took_ms = monotonic_ms() - published_ms
        following.cancel()

    run(context, follow())


async def follow_log(follower):
    """Poll as the daemon does."""
    while True:
        if not await follower.poll():
            await asyncio.sleep(follower.retry_ms() / 1000)


@then(
    "the follower has version 4 within 5 s, and its age was never below the time without an answer"
)
def step_in_force(context):
    assert context.took_ms <= 5_000, context.took_ms
    ages_ms = context.ages_ms[:-1]  # The last one is of the time after the answer.
    assert all(age_ms >= silent_ms - AGE_SLACK_MS for silent_ms, age_ms in ages_ms), ages_ms[-3:]
