"""Announces an endpoint process to the entries and adopts their view."""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Protocol

from rattanvalve.blackboard import Blackboard
from rattanvalve.channels import Address
from rattanvalve.errors import PeerError
from rattanvalve.health import HealthState
from rattanvalve.logs import LogPart, part_logger
from rattanvalve.messages import (
    Ack,
    Announce,
    Document,
    Member,
    Pull,
    View,
)
from rattanvalve.peers import PeerPool

__all__ = ('Announcer', 'AnnouncerParts', 'Confirmable')

ANNOUNCE_INTERVAL_S = 2.0
#: Shorter than the interval, so that a round ends before the next one.
CALL_TIMEOUT_S = 1.5
_MS_PER_S = 1000
_ROLE_ENTRY = 'entry'

_log = part_logger(LogPart.VIEW)


class Confirmable(Protocol):
    """Confirmation of the view, as far as the announcer uses it."""

    def confirm(self, read_at_s: float) -> None:
        """Record that the view was current at a point in time.

        :param read_at_s: monotonic time in seconds.
        """

    def age_s(self, now_s: float) -> float:
        """Return the age of the newest confirmation.

        :param now_s: monotonic time in seconds.
        :returns: age in seconds.
        """


@dataclass(slots=True, kw_only=True)
class AnnouncerParts:
    """State and callbacks of the announcer.

    ``load`` returns the current load as an announcement without membership;
    ``adopt_view`` is called with a newer view; ``decode_view`` is that of
    :mod:`rattanvalve.views`; ``set_queue_policy`` is called with the name of
    the queue policy in the newest known configuration; ``clock`` returns
    monotonic seconds.
    """

    pool: PeerPool
    board: Blackboard
    confirmation: Confirmable
    seed_peers: tuple[Address, ...]
    load: Callable[[], Announce]
    adopt_view: Callable[[View], None]
    decode_view: Callable[[bytes], View]
    set_queue_policy: Callable[[str], None]
    clock: Callable[[], float] = time.monotonic


class Announcer:
    """Sends ``Announce`` to all entries, every 2 s and at once on a change.

    :param member: membership data of this process.
    :param parts: state and callbacks of the process.
    """

    def __init__(self, member: Member, parts: AnnouncerParts) -> None:
        self.health = HealthState()
        self._member = member
        self._parts = parts
        self._is_leaving = False
        self._generation = 0
        self._rounds: set[asyncio.Task] = set()

    async def run(self) -> None:
        """Announce at every interval, until cancelled."""
        while True:
            self.announce_now()
            await asyncio.sleep(ANNOUNCE_INTERVAL_S)

    def announce_now(self) -> asyncio.Task:
        """Start a round without waiting for earlier ones.

        :returns: task that ends with the round.
        """
        task = asyncio.ensure_future(self._announce_to_all())
        self._rounds.add(task)
        task.add_done_callback(self._rounds.discard)
        return task

    def leave(self) -> asyncio.Task:
        """Mark this process as leaving in all announcements from now on.

        :returns: task that ends with the first such round.
        """
        self._is_leaving = True
        return self.announce_now()

    def observe_health(self, is_success: bool) -> None:
        """Process the result of a health check; announce a change at once.

        :param is_success: whether the check succeeded.
        """
        if self.health.observe(is_success):
            _log.info('server healthy: %s', self.health.is_healthy)
            self.announce_now()

    async def _announce_to_all(self) -> None:
        announce = replace(
            self._parts.load(),
            member=self._member,
            epoch=self._parts.board.view.epoch,
            is_leaving=self._is_leaving,
            is_healthy=self.health.is_healthy,
        )
        targets = self._targets()
        acknowledged = await asyncio.gather(
            *(self._announce_to(target, announce) for target in targets),
        )
        unused_seeds = set(self._parts.seed_peers) - set(targets)
        if unused_seeds and not any(acknowledged):
            # No entry acknowledged; all entries of the view may be replaced.
            await asyncio.gather(
                *(
                    self._announce_to(target, announce)
                    for target in unused_seeds
                ),
            )

    def _targets(self) -> tuple[Address, ...]:
        entries = tuple(
            Address(member.host, member.port)
            for member in self._parts.board.view.members
            if member.role == _ROLE_ENTRY
        )
        return entries or self._parts.seed_peers

    async def _announce_to(self, target: Address, announce: Announce) -> bool:
        # The age in the acknowledgement is measured after this time, so the
        # confirmation can only be judged older than it is, never newer.
        sent_at_s = self._parts.clock()
        try:
            ack = await self._parts.pool.call(target, announce, CALL_TIMEOUT_S)
            if not isinstance(ack, Ack):
                return False
            if ack.epoch > self._parts.board.view.epoch:
                await self._pull_view(target)
        except PeerError as error:
            _log.debug('announcement failed: %s', error)
            return False
        self._apply_rules(ack)
        self._adopt_confirmation(ack, sent_at_s)
        return True

    async def _pull_view(self, target: Address) -> None:
        known_epoch = self._parts.board.view.epoch
        document = await self._parts.pool.call(
            target,
            Pull(kind='view', newer_than=known_epoch),
            CALL_TIMEOUT_S,
        )
        if (
            not isinstance(document, Document)
            or document.version <= known_epoch
        ):
            return
        try:
            self._parts.adopt_view(self._parts.decode_view(document.body))
        except ValueError as error:
            _log.warning('malformed view from a peer: %s', error)

    def _apply_rules(self, ack: Ack) -> None:
        """Apply the rules of a newer generation; ignore older ones."""
        if ack.generation > self._generation:
            self._generation = ack.generation
            self._parts.set_queue_policy(ack.queue_policy)

    def _adopt_confirmation(self, ack: Ack, sent_at_s: float) -> None:
        """Adopt the confirmation of an entry that has the same view."""
        view = self._parts.board.view
        read_at_s = sent_at_s - ack.confirmation_age_ms / _MS_PER_S
        now_s = self._parts.clock()
        age_s = self._parts.confirmation.age_s(now_s)
        is_same_view = ack.epoch == view.epoch and view.epoch > 0
        if is_same_view and now_s - read_at_s < age_s:
            self._parts.confirmation.confirm(read_at_s)
