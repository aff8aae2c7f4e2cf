"""Reads and conditional updates of the stored view of a cell."""

from collections.abc import Callable
from dataclasses import dataclass

from rattanvalve.control import ControlContext
from rattanvalve.counters import Counter
from rattanvalve.errors import FrameError, StoreConflictError, StoreError
from rattanvalve.logs import LogPart, part_logger
from rattanvalve.messages import View
from rattanvalve.store import StoredObject
from rattanvalve.views import decode_view, encode_view

__all__ = ('ChangeView', 'StoredView', 'ViewStore')

#: Attempts at one change; the next store round retries after that.
ATTEMPT_COUNT = 4

_log = part_logger(LogPart.VIEW)

#: Computes the next view from the stored one, or ``None`` for no change.
ChangeView = Callable[[View], View | None]


@dataclass(frozen=True, slots=True, kw_only=True)
class StoredView:
    """A view that the store held, and when.

    ``read_at_s`` is the time in seconds before the store was called; the view
    was the newest one at that time or later.
    """

    view: View
    read_at_s: float


class ViewStore:
    """Access to the object ``view/<cell>``.

    :param context: store, clock and counters.
    """

    def __init__(self, context: ControlContext) -> None:
        self._context = context
        self.key = f'view/{context.cell}'
        #: Why the stored view cannot be read; empty if it can.
        self.problem = ''
        self.malformed_since_s: float = 0

    async def read(self) -> StoredView:
        """Read the stored view.

        :returns: the view; epoch 0 if none is stored.
        :raises StoreError: if the store does not answer.
        """
        stored, _ = await self._read()
        return stored

    async def change(self, change: ChangeView) -> StoredView:
        """Change the stored view; on a conflict, read it and compute again.

        :param change: computes the next view from the stored one.
        :returns: the view stored after the change, or the one read if there
            is nothing to change.
        :raises StoreError: if the store does not answer.
        :raises StoreConflictError: if all attempts conflicted.
        """
        for _ in range(ATTEMPT_COUNT - 1):
            try:
                return await self._change_once(change)
            except StoreConflictError:
                self._context.metrics.count(Counter.VIEW_CONFLICT)
        return await self._change_once(change)

    def is_malformed(self, stored: StoredObject | None) -> bool:
        """Return whether a stored object does not decode to a view.

        :param stored: object that was read, or ``None`` if there is none.
        :returns: whether decoding fails; ``False`` for ``None``.
        """
        if stored is None:
            return False
        try:
            decode_view(stored.body)
        except FrameError:
            return True
        return False

    async def _change_once(self, change: ChangeView) -> StoredView:
        stored, version = await self._read()
        target = change(stored.view)
        if target is None:
            return stored
        self._context.check(
            target.epoch == stored.view.epoch + 1,
            'a view change must raise the epoch by 1',
        )
        began_s = self._context.clock()
        await self._context.store.put(
            self.key,
            encode_view(target),
            version,
            target.change_id,
        )
        return StoredView(view=target, read_at_s=began_s)

    async def _read(self) -> tuple[StoredView, int]:
        began_s = self._context.clock()
        stored = await self._context.store.get(self.key)
        view = View(cell=self._context.cell)
        if stored is not None:
            try:
                view = decode_view(stored.body)
            except FrameError as error:
                self._report_malformed(str(error))
                raise StoreError(f'{self.key}: {error}') from error
        self.problem = ''
        found = StoredView(view=view, read_at_s=began_s)
        return found, stored.version if stored else 0

    def _report_malformed(self, text: str) -> None:
        if not self.problem:
            self.malformed_since_s = self._context.clock()
            self._context.metrics.count(Counter.VIEW_MALFORMED)
            _log.error('stored view is malformed: %s', text)
        self.problem = f'the stored view is malformed: {text}'
