"""Steps for the fleet-wide rate limits of client accounts."""

import asyncio
import json
import random
from collections import Counter
from dataclasses import replace

from behave import given, then, when

from cloverhook.clock import monotonic_ms
from cloverhook.gateway.accounts import AccountIndex, ClientAccount, digest_of
from cloverhook.gateway.allotment import AllotmentLimits, Allotments
from features import gateway_fleet as fleet
from features.allotment_replay import AllotmentReplay
from features.shared import run

RATES = (2.4, 20.0, 153.0, 430.0)
LOSSES = {"none": 0.0, "a fifth": 0.2}
PLACES = {"one gateway": "one", "all gateways": "all", "moving": "moving"}
KEY = "mill-secret-key"
STARTED_MS = 30_000
PRIORITY_PLAY_MS = 20_000
CHECK_LATENCY_MS = 300.0
"""A queued request would wait for its latency objective of 1,000 ms."""


@given(
    "a replay of {vms:d} gateways without trouble, with {loss} of the datagrams lost and seed"
    " {seed:d}"
)
def step_replay_untroubled(context, vms, loss, seed):
    context.replay = {"vms": vms, "loss": LOSSES[loss], "seed": seed, "trouble": "none"}


@given(
    "a replay of {vms:d} gateways, {trouble}, with {loss} of the datagrams lost and seed {seed:d}"
)
def step_replay_troubled(context, vms, trouble, loss, seed):
    context.replay = {"vms": vms, "loss": LOSSES[loss], "seed": seed, "trouble": trouble}


@when(
    "accounts with 2.4, 20, 153 and 430 requests a second send {demands} times as much to {places}"
)
def step_play(context, demands, places):
    factors = [float(item) for item in demands.replace(" or", ",").split(",")]
    context.played = AllotmentReplay(
        rates=RATES, demands=factors, places=PLACES[places], **context.replay
    ).play()


@then("no window has more requests of an account than its allotment and the tolerance")
def step_within_bound(context):
    beyond, account = context.played.worst_beyond()
    assert beyond <= 0.0, (account, beyond)


@then("each account gets {share:g} or more of what it may use")
def step_served(context, share):
    served, account = context.played.least_served()
    assert served >= share, (account, served)


@given(
    "{gateways:d} gateways and an account with {rate:g} requests a second and a burst of {burst:g}"
)
def step_gateways(context, gateways, rate, burst):
    start_gateways(context, gateways, rate, burst)


@given(
    "{gateways:d} gateway and an account with {rate:g} requests a second and a burst of {burst:g}"
)
def step_gateway(context, gateways, rate, burst):
    start_gateways(context, gateways, rate, burst)


def start_gateways(context, gateways, rate, burst):
    """Start gateways with two backend servers and one account, and wait until its burst is there.

    The tolerance is that of the default settings.
    """
    context.log = bytearray()
    context.account = ClientAccount("mill", (digest_of(KEY.encode()),), None, rate, burst)

    def write(data):
        context.log += data
        return len(data)

    async def start():
        await fleet.start_fleet(context, 2, gateways, write_log=write)
        accounts = AccountIndex((context.account,))
        context.store.put_config(replace(fleet.config(2), accounts=accounts))
        others = gateways - 1
        await fleet.until(
            lambda: all(
                item._gateway_state.config_version == 2
                and (rate == 0 or len(allotments_of(item)._live) == others)
                for item, _ in context.gateways
            )
        )
        await asyncio.sleep(burst / max(rate, 1.0))

    run(context, start())


def allotments_of(gateway):
    """Return the decisions of a gateway on accounts."""
    return gateway._peering.allotment_updates.allotments


async def send_all(context, count, time_s):
    """Send requests of the account to all gateways in turn; return answers and latencies."""

    async def send(number):
        await asyncio.sleep(number * time_s / count)
        _, settings = context.gateways[number % len(context.gateways)]
        sent_ms = monotonic_ms()
        key = f"Authorization: Token {KEY}"
        answer = await fleet.call(settings.caller_address, request_id=f"r-{number}", lines=[key])
        return answer, monotonic_ms() - sent_ms

    return await asyncio.gather(*(send(number) for number in range(count)))


@when("its callers send {count:d} requests in a second")
def step_send(context, count):
    context.answers = run(context, send_all(context, count, 1.0))


@then("the backend servers have seen only the requests that were admitted, and at most {count:d}")
def step_seen(context, count):
    served = sum(answer.status == 200 for answer, _ in context.answers)
    seen = {
        headers[fleet.NAMES.request_id] for item in context.backends for _, headers, _ in item.seen
    }
    assert 0 < served == len(seen) <= count, (served, len(seen))


@then("the others are answered 429 within {limit_ms:d} ms, with the time until a retry can succeed")
def step_rejected(context, limit_ms):
    others = [item for item in context.answers if item[0].status != 200]
    assert others
    for answer, latency_ms in others:
        assert answer.status == 429 and latency_ms < limit_ms, (answer, latency_ms)
        assert 0.0 < float(answer.headers["retry-after"]) <= 5.1, answer.headers


