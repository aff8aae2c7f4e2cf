"""Status documents of an entry process and of all entries of its cell."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import msgspec

from rattanvalve import views
from rattanvalve.admission_mode import AdmissionMode
from rattanvalve.channels import Address, Handler, Send
from rattanvalve.control import Call
from rattanvalve.counters import Counter
from rattanvalve.entry_parts import EntryParts
from rattanvalve.errors import PeerError
from rattanvalve.messages import Document, Member, Pull, View
from rattanvalve.settings import EntrySettings

__all__ = ('PULL_STATUS', 'EntryStatus', 'collect_status', 'status_handler')

PULL_STATUS = 'status'
PULL_TIMEOUT_S = 2.0


@dataclass(frozen=True, slots=True)
class EntryStatus:
    """Builds the status document of an entry process.

    ``extra_problems`` returns further problem texts; empty ones are skipped.
    """

    settings: EntrySettings
    parts: EntryParts
    extra_problems: Callable[[], list[str]] = list

    def describe(self) -> dict[str, Any]:
        """Return the status of the process, its view and its endpoints.

        :returns: JSON object; ``problems`` lists the current problems.
        """
        now_s = time.monotonic()
        blackboard = self.parts.shared.blackboard
        endpoints = self.parts.loads.rows(now_s)
        return {
            'name': self.settings.name,
            'cell': self.settings.cell,
            'zone': self.settings.zone,
            'epoch': blackboard.view.epoch,
            'generation': blackboard.catalog.generation,
            'act_mode': self.parts.confirmation.mode(now_s).name.lower(),
            'entries': [
                {'name': member.name, 'zone': member.zone}
                for member in views.entries_of(blackboard.view)
            ],
            'endpoints': endpoints,
            'counters': dict(sorted(self.parts.shared.metrics.counts.items())),
            'problems': self._problems(now_s, endpoints),
        }

    async def describe_all(self) -> dict[str, Any]:
        """Collect the status of all entries of the view.

        :returns: JSON object of :func:`collect_status`.
        """
        return await collect_status(
            self.parts.shared.blackboard.view,
            self.settings.name,
            self.describe,
            self.parts.shared.pool.call,
        )

    def _problems(
        self,
        now_s: float,
        endpoints: list[dict[str, Any]],
    ) -> list[str]:
        shared = self.parts.shared
        mode = self.parts.confirmation.mode(now_s)
        violated = shared.metrics.counts[Counter.INVARIANT_VIOLATED]
        checks = (
            (
                not shared.blackboard.is_store_reachable,
                'the store cannot be reached',
            ),
            (mode is not AdmissionMode.FULL, f'act mode {mode.name.lower()}'),
            (
                not shared.blackboard.catalog.generation,
                'there is no configuration yet',
            ),
            (violated > 0, f'{violated} invariant violations'),
        )
        reported = (
            self.parts.config_controller.problem,
            self.parts.view_controller.repair.problem,
            self.parts.vm_controller.problem,
            *self.extra_problems(),
        )
        return [
            *(text for applies, text in checks if applies),
            *(text for text in reported if text),
            *(
                f'endpoint {row["endpoint"]} is {row["state"]}'
                for row in endpoints
                if row['state'] != 'ready'
            ),
        ]


def status_handler(describe: Callable[[], dict[str, Any]]) -> Handler:
    """Create the handler of ``Pull(kind='status')``.

    :param describe: returns the status of this process.
    :returns: handler that sends the status as a ``Document``.
    """

    async def send_status(_message: Pull, send: Send) -> None:
        body = msgspec.json.encode(describe())
        await send(Document(kind=PULL_STATUS, version=0, body=body))

    return send_status


async def collect_status(
    view: View,
    own_name: str,
    describe: Callable[[], dict[str, Any]],
    call: Call,
) -> dict[str, Any]:
    """Collect the status of all entries of a view concurrently.

    :param view: view of the cell.
    :param own_name: name of this process, which needs no message.
    :param describe: returns the status of this process.
    :param call: sends a message to a peer and returns its response.
    :returns: JSON object: ``entries`` lists the statuses in name order,
        ``unreachable`` the names of entries that did not respond in time.
    """
    members = sorted(views.entries_of(view), key=lambda member: member.name)
    states = await asyncio.gather(
        *(
            _completed_future(describe())
            if member.name == own_name
            else _fetch_status(member, call)
            for member in members
        ),
    )
    state_by_member = dict(zip(members, states, strict=True))
    return {
        'entries': [state for state in states if state is not None],
        'unreachable': [
            member.name
            for member, state in state_by_member.items()
            if state is None
        ],
    }


async def _fetch_status(member: Member, call: Call) -> dict[str, Any] | None:
    try:
        document = await call(
            Address(member.host, member.port),
            Pull(kind=PULL_STATUS, newer_than=0),
            PULL_TIMEOUT_S,
        )
        if isinstance(document, Document):
            return msgspec.json.decode(document.body, type=dict[str, Any])
    except (PeerError, msgspec.MsgspecError):
        return None
    return None


def _completed_future(state: dict[str, Any]) -> Awaitable[dict[str, Any]]:
    future = asyncio.get_running_loop().create_future()
    future.set_result(state)
    return future
