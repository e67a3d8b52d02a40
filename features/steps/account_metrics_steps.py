"""Steps for the metrics and log lines by client account, and for the command that sums them."""

import asyncio
import contextlib
import itertools
import json
import random
import sys
import time
from dataclasses import replace
from pathlib import Path

from behave import given, then, when

import features
from cloverhook.account_use import sum_accounts
from cloverhook.gateway.account_metrics import AccountMetrics
from cloverhook.gateway.accounts import AccountIndex, ClientAccount
from cloverhook.gateway.allotment import UNKNOWN_FLEET_MS
from cloverhook.gateway.calls import CallerAnswer
from cloverhook.gateway.counters import PREFIX, Counters
from cloverhook.gateway.ingress import Ingress
from cloverhook.gateway.starvation import Starvation
from features import gateway_fleet as fleet
from features.shared import run
from features.steps.gateway_account_steps import (
    FARM_KEY,
    MILL_KEY,
    PUBLIC,
    UNKNOWN_KEY,
    accounts_config,
    with_key,
)

ROOT = Path(features.__file__).resolve().parent.parent
AIM_MS = 400.0
LATE_WORK_MS = 600.0
TIMEOUT_MS = 1_000
ACCOUNT_COUNT = 77
ZIPF_EXPONENT = 1.2
REQUESTS_PER_S = 40.0
ODD_NAME = 'mill "\\n\u2028'
PAGES = (
    """cloverhook_gateway_config_version 3
cloverhook_gateway_account_limit_per_s{account="mill"} 20
cloverhook_gateway_account_requests{account="mill",outcome="admitted"} 50
cloverhook_gateway_account_requests{account="mill",outcome="over-allotment"} 5
cloverhook_gateway_account_answers{account="mill",result="in-time"} 40
cloverhook_gateway_account_answers{account="mill",result="late"} 10
cloverhook_gateway_account_answers{account="farm",result="rejected"} 2
""",
    """cloverhook_gateway_config_version 4
cloverhook_gateway_account_limit_per_s{account="mill"} 15
cloverhook_gateway_account_limit_per_s{account="idle"} 7.5
cloverhook_gateway_account_requests{account="mill",outcome="admitted"} 40
cloverhook_gateway_account_requests{account="mill",outcome="over-allotment"} 20
cloverhook_gateway_account_answers{account="mill",result="in-time"} 20
cloverhook_gateway_account_answers{account="mill",result="late"} 10
cloverhook_gateway_account_answers{account="farm",result="in-time"} 1
cloverhook_gateway_account_answers{account="farm",result="late"} 1
""",
)
FILL_MS = 500.0
"""In this time, 10 requests of an account with 20 a second become available."""
OTHER_PAGE = "<html>It works</html>"


def limited_config(version, rate_per_s):
    """Return a configuration in which mill has a limit and routes have the test's objective."""
    found = accounts_config(version)
    mill, farm = found.accounts.accounts
    routes = tuple(replace(item, aim_ms=AIM_MS) for item in found.routes)
    accounts = AccountIndex((replace(mill, rate_per_s=rate_per_s), farm))
    services = tuple(found.services.values())
    return fleet.GatewayConfig.of(version, routes, services, found.limits, accounts)


async def apply_config(context, config):
    """Put a configuration in force at the gateway."""
    context.store.put_config(config)
    state = context.gateway._gateway_state
    await fleet.until(lambda: state.config_version == config.version)


@given("a gateway with client accounts and a metrics page")
def step_gateway(context):
    context.log_data = bytearray()

    def write_log(data):
        context.log_data += data
        return len(data)

    async def start():
        context.page = fleet.free_address()
        port = int(context.page.rpartition(":")[2])
        await fleet.start_fleet(context, 1, write_log=write_log, metrics_port=port)
        context.gateway, settings = context.gateways[0]
        context.stack.callback(context.gateway._metrics_ingress.close_listener)
        context.address = settings.caller_address
        await apply_config(context, limited_config(2, 20.0))
        # A gateway that knows no other one reckons with a large fleet at first.
        await asyncio.sleep((UNKNOWN_FLEET_MS + FILL_MS) / 1000)

    run(context, start())


async def request(context, *lines, path=fleet.UNSAFE):
    """Send a request to the gateway."""
    method, body = ("POST", b"pay") if path == fleet.UNSAFE else ("GET", b"")
    fields = {"lines": lines, "body": body, "timeout_ms": TIMEOUT_MS}
    return await fleet.call(context.address, path, method, **fields)


