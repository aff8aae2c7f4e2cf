"""What the administration API of an entry process acts on and shows."""

import asyncio
import time
from dataclasses import dataclass
from functools import partial
from typing import Any

import msgspec

from rattanvalve import views
from rattanvalve.actmode import ActMode
from rattanvalve.admin_api import AdminContext
from rattanvalve.audit import read_audit, write_audit
from rattanvalve.counters import Counter
from rattanvalve.entry_parts import EntryParts
from rattanvalve.errors import PeerError
from rattanvalve.messages import Document, Explain
from rattanvalve.peers import Address
from rattanvalve.settings import EntrySettings

__all__ = ('make_admin_context',)

EXPLAIN_TIMEOUT_S = 5.0


def make_admin_context(
    settings: EntrySettings,
    parts: EntryParts,
) -> AdminContext:
    """Build the context of the administration API.

    :param settings: settings of the process.
    :param parts: its parts.
    :returns: the context.
    """
    shared = parts.shared
    store = shared.store
    inspector = _Inspector(settings, parts)
    return AdminContext(
        blackboard=shared.blackboard,
        metrics=shared.metrics,
        operators=settings.admin_key_digests,
        viewers=frozenset(settings.admin_viewers),
        apply=parts.config_controller.apply,
        refresh=parts.config_controller.refresh,
        status=inspector.status,
        explain=inspector.explain,
        record=partial(write_audit, store),
        audit=inspector.audit,
    )


@dataclass(frozen=True, slots=True)
class _Inspector:
    """Describes the process, its cell and the programs of the cell."""

    settings: EntrySettings
    parts: EntryParts

    def status(self) -> dict[str, Any]:
        """Describe the process and its cell.

        :returns: JSON object; ``problems`` names what is unwell and why.
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

    async def explain(
        self,
        workspace: str,
        program_id: str,
        request_id: str,
    ) -> dict[str, Any]:
        """Ask owners what they know about a program or a request.

        The shard of a request follows from its program, so that without the
        program all shards of the workspace are asked.

        :param workspace: workspace name.
        :param program_id: program id, or an empty string.
        :param request_id: request id or idempotency key, or an empty string.
        :returns: JSON object that also names the owner.
        """
        catalog = self.parts.shared.blackboard.catalog
        shards = range(catalog.shard_counts.get(workspace, 1))
        if program_id:
            shard = catalog.shard_of(workspace, program_id)
            shards = range(shard, shard + 1)
        answers = await asyncio.gather(
            *(
                self._explain_shard(
                    Explain(
                        workspace=workspace,
                        shard=shard,
                        program_id=program_id,
                        request_id=request_id,
                    ),
                )
                for shard in shards
            ),
        )
        # What is known comes first, then an owner that does not answer.
        return max(answers, key=_knowledge)

    async def audit(self, last: int) -> list[dict[str, Any]]:
        """Read the newest audit records.

        :param last: how many.
        :returns: JSON objects, newest first.
        """
        shared = self.parts.shared
        newest = shared.blackboard.catalog.generation
        return await read_audit(shared.store, newest, last)

    async def _explain_shard(self, message: Explain) -> dict[str, Any]:
        owner = views.owner_of(
            self.parts.shared.blackboard.view,
            message.workspace,
            message.shard,
        )
        found = {'owner': owner, 'shard': message.shard}
        document = await self._ask_owner(owner, message)
        if isinstance(document, Document):
            found['known'] = msgspec.json.decode(document.body)
        else:
            found['problem'] = 'the owner does not answer'
        return found

    async def _ask_owner(self, owner: str, message: Explain) -> Any:
        if owner == self.settings.name:
            return await self.parts.owner_service.explain(message)
        shared = self.parts.shared
        member = views.member_of(shared.blackboard.view, owner)
        if member is None:
            return None
        try:
            return await shared.pool.call(
                Address(member.host, member.port),
                message,
                EXPLAIN_TIMEOUT_S,
            )
        except PeerError:
            return None

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
        problems = [text for applies, text in checks if applies]
        problems.extend(
            f'endpoint {row["endpoint"]} is {row["state"]}'
            for row in endpoints
            if row['state'] != 'ready'
        )
        return problems


def _knowledge(answer: dict[str, Any]) -> tuple[bool, bool]:
    return bool(answer.get('known')), 'problem' in answer
