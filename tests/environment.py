"""Behave hooks: each scenario gets its own event loop."""

import asyncio
import logging

import uvloop


def before_all(context):
    """Disable the logs of the code under test."""
    logging.disable(logging.CRITICAL)


def before_scenario(context, scenario):
    """Create the event loop and the list of cleanup functions."""
    context.loop = uvloop.new_event_loop()
    context.closers = []
    context.run = context.loop.run_until_complete


def after_scenario(context, scenario):
    """Call the cleanup functions in reverse order and cancel all tasks."""
    for closer in reversed(context.closers):
        outcome = closer()
        if asyncio.iscoroutine(outcome):
            context.run(outcome)
    pending = asyncio.all_tasks(context.loop)
    for task in pending:
        task.cancel()
    if pending:
        context.run(asyncio.wait(pending))
    context.loop.close()