def counts_by_account(context, page=None):
    """Return the counts of answers on a metrics page, by account and result."""
    text = page or run(context, fleet.call(context.page, "/metrics")).body.decode()
    return {
        (use.account, result): count
        for use in sum_accounts([text])
        for result, count in use.answers.items()
        if count
    }


@when("a request of mill {ends}")
def step_request_of_mill(context, ends):
    backend = context.backends[0]
    backend.default = {
        "is rejected by every endpoint": "reject",
        "gets an endpoint's failure": "error",
        "gets no answer before its deadline": "silent",
        "is given up by its caller": "silent",
    }.get(ends, "ok")
    backend.work_ms = LATE_WORK_MS if ends == "is answered after its route's aim" else 0.0

    async def send():
        given_up = ends == "is given up by its caller"
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(0.2 if given_up else None):
                await request(context, with_key(MILL_KEY))
        counts = context.gateway._counters._counts
        await fleet.until(lambda: any(name == "account_answers" for name, _ in counts))

    run(context, send())


@then("its metrics page counts for mill only one request {result}")
def step_counted(context, result):
    assert counts_by_account(context) == {("mill", result): 1}


@when("requests come with an unknown key, without a key, and without a key on a public route")
def step_without_account(context):
    answers = [
        run(context, request(context, with_key(UNKNOWN_KEY))),
        run(context, request(context)),
        run(context, request(context, path=PUBLIC)),
    ]
    assert [item.status for item in answers] == [401, 401, 200]


@then("its metrics page counts no request by account")
def step_not_counted(context):
    assert counts_by_account(context) == {}


@when("a caller sends a request with a key")
def step_key_without_accounts(context):
    address = context.gateways[0][1].caller_address
    answer = run(context, fleet.call(address, lines=[with_key(MILL_KEY)]))
    assert answer.status == 200


@then("the gateway has no metric by account")
def step_no_metric(context):
    page = run(context, context.gateways[0][0]._serve_metrics(None)).body.decode()
    assert PREFIX + "answers" in page and "account" not in page


@then("the 3 gateways together count one request of mill")
def step_counted_once(context):
    gateways = [gateway for gateway, _ in context.fleet.gateways]
    pages = [run(context, item._serve_metrics(None)).body.decode() for item in gateways]
    counts = [counts_by_account(context, page) for page in pages]
    assert [item.get(("mill", "in-time"), 0) for item in counts] == [1, 0, 0], counts


@then("its metrics page has the limit {limit:g} of mill and none of farm")
def step_limit(context, limit):
    page = run(context, fleet.call(context.page, "/metrics")).body.decode()
    assert f'account_limit_per_s{{account="mill"}} {limit:g}\n' in page
    assert page.count("account_limit_per_s") == 1


@when("the configuration states no limits any more")
def step_no_limits(context):
    run(context, apply_config(context, limited_config(3, 0.0)))


@then("its metrics page has no limits")
def step_limits_gone(context):
    page = run(context, fleet.call(context.page, "/metrics")).body.decode()
    assert "account_answers" in page and "account_limit_per_s" not in page


@given("requests of {count:d} accounts have been counted, and of one with the name other")
def step_many_accounts(context, count):
    context.counters = Counters()
    metrics = AccountMetrics(context.counters)
    names = ["other", *(f"a-{index}" for index in range(count))]
    for name in names:
        metrics.record_end(name, "answered", 200, 1.0, AIM_MS)
    metrics.set_limits(ClientAccount(name, rate_per_s=5.0) for name in names)


@then("the first {named:d} accounts have their names, and {others:d} requests are counted as other")
def step_named(context, named, others):
    counts = counts_by_account(context, context.counters.to_prometheus_text().decode())
    expected = {(f"a-{index}", "in-time"): 1 for index in range(named)}
    assert counts == {**expected, ("other", "in-time"): others}


@then("there are no limits of accounts that are counted as other")
def step_named_limits(context):
    uses = sum_accounts([context.counters.to_prometheus_text().decode()])
    assert {use.account for use in uses if use.limit_per_s is None} == {"other"}


@given("a request of an account with a quote and a backslash in its name has been counted")
def step_odd_name(context):
    counters = Counters()
    AccountMetrics(counters).record_end(ODD_NAME, "answered", 200, 1.0, AIM_MS)
    context.page_text = counters.to_prometheus_text().decode()


@then("the sums over two of its metrics pages give 2 requests of that account")
def step_odd_name_summed(context):
    (use,) = sum_accounts([context.page_text] * 2)
    assert use.account == ODD_NAME and use.answers["in-time"] == 2


