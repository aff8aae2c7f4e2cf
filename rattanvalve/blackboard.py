"""State that the controllers of one process share."""

import asyncio
from dataclasses import dataclass, field

from rattanvalve.catalog import Catalog
from rattanvalve.messages import View

__all__ = ('Blackboard', 'Readiness')


@dataclass(slots=True)
class Readiness:
    """Whether the process accepts new callers."""

    is_started: bool = False
    is_stopping: bool = False

    def is_ready(self) -> bool:
        """Return whether the process accepts new work.

        :returns: whether the process has started and is not stopping.
        """
        return self.is_started and not self.is_stopping


@dataclass(slots=True)
class Blackboard:
    """Newest known state; each field has a single writer.

    ``catalog`` is written by the configuration controller, ``view`` by the
    view controller, ``readiness`` by the start and the shutdown of the
    process. Writers call :meth:`publish`; readers wait for a change in
    :meth:`wait_changed`.
    """

    catalog: Catalog = field(default_factory=Catalog)
    view: View = field(default_factory=View)
    readiness: Readiness = field(default_factory=Readiness)
    is_store_reachable: bool = False
    _changed: asyncio.Event = field(default_factory=asyncio.Event)

    def publish(self) -> None:
        """Wake all tasks that wait for a change."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait_changed(self) -> None:
        """Wait for the next :meth:`publish`; earlier ones do not count."""
        await self._changed.wait()
