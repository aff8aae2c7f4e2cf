"""Tasks that keep the documents of a process current."""

import time
from collections.abc import Callable, Iterable, Sequence
from typing import Annotated

import msgspec

from rattanvalve.channels import Address, Handler
from rattanvalve.errors import ConfigurationError
from rattanvalve.messages import Document
from rattanvalve.peers import PeerPool
from rattanvalve.platform.malformed import MALFORMED_JSON
from rattanvalve.platform.names import (
    KIND_CONFIG,
    KIND_MEMBER_LIST,
    KIND_RETIREMENTS,
    KIND_SERVERS,
)
from rattanvalve.platform.objects import ObjectStore, StoredEntry
from rattanvalve.platform.servers import encode_servers
from rattanvalve.platform.turnstores import encode_retirements, find_member_list
from rattanvalve.sharedstate.backup_watchers import (
    BackupWatchers,
    GatewayExchange,
)
from rattanvalve.sharedstate.documents import DocumentKind
from rattanvalve.sharedstate.exchange import (
    EXCHANGED_KINDS,
    PeerExchange,
    document_handlers,
)
from rattanvalve.sharedstate.object_follower import (
    DocumentBuilder,
    FollowedKind,
    ObjectFollower,
)
from rattanvalve.sharedstate.shared_state import SharedState
from rattanvalve.sharedstate.staleness_monitor import StalenessMonitor
from rattanvalve.sharedstate.tasks import Task

__all__ = (
    'create_exchange',
    'create_follower',
    'create_monitor',
    'gateway_tasks',
    'peer_handlers',
    'turn_store_followers',
)

#: Name of the object that holds the newest configuration.
_MAIN_CONFIG = 'main'
#: Largest version that fits into the messages between processes.
VERSION_MAX = 2**63 - 1


class _Versioned(msgspec.Struct):
    version: Annotated[int, msgspec.Meta(ge=0, le=VERSION_MAX)]


def create_follower(
    state: SharedState,
    store: ObjectStore,
    kind: str,
    is_watcher: Callable[[], bool],
) -> ObjectFollower:
    """Create the follower of one document.

    :param state: state of this process.
    :param store: client of the platform's store.
    :param kind: kind of the objects.
    :param is_watcher: returns whether this process watches the store; others
        call it only while peers do not confirm the document.
    :returns: follower; the caller runs it.
    """
    followed = _FOLLOWED[kind]
    return ObjectFollower(
        store,
        followed,
        state.board,
        state.metrics,
        state.node.staleness.budget(followed.document_kind),
        is_watcher,
    )


def turn_store_followers(
    state: SharedState,
    store: ObjectStore,
    needs_member_list: Callable[[], bool],
) -> tuple[ObjectFollower, list[ObjectFollower]]:
    """Create the followers of a turn store, which may be a watcher.

    :param state: state of this process.
    :param store: client of the platform's store.
    :param needs_member_list: returns whether the process needs the stored
        list of members even if it is no watcher.
    :returns: follower of the members, and those of the other kinds; the caller
        runs them.
    """
    members = create_follower(
        state,
        store,
        KIND_MEMBER_LIST,
        lambda: needs_member_list() or state.is_watcher(),
    )
    kinds = (KIND_CONFIG, KIND_SERVERS, KIND_RETIREMENTS)
    others = [
        create_follower(state, store, kind, state.is_watcher) for kind in kinds
    ]
    return members, others


def create_exchange(
    state: SharedState,
    pool: PeerPool,
    kinds: Sequence[DocumentKind] = EXCHANGED_KINDS,
) -> PeerExchange:
    """Create the exchange of documents with the turn stores.

    :param state: state of this process.
    :param pool: connections to peers.
    :param kinds: kinds of documents to exchange.
    :returns: exchange; the caller runs it.
    """
    exchange = PeerExchange(
        pool,
        state.peer_addresses,
        state.board,
        state.metrics,
        state.reach,
        state.other_watcher_addresses,
        kinds,
    )
    exchange.interval_max_s = state.node.staleness.exchange_interval_s
    return exchange


