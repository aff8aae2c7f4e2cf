"""Suppresses the logs of simulated processes."""

import logging
from contextlib import contextmanager

__all__ = ('quiet_logs',)


@contextmanager
def quiet_logs():
    """Suppress the logs of hundreds of simulated processes."""
    logging.disable(logging.CRITICAL)
    try:
        yield
    finally:
        logging.disable(logging.NOTSET)
