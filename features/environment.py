"""Hooks of behave: an event loop for each scenario, and the clean-up of what it has started."""

import asyncio
from contextlib import AsyncExitStack


def before_scenario(context, scenario):
    """Create an event loop for the scenario, and an exit stack for what must be closed after it."""
    context.loop = asyncio.new_event_loop()
    context.stack = AsyncExitStack()


def after_scenario(context, scenario):
    """Close what the scenario has opened, and its event loop."""
    context.loop.run_until_complete(context.stack.aclose())
    context.loop.close()
