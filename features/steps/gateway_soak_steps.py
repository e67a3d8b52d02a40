"""Steps that run the soak test with a given seed."""

from behave import then, when

from features.gateway_soak import STEPS, play
from features.shared import run


@when("the soak plays seed {seed:d}")
def step_play(context, seed):
    context.wrong, context.soak = run(context, play(seed))


@then("nothing that callers and backend servers have seen breaks a promise")
def step_nothing_wrong(context):
    assert not context.wrong, (context.wrong[:10], context.soak.faults)


@then("callers were served, during the faults and after them")
def step_served(context):
    soak = context.soak
    calls = [call for call in soak.calls if soak.can_be_served(call)]
    answered = [call for call in calls if call.answer is not None and call.answer.status == 200]
    assert len(soak.faults) == STEPS
    assert len(answered) > len(calls) / 2, (len(answered), len(calls))
