"""Membership of this process in the turn store, kept in the platform's store.

A member writes its own object, and removes those of members that nobody has
reached for long. A member that is to be retired is first marked as leaving;
it is done once every other member has pulled what it has.
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
from rattanvalve.sharedstate.following import ObjectFollower
from rattanvalve.sharedstate.members import MembersView, StoreMember
from rattanvalve.turnstore.replication import PullState

__all__ = ('Membership', 'silent_members')

CHECK_INTERVAL_S = 0.3
#: A member that was not reached for this long is replaced by others.
SILENT_LIMIT_S = 5.0

_log = part_logger(LogPart.TURNS)


def silent_members(
    view: MembersView,
    own_name: str,
    pulled: Mapping[str, PullState],
    now_s: float,
) -> list[str]:
    """Choose the members to remove.

    None is removed unless this member reaches more than half of all, as it
    may itself be the one that is cut off.

    :param view: all members.
    :param own_name: name of this member.
    :param pulled: when each other member was last reached.
    :param now_s: monotonic time in seconds.
    :returns: names.
    """
    silent = [
        name
        for name, state in pulled.items()
        if now_s - state.reached_s > SILENT_LIMIT_S
    ]
    reached_count = len(view.members) - len(silent)
    return silent if 2 * reached_count > len(view.members) else []


class Membership:
    """Keeps the member objects in line with what this process sees.

    :param own: this member.
    :param store: client of the platform's store.
    :param members: follows the objects of all members.
    :param is_retired: whether the operators retire this member.
    :param view: gives the members.
    :param pulled: gives how far each other member was pulled.
    :param pulled_versions: gives the version of the members with which each
        other member has pulled everything from here.
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
        self._written_status = ''
        self._is_emptied = False

    async def run(self) -> None:
        """Keep the objects until cancelled."""
        while True:
            try:
                await self._check()
            except StoreConflictError:
                # Another member was faster; the next check sees its change.
                _log.debug('member object changed meanwhile')
            except StoreError as error:
                _log.warning(
                    'member object not written',
                    extra={'error': str(error)},
                )
            await asyncio.sleep(CHECK_INTERVAL_S)

    def needs_objects(self) -> bool:
        """Return whether this member has to change its own object.

        :returns: whether the objects of the members are to be followed.
        """
        is_listed = self._own in self._view().members
        return self._is_retired() or not is_listed

    async def _check(self) -> None:
        if not self._members.is_reached():
            return
        is_retiring = self._is_retired()
        if is_retiring != self._own.is_leaving:
            self._own = replace(self._own, is_leaving=is_retiring)
            self._written_status = ''
            self._is_emptied = False
        if is_retiring and self._is_emptied:
            await self._leave()
            return
        await self._write_own()
        if is_retiring:
            await self._report('running')
            self._is_emptied = self._is_pulled_by_all()
        else:
            await self._remove_silent()

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
        """Remove the own object, and only then let the VM be taken away."""
        stored = self._members.entries.get(self._own.name)
        if stored is not None:
            await self._store.delete(KIND_MEMBERS, stored)
        await self._report('done')

    async def _report(self, state: str) -> None:
        if state == self._written_status:
            return
        await self._store.write_status(
            KIND_RETIREMENTS,
            self._own.name,
            {'state': state},
        )
        self._written_status = state
        _log.info('retirement reported', extra={'state': state})

    def _is_pulled_by_all(self) -> bool:
        view = self._view()
        if self._own not in view.members:
            return False
        others = [member for member in view.members if not member.is_leaving]
        return bool(others) and all(
            self._pulled_versions.get(member.name) == view.version
            for member in others
        )

    async def _remove_silent(self) -> None:
        silent = silent_members(
            self._view(),
            self._own.name,
            self._pulled(),
            time.monotonic(),
        )
        for name in silent:
            entry = self._members.entries.get(name)
            if entry is not None:
                await self._store.delete(KIND_MEMBERS, entry)
                _log.warning('silent member removed', extra={'member': name})
