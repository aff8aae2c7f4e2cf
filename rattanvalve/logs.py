"""Structured JSON logs with a fixed message prefix for each component."""

import enum
import logging
import sys

from pythonjsonlogger.json import JsonFormatter

__all__ = ('LineRateLimit', 'LogPart', 'configure_logging', 'part_logger')


class LogPart(enum.StrEnum):
    """Components of the program; the value is the prefix of their messages."""

    CALLER = 'caller'
    RELAY = 'relay'
    OWNER = 'owner'
    VIEW = 'view'
    CONFIG = 'config'
    LOAD = 'load'
    ENDPOINT = 'endpoint'
    ENGINE = 'engine'
    PEER = 'peer'
    STORE = 'store'
    ADMIN = 'admin'
    PROCESS = 'process'
    TURNS = 'turns'
    GATEWAY = 'gateway'
    STANDIN = 'standin'


class LineRateLimit:
    """Limits the rate of log lines in windows of one second.

    :param max_per_s: lines allowed in each second.
    """

    def __init__(self, max_per_s: int) -> None:
        self._max_per_s = max_per_s
        self._second = 0
        self._count = 0

    def allows(self, created_s: float) -> bool:
        """Count a line and check it against the limit.

        :param created_s: Unix time of the line in seconds.
        :returns: whether the line is within the limit of its second.
        """
        if int(created_s) != self._second:
            self._second = int(created_s)
            self._count = 0
        self._count += 1
        return self._count <= self._max_per_s


class _PartAdapter(logging.LoggerAdapter):
    def process(self, msg, kwargs):
        """Add the prefix of the component to the message.

        :param msg: log message, before its arguments are formatted.
        :param kwargs: keyword arguments of the logging call.
        :returns: the prefixed message and the keyword arguments.
        """
        # LoggerAdapter itself would drop the extra fields of the call; here
        # they override those of the adapter.
        kwargs['extra'] = {**self.extra, **kwargs.get('extra', {})}
        return f'{self.extra["part"]}: {msg}', kwargs


def part_logger(part: LogPart) -> logging.LoggerAdapter:
    """Create the logger of a component.

    :param part: component whose prefix starts each message.
    :returns: logger that accepts structured fields as ``extra={...}``.
    """
    return _PartAdapter(
        logging.getLogger(f'rattanvalve.{part}'),
        {'part': str(part)},
    )


def configure_logging(
    level: str,
    process_name: str,
    handler: logging.Handler | None = None,
) -> None:
    """Write all logs of the process as JSON lines to one handler.

    :param level: name of the lowest level to log, such as ``INFO``.
    :param process_name: name of this process, added to each line.
    :param handler: handler of the root logger; the default writes to standard
        error.
    """
    handler = handler or logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        JsonFormatter(
            '{asctime}{levelname}{message}',
            style='{',
            static_fields={'process': process_name},
            rename_fields={'asctime': 'time', 'levelname': 'level'},
        ),
    )
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(level)
