"""Reads settings again on SIGHUP and when a file changes."""

import asyncio
import signal
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Generic, TypeVar

from rattanvalve.counters import Counter, Metrics
from rattanvalve.errors import SettingsError
from rattanvalve.logs import LogPart, part_logger
from rattanvalve.peersecrets import PeerSecrets
from rattanvalve.tls import TLS_FIELDS

__all__ = (
    'Reloading',
    'SettingsSource',
    'ignore_reload_signal',
    'secrets_of',
)

CHECK_INTERVAL_S = 5.0

_log = part_logger(LogPart.PROCESS)
_Settings = TypeVar('_Settings')


@dataclass(frozen=True, slots=True)
class SettingsSource:
    """Where settings come from; ``load`` raises ``SettingsError``."""

    path: Path
    load: Callable[[], Any]

    def files(self, settings: Any) -> list[Path]:
        """Name the files that settings depend on.

        :param settings: settings in use.
        :returns: the settings file, certificates and keys.
        """
        named = [getattr(settings, name, None) for name in TLS_FIELDS]
        return [
            self.path,
            *(Path(tls.certificate_path) for tls in named if tls),
            *(Path(tls.key_path) for tls in named if tls),
        ]


class Reloading(Generic[_Settings]):
    """Watches the settings file and the files that it names.

    :param source: file and model of the settings.
    :param apply: takes over what may change without a restart.
    :param metrics: counters.
    :param sleep: waits for a number of seconds.
    """

    def __init__(
        self,
        source: SettingsSource,
        apply: Callable[[_Settings], None],
        metrics: Metrics,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
    ) -> None:
        #: Why the last attempt failed; empty if it did not.
        self.problem = ''
        self._source = source
        self._apply = apply
        self._metrics = metrics
        self._sleep = sleep
        self._stamp: tuple[object, ...] = ()

    async def run(self, settings: _Settings) -> None:
        """Watch until cancelled.

        :param settings: settings in use.
        """
        self._stamp = _stamp_of(self._source.files(settings))
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        try:
            while True:
                await self._sleep(CHECK_INTERVAL_S)
                settings = self.check(settings)
        finally:
            loop.remove_signal_handler(signal.SIGHUP)
            # A signal while the process stops must not end it at once.
            ignore_reload_signal()

    def check(self, settings: _Settings) -> _Settings:
        """Reload if a file has changed since the last look.

        :param settings: settings in use.
        :returns: settings in use from now on.
        """
        stamp = _stamp_of(self._source.files(settings))
        if stamp == self._stamp:
            return settings
        loaded = self.reload()
        if loaded is None:
            self._stamp = stamp
            return settings
        self._stamp = _stamp_of(self._source.files(loaded))
        return loaded

    def reload(self) -> _Settings | None:
        """Read everything again; a failure leaves all as it was.

        :returns: the settings, or ``None`` after a failure.
        """
        try:
            loaded = self._source.load()
            self._apply(loaded)
        except SettingsError as error:
            self.problem = f'settings are not reloaded: {error}'
            self._metrics.count(Counter.RELOAD_FAILED)
            _log.error('not reloaded: %s', error)
            return None
        self.problem = ''
        self._metrics.count(Counter.RELOADED)
        _log.info('reloaded secrets and certificates')
        return loaded


def ignore_reload_signal() -> None:
    """Ignore ``SIGHUP``, which otherwise ends the process."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


def secrets_of(settings: Any) -> PeerSecrets:
    """Take the secrets of settings.

    :param settings: settings of an entry or endpoint process.
    :returns: the secrets.
    """
    return PeerSecrets.of_texts(
        settings.peer_secret,
        settings.more_peer_secrets,
    )


def _stamp_of(files: Iterable[Path]) -> tuple[object, ...]:
    return tuple(_stamp_of_file(path) for path in files)


def _stamp_of_file(path: Path) -> object:
    try:
        found = path.stat()
    except OSError:
        return None
    # A file that is replaced by rename within one tick has another inode.
    return found.st_mtime_ns, found.st_size, found.st_ino
