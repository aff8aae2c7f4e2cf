"""State of an entry process, and of all entries of its cell."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import msgspec

from rattanvalve import views
from rattanvalve.actmode import ActMode
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
    """Describes an entry process."""

    settings: EntrySettings
    parts: EntryParts
    more_problems: Callable[[], list[str]] = list

    def describe(self) -> dict[str, Any]:
        """Describe the process and its cell.

        :returns: JSON object; ``problems`` names current problems.
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
        """Describe all entries of the view.

        :returns: JSON object with ``entries`` and ``unreachable``.
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
            (mode is not ActMode.FULL, f'act mode {mode.name.lower()}'),
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
            *self.more_problems(),
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
    """Make the handler of ``Pull(kind='status')``.

    :param describe: describes this process.
    :returns: the handler.
    """

    async def answer(_message: Pull, send: Send) -> None:
        body = msgspec.json.encode(describe())
        await send(Document(kind=PULL_STATUS, version=0, body=body))

    return answer


async def collect_status(
    view: View,
    own_name: str,
    describe: Callable[[], dict[str, Any]],
    call: Call,
) -> dict[str, Any]:
    """Ask all entries of a view for their state.

    :param view: view of the cell.
    :param own_name: this process, which is asked directly.
    :param describe: describes this process.
    :param call: sends a message to a peer.
    :returns: JSON object: ``entries`` lists the states in name order,
        ``unreachable`` the names of entries that did not answer.
    """
    members = sorted(views.entries_of(view), key=lambda member: member.name)
    found = await asyncio.gather(
        *(
            _ready(describe())
            if member.name == own_name
            else _ask(member, call)
            for member in members
        ),
    )
    answers = dict(zip(members, found, strict=True))
    return {
        'entries': [state for state in found if state is not None],
        'unreachable': [
            member.name for member, state in answers.items() if state is None
        ],
    }


async def _ask(member: Member, call: Call) -> dict[str, Any] | None:
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


def _ready(state: dict[str, Any]) -> Awaitable[dict[str, Any]]:
    future = asyncio.get_running_loop().create_future()
    future.set_result(state)
    return future
