"""Tables of the speed comparison, with ratios within the same round."""

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
    """Format the tables of all bursts.

    :param kinds: kinds of bursts that were sent.
    :param names: names of the targets; the first is the engine alone.
    :param bursts: bursts by kind and target, in the order of the rounds.
    :returns: tables separated by empty lines.
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
    # The first target after the engine: the earlier version, if there is one.
    reference = bursts[kind.name, names[1]]
    costs = [
        f'{1e6 * statistics.median(_costs(found, kind, role)):,.0f}'
        if role in found[0].processor_s
        else '-'
        for role in ('entry', 'endpoint')
    ]
    columns = (
        f'{1000 * _p50([burst.latencies_s for burst in found]):.2f} ms',
        f'{1000 * _p50([burst.first_byte_s for burst in found]):.2f} ms',
        _ratio(
            [percentile(burst.latencies_s, 50) for burst in found],
            [percentile(burst.latencies_s, 50) for burst in direct],
        ),
    )
    ratios = (
        _ratio(
            _costs(found, kind, role),
            _costs(reference, kind, role),
        )
        if role in found[0].processor_s
        else '-'
        for role in ('entry', 'endpoint')
    )
    return (kind.name, name, *columns, *costs, *ratios)


def _event_rows(names: list[str], bursts: Bursts) -> list[tuple[str, ...]]:
    """Compute the cost per event from long streams and one-token streams."""
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
    counts = {known.name: known.request_count for known in KINDS}
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
    return [
        burst.processor_s.get(role, 0) / kind.request_count for burst in bursts
    ]


def _p50(samples: list[list[float]]) -> float:
    return statistics.median(number for sample in samples for number in sample)


def _ratio(measured: list[float], baseline: list[float]) -> str:
    ratios = [
        value / base
        for value, base in zip(measured, baseline, strict=True)
        if base
    ]
    if not ratios:
        return '-'
    return (
        f'{statistics.median(ratios):.2f} '
        f'({min(ratios):.2f} to {max(ratios):.2f})'
    )
