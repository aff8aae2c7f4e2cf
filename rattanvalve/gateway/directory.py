"""Endpoints that may receive requests, from the list of the object store."""

from collections.abc import Callable, Hashable, Iterable
from dataclasses import dataclass

from rattanvalve.logs import LogPart, part_logger
from rattanvalve.sharedstate.endpoints import EndpointEntry

__all__ = ('EndpointDirectory',)

#: Time for which lapsed entries stay usable. Servers whose entries lapsed
#: during an outage of the store write them again within this time after it.
LAPSE_GRACE_S = 2.0
#: Smallest share of all entries, and smallest number of them, whose common
#: disappearance counts as a lapse. Planned work does not remove that many
#: entries in one update.
LAPSE_SHARE_MIN = 0.34
LAPSE_COUNT_MIN = 3

_log = part_logger(LogPart.GATEWAY)


@dataclass(frozen=True, slots=True)
class _LapsedEntry:
    entry: EndpointEntry
    expires_s: float


class EndpointDirectory:
    """Endpoint entries by name.

    Entries that disappear together stay usable for ``LAPSE_GRACE_S``.

    :param forget: called with each endpoint that is removed or was replaced
        by a restarted one.
    """

    def __init__(self, forget: Callable[[EndpointEntry], None]) -> None:
        self._entries: dict[str, EndpointEntry] = {}
        self._lapsed: dict[str, _LapsedEntry] = {}
        self._unusable: frozenset[str] = frozenset()
        #: Identities of servers that announced their shutdown in a response.
        self._leaving: set[Hashable] = set()
        self._forget = forget

    def update(
        self,
        listed: Iterable[tuple[str, EndpointEntry | None]],
        now_s: float,
        *,
        is_store_stale: bool,
    ) -> None:
        """Replace the entries by the newest list.

        :param listed: each name with its entry, ``None`` for an entry that
            names no usable server.
        :param now_s: monotonic time in seconds.
        :param is_store_stale: whether the store was unreachable recently;
            every missing entry that is not draining then counts as lapsed.
        """
        newest = dict(listed)
        self._log_unusable(newest)
        usable = {name: entry for name, entry in newest.items() if entry}
        missing = [
            entry for name, entry in self._entries.items() if name not in newest
        ]
        is_lapse = is_store_stale or (
            len(missing) >= LAPSE_COUNT_MIN
            and len(missing) >= LAPSE_SHARE_MIN * len(self._entries)
        )
        for entry in missing:
            if is_lapse and not entry.is_draining:
                expires_s = now_s + LAPSE_GRACE_S
                self._lapsed[entry.name] = _LapsedEntry(entry, expires_s)
            else:
                self._drop(entry)
        lapsed = {
            name: self._lapsed.pop(name).entry
            for name in newest
            if name in self._lapsed
        }
        for name, entry in (*self._entries.items(), *lapsed.items()):
            if name in newest and not _is_same(usable.get(name), entry):
                self._drop(entry)
        self._entries = usable

    def usable(self, service: str, now_s: float) -> list[EndpointEntry]:
        """List the endpoints of a service that accept new requests.

        :param service: name of the service.
        :param now_s: monotonic time in seconds.
        :returns: listed endpoints and lapsed ones within their grace period,
            without those that drain or leave.
        """
        self._drop_expired(now_s)
        return [
            entry
            for entry in self.known()
            if entry.service == service and self._takes_requests(entry)
        ]

    def known(self) -> list[EndpointEntry]:
        """List the endpoints of all services.

        :returns: listed endpoints and lapsed ones.
        """
        lapsed_entries = (lapsed.entry for lapsed in self._lapsed.values())
        return [*self._entries.values(), *lapsed_entries]

    def is_expected_to_run(self, endpoint: EndpointEntry) -> bool:
        """Return whether an endpoint should accept connections.

        :param endpoint: the endpoint.
        :returns: whether this incarnation is listed and announces no shutdown.
        """
        entry = self._entries.get(endpoint.name)
        return _is_same(entry, endpoint) and self._takes_requests(entry)

    def mark_leaving(self, endpoint: EndpointEntry) -> None:
        """Stop sending requests to an endpoint that announced its shutdown.

        :param endpoint: the endpoint; after a restart it has another
            identity and is usable again.
        """
        if endpoint.identity not in self._leaving:
            self._leaving.add(endpoint.identity)
            _log.info('endpoint leaves', extra={'endpoint': endpoint.name})

    def is_empty(self) -> bool:
        """Return whether no endpoint is known.

        :returns: whether there is neither a listed nor a lapsed entry.
        """
        return not (self._entries or self._lapsed)

    def _takes_requests(self, entry: EndpointEntry) -> bool:
        return not entry.is_draining and entry.identity not in self._leaving

    def _log_unusable(self, newest: dict[str, EndpointEntry | None]) -> None:
        unusable = frozenset(
            name for name, entry in newest.items() if entry is None
        )
        for name in sorted(unusable - self._unusable):
            _log.warning(
                'endpoint entry names no usable server',
                extra={'endpoint': name},
            )
        self._unusable = unusable

    def _drop_expired(self, now_s: float) -> None:
        for name, lapsed in tuple(self._lapsed.items()):
            if now_s >= lapsed.expires_s:
                self._lapsed.pop(name)
                self._drop(lapsed.entry)

    def _drop(self, entry: EndpointEntry) -> None:
        self._leaving.discard(entry.identity)
        self._forget(entry)


def _is_same(newest: EndpointEntry | None, former: EndpointEntry) -> bool:
    return newest is not None and newest.identity == former.identity