# Starvation.


@given("requests of 77 accounts at 40 a second, of which 0.6 are served")
def step_load(context):
    context.source = random.Random(7)
    context.weights = [1 / rank**ZIPF_EXPONENT for rank in range(1, ACCOUNT_COUNT + 1)]


@when("account {number:d} is served a tenth for {lasts_s:d} s from second {from_s:d} on")
def step_starved(context, number, lasts_s, from_s):
    context.account, context.from_s, context.to_s = str(number), from_s, from_s + lasts_s
    source, starvation = context.source, Starvation()
    context.changes = []
    now_s, checked_s = 0.0, 0.0
    while now_s < 2 * context.to_s:
        now_s += source.expovariate(REQUESTS_PER_S)
        account = str(source.choices(range(1, ACCOUNT_COUNT + 1), context.weights)[0])
        starved = account == context.account and context.from_s <= now_s < context.to_s
        starvation.record_end(account, source.random() < (0.1 if starved else 0.6), now_s * 1000)
        if now_s - checked_s >= 1:
            checked_s = now_s
            context.changes += [(now_s, item) for item in starvation.check(now_s * 1000)]


@then(
    "account 3 is reported as starved within {starved_s:d} s, and as served within {served_s:d} s"
    " after that ends"
)
def step_reported(context, starved_s, served_s):
    own = [(at_s, x.is_starved) for at_s, x in context.changes if x.account == context.account]
    assert own[0][1] and context.from_s < own[0][0] <= context.from_s + starved_s, own
    assert not own[-1][1] and context.to_s < own[-1][0] <= context.to_s + served_s, own


@then("no other account is reported")
def step_no_other(context):
    others = [x for _, x in context.changes if x.account != context.account]
    assert not others, others


@then("no account is reported twice within {interval_s:d} s")
def step_interval(context, interval_s):
    times = [at_s for at_s, x in context.changes if x.account == context.account]
    assert all(b - a >= interval_s for a, b in itertools.pairwise(times)), times


@given(
    "{served:d} of {requests:d} requests of mill and {others_served:d} of {others:d} requests of"
    " others were served"
)
def step_window(context, served, requests, others_served, others):
    context.starvation = Starvation()
    for index in range(requests):
        context.starvation.record_end("mill", index < served, 0.0)
    for index in range(others):
        context.starvation.record_end(f"other-{index % 4}", index % others < others_served, 0.0)


@then("mill is {state:w}")
def step_state(context, state):
    changes = [item for item in context.starvation.check(0.0) if item.account == "mill"]
    assert [item.is_starved for item in changes] == [True] * (state == "starved"), changes


@then("mill is served again {after_s:d} s later, with {requests:d} requests")
def step_served_again(context, after_s, requests):
    assert not context.starvation.check(4_900.0)
    (change,) = context.starvation.check(after_s * 1000.0)
    assert (change.is_starved, change.requests) == (False, requests), change


@when("{served:d} requests of farm are served and {rejected:d} of mill are rejected")
def step_many_requests(context, served, rejected):
    async def send():
        # The endpoint rejects the requests of mill, not the limit of its account.
        await apply_config(context, limited_config(3, 5_000.0))
        for _ in range(served):
            assert (await request(context, with_key(FARM_KEY))).status == 200
        context.backends[0].default = "reject"
        for _ in range(rejected):
            assert (await request(context, with_key(MILL_KEY))).status == 503

    context.gateway._report._starvation.check = lambda now_ms: []
    run(context, send())
    del context.gateway._report._starvation.check


@then(
    "a log line says that mill is starved, with {requests:d} requests, {served:d} served and"
    " {share:g} of all served"
)
def step_logged(context, requests, served, share):
    async def logged():
        await fleet.until(lambda: b'"kind":"account"' in context.log_data)

    run(context, logged())
    lines = [json.loads(line) for line in bytes(context.log_data).splitlines()]
    (line,) = [line for line in lines if line["kind"] == "account"]
    expected = ("mill", "starved", requests, served, share)
    names = ("account", "state", "requests", "served", "share_of_all")
    assert tuple(line[name] for name in names) == expected, line


# The load of a gateway.


def load_metrics(context):
    """Return the processor time and the number of delays over 300 ms on the metrics page."""
    page = run(context, fleet.call(context.page, "/metrics")).body.decode()
    values = dict(line.rsplit(" ", 1) for line in page.splitlines())
    delays = [
        float(values[f'{PREFIX}tick_delay_ms_bucket{{le="{bound}"}}']) for bound in ("300", "+Inf")
    ]
    return float(values[PREFIX + "processor_ms"]), delays[1] - delays[0]


