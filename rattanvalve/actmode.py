"""How far an owner may act with its current confirmation."""

import enum

__all__ = ('ActMode',)


class ActMode(enum.Enum):
    """What the confirmation of the view permits."""

    #: All work is admitted at the full rate and burst.
    FULL = 'full'
    #: Repeatable work only, at half the rate and burst.
    HALF = 'half'
    #: Nothing is admitted.
    NONE = 'none'
