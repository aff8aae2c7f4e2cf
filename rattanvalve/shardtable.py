"""Table of the shards of an owner: lookup, rebuild, export and import."""

from collections import defaultdict
from collections.abc import Collection, Iterable

import msgspec

from rattanvalve import outcomes
from rattanvalve.admission_mode import AdmissionMode
from rattanvalve.messages import RecordSummary
from rattanvalve.ownercontext import OwnerContext
from rattanvalve.ratelimit import Bucket
from rattanvalve.shardstate import (
    MissingEndpoint,
    SealState,
    Shard,
    ShardPart,
    add_records,
    export_parts,
    import_parts,
)

__all__ = ('HALF_RATE_MAX_S', 'ShardName', 'ShardTable')

#: Time in seconds for which a successor that could not seal every endpoint
#: admits at half the rate. It equals the time for which an isolated owner may
#: admit without a confirmation.
HALF_RATE_MAX_S = 3900.0
_HALF = 0.5

ShardName = tuple[str, int]


class ShardTable:
    """Shards that one entry process owns, by workspace and shard index."""

    def __init__(self) -> None:
        self.shards: dict[ShardName, Shard] = {}
        #: Seal state of shards that are first used after the last takeover.
        self.seal = SealState()
        self._parts: dict[tuple[str, int, float], dict[int, ShardPart]] = {}

    def find(self, workspace: str, shard: int) -> Shard | None:
        """Return a shard that was used, rebuilt or imported.

        :param workspace: workspace name.
        :param shard: shard index.
        :returns: the shard, or ``None`` if it is not in the table.
        """
        return self.shards.get((workspace, shard))

    def get_or_create(
        self,
        name: ShardName,
        context: OwnerContext,
        now_s: float,
    ) -> Shard:
        """Return a shard, created if needed, and set its current rate.

        The rate and burst are halved in half mode, and while an endpoint that
        the takeover missed is unsealed.

        :param name: workspace and shard index.
        :param context: configuration and admission mode.
        :param now_s: current time in seconds.
        :returns: the shard.
        """
        rate = context.catalog.rate_of_shard(name[0])
        shard = self.shards.get(name)
        if shard is None:
            bucket = Bucket(rate.rate_per_s, rate.burst, now_s)
            if self.seal.is_level_known:
                bucket.restore((), now_s)
            shard = Shard(bucket=bucket, seal=self.seal)
            self.shards[name] = shard
        is_half_rate = (
            context.mode is AdmissionMode.HALF
            or _has_unsealed_endpoint(shard.seal, now_s)
        )
        factor = _HALF if is_half_rate else 1
        shard.bucket.configure(
            rate.rate_per_s * factor,
            rate.burst * factor,
            now_s,
        )
        return shard

    def mode_of(
        self,
        name: ShardName,
        mode: AdmissionMode,
        now_s: float,
    ) -> AdmissionMode:
        """Restrict the admission mode of a shard whose takeover was incomplete.

        An unconfirmed owner that did not seal every endpoint admits nothing,
        since its predecessor may use one half of the rate and its successor
        the other half.

        :param name: workspace and shard index.
        :param mode: mode that the confirmation permits.
        :param now_s: current time in seconds.
        :returns: mode for this shard.
        """
        shard = self.shards.get(name)
        seal = shard.seal if shard else self.seal
        if mode is AdmissionMode.HALF and _has_unsealed_endpoint(seal, now_s):
            return AdmissionMode.NONE
        return mode

    def start_takeover(
        self,
        missing: Iterable[MissingEndpoint],
        moved: Collection[ShardName],
        is_level_known: bool,
        now_s: float,
    ) -> None:
        """Record which endpoints a takeover missed; call :meth:`adopt` next.

        :param missing: endpoints that were not sealed.
        :param moved: shards in the table that may have had another owner in
            the meantime.
        :param is_level_known: whether all admissions of the previous owner
            were reported.
        :param now_s: current time in seconds.
        """
        kept = {
            name: each
            for name, each in self.seal.missing.items()
            if now_s - each.since_s < HALF_RATE_MAX_S
        }
        kept.update((each.name, each) for each in missing)
        self.seal = SealState(
            missing=kept,
            is_level_known=is_level_known and not kept,
        )
        for name in moved:
            shard = self.shards[name]
            shard.seal = self.seal
            shard.is_touched = False
            shard.is_reported = False
            if not self.seal.is_level_known:
                shard.bucket.reset_level(0, now_s)

    def adopt(
        self,
        records: Iterable[RecordSummary],
        context: OwnerContext,
        now_s: float,
    ) -> int:
        """Rebuild shards from the records of sealed endpoints.

        A shard that has issued tickets since the takeover only gets the missing
        attempts; its bucket is not changed.

        :param records: records of shards that this process owns.
        :param context: configuration and admission mode.
        :param now_s: time when the records were received, in seconds.
        :returns: number of added records.
        """
        grouped = defaultdict(list)
        for record in records:
            ticket = record.ticket
            grouped[(ticket.workspace, ticket.shard)].append(record)
        added_count = 0
        for name, group in grouped.items():
            shard = self.get_or_create(name, context, now_s)
            added_count += add_records(shard.ledger, group, now_s)
            if not shard.is_touched and shard.seal.is_level_known:
                level = shard.bucket.level
                shard.bucket.restore(_admission_ages_s(group), now_s)
                shard.bucket.reset_level(min(level, shard.bucket.level), now_s)
        return added_count

    def clear_missing(self, endpoint: str) -> None:
        """Clear a missing endpoint that was sealed later or was replaced.

        :param endpoint: endpoint name.
        """
        self.seal.missing.pop(endpoint, None)
        for shard in self.shards.values():
            shard.seal.missing.pop(endpoint, None)

    def remove(self, workspace: str, shard: int) -> None:
        """Remove a shard that another process owns now.

        :param workspace: workspace name.
        :param shard: shard index.
        """
        self.shards.pop((workspace, shard), None)

    def export_state(
        self,
        workspace: str,
        shard: int,
        now_s: float,
    ) -> list[bytes]:
        """Encode a shard for its next owner and remove it.

        :param workspace: workspace name.
        :param shard: shard index.
        :param now_s: current time in seconds.
        :returns: encoded parts, one for each ``Handover`` message.
        """
        state = self.shards.pop((workspace, shard))
        return export_parts((workspace, shard), state, now_s)

    def import_state(self, raw: bytes, now_s: float) -> ShardName | None:
        """Import one part of a shard from its previous owner.

        :param raw: part that :meth:`export_state` encoded.
        :param now_s: current time in seconds.
        :returns: name of the shard once all parts have arrived; ``None``
            before, and for a shard that has issued tickets or received reports
            in this process.
        :raises msgspec.DecodeError: if the part is malformed.
        """
        part = msgspec.msgpack.decode(raw, type=ShardPart)
        name = (part.workspace, part.shard)
        known = self.shards.get(name)
        if known is not None and (known.is_touched or known.is_reported):
            return None
        export = (part.workspace, part.shard, part.now_s)
        parts = self._parts.setdefault(export, {})
        parts[part.index] = part
        if len(parts) < part.part_count:
            return None
        self._parts.pop(export)
        ordered = [parts[index] for index in sorted(parts)]
        self.shards[name] = import_parts(ordered, now_s)
        return name

    def drop_parts(self) -> None:
        """Discard incomplete imports; called when the view changes."""
        self._parts.clear()


def _has_unsealed_endpoint(seal: SealState, now_s: float) -> bool:
    return any(
        now_s - missing.since_s < HALF_RATE_MAX_S
        for missing in seal.missing.values()
    )


def _admission_ages_s(records: Iterable[RecordSummary]) -> list[float]:
    return [
        record.age_ms / 1000
        for record in records
        if record.outcome != outcomes.NOT_RUN
    ]
