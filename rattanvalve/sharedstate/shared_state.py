"""Shared state of a process on the platform."""

from dataclasses import dataclass, field

from rattanvalve.channels import Address
from rattanvalve.counters import Metrics
from rattanvalve.platform.configuration import decode_configuration
from rattanvalve.platform.nodefile import NodeSettings
from rattanvalve.platform.turnstores import (
    decode_member_list,
    decode_retirements,
)
from rattanvalve.sharedstate.documents import DocumentBoard, DocumentKind
from rattanvalve.sharedstate.members import MembersView, StoreMember
from rattanvalve.sharedstate.reachability import ReachTable
from rattanvalve.sharedstate.rules import TrafficRules
from rattanvalve.sharedstate.watchers import watchers_of

__all__ = ('SharedState',)


@dataclass(slots=True)
class SharedState:
    """Documents of one process, with the decoded rules and members.

    ``view`` is empty before the first list of members; until then, the seed
    hosts of the settings are used.
    """

    node: NodeSettings
    board: DocumentBoard = field(default_factory=DocumentBoard)
    metrics: Metrics = field(default_factory=Metrics)
    rules: TrafficRules = field(default_factory=TrafficRules)
    view: MembersView = field(default_factory=MembersView)
    #: Names of the members that operators are retiring.
    retired_names: frozenset[str] = frozenset()
    reach: ReachTable = field(default_factory=ReachTable)

    def __post_init__(self) -> None:
        self.board.subscribe(DocumentKind.RULES, self._adopt_rules)
        self.board.subscribe(DocumentKind.MEMBERS, self._adopt_members)
        self.board.subscribe(DocumentKind.RETIREMENTS, self._adopt_retirements)

    @property
    def members(self) -> tuple[StoreMember, ...]:
        """Return the members of the turn store, with leaving ones.

        :returns: the members; empty before the first list.
        """
        return self.view.members

    def rules_age_ms(self, now_s: float) -> int | None:
        """Return the age of the last confirmation of the rules, for logs.

        :param now_s: monotonic time in seconds.
        :returns: whole milliseconds; ``None`` without a confirmation.
        """
        age_s = self.board.confirmation_age_s(DocumentKind.RULES, now_s)
        return round(age_s * 1000) if age_s < float('inf') else None

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

    def watcher_rank(self) -> int | None:
        """Return the rank of this process among the watchers.

        :returns: rank, 0 is the first; ``None`` if it is no watcher.
        """
        addresses = self.watcher_addresses()
        own = self.node.peer_address
        return addresses.index(own) if own in addresses else None

    def other_watcher_addresses(self) -> list[Address]:
        """List the watchers without this process.

        :returns: addresses of the other watchers.
        """
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
        self.view = decode_member_list(body)
