"""Repair of a malformed stored view on request of an operator."""

from rattanvalve.confirmations import LEASE_S
from rattanvalve.control import ControlContext
from rattanvalve.logs import LogPart, part_logger
from rattanvalve.views import encode_view
from rattanvalve.viewstate import ViewState
from rattanvalve.viewstore import StoredView, ViewStore

__all__ = ('ViewRepair',)

_log = part_logger(LogPart.VIEW)


class ViewRepair:
    """Replaces a malformed stored view with the adopted one.

    The epoch stays the same: promises made to peers while the view cannot be
    read forbid to adopt a newer one.

    :param context: store and clock.
    :param state: adopted view.
    :param store: access to the stored view.
    """

    def __init__(
        self,
        context: ControlContext,
        state: ViewState,
        store: ViewStore,
    ) -> None:
        self._context = context
        self._state = state
        self._store = store
        self._requested_since_s: float | None = None

    @property
    def problem(self) -> str:
        """Why the stored view cannot be read; empty if it can."""
        return self._store.problem

    def request(self) -> None:
        """Request the replacement of the stored view if it is malformed."""
        self._requested_since_s = self._store.malformed_since_s

    def is_due(self) -> bool:
        """Return whether the stored view is to be replaced now.

        Another process may have written and adopted a newer view that was
        then overwritten. The repair waits ``LEASE_S``, after which the
        confirmation of that process has expired.

        :returns: whether a repair was requested for the current fault, the
            adopted view is the newest one known, and it lists this process.
        """
        since_s = self._store.malformed_since_s
        is_requested = bool(self.problem) and self._requested_since_s == since_s
        return (
            is_requested
            and self._context.clock() - since_s >= LEASE_S
            and self._state.knows_newest()
            and self._state.is_listed(self._state.view)
        )

    async def attempt(self) -> None:
        """Replace the stored view and confirm the adopted one.

        :raises StoreError: if the store does not answer.
        :raises StoreConflictError: if another process has replaced it.
        """
        self._requested_since_s = None
        began_s = self._context.clock()
        stored = await self._context.store.get(self._store.key)
        view = self._state.view
        if not self._store.is_malformed(stored):
            return
        await self._context.store.put(
            self._store.key,
            encode_view(view),
            stored.version,
            view.change_id,
        )
        self._store.problem = ''
        self._state.apply_stored(StoredView(view=view, read_at_s=began_s))
        _log.warning('replaced a malformed view with epoch %s', view.epoch)
