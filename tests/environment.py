"""Behave hooks: one event loop for each scenario."""

import asyncio
import logging

import uvloop


def before_all(context):
    """Silence log output of the code under test."""
    logging.disable(logging.CRITICAL)


def before_scenario(context, scenario):
    """Give the scenario a loop and a list of things to close."""
    context.loop = uvloop.new_event_loop()
    context.closers = []
    context.run = context.loop.run_until_complete


def after_scenario(context, scenario):
    """Close what the scenario opened, last opened first."""
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
