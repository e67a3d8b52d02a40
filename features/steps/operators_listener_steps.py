"""Steps for the operators' listener, the metrics and the logs."""

import json

from behave import given, then, when

from cloverhook.metrics import Metric, MetricsPage, Sample
from cloverhook.request_stats import HistogramCounts
from cloverhook_emulator.fleet_runner import OPERATOR_TOKEN, PEER_KEY
from features.shared import HOST, OPERATOR, eventually, run, start_fleet

IDEMPOTENCY_KEY = "an-idempotency-key-that-stays-hidden"
WRONG_TOKEN = "a-guess-at-the-token"


async def _get(context, path, headers=None):
    daemon = context.fleet.daemons["vm-0"]
    url = f"http://{daemon.operator_address}{path}"
    request_headers = OPERATOR if headers is None else headers
    async with context.session.get(url, headers=request_headers) as answer:
        return answer.status, await answer.text()


def _metrics(context):
    status, text = run(context, _get(context, "/metrics"))
    assert status == 200
    return text


def _call(context, host, **headers):
    async def call():
        daemon = context.fleet.daemons["vm-0"]
        url = f"http://{daemon.caller_address}/open"
        async with context.session.get(url, headers={"Host": host, **headers}) as answer:
            await answer.read()

    run(context, call())


@then('operators without the token are refused with "{error}"')
def step_refused(context, error):
    for headers in ({}, {"Authorization": f"Bearer {WRONG_TOKEN}"}):
        status, text = run(context, _get(context, "/v1/status", headers))
        assert status == 401, status
        assert json.loads(text)["error"] == error, text


@then("{count:d} refused operators are counted")
def step_refused_counted(context, count):
    assert f"cloverhook_refused_operators_total {count}" in _metrics(context)


@then('an unknown path is answered {expected:d} with an "error" key')
def step_unknown_path(context, expected):
    status, text = run(context, _get(context, "/nothing"))
    assert status == expected
    assert set(json.loads(text)) == {"error", "detail"}


@then("the daemon is healthy but not ready")
def step_not_ready(context):
    assert run(context, _get(context, "/health", {}))[0] == 200
    assert run(context, _get(context, "/ready", {}))[0] == 503


@then("the daemon is healthy and ready")
def step_ready(context):
    assert run(context, _get(context, "/health", {}))[0] == 200
    assert run(context, _get(context, "/ready", {}))[0] == 200


@then('its status gives offset {offset:d}, preset "{preset}" and the age of what it knows')
def step_status(context, offset, preset):
    status = json.loads(run(context, _get(context, "/v1/status"))[1])
    assert status["offset"] == offset
    assert status["brands"]["brathwaite"]["preset"] == preset
    assert status["age_ms"] >= 0


@when("a caller sends {count:d} requests and 1 for an unknown host")
def step_calls(context, count):
    for _ in range(count):
        _call(context, HOST)
    _call(context, "nobody.example")


@then('the metrics show {count:d} requests with outcome "{outcome}" and 1 of kind "{kind}"')
def step_counts(context, count, outcome, kind):
    lines = [line for line in _metrics(context).splitlines() if line.startswith("cloverhook_req")]
    total = [line for line in lines if line.startswith("cloverhook_requests_total")]
    assert any(f'outcome="{outcome}"' in x and x.endswith(f" {count}") for x in total), total
    assert any(f'kind="{kind}"' in x and x.endswith(" 1") for x in total), total
    assert any("latency_ms_count" in x and x.endswith(f" {count}.0") for x in lines), lines


@then("every declared metric is on the page")
def step_declared(context):
    page = _metrics(context)
    for metric in Metric:
        assert f"# HELP {metric.spec.name} " in page, metric
        assert f"# TYPE {metric.spec.name} {metric.spec.kind.value}" in page, metric


@given("a daemon that writes its log as JSON")
def step_json_daemon(context):
    run(context, start_fleet(context, 1, 1, log_format="json"))
    context.execute_steps("When an operator publishes the configuration")
    context.execute_steps("Then every daemon has the configuration")


@when("a caller sends an idempotency key and a stranger guesses the token")
def step_secrets_used(context):
    _call(context, HOST, **{"Idempotency-Key": IDEMPOTENCY_KEY})
    run(context, _get(context, "/v1/status", {"Authorization": f"Bearer {WRONG_TOKEN}"}))


def _log_lines(context):
    return context.fleet.daemons["vm-0"].process.log.read_text().splitlines()


@then("each line of the log is one JSON object with a part")
def step_json_lines(context):
    lines = [line for line in _log_lines(context) if ": listening on " not in line]
    records = [json.loads(line) for line in lines]
    assert any(r["part"] == "daemon" and "has started" in r["message"] for r in records), records
    assert all(record["vm"] == "vm-0" and record["level"] for record in records)


@then("neither logs, events, metrics nor status show a secret")
def step_no_secret(context):
    shown = "\n".join(_log_lines(context)) + _metrics(context)
    for path in ("/v1/events", "/v1/status"):
        shown += run(context, _get(context, path))[1]
    assert "request-answered" in shown
    for secret in (PEER_KEY, OPERATOR_TOKEN, IDEMPOTENCY_KEY, WRONG_TOKEN):
        assert secret not in shown, secret


@given("a metrics page of at most {limit:d} series")
def step_page(context, limit):
    context.page = MetricsPage(limit)


@when("a source gives {count:d} series with quotes in their labels")
def step_series(context, count):
    counts = HistogramCounts((1.0, 2.0))
    for value in (0.5, 1.5, 1.5, 9.0):
        counts.add(value)
    context.page.add_source(
        lambda: [
            *(Sample(Metric.PROBES, 1, (f'quote"{index}',)) for index in range(count)),
            Sample(Metric.LATENCY, counts, ("brand",)),
        ]
    )
    context.metrics_text = context.page.render("text/plain")[0].decode()


@then("{shown:d} series are shown, their labels are escaped and {dropped:d} are counted as dropped")
def step_limited(context, shown, dropped):
    lines = [
        x for x in context.metrics_text.splitlines() if x.startswith("cloverhook_probes_total{")
    ]
    assert len(lines) == shown
    assert all(r"quote\"" in line for line in lines), lines
    assert f"cloverhook_series_dropped {dropped}" in context.metrics_text


@then("a histogram's buckets are cumulative")
def step_cumulative(context):
    values = [
        float(line.rpartition(" ")[2])
        for line in context.metrics_text.splitlines()
        if line.startswith("cloverhook_request_latency_ms_")
    ]
    assert values == [1, 3, 4, 4, 12.5], values


@given("a daemon whose planned stop takes {drain:d} ms")
def step_slow_stop(context, drain):
    run(context, start_fleet(context, 1, 1, drain_ms=drain))


@when("an operator drains the daemon")
def step_drain(context):
    async def drain():
        daemon = context.fleet.daemons["vm-0"]
        url = f"http://{daemon.operator_address}/v1/drain"
        async with context.session.post(url, headers=OPERATOR) as answer:
            assert answer.status == 202, answer.status
        _, text = await _get(context, "/v1/events")
        context.events_while_draining = [event["name"] for event in json.loads(text)["events"]]

    run(context, drain())


@then("the time line shows the drain and the daemon exits with 0")
def step_drained(context):
    assert "drain-started" in context.events_while_draining
    process = context.fleet.daemons["vm-0"].process.process

    async def ended():
        return process.returncode is not None

    run(context, eventually(ended))
    assert process.returncode == 0, process.returncode
