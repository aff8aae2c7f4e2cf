"""Endpoints that may get requests, as the store of the platform lists them."""

from collections.abc import Callable, Hashable, Iterable
from dataclasses import dataclass

from rattanvalve.logs import LogPart, part_logger
from rattanvalve.sharedstate.endpoints import EndpointEntry

__all__ = ('EndpointDirectory',)

#: Servers whose entries lapsed while the store was away write them again
#: within this time of its return.
RETURN_LIMIT_S = 2.0
#: Share of all entries that do not vanish together by planned work.
LAPSE_SHARE = 0.34
LAPSE_COUNT_MIN = 3

_log = part_logger(LogPart.GATEWAY)


@dataclass(frozen=True, slots=True)
class _Vanished:
    entry: EndpointEntry
    until_s: float


class EndpointDirectory:
    """Entries by name; entries that lapse together are kept for a moment.

    :param forget: called with each endpoint that is gone.
    """

    def __init__(self, forget: Callable[[EndpointEntry], None]) -> None:
        self._entries: dict[str, EndpointEntry] = {}
        self._vanished: dict[str, _Vanished] = {}
        self._unusable: frozenset[str] = frozenset()
        #: Identities of servers that said themselves that they leave.
        self._leaving: set[Hashable] = set()
        self._forget = forget

    def update(
        self,
        listed: Iterable[tuple[str, EndpointEntry | None]],
        now_s: float,
        *,
        is_store_doubtful: bool,
    ) -> None:
        """Take the newest list.

        :param listed: each name with its entry, ``None`` for an entry that
            names no usable server.
        :param now_s: monotonic time in seconds.
        :param is_store_doubtful: whether the store was away a moment ago.
        """
        newest = dict(listed)
        self._note_unusable(newest)
        usable = {name: entry for name, entry in newest.items() if entry}
        gone = [
            entry for name, entry in self._entries.items() if name not in newest
        ]
        is_lapse = is_store_doubtful or (
            len(gone) >= LAPSE_COUNT_MIN
            and len(gone) >= LAPSE_SHARE * len(self._entries)
        )
        for entry in gone:
            if is_lapse and not entry.is_draining:
                until_s = now_s + RETURN_LIMIT_S
                self._vanished[entry.name] = _Vanished(entry, until_s)
            else:
                self._drop(entry)
        for name, entry in self._entries.items():
            replacement = usable.get(name)
            if replacement and replacement.identity != entry.identity:
                self._drop(entry)
        self._entries = usable
        for name in usable:
            self._vanished.pop(name, None)

    def usable(self, service: str, now_s: float) -> list[EndpointEntry]:
        """List the endpoints of a service that take new requests.

        :param service: name of the service.
        :param now_s: monotonic time in seconds.
        :returns: endpoints.
        """
        self._drop_vanished(now_s)
        kept = (vanished.entry for vanished in self._vanished.values())
        return [
            entry
            for entry in (*self._entries.values(), *kept)
            if entry.service == service and self._takes_requests(entry)
        ]

    def note_leaving(self, endpoint: EndpointEntry) -> None:
        """Send nothing more to an endpoint that says that it leaves.

        :param endpoint: the endpoint; its next start is another one.
        """
        if endpoint.identity not in self._leaving:
            self._leaving.add(endpoint.identity)
            _log.info('endpoint leaves', extra={'endpoint': endpoint.name})

    def is_empty(self) -> bool:
        """Return whether no endpoint is known.

        :returns: whether there is neither an entry nor one that lapsed.
        """
        return not (self._entries or self._vanished)

    def _takes_requests(self, entry: EndpointEntry) -> bool:
        return not entry.is_draining and entry.identity not in self._leaving

    def _note_unusable(self, newest: dict[str, EndpointEntry | None]) -> None:
        unusable = frozenset(
            name for name, entry in newest.items() if entry is None
        )
        for name in sorted(unusable - self._unusable):
            _log.warning(
                'endpoint entry names no usable server',
                extra={'endpoint': name},
            )
        self._unusable = unusable

    def _drop_vanished(self, now_s: float) -> None:
        for name, vanished in tuple(self._vanished.items()):
            if now_s >= vanished.until_s:
                self._vanished.pop(name)
                self._drop(vanished.entry)

    def _drop(self, entry: EndpointEntry) -> None:
        self._leaving.discard(entry.identity)
        self._forget(entry)
