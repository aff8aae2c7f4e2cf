"""Blocks termination signals until a program has installed its handlers."""

import signal

__all__ = ('block_signals', 'unblock_signals')

_SIGNALS = frozenset((signal.SIGINT, signal.SIGTERM))


def block_signals() -> None:
    """Block SIGINT and SIGTERM; they stay pending.

    Without a handler they terminate the process immediately, and the event
    loop installs its handlers only after all services have started.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, _SIGNALS)


def unblock_signals() -> None:
    """Unblock SIGINT and SIGTERM once their handlers are installed."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, _SIGNALS)
