"""Tables of the speed comparison: ratios within interleaved rounds."""

import statistics
from itertools import product

from rattanvalve.measures import percentile
from rattanvalve.report import format_table
from rattanvalve.speed.load import Burst, BurstKind
from rattanvalve.speed.targets import KINDS

__all__ = ('Bursts', 'speed_tables')

_HEADER = (
    'burst',
    'target',
    'latency p50',
    'first byte p50',
    'latency ratio (spread)',
    'entry µs a request',
    'endpoint µs a request',
    'entry ratio to the first (spread)',
    'endpoint ratio to the first (spread)',
)
_EVENT_HEADER = ('burst', 'target', 'role', 'µs', 'ratio to the first (spread)')

Bursts = dict[tuple[str, str], list[Burst]]


def speed_tables(
    kinds: list[BurstKind],
    names: list[str],
    bursts: Bursts,
) -> str:
    """Write the tables of all bursts.

    :param kinds: kinds that were sent.
    :param names: names of the targets; the first is the engine alone.
    :param bursts: bursts by kind and target, in the order of the rounds.
    :returns: text.
    """
    rows = [_row(kind, name, names, bursts) for kind in kinds for name in names]
    tables = [format_table(_HEADER, rows)]
    if {'opening', 'paced', 'crowded'} <= {kind.name for kind in kinds}:
        tables.append('each further event of a stream')
        tables.append(format_table(_EVENT_HEADER, _event_rows(names, bursts)))
    return '\n\n'.join(tables)


def _row(
    kind: BurstKind,
    name: str,
    names: list[str],
    bursts: Bursts,
) -> tuple[str, ...]:
    found = bursts[kind.name, name]
    direct = bursts[kind.name, names[0]]
    # The first target besides the engine: the earlier version, if there is one.
    first = bursts[kind.name, names[1]]
    costs = [
        f'{1e6 * statistics.median(_costs(found, kind, role)):,.0f}'
        if role in found[0].processor_s
        else '-'
        for role in ('entry', 'endpoint')
    ]
    columns = (
        f'{1000 * _p50([one.latencies_s for one in found]):.2f} ms',
        f'{1000 * _p50([one.first_s for one in found]):.2f} ms',
        _ratio(
            [percentile(one.latencies_s, 50) for one in found],
            [percentile(one.latencies_s, 50) for one in direct],
        ),
    )
    ratios = (
        _ratio(_costs(found, kind, role), _costs(first, kind, role))
        if role in found[0].processor_s
        else '-'
        for role in ('entry', 'endpoint')
    )
    return (kind.name, name, *columns, *costs, *ratios)


def _event_rows(names: list[str], bursts: Bursts) -> list[tuple[str, ...]]:
    """Compare long streams with streams of one token."""
    rows = []
    for kind, role in product(('paced', 'crowded'), ('entry', 'endpoint')):
        costs = {
            name: _event_costs(bursts, kind, name, role) for name in names[1:]
        }
        rows.extend(
            (
                kind,
                name,
                role,
                f'{1e6 * statistics.median(found):.1f}',
                _ratio(found, costs[names[1]]),
            )
            for name, found in costs.items()
        )
    return rows


def _event_costs(
    bursts: Bursts,
    kind: str,
    name: str,
    role: str,
) -> list[float]:
    counts = {one.name: one.request_count for one in KINDS}
    pairs = zip(bursts[kind, name], bursts['opening', name], strict=True)
    return [
        (
            long.processor_s[role] / counts[kind]
            - short.processor_s[role] / counts['opening']
        )
        / (
            long.event_count / counts[kind]
            - short.event_count / counts['opening']
        )
        for long, short in pairs
    ]


def _costs(bursts: list[Burst], kind: BurstKind, role: str) -> list[float]:
    return [one.processor_s.get(role, 0) / kind.request_count for one in bursts]


def _p50(samples: list[list[float]]) -> float:
    return statistics.median(number for sample in samples for number in sample)


def _ratio(ours: list[float], theirs: list[float]) -> str:
    ratios = [
        one / other for one, other in zip(ours, theirs, strict=True) if other
    ]
    if not ratios:
        return '-'
    return (
        f'{statistics.median(ratios):.2f} '
        f'({min(ratios):.2f} to {max(ratios):.2f})'
    )
