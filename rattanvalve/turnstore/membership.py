"""Updates the list of turn store members in the platform's store.

A member registers and adds itself to the list, and takes itself off when it is
retired. The members that watch the store also remove silent ones and drop the
sets of earlier epochs.
"""

import asyncio
import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from rattanvalve.errors import StoreConflictError, StoreError
from rattanvalve.logs import LogPart, part_logger
from rattanvalve.platform.malformed import MALFORMED_JSON
from rattanvalve.platform.names import (
    KIND_MEMBER_LIST,
    KIND_RETIREMENTS,
)
from rattanvalve.platform.nodefile import NodeSettings
from rattanvalve.platform.objects import ObjectStore, StoredEntry
from rattanvalve.platform.turnstores import (
    LIST_NAME,
    decode_member_list,
    member_list_spec,
)
from rattanvalve.sharedstate.members import MembersView, StoreMember
from rattanvalve.sharedstate.object_follower import ObjectFollower
from rattanvalve.turnstore.memberplans import (
    expire_sets,
    join_members,
    leave,
    remove_unresponsive,
    settle,
    update_member,
)
from rattanvalve.turnstore.memberstate import MemberState, unix_ms
from rattanvalve.turnstore.registration import Registrations
from rattanvalve.turnstore.replication import PullState

__all__ = ('Membership', 'MembershipFacts')

CHECK_INTERVAL_S = 0.3
#: The same for a member that joins others, which may write at the same time.
JOIN_INTERVAL_S = 0.05

_log = part_logger(LogPart.TURNS)


@dataclass(frozen=True, slots=True)
class MembershipFacts:
    """What a member knows of itself and of the others.

    ``is_retired`` returns whether the operators retire this member, and
    ``watcher_rank`` its rank among those that watch the store, ``None`` if it
    does not. ``pulled`` returns the replication state of each other member,
    ``complete_names`` the members that are complete at an epoch, and
    ``retention_ms`` the longest retention of any record.
    """

    is_retired: Callable[[], bool]
    watcher_rank: Callable[[], int | None]
    pulled: Callable[[], Mapping[str, PullState]]
    complete_names: Callable[[int], frozenset[str]]
    retention_ms: Callable[[], int]


