"""Main task of the demo and the load tool: signals and errors."""

import asyncio
import signal
from collections.abc import Coroutine
from typing import Any, TypeVar

from rattanvalve.errors import RattanvalveError

__all__ = ('InterruptedRunError', 'cancel_on_signals')

_SIGNALS = (signal.SIGINT, signal.SIGTERM)

_Outcome = TypeVar('_Outcome')


class InterruptedRunError(RattanvalveError):
    """A signal ended the run; ``number`` is that of the signal."""

    def __init__(self, number: int) -> None:
        super().__init__(f'interrupted by {signal.Signals(number).name}')
        self.number = number


async def cancel_on_signals(
    work: Coroutine[Any, Any, _Outcome],
) -> _Outcome:
    """Run a coroutine and cancel it on SIGINT or SIGTERM.

    :param work: coroutine; its ``finally`` clauses run before this returns.
    :returns: what the coroutine returned.
    :raises InterruptedRunError: if a signal ended it.
    :raises Exception: the first error, if tasks of a group failed.
    """
    loop = asyncio.get_running_loop()
    task = asyncio.ensure_future(work)
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
    # Only the first signal counts, so that nothing disturbs the clean-up.
    if not received:
        received.append(number)
        task.cancel()
