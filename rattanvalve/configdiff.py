"""Lists the differences between two configurations by path."""

import enum
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

import msgspec

from rattanvalve.inventory import Config

__all__ = ('ChangeKind', 'ConfigChange', 'list_changes')


class ChangeKind(enum.StrEnum):
    """Whether the value at a path was added, removed or changed."""

    ADDED = 'added'
    REMOVED = 'removed'
    CHANGED = 'changed'


@dataclass(frozen=True, slots=True)
class ConfigChange:
    """One difference.

    ``place`` is the dotted path of the value. ``before`` and ``after`` are
    JSON values; ``None`` if the value is absent.
    """

    place: str
    kind: ChangeKind
    before: Any = None
    after: Any = None


def list_changes(before: Config, after: Config) -> list[ConfigChange]:
    """Compare two configurations.

    :param before: older configuration.
    :param after: newer configuration.
    :returns: differences in the order of their paths. Lists of named entries
        are compared by name, so their order makes no difference.
    """
    return list(
        _compare('', msgspec.to_builtins(before), msgspec.to_builtins(after)),
    )


def _compare(place: str, before: Any, after: Any) -> Iterator[ConfigChange]:
    if before == after:
        return
    old, new = _as_table(before), _as_table(after)
    if old is None or new is None:
        yield ConfigChange(place, ChangeKind.CHANGED, before, after)
        return
    for name in sorted(old.keys() | new.keys()):
        child_place = f'{place}.{name}' if place else name
        yield from _compare_entry(child_place, old.get(name), new.get(name))


def _compare_entry(place: str, old: Any, new: Any) -> Iterator[ConfigChange]:
    # A configuration contains no null, so None means an absent entry.
    if new is None:
        yield ConfigChange(place, ChangeKind.REMOVED, before=old)
    elif old is None:
        yield ConfigChange(place, ChangeKind.ADDED, after=new)
    else:
        yield from _compare(place, old, new)


def _as_table(content: Any) -> dict[str, Any] | None:
    """Convert a JSON object or a list of named entries to a dict by name.

    Returns ``None`` for other values.
    """
    if isinstance(content, dict):
        return content
    if not isinstance(content, (list, tuple)):
        return None
    if all(isinstance(entry, dict) and 'name' in entry for entry in content):
        return {entry['name']: entry for entry in content}
    return None
