"""The step that runs the state machine test."""

from behave import then

from features.machine import run_machine


@then("the state machine holds for at least {steps:d} steps")
def step_machine(context, steps):
    steps_done = run_machine(steps)
    print(f"state machine: {steps_done} steps")
    assert steps_done >= steps, steps_done
