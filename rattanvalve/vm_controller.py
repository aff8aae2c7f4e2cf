"""Controller that polls the platform's list of VMs for hints.

A hint excludes an endpoint from placement while other endpoints are available.
It never changes the view, as the list lags behind and may omit VMs or give
them a wrong state.
"""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress

import aiohttp
import msgspec

from rattanvalve.channels import Address, Handler, Send
from rattanvalve.control import ControlContext
from rattanvalve.counters import Counter
from rattanvalve.errors import PeerError
from rattanvalve.loads import EndpointLoads
from rattanvalve.logs import LogPart, part_logger
from rattanvalve.messages import Document, Member, Pull
from rattanvalve.rendezvous import rank
from rattanvalve.views import endpoints_of, entries_of

__all__ = ('PULL_VMS', 'FetchVms', 'VmController', 'make_vm_fetcher')

PULL_VMS = 'vms'
#: Entries of a cell that poll the list; the others pull it from them.
WATCHER_COUNT = 2
POLL_INTERVAL_S = 5.0
FETCH_TIMEOUT_S = 2.0
PULL_TIMEOUT_S = 1.0
MAX_LIST_BYTES = 1024 * 1024
_LEAVING = 'leaving'
_MS_PER_S = 1000

#: Reads the list; raises ``OSError`` or ``aiohttp.ClientError``.
FetchVms = Callable[[], Awaitable[bytes]]

_log = part_logger(LogPart.VIEW)


class _Vm(msgspec.Struct):
    name: str
    state: str


class _VmList(msgspec.Struct):
    vms: list[_Vm]


class _Hints(msgspec.Struct):
    """Answer of a watcher: endpoints listed as leaving, age of the list read.

    ``age_ms`` is relative to the time at which the answer was made.
    """

    age_ms: int
    leaving: list[str]


def make_vm_fetcher(url: str, session: aiohttp.ClientSession) -> FetchVms:
    """Return a function that fetches the list over HTTP.

    :param url: base URL of the platform API, without ``/v1/vms``.
    :param session: HTTP session; the caller closes it.
    :returns: function without parameters that returns the JSON body, cut
        after ``MAX_LIST_BYTES``.
    """

    async def fetch() -> bytes:
        async with (
            asyncio.timeout(FETCH_TIMEOUT_S),
            session.get(f'{url.rstrip("/")}/v1/vms') as response,
        ):
            response.raise_for_status()
            return await response.content.read(MAX_LIST_BYTES)

    return fetch


class VmController:
    """Keeps the hints of the endpoint loads current.

    :param member: this entry process.
    :param context: peers, clock, blackboard and counters.
    :param loads: endpoint loads whose hints are updated.
    :param fetch: fetches the list, or ``None`` if no list is configured.
    """

    def __init__(
        self,
        member: Member,
        context: ControlContext,
        loads: EndpointLoads,
        fetch: FetchVms | None,
    ) -> None:
        #: Why this process cannot read the list; empty if it can.
        self.problem = ''
        self._member = member
        self._context = context
        self._loads = loads
        self._fetch = fetch
        self._leaving: list[str] = []
        self._read_at_s = float('-inf')

    def handlers(self) -> dict[type, Handler]:
        """Return the handlers of messages from peers.

        :returns: handler of ``Pull(kind='vms')``.
        """
        return {Pull: self._answer_pull}

    async def run(self) -> None:
        """Poll until cancelled; return at once if no list is configured."""
        while self._fetch is not None:
            await self.poll()
            jitter = self._context.random_source.uniform(0.8, 1)
            await self._context.sleep(POLL_INTERVAL_S * jitter)

    async def poll(self) -> None:
        """Read the list if this is a watcher, else pull it from a watcher."""
        watchers = self._watchers()
        if any(watcher.name == self._member.name for watcher in watchers):
            await self._read_list()
            return
        for watcher in watchers:
            with suppress(PeerError, msgspec.MsgspecError):
                if await self._pull_from(watcher):
                    return

    def _watchers(self) -> list[Member]:
        members = {
            member.name: member
            for member in entries_of(self._context.blackboard.view)
        }
        order = rank(f'vms/{self._context.cell}', members)
        return [members[name] for name in order[:WATCHER_COUNT]]

    async def _read_list(self) -> None:
        began_s = self._context.clock()
        try:
            listed = msgspec.json.decode(await self._fetch(), type=_VmList)
        except (aiohttp.ClientError, OSError, msgspec.MsgspecError) as error:
            self._context.metrics.count(Counter.VM_LIST_ERROR)
            self.problem = 'the VM list cannot be read'
            _log.warning('cannot read the VM list: %r', error)
            return
        self.problem = ''
        endpoints = {
            member.name
            for member in endpoints_of(self._context.blackboard.view)
        }
        leaving = {vm.name for vm in listed.vms if vm.state == _LEAVING}
        self._set_hints(sorted(leaving & endpoints), began_s)

    async def _pull_from(self, watcher: Member) -> bool:
        began_s = self._context.clock()
        document = await self._context.call(
            Address(watcher.host, watcher.port),
            Pull(kind=PULL_VMS, newer_than=0),
            PULL_TIMEOUT_S,
        )
        if not isinstance(document, Document) or not document.body:
            return False
        hints = msgspec.json.decode(document.body, type=_Hints)
        self._set_hints(hints.leaving, began_s - hints.age_ms / _MS_PER_S)
        return True

    def _set_hints(self, leaving: list[str], read_at_s: float) -> None:
        if read_at_s >= self._read_at_s:
            self._leaving = leaving
            self._read_at_s = read_at_s
            self._loads.hints.replace_hints(leaving, read_at_s)

    async def _answer_pull(self, message: Pull, send: Send) -> None:
        age_s = self._context.clock() - self._read_at_s
        hints = _Hints(
            age_ms=int(min(age_s, 1e6) * _MS_PER_S),
            leaving=self._leaving,
        )
        is_known = self._read_at_s > float('-inf')
        body = msgspec.json.encode(hints) if is_known else b''
        await send(Document(kind=PULL_VMS, version=0, body=body))
