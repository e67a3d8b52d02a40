"""Steps that give records to the invariant checker and check the violations it reports."""

from dataclasses import asdict

from behave import given, then

from cloverhook_emulator.invariants import Report, check
from cloverhook_emulator.run_record import RunOutcome, RunRecord, ToldRecord

BRAND = "brathwaite"


def _with_records(context):
    if not hasattr(context, "ran_records"):
        context.ran_records, context.told_records, context.sent_ids = [], [], []
    return context


def _add_run(context, method, request_id, key, outcome):
    record = RunRecord("s1", BRAND, request_id, key, method, 0.0, 5.0, RunOutcome(outcome))
    _with_records(context).ran_records.append(record)


def _add_response(
    context, method, request_id, status, outcome="", answer_id="", brand=BRAND, key=""
):
    record = ToldRecord(
        request_id, key, method, BRAND, "vm", 0.0, 6.0, status, outcome, answer_id, brand
    )
    _with_records(context).told_records.append(record)


def _violations(context):
    _with_records(context)
    report = check(context.ran_records, context.told_records, context.sent_ids)
    return {name: found for name, found in asdict(report).items() if found}


@given('a run of "{method}" "{request_id}" that ended "{outcome}"')
def step_run(context, method, request_id, outcome):
    _add_run(context, method, request_id, "", outcome)


@given('under the key "{key}", a run of "{method}" "{request_id}" that ended "{outcome}"')
def step_keyed_run(context, method, request_id, key, outcome):
    _add_run(context, method, request_id, key, outcome)


@given('"{method}" "{request_id}" was told {status:d} "{outcome}" with the answer "{answer_id}"')
def step_response(context, method, request_id, status, outcome, answer_id):
    _add_response(context, method, request_id, status, outcome, answer_id)


@given('"{method}" "{request_id}" was told {status:d} "{outcome}" without an answer')
def step_response_without_answer(context, method, request_id, status, outcome):
    _add_response(context, method, request_id, status, outcome)


@given(
    'the brand "{brand}" told "{method}" "{request_id}" {status:d} "{outcome}" '
    'with the answer "{answer_id}"'
)
def step_response_of_brand(context, method, request_id, status, outcome, answer_id, brand):
    _add_response(context, method, request_id, status, outcome, answer_id, brand)


@given(
    'under the key "{key}", "{method}" "{request_id}" was told {status:d} "{outcome}" '
    'with the answer "{answer_id}"'
)
def step_keyed_response(context, method, request_id, key, status, outcome, answer_id):
    _add_response(context, method, request_id, status, outcome, answer_id, key=key)


@given('the connection of "{method}" "{request_id}" broke')
def step_connection_broke(context, method, request_id):
    _add_response(context, method, request_id, 0)


@given('"{request_id}" was sent')
def step_sent(context, request_id):
    _with_records(context).sent_ids.append(request_id)


@then("the checker finds no violation")
def step_no_violation(context):
    assert not _violations(context), _violations(context)
    assert Report().is_clean


@then('the checker finds only "{violation}" of "{identifier}"')
def step_only_violation(context, violation, identifier):
    assert _violations(context) == {violation: (identifier,)}, _violations(context)
