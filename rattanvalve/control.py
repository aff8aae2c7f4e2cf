"""Dependencies shared by the controllers of one process."""

import asyncio
import random
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

from rattanvalve.blackboard import Blackboard
from rattanvalve.channels import Address
from rattanvalve.counters import Metrics
from rattanvalve.errors import InvariantError
from rattanvalve.store import StoredObject

__all__ = (
    'Call',
    'ControlContext',
    'Store',
    'sleep_or_wake',
)

#: Sends a message to a peer: address, message, timeout in seconds.
Call = Callable[[Address, Any, float], Awaitable[Any]]


class Store(Protocol):
    """Interface of :class:`rattanvalve.store.StoreClient`."""

    async def get(self, key: str) -> StoredObject | None:
        """Read an object; ``None`` if there is none."""

    async def put(
        self,
        key: str,
        body: bytes,
        expected_version: int,
        change_id: str,
    ) -> int:
        """Write an object if its version is the expected one.

        Returns the new version.
        """

    async def watch(
        self,
        key: str,
        version: int,
        timeout_s: float,
    ) -> StoredObject | None:
        """Wait for a newer version; ``None`` after the timeout."""


#: Called with a generation and the address of the peer that has it.
ObserveGeneration = Callable[[int, Address], None]


@dataclass(slots=True, kw_only=True)
class ControlContext:
    """Dependencies of the controllers of one entry process.

    ``clock`` returns monotonic seconds; ``sleep`` takes seconds. Tests replace
    both to run in simulated time. ``retire`` closes the idle connections to a
    process that is about to end. The configuration controller sets
    ``observe_generation``, and the view controller calls it. The view
    controller sets ``request_heartbeat``, which starts a heartbeat round at
    once, and the configuration controller calls it.
    """

    cell: str
    blackboard: Blackboard
    store: Store
    call: Call
    metrics: Metrics
    retire: Callable[[Address], None] = lambda _address: None
    seed_peers: tuple[Address, ...] = ()
    clock: Callable[[], float] = time.monotonic
    sleep: Callable[[float], Awaitable[None]] = asyncio.sleep
    random_source: random.Random = field(default_factory=random.Random)
    observe_generation: ObserveGeneration = lambda _generation, _address: None
    request_heartbeat: Callable[[], None] = lambda: None

    def check(self, is_valid: bool, text: str) -> None:
        """Assert an invariant of the product.

        :param is_valid: whether the invariant holds.
        :param text: message of the error.
        :raises InvariantError: if the invariant does not hold.
        """
        if not is_valid:
            raise InvariantError(text)


async def sleep_or_wake(
    sleep: Callable[[float], Awaitable[None]],
    delay_s: float,
    wake: asyncio.Event,
) -> None:
    """Wait until a delay has passed or an event is set.

    :param sleep: waits for a number of seconds.
    :param delay_s: longest wait in seconds; a negative one counts as 0.
    :param wake: event that ends the wait early.
    """
    pause = asyncio.ensure_future(sleep(max(0, delay_s)))
    woken = asyncio.ensure_future(wake.wait())
    try:
        await asyncio.wait((pause, woken), return_when=asyncio.FIRST_COMPLETED)
    finally:
        pause.cancel()
        woken.cancel()