@when("its process computes for {for_ms:d} ms without a break")
def step_compute(context, for_ms):
    context.load_before = load_metrics(context)

    async def compute():
        await asyncio.sleep(0.2)
        until_s = time.process_time() + for_ms / 1000
        while time.process_time() < until_s:
            pass
        await asyncio.sleep(0.2)

    run(context, compute())
    context.load = load_metrics(context)


@then("its metrics page has a delay of its periodic work of over 300 ms")
def step_delayed(context):
    assert context.load[1] > context.load_before[1], (context.load_before, context.load)


@then("the processor time on it has grown by {least_ms:d} to {most_ms:d} ms")
def step_processor_time(context, least_ms, most_ms):
    grown_ms = context.load[0] - context.load_before[0]
    assert least_ms <= grown_ms <= most_ms, grown_ms


# The command.


async def serve_page(context, text):
    """Serve a text as a metrics page until the scenario ends, and return its address."""

    async def answer(_):
        return CallerAnswer(200, [], text.encode())

    address, ingress = fleet.free_address(), Ingress(answer)
    await ingress.listen(address)
    context.stack.callback(ingress.close_listener)
    return address


@given(
    "two metrics pages of gateways, an address that does not answer and a page of another program"
)
def step_pages(context):
    context.pages = [run(context, serve_page(context, text)) for text in PAGES]
    context.bad_pages = [fleet.free_address(), run(context, serve_page(context, OTHER_PAGE))]


def run_command(context, *arguments):
    """Run `cloverhook accounts`, and keep its exit code and outputs."""

    async def work():
        process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "cloverhook.cli", "accounts", *arguments),
            cwd=ROOT,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        output, errors = await process.communicate()
        return process.returncode, output.decode(), errors.decode()

    context.code, context.output, context.errors = run(context, work())
    assert "Traceback" not in context.errors, context.errors


@when("the operator runs cloverhook accounts for the two pages")
def step_run_two(context):
    first, second = context.pages
    run_command(context, first, f"http://{second}/any/path")


@when("the operator runs cloverhook accounts for all four")
def step_run_four(context):
    run_command(context, *context.pages, *context.bad_pages)


@when("the operator runs cloverhook accounts for the gateway")
def step_run_gateway(context):
    run_command(context, context.page)


@when("the operator runs cloverhook accounts without arguments")
def step_run_nothing(context):
    run_command(context)


@when("the operator runs cloverhook accounts {argument:S}")
def step_run_argument(context, argument):
    run_command(context, argument)


@then("it exits with {code:d} and says {reason}")
def step_usage(context, code, reason):
    assert context.code == code and reason in context.errors, (context.code, context.errors)


def table_rows(text):
    """Return the cells of a printed table, without its head."""
    return [line.split() for line in text.splitlines()[1:]]


@then("it prints these accounts and exits with {code:d}")
def step_printed(context, code):
    assert context.code == code, context.errors
    assert context.output.split("\n")[0].split() == " ".join(context.table.headings).split()
    context.rows = [list(row) for row in context.table]
    assert table_rows(context.output) == context.rows, context.output


@then("it prints the same accounts, names the two that gave no metrics and exits with {code:d}")
def step_partial(context, code):
    assert context.code == code, context.errors
    rows = table_rows(context.output)
    assert rows[:-2] == context.rows, context.output
    for address, line in zip(context.bad_pages, context.output.splitlines()[-2:], strict=True):
        assert line.startswith(f"no metrics from {address}: "), line


@then("with JSON output it gives the same numbers")
def step_json(context):
    run_command(context, *context.pages, *context.bad_pages, "--output=json")
    document = json.loads(context.output)
    assert context.code == 4 and sorted(document["missing"]) == sorted(context.bad_pages)
    assert [item["account"] for item in document["accounts"]] == ["farm", "mill", "idle"]
    assert document["accounts"][1] == {
        "account": "mill",
        "limit_per_s": 20.0,
        "admitted": 90,
        "over_limit": 25,
        "in_time": 60,
        "late": 20,
        "rejected": 0,
        "failed": 0,
        "share_in_time": 0.75,
    }


@then("it prints one request of mill in time and its limit {limit}")
def step_of_gateway(context, limit):
    (row,) = table_rows(context.output)
    assert context.code == 0
    assert row == ["mill", limit, "1", "-", "1", "0", "0", "0", "1.000"], row
