"""State that every process on the platform has, and how it is followed."""

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
from rattanvalve.sharedstate.following import Assemble, ObjectFollower
from rattanvalve.sharedstate.members import StoreMember
from rattanvalve.sharedstate.reach import ReachTable
from rattanvalve.sharedstate.rules import TrafficRules
from rattanvalve.sharedstate.watchers import watchers_of

__all__ = ('SharedState',)

#: Time in which the members have copied what a removed one had alone.
COPY_LIMIT_S = 15.0
#: Name of the object that holds the newest configuration.
_MAIN_CONFIG = 'main'

_log = part_logger(LogPart.PROCESS)


class _Versioned(msgspec.Struct):
    version: int


@dataclass(slots=True)
class SharedState:
    """Documents of one process, with the decoded rules and members.

    ``members_version`` is the version of the member document; before the
    first one, the seeds of the settings stand in for the members.
    """

    node: NodeSettings
    board: DocumentBoard = field(default_factory=DocumentBoard)
    metrics: Metrics = field(default_factory=Metrics)
    rules: TrafficRules = field(default_factory=TrafficRules)
    members: tuple[StoreMember, ...] = ()
    #: Names of the members that the operators retire.
    retired_names: frozenset[str] = frozenset()
    reach: ReachTable = field(default_factory=ReachTable)
    _departed_s: dict[str, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.board.listen(DocumentKind.RULES, self._adopt_rules)
        self.board.listen(DocumentKind.MEMBERS, self._adopt_members)
        self.board.listen(DocumentKind.RETIREMENTS, self._adopt_retirements)

    @property
    def members_version(self) -> int:
        """Give the version of the members.

        :returns: version; 0 if there is no document yet.
        """
        return self.board.newest(DocumentKind.MEMBERS).version

    def peer_addresses(self) -> list[Address]:
        """List the turn stores that may be asked for documents.

        :returns: addresses of the other members, or else of the seeds.
        """
        own = self.node.peer_address
        addresses = [member.address for member in self.known_members()]
        return [address for address in addresses if address != own]

    def known_members(self) -> tuple[StoreMember, ...]:
        """List the members of the turn store.

        :returns: the members, or else the seeds under their addresses.
        """
        return self.members or tuple(
            StoreMember(name=host, address=Address(host, self.node.first_port))
            for host in self.node.seed_hosts
        )

    def watcher_addresses(self) -> list[Address]:
        """List the turn stores that watch the platform's store.

        :returns: addresses, this process's own among them if it is one.
        """
        watchers = watchers_of(self.members, self._is_silent)
        return [watcher.address for watcher in watchers]

    def is_watcher(self) -> bool:
        """Return whether this process watches the platform's store.

        :returns: whether it is one of the watchers, or knows of none.
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
        """Make the follower of one document.

        :param store: client of the platform's store.
        :param kind: kind of object.
        :param is_watcher: whether this process watches the store; others
            call it only while the peers have not confirmed the document.
        :returns: the follower, to be run.
        """
        document_kind, assemble = _DOCUMENTS[kind]
        return ObjectFollower(
            store,
            kind,
            document_kind,
            assemble,
            self.board,
            self.metrics,
            is_watcher,
        )

    def spare_followers(self, store: ObjectStore) -> list[ObjectFollower]:
        """Make the followers of a process that never is a watcher.

        :param store: client of the platform's store.
        :returns: followers, to be run.
        """
        kinds = (KIND_CONFIG, KIND_SERVERS, KIND_MEMBERS)
        return [self.follower(store, kind, _is_never) for kind in kinds]

    def exchange(
        self,
        pool: PeerPool,
        kinds: Sequence[DocumentKind] = EXCHANGED_KINDS,
    ) -> PeerExchange:
        """Make the exchange of documents with the turn stores.

        :param pool: connections to peers.
        :param kinds: kinds of documents.
        :returns: the exchange, to be run.
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
        """Count the members that were removed a moment ago.

        Their records may not have been copied to the others yet.

        :param now_s: monotonic time in seconds.
        :returns: members that had not handed their records over.
        """
        return sum(
            now_s - removed_s < COPY_LIMIT_S
            for removed_s in self._departed_s.values()
        )

    def _other_watchers(self) -> list[Address]:
        own = self.node.peer_address
        return [known for known in self.watcher_addresses() if known != own]

    def _is_silent(self, address: Address) -> bool:
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
            # One that leaves as planned hands its records over before.
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
            # The operators' version counts, not the revision of the store.
            with suppress(msgspec.DecodeError):
                stored = msgspec.json.decode(entry.spec, type=_Versioned)
                return Document(
                    kind=DocumentKind.RULES,
                    version=stored.version,
                    body=entry.spec,
                )
            _log.warning('configuration without a version is passed over')
    return None


def _listing(
    kind: DocumentKind,
    encode: Callable[[Iterable[StoredEntry]], bytes],
) -> Assemble:
    """Make the builder of a document that lists all objects of a kind."""

    def assemble(entries: Iterable[StoredEntry], revision: int) -> Document:
        return Document(kind=kind, version=revision, body=encode(entries))

    return assemble


_DOCUMENTS = {
    KIND_CONFIG: (DocumentKind.RULES, _rules_document),
    KIND_SERVERS: (
        DocumentKind.SERVERS,
        _listing(DocumentKind.SERVERS, encode_servers),
    ),
    KIND_MEMBERS: (
        DocumentKind.MEMBERS,
        _listing(DocumentKind.MEMBERS, encode_members),
    ),
    KIND_RETIREMENTS: (
        DocumentKind.RETIREMENTS,
        _listing(DocumentKind.RETIREMENTS, encode_retirements),
    ),
}


def _is_never() -> bool:
    return False
