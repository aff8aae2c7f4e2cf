"""Shared state of a process on the platform, and what keeps it current."""

import time
from collections.abc import Callable, Iterable, Sequence
from contextlib import suppress
from dataclasses import dataclass, field

import msgspec

from rattanvalve.channels import Address
from rattanvalve.counters import Metrics
from rattanvalve.logs import LogPart, part_logger
from rattanvalve.messages import Document
from rattanvalve.peers import PeerPool
from rattanvalve.platform.configuration import decode_configuration
from rattanvalve.platform.malformed import MALFORMED_JSON
from rattanvalve.platform.names import (
    KIND_CONFIG,
    KIND_MEMBERS,
    KIND_RETIREMENTS,
    KIND_SERVERS,
)
from rattanvalve.platform.nodefile import NodeSettings
from rattanvalve.platform.objects import ObjectStore, StoredEntry
from rattanvalve.platform.servers import encode_servers
from rattanvalve.platform.turnstores import (
    decode_members,
    decode_retirements,
    encode_members,
    encode_retirements,
)
from rattanvalve.sharedstate.documents import DocumentBoard, DocumentKind
from rattanvalve.sharedstate.exchange import EXCHANGED_KINDS, PeerExchange
from rattanvalve.sharedstate.members import StoreMember
from rattanvalve.sharedstate.object_follower import (
    DocumentBuilder,
    ObjectFollower,
)
from rattanvalve.sharedstate.reachability import ReachTable
from rattanvalve.sharedstate.rules import TrafficRules
from rattanvalve.sharedstate.watchers import watchers_of

__all__ = ('SharedState',)

#: Time after the removal of a member within which the others replicate the
#: records that it stored.
REPLICATION_GRACE_S = 15.0
#: Name of the object that holds the newest configuration.
_MAIN_CONFIG = 'main'

_log = part_logger(LogPart.PROCESS)


class _Versioned(msgspec.Struct):
    version: int


