"""Tables about a run."""

from collections.abc import Iterable, Sequence

from rattanvalve.client_records import ProgramRecord
from rattanvalve.history_check import Verdict

__all__ = ('format_table', 'program_table', 'verdict_table')


def program_table(programs: Iterable[ProgramRecord]) -> str:
    """List what each program got.

    :param programs: records.
    :returns: table with one line for each program.
    """
    header = ('program', 'workspace', 'turns', 'retries', 'latency', 'outcome')
    rows = [
        (
            program.name,
            program.workspace,
            str(sum(call.is_answered for call in program.calls)),
            str(program.retry_count()),
            f'{program.latency_s():.2f} s',
            program.outcome,
        )
        for program in programs
    ]
    return format_table(header, sorted(rows))


def verdict_table(verdicts: Iterable[Verdict]) -> str:
    """List the verdicts of the history check.

    :param verdicts: verdicts.
    :returns: table; the first violation of each check is shown.
    """
    rows = [
        (
            verdict.name,
            'VIOLATED' if verdict.violations else 'holds',
            str(len(verdict.violations)),
            next(iter(verdict.violations), ''),
        )
        for verdict in verdicts
    ]
    return format_table(('check', 'verdict', 'count', 'first'), rows)


def format_table(
    header: Sequence[str],
    rows: Sequence[Sequence[str]],
) -> str:
    """Align columns.

    :param header: column titles.
    :param rows: texts, as many in each row as there are titles.
    :returns: lines of text.
    """
    lines = [header, *rows]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return '\n'.join(
        '  '.join(
            text.ljust(width) for text, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )
