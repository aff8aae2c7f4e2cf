"""Structured JSON logs with a fixed prefix for each part."""

import enum
import logging
import sys

from pythonjsonlogger.json import JsonFormatter

__all__ = ('LineLimit', 'LogPart', 'configure_logging', 'part_logger')


class LogPart(enum.StrEnum):
    """Prefixes of log lines, one for each part."""

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


class LineLimit:
    """Bounds the number of lines in each second.

    :param most_per_s: lines that are allowed in a second.
    """

    def __init__(self, most_per_s: int) -> None:
        self._most_per_s = most_per_s
        self._second = 0
        self._count = 0

    def allows(self, created_s: float) -> bool:
        """Count a line.

        :param created_s: Unix time of the line in seconds.
        :returns: whether it is within the bound of its second.
        """
        if int(created_s) != self._second:
            self._second = int(created_s)
            self._count = 0
        self._count += 1
        return self._count <= self._most_per_s


class _PartAdapter(logging.LoggerAdapter):
    def process(self, msg, kwargs):
        """Put the prefix of the part before the message.

        :param msg: log sentence.
        :param kwargs: keyword arguments of the logging call.
        :returns: the message and the arguments, as logging expects.
        """
        # Extra fields of the call win; LoggerAdapter itself would drop them.
        kwargs['extra'] = {**self.extra, **kwargs.get('extra', {})}
        return f'{self.extra["part"]}: {msg}', kwargs


def part_logger(part: LogPart) -> logging.LoggerAdapter:
    """Make the logger of one part.

    :param part: part whose prefix starts each line.
    :returns: a logger; pass structured fields as ``extra={...}``.
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
    """Send JSON log lines to a handler.

    :param level: name of the lowest level to write, such as ``INFO``.
    :param process_name: name of this process, written on each line.
    :param handler: where lines go; by default to standard error.
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
