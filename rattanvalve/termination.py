"""Holds termination signals back while a program starts."""

import signal

__all__ = ('hold_signals', 'release_signals')

_SIGNALS = frozenset((signal.SIGINT, signal.SIGTERM))


def hold_signals() -> None:
    """Let SIGINT and SIGTERM wait.

    Without a handler they end the process at once, and the event loop has its
    handlers only when all services have started.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, _SIGNALS)


def release_signals() -> None:
    """Deliver the signals that wait; call it once there are handlers."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, _SIGNALS)
