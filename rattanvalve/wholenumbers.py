"""Reads whole numbers that other parties wrote."""

__all__ = ('whole_number',)

#: Far more than any count or id; longer digits would take time to convert.
DIGITS_MAX = 18


def whole_number(text: str) -> int | None:
    """Read a whole number of ASCII digits.

    :param text: digits only.
    :returns: the number; ``None`` if the text is anything else.
    """
    is_number = text.isascii() and text.isdigit()
    return int(text) if is_number and len(text) <= DIGITS_MAX else None