class Membership:
    """Keeps this member in the list and the list up to date.

    :param node: settings of this process.
    :param store: client of the platform's store.
    :param stored: follows the stored list.
    :param state: durable record of this member.
    :param view: returns the list that this process has adopted.
    :param facts: what this member knows.
    """

    def __init__(
        self,
        node: NodeSettings,
        store: ObjectStore,
        stored: ObjectFollower,
        state: MemberState,
        view: Callable[[], MembersView],
        facts: MembershipFacts,
    ) -> None:
        self._own = StoreMember(
            name=node.name, address=node.peer_address, zone=node.zone
        )
        self._store = store
        self._stored = stored
        self._registrations = Registrations(self._own, store, state)
        self._view = view
        self._facts = facts
        self._lost_disks_max = node.lost_disks_max
        self._is_first_start = node.is_first_start
        self._reported_state = ''
        self._is_registered = False
        #: Number of checks in a row that found the list in need of a change.
        self._due_checks = 0

    async def run(self) -> None:
        """Check and update the list periodically until cancelled."""
        while True:
            try:
                await self._check()
            except StoreConflictError:
                # Another member wrote first; the next check sees its change.
                _log.debug('list of members changed by another member')
            except (StoreError, OSError) as error:
                _log.warning(
                    'list of members not written',
                    extra={'error': str(error)},
                )
            await asyncio.sleep(self._interval_s())

    def needs_member_list(self) -> bool:
        """Return whether this member has to change the list.

        :returns: whether the stored list must be followed, even if this
            process is no watcher.
        """
        view = self._view()
        is_listed = self._own in view.members
        return self._facts.is_retired() or not is_listed

    def _interval_s(self) -> float:
        is_waiting = self._is_first_start or self._facts.is_retired()
        is_joining = self.needs_member_list() and not is_waiting
        longest_s = JOIN_INTERVAL_S if is_joining else CHECK_INTERVAL_S
        return longest_s * random.uniform(0.5, 1)

    async def _check(self) -> None:
        if not self._stored.is_synchronized():
            return
        entry = self._stored.entries.get(LIST_NAME)
        view = _decode_view(entry)
        if view is None:
            return
        if self._facts.is_retired():
            await self._retire(entry, view)
        elif self._own.name not in view.current_names:
            await self._join(entry, view)
        else:
            self._reported_state = ''
            self._is_registered = False
            await self._write(entry, update_member(view, self._own))
            await self._keep_up(entry, view)

    async def _join(self, entry: StoredEntry | None, view: MembersView) -> None:
        changed = self._with_joining(view, [self._own])
        if changed is None:
            return
        if not self._is_registered:
            await self._registrations.register(view)
            self._is_registered = True
            if self._is_first_start:
                # All members start at once. The next check gives the others
                # the time to register, so that one of them adds all.
                return
        if self._is_first_start:
            registered = await self._registrations.members()
            changed = self._with_joining(view, [self._own, *registered])
        await self._write(entry, changed)

    def _with_joining(
        self, view: MembersView, joining: list[StoreMember]
    ) -> MembersView | None:
        return join_members(
            view,
            joining,
            unix_ms(),
            self._lost_disks_max,
            is_first_start=self._is_first_start,
        )

    async def _retire(
        self, entry: StoredEntry | None, view: MembersView
    ) -> None:
        """Leave the list; the VM can be released once no set has this member.

        Until then the other members may have to read its records.
        """
        is_listed = any(self._own.name in item.names for item in view.sets)
        if is_listed:
            await self._report_retirement('running')
            await self._write(entry, leave(view, self._own.name, unix_ms()))
        elif view.sets and self._reported_state != 'done':
            await self._registrations.remove({self._own.name})
            await self._report_retirement('done')

    async def _report_retirement(self, state: str) -> None:
        if state == self._reported_state:
            return
        await self._store.write_status(
            KIND_RETIREMENTS,
            self._own.name,
            {'state': state},
        )
        self._reported_state = state
        _log.info('retirement reported', extra={'state': state})

    async def _keep_up(
        self, entry: StoredEntry | None, view: MembersView
    ) -> None:
        """Remove silent members and drop earlier sets, if this one is to."""
        rank = self._facts.watcher_rank()
        changed = self._due_change(view)
        if changed is None or rank is None:
            self._due_checks = 0
            return
        # The first watcher writes at once, the others if it does not.
        self._due_checks += 1
        if self._due_checks <= 2 * rank:
            return
        await self._write(entry, changed)
        kept = {member.name for member in changed.members}
        gone = {member.name for member in view.members} - kept
        if gone:
            await self._registrations.remove(gone)

    def _due_change(self, view: MembersView) -> MembersView | None:
        """Return the list as it should be, by the first rule that applies."""
        if view.epoch != self._view().epoch:
            return None
        now_ms = unix_ms()
        complete = self._facts.complete_names(view.epoch)
        return (
            settle(view, complete, self._lost_disks_max)
            or expire_sets(view, now_ms, self._facts.retention_ms())
            or remove_unresponsive(
                view, self._facts.pulled(), now_ms, self._lost_disks_max
            )
        )

    async def _write(
        self, entry: StoredEntry | None, changed: MembersView | None
    ) -> None:
        if changed is None:
            return
        spec = member_list_spec(changed)
        if entry is None:
            await self._store.create(KIND_MEMBER_LIST, LIST_NAME, spec)
        else:
            await self._store.replace(KIND_MEMBER_LIST, entry, spec)
        _log.info(
            'list of members changed',
            extra={
                'epoch': changed.epoch,
                'members': sorted(changed.current_names),
                'earlier_sets': [
                    sorted(item.names) for item in changed.sets[:-1]
                ],
            },
        )


def _decode_view(entry: StoredEntry | None) -> MembersView | None:
    """Return the stored list, an empty one if there is none yet."""
    if entry is None:
        return MembersView()
    try:
        return decode_member_list(entry.spec)
    except MALFORMED_JSON as error:
        _log.error('list of members malformed', extra={'error': str(error)})
        return None
