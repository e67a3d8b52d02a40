"""Steps that run the operators' tool against a fleet of real processes."""

import json
import signal

from behave import then, when

from cloverhook.records import CONFIG_STREAM
from features.shared import eventually, run


async def call(context, method, path, document):
    """Send a JSON request to the platform stand-in and return its JSON answer."""
    url = f"{context.fleet.platform_url}{path}"
    async with context.session.request(method, url, json=document) as answer:
        answer.raise_for_status()
        return await answer.json()


@then("these commands give")
def step_commands(context):
    for row in context.table:
        code, output, errors = run(context, context.fleet.run_tool(*row["command"].split()))
        report = f"{row['command']}: {code}\n{output}{errors}"
        assert code == int(row["code"]), report
        assert row["output"] in output + errors, report
        assert "Traceback" not in errors, report


@then('"{command}" comes to give {code:d} and "{output}" once the reads under way have ended')
def step_eventually_gives(context, command, code, output):
    """Repeat the command until its output has the text.

    A waiting read notices an outage only when its wait ends.
    """

    async def output_matches():
        found, text, errors = await context.fleet.run_tool(*command.split())
        assert found == code and "Traceback" not in errors, (found, errors)
        return output in text

    run(context, eventually(output_matches))


@when("the process of {vm} is killed")
def step_kill(context, vm):
    run(context, context.fleet.daemons[vm].process.stop(signal.SIGKILL))


@when("the platform has the faults {faults}")
def step_faults(context, faults):
    run(context, call(context, "PUT", "/v1/faults", json.loads(faults)))


@when("the platform loses the configuration stream")
def step_reset(context):
    run(context, call(context, "POST", f"/v1/streams/{CONFIG_STREAM}/reset", {}))


@then("every daemon keeps version {version:d} and the log gets a snapshot")
def step_reseeded(context, version):
    async def reseeded():
        for vm in context.fleet.daemons:
            status = await context.fleet.status(vm)
            assert status["versions"] == {"saltbush": version}, status
            if status["log_restarts"] != 1 or status["behind"]:
                return False
        return True

    run(context, eventually(reseeded))


@when("another daemon starts")
def step_another(context):
    async def start():
        await context.fleet.start_daemon("vm-9", "papine", drain_ms=500)
        await context.fleet.publish_vm_list()

        async def has_config():
            return "saltbush" in (await context.fleet.status("vm-9"))["brands"]

        await eventually(has_config)

    run(context, start())
