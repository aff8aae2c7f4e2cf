"""How far an owner may act under its confirmation."""

import enum

__all__ = ('ActMode',)


class ActMode(enum.Enum):
    """What an owner may admit."""

    #: Everything, at the whole rate.
    FULL = 'full'
    #: Repeatable requests only, at half the rate and burst.
    HALF = 'half'
    #: Nothing.
    NONE = 'none'
