"""Structured JSON logs with a fixed prefix for each part."""

import enum
import logging
import sys

from pythonjsonlogger.json import JsonFormatter

__all__ = ('LogPart', 'configure_logging', 'part_logger')


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
