"""Shared fixtures of the features: an event loop, and a fleet that ends with its scenario."""

import asyncio
from contextlib import AsyncExitStack


def before_scenario(context, scenario):
    """Give each scenario an event loop and a stack of what has to be closed."""
    context.loop = asyncio.new_event_loop()
    context.stack = AsyncExitStack()


def after_scenario(context, scenario):
    """Close what the scenario opened."""
    context.loop.run_until_complete(context.stack.aclose())
    context.loop.close()