@then(
    "the gateways have logged and counted that the account is over its allotment, without its key"
)
def step_reported(context):
    async def pages():
        gateways = [item for item, _ in context.gateways]
        return b"".join([(await item._serve_metrics(None)).body for item in gateways])

    page = run(context, pages())
    for outcome in (b"admitted", b"over-allotment"):
        assert b'account_requests{account="mill",outcome="' + outcome in page
    for gateway, _ in context.gateways:
        gateway._log.flush()
    lines = [json.loads(line) for line in context.log.splitlines()]
    over = [line for line in lines if line["kind"] == "account" and line["over_allotment"]]
    assert over and all(line["account"] == "mill" for line in over), over
    assert KEY.encode() not in context.log + page


@when("the backend server is gone and callers send {count:d} requests")
def step_send_nowhere(context, count):
    async def send():
        for backend in context.backends:
            await backend.crash()
        return await send_all(context, count, 3.0)

    context.answers = run(context, send())


@then("none of them is rejected as beyond the allotment, and none is charged")
def step_none_charged(context):
    found = [answer.status for answer, _ in context.answers]
    assert 429 not in found and 200 not in found, found
    for gateway, _ in context.gateways:
        (budget,) = allotments_of(gateway)._budgets.values()
        assert budget.total == 0, budget


@then("all are served and no gateway has sent a report on accounts")
def step_no_report(context):
    assert {answer.status for answer, _ in context.answers} == {200}
    sent = [item._peering.link.messages_sent for item, _ in context.gateways]
    assert all("Heartbeat" in names and "AccountUse" not in names for names in sent), sent


@when("one of them stops as planned")
def step_stop(context):
    async def stop():
        gateway, _ = context.gateways.pop()
        gateway.begin_shutdown()
        await gateway.run_until_stopped()
        # Longer than the time after which the others would take it for silent.
        await asyncio.sleep(3.0)

    run(context, stop())


@then("the others use the whole rate, and not two thirds of it")
def step_whole_rate(context):
    shares = [allotments_of(item)._share for item, _ in context.gateways]
    assert shares == [1.0, 1.0], shares


@given(
    "a gateway's account with {rate:g} requests a second and a burst of {burst:g}, of which 10 are"
    " left"
)
def step_account(context, rate, burst):
    context.allotments = Allotments("vm-1", AllotmentLimits(5.0, 0.0, 0.0), random.Random(1), 0.0)
    context.account = ClientAccount("mill", (), None, rate, burst)
    context.allotments.set_accounts((context.account,), 0.0)
    assert take(context, 1, 20_000.0) == 1
    context.now_ms = 21_000.0


def take(context, count, now_ms):
    """Return how many of some requests at one moment are admitted."""
    found = [context.allotments.try_take(context.account, now_ms) for _ in range(count)]
    return sum(decision.admitted for decision in found)


@when("its limit becomes {rate:g} request a second and a burst of {burst:g}")
def step_lowered(context, rate, burst):
    context.account = replace(context.account, rate_per_s=rate, burst=burst)
    context.allotments.set_accounts((context.account,), context.now_ms)


@then("it may send {count:d} requests at once, and not {before:d}")
def step_clamped(context, count, before):
    found = take(context, before, context.now_ms)
    assert 1 <= found <= count + 1, found


@when("the account is removed and added again")
def step_removed(context):
    context.allotments.set_accounts((), context.now_ms)
    assert not context.allotments
    context.allotments.set_accounts((context.account,), context.now_ms)


@then("its budget begins empty")
def step_empty(context):
    assert take(context, 10, context.now_ms) <= 1


@given(
    "an account with {rate:d} requests a second that sends {demand:d} a second, 2 in 10 of"
    " priority 0"
)
def step_priorities(context, rate, demand):
    account = ClientAccount("mill", rate_per_s=float(rate), burst=float(rate))
    source = random.Random(1)
    limits = AllotmentLimits(window_s=5.0, overshoot=0.1, slack=20.0)
    allotments = Allotments("vm-1", limits, source, 0.0)
    allotments.set_accounts((account,), 0.0)
    now_ms = float(STARTED_MS)
    context.sent, context.admitted = Counter(), Counter()
    while now_ms < STARTED_MS + PRIORITY_PLAY_MS:
        now_ms += source.expovariate(demand / 1_000.0)
        priority = source.choices((0, 1, 2), (2, 7, 1))[0]
        context.sent[priority] += 1
        context.admitted[priority] += allotments.try_take(account, now_ms, priority).admitted


@then("about {admitted:d} a second are admitted in 20 seconds")
def step_priorities_admitted(context, admitted):
    expected = admitted * PRIORITY_PLAY_MS / 1_000.0
    assert abs(context.admitted.total() / expected - 1.0) < 0.1, context.admitted


@then(
    "at least {first:g} of those of priority 0, and of each other priority half of the mean or more"
)
def step_priorities_first(context, first):
    shares = {item: context.admitted[item] / count for item, count in context.sent.items()}
    mean = context.admitted.total() / context.sent.total()
    assert shares[0] >= first, shares
    # Half of the mean, less what chance takes of some hundred requests.
    assert min(shares.values()) >= 0.5 * mean - 0.04, (shares, mean)
