"""Registration of turn store members in the platform's store.

A member writes its own object and removes the objects of unresponsive members.
A member that is retired is first marked as leaving; its retirement is complete
once every other member has pulled all of its records.
"""

import asyncio
import time
from collections.abc import Callable, Mapping
from dataclasses import replace

from rattanvalve.errors import StoreConflictError, StoreError
from rattanvalve.logs import LogPart, part_logger
from rattanvalve.platform.names import KIND_MEMBERS, KIND_RETIREMENTS
from rattanvalve.platform.objects import ObjectStore
from rattanvalve.platform.turnstores import member_spec
from rattanvalve.sharedstate.members import MembersView, StoreMember
from rattanvalve.sharedstate.object_follower import ObjectFollower
from rattanvalve.turnstore.replication import PullState

__all__ = ('Membership', 'unresponsive_members')

CHECK_INTERVAL_S = 0.3
#: A member that has not answered for this long is removed.
UNRESPONSIVE_TIMEOUT_S = 5.0

_log = part_logger(LogPart.TURNS)


def unresponsive_members(
    view: MembersView,
    own_name: str,
    pulled: Mapping[str, PullState],
    now_s: float,
) -> list[str]:
    """Choose the members to remove.

    No member is removed unless this one reaches more than half of all members,
    as this one may itself be cut off by a network partition.

    :param view: all members.
    :param own_name: name of this member.
    :param pulled: replication state of each other member, by name.
    :param now_s: monotonic time in seconds.
    :returns: names of the members to remove.
    """
    unresponsive = [
        name
        for name, state in pulled.items()
        if now_s - state.last_answer_s > UNRESPONSIVE_TIMEOUT_S
    ]
    reached_count = len(view.members) - len(unresponsive)
    return unresponsive if 2 * reached_count > len(view.members) else []


class Membership:
    """Updates the member objects in the platform's store.

    :param own: this member.
    :param store: client of the platform's store.
    :param members: follows the objects of all members.
    :param is_retired: returns whether the operators retire this member.
    :param view: returns the current members.
    :param pulled: returns the replication state of each other member.
    :param pulled_versions: version of the member list at which each other
        member has pulled all records from this one, by name.
    """

    def __init__(
        self,
        own: StoreMember,
        store: ObjectStore,
        members: ObjectFollower,
        is_retired: Callable[[], bool],
        view: Callable[[], MembersView],
        pulled: Callable[[], Mapping[str, PullState]],
        pulled_versions: Mapping[str, int],
    ) -> None:
        self._own = own
        self._store = store
        self._members = members
        self._is_retired = is_retired
        self._view = view
        self._pulled = pulled
        self._pulled_versions = pulled_versions
        self._reported_state = ''
        self._is_drained = False

    async def run(self) -> None:
        """Check and update the objects periodically until cancelled."""
        while True:
            try:
                await self._check()
            except StoreConflictError:
                # Another member wrote first; the next check sees its change.
                _log.debug('member object changed by another member')
            except StoreError as error:
                _log.warning(
                    'member object not written',
                    extra={'error': str(error)},
                )
            await asyncio.sleep(CHECK_INTERVAL_S)

    def needs_member_objects(self) -> bool:
        """Return whether this member has to write or remove its own object.

        :returns: whether the member objects must be followed, even if this
            process is no watcher.
        """
        is_listed = self._own in self._view().members
        return self._is_retired() or not is_listed

    async def _check(self) -> None:
        if not self._members.is_synchronized():
            return
        is_retiring = self._is_retired()
        if is_retiring != self._own.is_leaving:
            self._own = replace(self._own, is_leaving=is_retiring)
            self._reported_state = ''
            self._is_drained = False
        if is_retiring and self._is_drained:
            await self._leave()
            return
        await self._write_own()
        if is_retiring:
            await self._report_retirement('running')
            self._is_drained = self._is_replicated_to_all()
        else:
            await self._remove_unresponsive()

    async def _write_own(self) -> None:
        spec = member_spec(self._own)
        stored = self._members.entries.get(self._own.name)
        if stored is None:
            await self._store.create(KIND_MEMBERS, self._own.name, spec)
            _log.info('member registered', extra={'member': self._own.name})
        elif self._own not in self._view().members:
            await self._store.replace(KIND_MEMBERS, stored, spec)
            _log.info(
                'member changed',
                extra={
                    'member': self._own.name,
                    'is_leaving': self._own.is_leaving,
                },
            )

    async def _leave(self) -> None:
        """Remove the own object, then report that the VM can be released."""
        stored = self._members.entries.get(self._own.name)
        if stored is not None:
            await self._store.delete(KIND_MEMBERS, stored)
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

    def _is_replicated_to_all(self) -> bool:
        view = self._view()
        if self._own not in view.members:
            return False
        others = [member for member in view.members if not member.is_leaving]
        return bool(others) and all(
            self._pulled_versions.get(member.name) == view.version
            for member in others
        )

    async def _remove_unresponsive(self) -> None:
        unresponsive = unresponsive_members(
            self._view(),
            self._own.name,
            self._pulled(),
            time.monotonic(),
        )
        for name in unresponsive:
            entry = self._members.entries.get(name)
            if entry is not None:
                await self._store.delete(KIND_MEMBERS, entry)
                _log.warning(
                    'unresponsive member removed', extra={'member': name}
                )
