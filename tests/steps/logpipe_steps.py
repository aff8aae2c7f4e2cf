"""Steps of platform/logpipe.feature."""

import json
import logging
import os
import time

from behave import given, then, when
from pythonjsonlogger.json import JsonFormatter

from rattanvalve.logpipe import LINES_PER_S_MAX, PipeHandler

READ_BYTES = 10_000_000


@given('logs that go to a pipe which nobody reads')
@given('logs that go to a pipe that is read')
def step_pipe(context):
    ends = os.pipe()
    context.reader = ends[0]
    writer = ends[1]
    context.handler = PipeHandler(writer)
    context.handler.setFormatter(JsonFormatter('{message}', style='{'))
    context.closers.append(lambda: os.close(context.reader))
    context.closers.append(lambda: os.close(writer))
    context.lines = []


def log_line(context, created_s, level=logging.INFO):
    """Log one line that was created at the given Unix time in seconds."""
    record = logging.LogRecord('x', level, '', 0, 'text', (), None)
    record.created = created_s
    context.handler.handle(record)


def read_lines(context):
    """Read the whole lines in the pipe and append their fields."""
    text = os.read(context.reader, READ_BYTES).decode()
    assert text.endswith('\n')
    context.lines += map(json.loads, text.splitlines())


@when('{count:d} lines are logged within a second')
def step_log_many(context, count):
    context.count = count
    started_s = time.monotonic()
    for number in range(count):
        # Each line has another second, so the rate limit drops none.
        log_line(context, number)
    context.duration_s = time.monotonic() - started_s


@then('the process has not waited')
def step_no_wait(context):
    assert context.duration_s < 2, context.duration_s
    assert context.handler.dropped_count > 0


@when('the reader goes on and a line is logged')
def step_resume(context):
    os.set_blocking(context.reader, False)
    context.output = os.read(context.reader, READ_BYTES)
    log_line(context, context.count)
    context.output += os.read(context.reader, READ_BYTES)


@then('the reader gets whole lines and one that counts the dropped ones')
def step_counted(context):
    lines = [json.loads(line) for line in context.output.splitlines()]
    dropped = sum(line.get('dropped_count', 0) for line in lines)
    texts = sum(line['message'] == 'text' for line in lines)
    assert dropped > 0
    assert texts + dropped == context.count + 1


@when('a second brings {count:d} lines and {warning_count:d} warnings')
def step_second(context, count, warning_count):
    for _ in range(count):
        log_line(context, 7.5)
    read_lines(context)
    for _ in range(warning_count):
        log_line(context, 7.5, logging.WARNING)
    log_line(context, 8.5)
    read_lines(context)


@then('the reader gets 500 lines, 10 warnings and the count of the others')
def step_bounded(context):
    texts = sum(line['message'] == 'text' for line in context.lines)
    dropped = sum(line.get('dropped_count', 0) for line in context.lines)
    assert texts == LINES_PER_S_MAX + 10 + 1, texts
    assert dropped == 100, dropped
