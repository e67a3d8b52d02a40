"""Steps that check documents and fold records, without starting a process."""

import json
import tomllib

from behave import given, then, when
from hypothesis import given as given_example
from hypothesis import settings as example_settings
from hypothesis import strategies as st

from cloverhook.errors import ConfigError
from cloverhook.fleet import Brand, Preset
from cloverhook.fold import State, Verdict, fold_data
from cloverhook.records import Change, Publish, RemoveBrand, SwitchPreset, encode_record
from cloverhook.settings import DaemonSettings


def document(brand, host):
    """Return a brand's document with one service at a host name."""
    return {"brand": brand, "services": [{"name": "orders", "hosts": [host]}]}


def reported_faults(build, text):
    """Return the faults that `build` reports for a TOML text."""
    try:
        build(tomllib.loads(text))
    except ConfigError as error:
        return error.faults
    return ()


def append(context, operator, brand, base_version, action, change_id=None):
    """Fold a change at the end of the scenario's log, and keep the result in the context."""
    change_id = change_id or f"{operator}-{context.state.next_offset}"
    record = encode_record(Change(change_id, brand, base_version, operator, action))
    data = json.loads(json.dumps(record))
    context.last_id = change_id
    _, context.result = fold_data(context.state, context.state.next_offset, data)
    context.state = context.result.state


@when("this document is checked")
def step_check(context):
    context.faults = reported_faults(Brand.from_document, context.text)


@when("these settings are checked")
def step_check_settings(context):
    context.faults = reported_faults(DaemonSettings.from_document, context.text)


@then("these faults are told")
def step_faults(context):
    by_key = {fault.key: fault for fault in context.faults}
    assert len(by_key) == len(context.faults), context.faults
    assert set(by_key) == {row["key"] for row in context.table}, set(by_key)
    for row in context.table:
        fault = by_key[row["key"]]
        assert fault.found == row["found"], fault
        assert row["allowed"] in fault.allowed, fault


LEAVES = st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5)
KEYS = st.sampled_from(
    ["brand", "services", "document", "type", "preset", "brands", "removed", "hosts", "version"]
)
VALUES = st.recursive(
    LEAVES, lambda inner: st.lists(inner, max_size=3) | st.dictionaries(KEYS, inner, max_size=4)
)
ACTIONS = st.fixed_dictionaries(
    {"type": st.sampled_from(["publish", "switch-preset", "remove-brand"])},
    optional={"document": VALUES, "preset": VALUES},
)
CHANGES = st.fixed_dictionaries(
    {
        "format": st.just(1),
        "type": st.just("change"),
        "change_id": st.just("c1"),
        "brand": st.just("other"),
        "base_version": st.just(0),
        "operator": st.just("ann"),
        "action": ACTIONS | VALUES,
    }
)
STATES = st.fixed_dictionaries({"next_offset": st.just(3), "brands": VALUES, "removed": VALUES})
SNAPSHOTS = st.fixed_dictionaries(
    {
        "format": st.just(1),
        "type": st.just("snapshot"),
        "next_offset": st.just(3) | VALUES,
        "state": STATES | VALUES,
    }
)
RECORDS = VALUES | CHANGES | SNAPSHOTS


@then("{count:d} arbitrary records are judged without an error and change nothing")
def step_arbitrary(context, count):
    context.state = State()
    append(context, "ann", "saltbush", 0, Publish(document("saltbush", "a.example")))
    before = context.state

    @example_settings(max_examples=count, derandomize=True, database=None, deadline=None)
    @given_example(RECORDS)
    def check_record(data):
        _, result = fold_data(before, before.next_offset, data)
        assert result.state.next_offset == before.next_offset + 1
        assert result.state.same_brands(before) or result.verdict is Verdict.ACCEPTED
        assert result.state.brands["saltbush"] == before.brands["saltbush"]

    check_record()


@given('brand "{brand}" at version 2 with host "{host}" and brand "{other}" with "{other_host}"')
def step_two_brands(context, brand, host, other, other_host):
    context.state = State()
    append(context, "ann", brand, 0, Publish(document(brand, host)), "first")
    append(context, "ann", other, 0, Publish(document(other, other_host)))
    append(context, "ann", brand, 1, SwitchPreset(Preset.MAINTENANCE))


@when("{operator} appends a switch of {brand} to {preset} on version {version:d}")
def step_switch(context, operator, brand, preset, version):
    append(context, operator, brand, version, SwitchPreset(Preset(preset)))


@when("{operator} appends a repeat of the first change of {brand}")
def step_repeat(context, operator, brand):
    append(context, operator, brand, 0, Publish(document(brand, "a.example")), "first")


@when("{operator} appends {brand} with host {host} on version {version:d}")
def step_publish_host(context, operator, brand, host, version):
    append(context, operator, brand, version, Publish(document(brand, host)))


@when("{operator} appends {brand} named {name} on version {version:d}")
def step_publish_name(context, operator, brand, name, version):
    append(context, operator, brand, version, Publish(document(name, "c.example")))


@when("{operator} appends a removal of {brand} on version {version:d}")
def step_remove(context, operator, brand, version):
    append(context, operator, brand, version, RemoveBrand())


@then('the verdict is {verdict} because "{reason}"')
@then('the verdict is {verdict} because ""')
def step_verdict(context, verdict, reason=""):
    assert context.result.verdict.value == verdict, context.result
    assert reason in context.result.reason, context.result.reason


@then("the winner is {operator}'s change, which made version {version:d}")
def step_winner(context, operator, version):
    winner = context.result.winner
    assert (winner.operator, winner.version) == (operator, version), winner


@then("the preset of {brand} is {preset}")
def step_preset(context, brand, preset):
    assert context.state.brands[brand].preset.value == preset
