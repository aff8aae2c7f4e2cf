"""Text tables of the programs and verdicts of a run."""

from collections.abc import Iterable, Sequence

from rattanvalve.client_records import ProgramRecord
from rattanvalve.history_check import Verdict

__all__ = ('format_table', 'program_table', 'verdict_table')


def program_table(programs: Iterable[ProgramRecord]) -> str:
    """Format the answered turns, retries, latency and outcome of programs.

    :param programs: records.
    :returns: table with one line for each program, sorted by name.
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
    """Format the verdicts of the history check.

    :param verdicts: verdicts.
    :returns: table with one line for each check: the number of violations and
        the text of the first one.
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
    """Format a table with left-aligned columns.

    :param header: column titles.
    :param rows: cell texts; each row has as many cells as the header.
    :returns: lines joined by newlines, without a trailing newline.
    """
    lines = [header, *rows]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return '\n'.join(
        '  '.join(
            text.ljust(width) for text, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )
