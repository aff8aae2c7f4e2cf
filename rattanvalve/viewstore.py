"""The stored view of a cell: read, and change by conditional update."""

from collections.abc import Callable
from dataclasses import dataclass

from rattanvalve.control import ControlContext
from rattanvalve.counters import Counter
from rattanvalve.errors import FrameError, StoreConflictError, StoreError
from rattanvalve.messages import View
from rattanvalve.views import decode_view, encode_view

__all__ = ('ChangeView', 'StoredView', 'ViewStore')

#: Attempts of one change; the next round makes new ones.
ATTEMPT_COUNT = 4

#: Computes the next view from the stored one, or ``None`` for no change.
ChangeView = Callable[[View], View | None]


@dataclass(frozen=True, slots=True, kw_only=True)
class StoredView:
    """A view that was the newest one at a moment.

    ``read_at_s`` is a moment before the store was called.
    """

    view: View
    read_at_s: float


class ViewStore:
    """Access to the object ``view/<cell>``.

    :param context: store, clock and counters.
    """

    def __init__(self, context: ControlContext) -> None:
        self._context = context
        self._key = f'view/{context.cell}'

    async def read(self) -> StoredView:
        """Read the stored view.

        :returns: the view; epoch 0 if none is stored.
        :raises StoreError: if the store does not answer.
        """
        stored, _ = await self._read()
        return stored

    async def change(self, change: ChangeView) -> StoredView:
        """Change the stored view; on a conflict, compute the change again.

        :param change: computes the next view.
        :returns: the view that is stored now.
        :raises StoreError: if the store does not answer.
        :raises StoreConflictError: if all attempts conflicted.
        """
        for _ in range(ATTEMPT_COUNT - 1):
            try:
                return await self._change_once(change)
            except StoreConflictError:
                self._context.metrics.count(Counter.VIEW_CONFLICT)
        return await self._change_once(change)

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
            self._key,
            encode_view(target),
            version,
            target.change_id,
        )
        return StoredView(view=target, read_at_s=began_s)

    async def _read(self) -> tuple[StoredView, int]:
        began_s = self._context.clock()
        stored = await self._context.store.get(self._key)
        view = View(cell=self._context.cell)
        if stored is not None:
            try:
                view = decode_view(stored.body)
            except FrameError as error:
                raise StoreError(f'{self._key}: {error}') from error
        found = StoredView(view=view, read_at_s=began_s)
        return found, stored.version if stored else 0
