"""Shards of an owner: use, rebuilding after a takeover, transfer."""

from collections import defaultdict
from collections.abc import Collection, Iterable

import msgspec

from rattanvalve import outcomes
from rattanvalve.actmode import ActMode
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

#: A successor that could not seal every endpoint keeps to half the rate for
#: as long as an isolated owner may admit without a confirmation.
HALF_RATE_MAX_S = 3900.0
_HALF = 0.5

ShardName = tuple[str, int]


class ShardTable:
    """Shards that one entry process owns, by workspace and index."""

    def __init__(self) -> None:
        self.shards: dict[ShardName, Shard] = {}
        #: Applies to shards that are first used after the last takeover.
        self.seal = SealState()
        self._parts: dict[tuple[str, int, float], dict[int, ShardPart]] = {}

    def find(self, workspace: str, shard: int) -> Shard | None:
        """Find a shard that was used, rebuilt or imported.

        :param workspace: workspace name.
        :param shard: shard index.
        :returns: the shard, or ``None``.
        """
        return self.shards.get((workspace, shard))

    def open(
        self,
        name: ShardName,
        context: OwnerContext,
        now_s: float,
    ) -> Shard:
        """Find or make a shard and give its bucket the rate in force.

        :param name: workspace and shard index.
        :param context: configuration and act mode.
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
        is_half = context.mode is ActMode.HALF or _is_partial(shard.seal, now_s)
        factor = _HALF if is_half else 1
        shard.bucket.configure(
            rate.rate_per_s * factor,
            rate.burst * factor,
            now_s,
        )
        return shard

    def mode_of(
        self,
        name: ShardName,
        mode: ActMode,
        now_s: float,
    ) -> ActMode:
        """Restrict the act mode by what the takeover of a shard missed.

        An unconfirmed owner whose takeover was not sealed admits nothing:
        its predecessor may admit one half of the rate and its successor the
        other.

        :param name: workspace and shard index.
        :param mode: mode by the confirmation.
        :param now_s: current time in seconds.
        :returns: mode for this shard.
        """
        shard = self.shards.get(name)
        seal = shard.seal if shard else self.seal
        if mode is ActMode.HALF and _is_partial(seal, now_s):
            return ActMode.NONE
        return mode

    def start_takeover(
        self,
        missing: Iterable[MissingEndpoint],
        moved: Collection[ShardName],
        is_level_known: bool,
        now_s: float,
    ) -> None:
        """Note what a takeover could not learn; :meth:`adopt` follows.

        :param missing: endpoints that were not sealed.
        :param moved: shards that are in use but may have had another owner in
            between.
        :param is_level_known: whether all admissions were reported.
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
            if not self.seal.is_level_known:
                shard.bucket.assume(0, now_s)

    def adopt(
        self,
        records: Iterable[RecordSummary],
        context: OwnerContext,
        now_s: float,
    ) -> int:
        """Rebuild shards from the records of sealed endpoints.

        Shards that have issued tickets since the takeover learn missing
        attempts only; their buckets stay.

        :param records: records of shards that this process owns.
        :param context: configuration and act mode.
        :param now_s: time when the records were received, in seconds.
        :returns: how many records were new.
        """
        grouped = defaultdict(list)
        for record in records:
            ticket = record.ticket
            grouped[(ticket.workspace, ticket.shard)].append(record)
        added_count = 0
        for name, group in grouped.items():
            shard = self.open(name, context, now_s)
            added_count += add_records(shard.ledger, group, now_s)
            if not shard.is_touched and shard.seal.is_level_known:
                level = shard.bucket.level
                shard.bucket.restore(_admission_ages_s(group), now_s)
                shard.bucket.assume(min(level, shard.bucket.level), now_s)
        return added_count

    def sealed_late(self, endpoint: str) -> None:
        """Note that a missing endpoint was sealed or has been replaced.

        :param endpoint: endpoint name.
        """
        self.seal.missing.pop(endpoint, None)
        for shard in self.shards.values():
            shard.seal.missing.pop(endpoint, None)

    def release(self, workspace: str, shard: int) -> None:
        """Forget a shard that another process owns now.

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
        """Encode a shard for its next owner and forget it.

        :param workspace: workspace name.
        :param shard: shard index.
        :param now_s: current time in seconds.
        :returns: parts, each for one ``Handover``.
        """
        state = self.shards.pop((workspace, shard))
        return export_parts((workspace, shard), state, now_s)

    def import_state(self, raw: bytes, now_s: float) -> ShardName | None:
        """Take one part of a shard from its earlier owner.

        :param raw: part by :meth:`export_state`.
        :param now_s: current time in seconds.
        :returns: name of the shard when it is complete; ``None`` for a part,
            and for a shard that has issued tickets here already.
        :raises msgspec.DecodeError: if the part is malformed.
        """
        part = msgspec.msgpack.decode(raw, type=ShardPart)
        name = (part.workspace, part.shard)
        known = self.shards.get(name)
        if known is not None and known.is_touched:
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
        """Forget incomplete imports, as after a change of the view."""
        self._parts.clear()


def _is_partial(seal: SealState, now_s: float) -> bool:
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