@dataclass(slots=True)
class SharedState:
    """Documents of one process, with the decoded rules and members.

    ``members`` is empty before the first member document; until then, the
    seed hosts of the settings are used.
    """

    node: NodeSettings
    board: DocumentBoard = field(default_factory=DocumentBoard)
    metrics: Metrics = field(default_factory=Metrics)
    rules: TrafficRules = field(default_factory=TrafficRules)
    members: tuple[StoreMember, ...] = ()
    #: Names of the members that operators are retiring.
    retired_names: frozenset[str] = frozenset()
    reach: ReachTable = field(default_factory=ReachTable)
    _departed_s: dict[str, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.board.subscribe(DocumentKind.RULES, self._adopt_rules)
        self.board.subscribe(DocumentKind.MEMBERS, self._adopt_members)
        self.board.subscribe(DocumentKind.RETIREMENTS, self._adopt_retirements)

    @property
    def members_version(self) -> int:
        """Return the version of the member document.

        :returns: version; 0 before the first document.
        """
        return self.board.newest(DocumentKind.MEMBERS).version

    def peer_addresses(self) -> list[Address]:
        """List the turn stores with which documents are exchanged.

        :returns: addresses of the members, or of the seeds while no member is
            known, without this process's own.
        """
        own = self.node.peer_address
        addresses = [member.address for member in self.known_members()]
        return [address for address in addresses if address != own]

    def known_members(self) -> tuple[StoreMember, ...]:
        """List the members of the turn store.

        :returns: the members; while none is known, the seeds with their host
            as the name.
        """
        return self.members or tuple(
            StoreMember(name=host, address=Address(host, self.node.first_port))
            for host in self.node.seed_hosts
        )

    def watcher_addresses(self) -> list[Address]:
        """List the turn stores that watch the platform's store.

        :returns: addresses of the watchers, which may include this process.
        """
        watchers = watchers_of(self.members, self._is_unreachable)
        return [watcher.address for watcher in watchers]

    def is_watcher(self) -> bool:
        """Return whether this process watches the platform's store.

        :returns: whether it is a watcher; true while no member is known.
        """
        return (
            not self.members
            or self.node.peer_address in self.watcher_addresses()
        )

    def follower(
        self,
        store: ObjectStore,
        kind: str,
        is_watcher: Callable[[], bool],
    ) -> ObjectFollower:
        """Create the follower of one document.

        :param store: client of the platform's store.
        :param kind: kind of the objects.
        :param is_watcher: returns whether this process watches the store;
            others call it only while peers do not confirm the document.
        :returns: follower; the caller runs it.
        """
        document_kind, build_document = _DOCUMENTS[kind]
        return ObjectFollower(
            store,
            kind,
            document_kind,
            build_document,
            self.board,
            self.metrics,
            is_watcher,
        )

    def fallback_followers(self, store: ObjectStore) -> list[ObjectFollower]:
        """Create the followers of a process that is never a watcher.

        They call the store only while peers do not confirm a document.

        :param store: client of the platform's store.
        :returns: followers; the caller runs them.
        """
        kinds = (KIND_CONFIG, KIND_SERVERS, KIND_MEMBERS)
        return [self.follower(store, kind, _never_watches) for kind in kinds]

    def exchange(
        self,
        pool: PeerPool,
        kinds: Sequence[DocumentKind] = EXCHANGED_KINDS,
    ) -> PeerExchange:
        """Create the exchange of documents with the turn stores.

        :param pool: connections to peers.
        :param kinds: kinds of documents to exchange.
        :returns: exchange; the caller runs it.
        """
        return PeerExchange(
            pool,
            self.peer_addresses,
            self.board,
            self.metrics,
            self.reach,
            self._other_watchers,
            kinds,
        )

    def departed_count(self, now_s: float) -> int:
        """Count the members that were removed recently without retirement.

        Their records may not be replicated to other members yet.

        :param now_s: monotonic time in seconds.
        :returns: number of members removed within the grace time.
        """
        return sum(
            now_s - removed_s < REPLICATION_GRACE_S
            for removed_s in self._departed_s.values()
        )

    def _other_watchers(self) -> list[Address]:
        own = self.node.peer_address
        return [
            address for address in self.watcher_addresses() if address != own
        ]

    def _is_unreachable(self, address: Address) -> bool:
        return address != self.node.peer_address and self.reach.has_failed(
            address
        )

    def _adopt_retirements(self, body: bytes) -> None:
        self.retired_names = decode_retirements(body)

    def _adopt_rules(self, body: bytes) -> None:
        self.rules = decode_configuration(body)

    def _adopt_members(self, body: bytes) -> None:
        former = self.members
        self.members = decode_members(body)
        names = {member.name for member in self.members}
        for member in former:
            # The others have pulled all records of a retired member before its
            # removal.
            if member.name not in names and not member.is_leaving:
                self._departed_s[member.name] = time.monotonic()
        for name in names:
            self._departed_s.pop(name, None)


def _rules_document(
    entries: Iterable[StoredEntry],
    revision: int,
) -> Document | None:
    for entry in entries:
        if entry.name == _MAIN_CONFIG:
            # The version is the one that operators set, not the store's
            # revision.
            with suppress(*MALFORMED_JSON):
                stored = msgspec.json.decode(entry.spec, type=_Versioned)
                return Document(
                    kind=DocumentKind.RULES,
                    version=stored.version,
                    body=entry.spec,
                )
            _log.warning('configuration without a version ignored')
    return None


def _list_builder(
    kind: DocumentKind,
    encode: Callable[[Iterable[StoredEntry]], bytes],
) -> DocumentBuilder:
    """Create the builder of a document that lists all objects of a kind."""

    def build_document(
        entries: Iterable[StoredEntry], revision: int
    ) -> Document:
        return Document(kind=kind, version=revision, body=encode(entries))

    return build_document


_DOCUMENTS = {
    KIND_CONFIG: (DocumentKind.RULES, _rules_document),
    KIND_SERVERS: (
        DocumentKind.SERVERS,
        _list_builder(DocumentKind.SERVERS, encode_servers),
    ),
    KIND_MEMBERS: (
        DocumentKind.MEMBERS,
        _list_builder(DocumentKind.MEMBERS, encode_members),
    ),
    KIND_RETIREMENTS: (
        DocumentKind.RETIREMENTS,
        _list_builder(DocumentKind.RETIREMENTS, encode_retirements),
    ),
}


def _never_watches() -> bool:
    return False
