"""Reloads settings on SIGHUP and when a file changes."""

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
    'SettingsReloader',
    'SettingsSource',
    'ignore_reload_signal',
    'peer_secrets_from_settings',
)

CHECK_INTERVAL_S = 5.0

_log = part_logger(LogPart.PROCESS)
_Settings = TypeVar('_Settings')


@dataclass(frozen=True, slots=True)
class SettingsSource:
    """File and loader of settings; ``load`` may raise ``SettingsError``."""

    path: Path
    load: Callable[[], Any]

    def files(self, settings: Any) -> list[Path]:
        """List the files that settings depend on.

        :param settings: settings in use.
        :returns: paths of the settings file, the TLS certificates and the
            keys.
        """
        tls_settings = [getattr(settings, name, None) for name in TLS_FIELDS]
        return [
            self.path,
            *(Path(tls.certificate_path) for tls in tls_settings if tls),
            *(Path(tls.key_path) for tls in tls_settings if tls),
        ]


class SettingsReloader(Generic[_Settings]):
    """Watches the settings file and the TLS files that it names.

    :param source: file and loader of the settings.
    :param apply: applies the settings that may change without a restart; may
        raise ``SettingsError``.
    :param metrics: counts reloads and failed reloads.
    :param sleep: waits for a number of seconds; tests replace it.
    """

    def __init__(
        self,
        source: SettingsSource,
        apply: Callable[[_Settings], None],
        metrics: Metrics,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
    ) -> None:
        #: Error of the last reload; empty after a successful one.
        self.problem = ''
        self._source = source
        self._apply = apply
        self._metrics = metrics
        self._sleep = sleep
        self._fingerprint: tuple[object, ...] = ()

    async def run(self, settings: _Settings) -> None:
        """Watch for ``SIGHUP`` and file changes until cancelled.

        The files are checked every ``CHECK_INTERVAL_S`` seconds.

        :param settings: settings in use.
        """
        self._fingerprint = _fingerprint_files(self._source.files(settings))
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        try:
            while True:
                await self._sleep(CHECK_INTERVAL_S)
                settings = self.check(settings)
        finally:
            loop.remove_signal_handler(signal.SIGHUP)
            # Without a handler, SIGHUP would terminate the process during its
            # shutdown.
            ignore_reload_signal()

    def check(self, settings: _Settings) -> _Settings:
        """Reload if a file has changed since the last check.

        :param settings: settings in use.
        :returns: the reloaded settings, or ``settings`` if no file changed or
            the reload failed.
        """
        fingerprint = _fingerprint_files(self._source.files(settings))
        if fingerprint == self._fingerprint:
            return settings
        loaded = self.reload()
        if loaded is None:
            self._fingerprint = fingerprint
            return settings
        self._fingerprint = _fingerprint_files(self._source.files(loaded))
        return loaded

    def reload(self) -> _Settings | None:
        """Reload all files; after a failure, the settings in use stay.

        :returns: the new settings, or ``None`` after a failure.
        """
        try:
            loaded = self._source.load()
            self._apply(loaded)
        except SettingsError as error:
            self.problem = f'settings are not reloaded: {error}'
            self._metrics.count(Counter.RELOAD_FAILED)
            _log.error('settings not reloaded: %s', error)
            return None
        self.problem = ''
        self._metrics.count(Counter.RELOADED)
        _log.info('reloaded secrets and certificates')
        return loaded


def ignore_reload_signal() -> None:
    """Ignore ``SIGHUP``, whose default action terminates the process."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


def peer_secrets_from_settings(settings: Any) -> PeerSecrets:
    """Return the peer secrets of settings.

    :param settings: settings of an entry or endpoint process.
    :returns: the secrets for outgoing and incoming connections.
    """
    return PeerSecrets.from_strings(
        settings.peer_secret,
        settings.more_peer_secrets,
    )


def _fingerprint_files(files: Iterable[Path]) -> tuple[object, ...]:
    return tuple(_fingerprint_file(path) for path in files)


def _fingerprint_file(path: Path) -> object:
    try:
        stat = path.stat()
    except OSError:
        return None
    # The inode reveals a file that is replaced by rename within one tick of
    # the file system's clock.
    return stat.st_mtime_ns, stat.st_size, stat.st_ino
