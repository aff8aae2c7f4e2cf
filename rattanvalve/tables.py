"""Formats plain text tables for terminals."""

from collections.abc import Sequence

__all__ = ('format_table',)

_GAP = '  '


def format_table(
    headers: Sequence[str],
    rows: Sequence[Sequence[str]],
) -> str:
    """Format rows as left-aligned columns, two spaces apart.

    :param headers: column names, printed as the first line.
    :param rows: cells of each row, one per header.
    :returns: lines without trailing spaces or a final newline.
    :raises ValueError: if a row has a different number of cells.
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
