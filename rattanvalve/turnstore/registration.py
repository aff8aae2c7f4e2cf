"""Registrations of turn stores in the platform's store."""

from collections.abc import Collection
from contextlib import suppress

from rattanvalve.errors import StoreConflictError
from rattanvalve.logs import LogPart, part_logger
from rattanvalve.platform.names import KIND_MEMBERS
from rattanvalve.platform.objects import ObjectStore
from rattanvalve.platform.turnstores import (
    decode_registration,
    registered_member,
    registration_spec,
)
from rattanvalve.sharedstate.members import MembersView, StoreMember
from rattanvalve.turnstore.memberstate import MemberState

__all__ = ('Registrations',)

_log = part_logger(LogPart.TURNS)


class Registrations:
    """Reads and writes the registrations for one turn store.

    :param own: this member.
    :param store: client of the platform's store.
    :param state: durable record of this member.
    """

    def __init__(
        self, own: StoreMember, store: ObjectStore, state: MemberState
    ) -> None:
        self._own = own
        self._store = store
        self._state = state

    async def register(self, view: MembersView) -> None:
        """Write the own registration; find out whether the disk is intact.

        A name that was neither registered nor listed before, or only by this
        data folder, has acknowledged nothing that could be lost.

        :param view: stored list of members.
        :raises StoreError: if the store does not answer.
        :raises OSError: if the disk cannot be written.
        """
        record = self._state.record
        # The id must be on the disk before it is in the registration.
        self._state.update(disk_id=record.disk_id)
        is_own = True
        try:
            await self._store.create(
                KIND_MEMBERS,
                self._own.name,
                registration_spec(self._own, record.disk_id),
            )
        except StoreConflictError:
            if record.is_intact:
                return
            is_own = await self._is_registered_here()
        else:
            _log.info('member registered', extra={'member': self._own.name})
        is_listed = any(self._own.name in item.names for item in view.sets)
        if is_own and not is_listed and not record.is_intact:
            self._state.update(is_intact=True)

    async def members(self) -> list[StoreMember]:
        """List the registered turn stores.

        :returns: turn stores with a readable registration.
        :raises StoreError: if the store does not answer.
        """
        listed = await self._store.list_objects(KIND_MEMBERS)
        found = map(registered_member, listed.written)
        return [member for member in found if member is not None]

    async def remove(self, names: Collection[str]) -> None:
        """Delete registrations.

        :param names: names of turn stores.
        :raises StoreError: if the store does not answer.
        """
        listed = await self._store.list_objects(KIND_MEMBERS)
        for entry in listed.written:
            if entry.name in names:
                with suppress(StoreConflictError):
                    # It has registered again, so it is wanted.
                    await self._store.delete(KIND_MEMBERS, entry)

    async def _is_registered_here(self) -> bool:
        listed = await self._store.list_objects(KIND_MEMBERS)
        for entry in listed.written:
            found = decode_registration(entry)
            if entry.name == self._own.name and found is not None:
                return found.disk_id == self._state.record.disk_id
        return False
