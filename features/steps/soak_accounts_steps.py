"""Steps that play broken promises on the soak's checks of accounts."""

from behave import given, then, when

from cloverhook.clock import monotonic_ms
from features import gateway_fleet as fleet
from features.gateway_soak import Call
from features.soak_accounts import HEADERS, AccountChecks, Accounts, body_of
from features.soak_freshness import FreshnessChecks
from features.stalls import StallMonitor

PROCESS = ("vm-1", 1, 0)
RUN_TIMES_MS = {
    "108 requests of mill run within 5 s": [40.0 * index for index in range(108)],
    "109 requests of mill run within 5 s": [40.0 * index for index in range(109)],
    "218 requests of mill run evenly within 11 s": [50.0 * index for index in range(218)],
}


def call(context, request_id, key):
    """Return a recorded call."""
    found = Call(request_id, True, PROCESS, 0.0, key)
    context.calls.append(found)
    return found


def answer(context, found, status, body=b"", **headers):
    """Record the answer to a call."""
    found.answer = fleet.Answer(status, headers, body, True)
    if found.request_id.startswith(("large-", "piped-")):
        context.checks.record_body(found)


def arrive(context, found, **headers):
    """Record that a call reaches an endpoint, for its own account by default."""
    name = context.checks.accounts.held.get(found.key, "mill")
    fields = {HEADERS.account: name.encode()}
    fields.update({key.replace("_", "-").encode(): value for key, value in headers.items()})
    context.checks.record_arrival(found, fields, b"")


@given("the soak's checks after a calm time with accounts and rates")
def step_checks(context):
    accounts = Accounts(with_rates=True)
    accounts.document()
    context.checks, context.calls = AccountChecks(accounts), []
    context.key = accounts.by_name["mill"].keys[0]
    for name in ("large-0", "piped-0"):
        found = call(context, name, context.key)
        arrive(context, found)
        context.checks.record_run(name)
        answer(context, found, 200, body_of(name))


@when("it happens that {event}")
def step_event(context, event):
    checks, key = context.checks, context.key
    account_header = HEADERS.account.decode()
    match event:
        case "nothing else happens":
            pass
        case "a request with an unknown key reaches an endpoint":
            arrive(context, call(context, "r", "soak-key-unknown-1"))
        case "a request without a key reaches an endpoint":
            arrive(context, call(context, "r", ""))
        case "a request with a key that is added later reaches an endpoint":
            arrive(context, call(context, "r", checks.accounts._next_keys["mill"]))
        case "a request of mill runs under the name farm":
            arrive(context, call(context, "r", key), **{account_header: b"farm"})
        case "a request of mill runs without a name":
            arrive(context, call(context, "r", key), **{account_header: b""})
        case "an endpoint gets a key as a header":
            arrive(context, call(context, "r", key), authorization=b"Token x")
        case "an endpoint gets a key in another header":
            arrive(context, call(context, "r", key), x_other=key.encode())
        case "a request with a lasting key is answered 401":
            answer(context, call(context, "r", key), 401)
        case "a request with an unknown key is answered 200":
            answer(context, call(context, "r", "soak-key-unknown-1"), 200)
        case "a request of farm is answered 429 over its allotment":
            farm_key = checks.accounts.calm_key
            answer(context, call(context, "r", farm_key), 429, b"over-allotment")
        case "a pipelined answer is that of the next request":
            answer(context, call(context, "piped-1", key), 200, body_of("piped-2"))
        case "a large answer lacks its last byte":
            answer(context, call(context, "large-1", key), 200, body_of("large-1")[:-1])
        case "a request runs behind an answer that closes its connection":
            pipeline = [call(context, name, key) for name in ("piped-1", "piped-2")]
            answer(context, pipeline[0], 200, body_of("piped-1"), connection="close")
            checks.pipelines.append(pipeline)
            checks.record_run("piped-2")
        case _:
            for index, at_ms in enumerate(RUN_TIMES_MS[event]):
                call(context, f"r-{index}", key)
                checks.run_ms[f"r-{index}"] = at_ms


@then("the checks report {report}")
def step_report(context, report):
    found = list(context.checks.violations(context.calls))
    if report == "nothing":
        assert not found, found
    else:
        assert len(found) == 1 and report in found[0], found


@given("a gateway process that has run undisturbed, with the store, for {for_s:d} s")
def step_in_touch(context, for_s):
    context.freshness = FreshnessChecks(StallMonitor())
    context.now_ms = monotonic_ms() + 1000.0 * for_s
    context.freshness.record_process(PROCESS)


@when("a key that was revoked then is used by a request sent {after_ms:d} ms later")
def step_key_used(context, after_ms):
    sent_ms = context.now_ms + after_ms
    context.freshness.record_key_used(PROCESS, "a key", context.now_ms, sent_ms)


@then("the soak reports {count:d} uses of an older state")
def step_uses(context, count):
    found = list(context.freshness.violations())
    assert len(found) == count, found
