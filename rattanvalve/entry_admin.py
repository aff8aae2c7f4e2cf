"""Context and lookups of the administration API of an entry process."""

import asyncio
from dataclasses import dataclass
from functools import partial
from typing import Any

import msgspec

from rattanvalve import views
from rattanvalve.admin_requests import AdminContext
from rattanvalve.audit import read_audit, write_audit
from rattanvalve.channels import Address
from rattanvalve.entry_parts import EntryParts
from rattanvalve.entry_status import EntryStatus
from rattanvalve.errors import PeerError
from rattanvalve.messages import Document, Explain
from rattanvalve.settings import EntrySettings

__all__ = ('make_admin_context',)

EXPLAIN_TIMEOUT_S = 5.0


def make_admin_context(
    settings: EntrySettings,
    parts: EntryParts,
    status: EntryStatus,
) -> AdminContext:
    """Build the context of the administration API.

    :param settings: settings of the process.
    :param parts: controllers and owner role of the process.
    :param status: source of the status documents.
    :returns: callbacks and state for the handlers of the API.
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
        status=status.describe,
        status_of_all=status.describe_all,
        explain=inspector.explain,
        begin_repair=partial(_begin_repair, parts),
        record=partial(write_audit, store),
        audit=inspector.audit,
    )


def _begin_repair(parts: EntryParts) -> bool:
    parts.view_controller.repair.request()
    return bool(parts.config_controller.problem)


@dataclass(frozen=True, slots=True)
class _Inspector:
    """Looks up programs of the cell and audit records of its configuration."""

    settings: EntrySettings
    parts: EntryParts

    async def explain(
        self,
        workspace: str,
        program_id: str,
        request_id: str,
    ) -> dict[str, Any]:
        """Query owners for their state of a program or a request.

        The program determines the shard, so without a program id the owners
        of all shards of the workspace are queried.

        :param workspace: workspace name.
        :param program_id: program id, or an empty string.
        :param request_id: request id or idempotency key, or an empty string.
        :returns: JSON object with ``owner``, ``shard`` and either ``known`` or
            ``problem``.
        """
        catalog = self.parts.shared.blackboard.catalog
        shards = range(catalog.shard_counts.get(workspace, 1))
        if program_id:
            shard = catalog.shard_of(workspace, program_id)
            shards = range(shard, shard + 1)
        answers = await asyncio.gather(
            *(
                self._query_shard(
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
        # A non-empty result is preferred, then the report of an owner that did
        # not respond.
        return max(answers, key=_answer_rank)

    async def audit(self, last: int) -> list[dict[str, Any]]:
        """Read the newest audit records.

        :param last: largest number of records.
        :returns: JSON objects, newest first.
        """
        shared = self.parts.shared
        newest = shared.blackboard.catalog.generation
        return await read_audit(shared.store, newest, last)

    async def _query_shard(self, message: Explain) -> dict[str, Any]:
        owner = views.owner_of(
            self.parts.shared.blackboard.view,
            message.workspace,
            message.shard,
        )
        answer = {'owner': owner, 'shard': message.shard}
        document = await self._query_owner(owner, message)
        if isinstance(document, Document):
            answer['known'] = msgspec.json.decode(document.body)
        else:
            answer['problem'] = 'the owner does not answer'
        return answer

    async def _query_owner(self, owner: str, message: Explain) -> Any:
        if owner == self.settings.name:
            return await self.parts.owner_service.explain(message)
        shared = self.parts.shared
        member = views.find_member(shared.blackboard.view, owner)
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


def _answer_rank(answer: dict[str, Any]) -> tuple[bool, bool]:
    return bool(answer.get('known')), 'problem' in answer
