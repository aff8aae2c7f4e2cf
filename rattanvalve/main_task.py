"""Signal and error handling of the main task of demo and load tool."""

import asyncio
import signal
from collections.abc import Coroutine
from typing import Any, TypeVar

from rattanvalve.errors import RattanvalveError

__all__ = ('InterruptedRunError', 'cancel_on_signals')

_SIGNALS = (signal.SIGINT, signal.SIGTERM)

_Outcome = TypeVar('_Outcome')


class InterruptedRunError(RattanvalveError):
    """A signal interrupted the run; ``number`` is the signal number."""

    def __init__(self, number: int) -> None:
        super().__init__(f'interrupted by {signal.Signals(number).name}')
        self.number = number


async def cancel_on_signals(
    coroutine: Coroutine[Any, Any, _Outcome],
) -> _Outcome:
    """Run a coroutine and cancel it on SIGINT or SIGTERM.

    :param coroutine: coroutine; on a signal, its ``finally`` clauses run
        before the exception is raised.
    :returns: result of the coroutine.
    :raises InterruptedRunError: if a signal cancelled it.
    :raises Exception: the error of the coroutine; of an exception group, the
        first error.
    """
    loop = asyncio.get_running_loop()
    task = asyncio.ensure_future(coroutine)
    received: list[int] = []
    for number in _SIGNALS:
        loop.add_signal_handler(number, _cancel, task, received, number)
    try:
        return await task
    except asyncio.CancelledError:
        if received:
            raise InterruptedRunError(received[0]) from None
        raise
    except ExceptionGroup as group:
        raise _first_error(group) from group
    finally:
        for number in _SIGNALS:
            loop.remove_signal_handler(number)


def _first_error(group: ExceptionGroup) -> Exception:
    first = group.exceptions[0]
    return _first_error(first) if isinstance(first, ExceptionGroup) else first


def _cancel(task: asyncio.Task, received: list[int], number: int) -> None:
    # Further signals are ignored, because another cancellation would
    # interrupt the clean-up.
    if not received:
        received.append(number)
        task.cancel()