def gateway_tasks(
    state: SharedState,
    store: ObjectStore,
    pool: PeerPool,
    known_gateways: Callable[[], Sequence[Address]],
) -> list[Task]:
    """Create the tasks that keep the documents of a gateway current.

    A gateway calls the store only while turn stores do not confirm a document;
    backup watchers then watch it for the other gateways.

    :param state: state of this process.
    :param store: client of the platform's store.
    :param pool: connections to peers.
    :param known_gateways: returns the addresses of the other gateways.
    :returns: tasks that run until cancelled.
    """
    backups = BackupWatchers(state.node.peer_address, known_gateways)
    followers = [
        create_follower(state, store, kind, _backup_check(state, backups, kind))
        for kind in (KIND_CONFIG, KIND_SERVERS, KIND_MEMBER_LIST)
    ]
    gateway_exchange = GatewayExchange(
        backups, pool, state.board, state.node.staleness, state.metrics
    )
    return [
        *(follower.run for follower in followers),
        create_exchange(state, pool).run,
        gateway_exchange.run,
        create_monitor(state).run,
    ]


def peer_handlers(state: SharedState) -> dict[type, Handler]:
    """Create the handlers that answer exchanges of documents.

    :param state: state of this process.
    :returns: handlers by message class.
    """
    return document_handlers(state.board, state.metrics)


def create_monitor(
    state: SharedState, kinds: Sequence[DocumentKind] = EXCHANGED_KINDS
) -> StalenessMonitor:
    """Create the monitor that logs documents that get out of date.

    :param state: state of this process.
    :param kinds: kinds of documents to check.
    :returns: monitor; the caller runs it.
    """
    return StalenessMonitor(
        state.board, state.node.staleness, state.metrics, kinds
    )


def _backup_check(
    state: SharedState, backups: BackupWatchers, kind: str
) -> Callable[[], bool]:
    """Create the check whether a gateway watches a kind of objects."""
    document_kind = _FOLLOWED[kind].document_kind
    backup_age_s = state.node.staleness.budget(document_kind).backup_age_s

    def is_watching() -> bool:
        now_s = time.monotonic()
        age_s = state.board.member_confirmation_age_s(document_kind, now_s)
        # A process that has met no turn store yet may be starting.
        is_needed = backup_age_s <= age_s < float('inf')
        return is_needed and backups.is_backup(now_s)

    return is_watching


def _rules_document(
    entries: Iterable[StoredEntry],
    revision: int,
) -> Document | None:
    stored = {entry.name: entry.spec for entry in entries}.get(_MAIN_CONFIG)
    if stored is None:
        return None
    try:
        # The version is the one that operators set, not the store's revision.
        version = msgspec.json.decode(stored, type=_Versioned).version
    except MALFORMED_JSON as error:
        raise ConfigurationError(f'no version: {error}') from error
    return Document(kind=DocumentKind.RULES, version=version, body=stored)


def _members_document(
    entries: Iterable[StoredEntry],
    revision: int,
) -> Document | None:
    stored = find_member_list(entries)
    if stored is None:
        return None
    # The revision of the object, so that a list that is read again is the same
    # document.
    return Document(
        kind=DocumentKind.MEMBERS, version=stored.revision, body=stored.spec
    )


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


_FOLLOWED = {
    followed.object_kind: followed
    for followed in (
        FollowedKind(KIND_CONFIG, DocumentKind.RULES, _rules_document),
        FollowedKind(
            KIND_SERVERS,
            DocumentKind.SERVERS,
            _list_builder(DocumentKind.SERVERS, encode_servers),
        ),
        FollowedKind(KIND_MEMBER_LIST, DocumentKind.MEMBERS, _members_document),
        FollowedKind(
            KIND_RETIREMENTS,
            DocumentKind.RETIREMENTS,
            _list_builder(DocumentKind.RETIREMENTS, encode_retirements),
        ),
    )
}
