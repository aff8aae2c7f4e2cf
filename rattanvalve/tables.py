"""Plain text tables for terminals."""

from collections.abc import Sequence

__all__ = ('format_table',)

_GAP = '  '


def format_table(
    headers: Sequence[str],
    rows: Sequence[Sequence[str]],
) -> str:
    """Lay out rows in columns.

    :param headers: names of the columns.
    :param rows: cells of each row, as many as there are headers.
    :returns: lines without trailing blanks.
    """
    widths = [
        max(len(cell) for cell in column)
        for column in zip(headers, *rows, strict=True)
    ]
    return '\n'.join(
        _GAP.join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in (headers, *rows)
    )
