"""Modes of admission that the confirmation of a view permits to an owner."""

import enum

__all__ = ('AdmissionMode',)


class AdmissionMode(enum.Enum):
    """Work that an owner may admit under its current confirmation."""

    #: All work is admitted at the full rate and burst.
    FULL = 'full'
    #: Repeatable work only, at half the rate and burst.
    HALF = 'half'
    #: Nothing is admitted.
    NONE = 'none'
