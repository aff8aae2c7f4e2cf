"""Parses whole numbers in untrusted text without raising."""

__all__ = ('parse_whole_number',)

#: Far more than any count or id needs; conversion of longer text is slow.
DIGITS_MAX = 18


def parse_whole_number(text: str) -> int | None:
    """Parse a non-negative whole number of ASCII digits.

    :param text: at most 18 digits, without sign or spaces.
    :returns: the number; ``None`` if the text has any other form.
    """
    is_number = text.isascii() and text.isdigit()
    return int(text) if is_number and len(text) <= DIGITS_MAX else None
