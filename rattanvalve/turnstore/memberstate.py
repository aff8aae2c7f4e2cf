"""What a turn store has to remember of its membership over restarts."""

import secrets
import time
from pathlib import Path

import msgspec

from rattanvalve.logs import LogPart, part_logger
from rattanvalve.platform.malformed import MALFORMED_JSON
from rattanvalve.turnstore.durablefiles import replace_file

__all__ = ('MemberRecord', 'MemberState', 'unix_ms')

_UNREADABLE = (OSError, *MALFORMED_JSON)

_log = part_logger(LogPart.TURNS)


def unix_ms() -> int:
    """Return the time of day.

    :returns: Unix time in milliseconds.
    """
    return time.time_ns() // 1_000_000


def _new_id() -> str:
    return secrets.token_hex(8)


class MemberRecord(msgspec.Struct, frozen=True):
    """Content of the file.

    ``disk_id`` names the data folder. ``is_intact`` is false while the store
    may have lost records that it had acknowledged. ``sealed_epoch`` is the
    newest epoch at which the store has answered, ``complete_epoch`` the one at
    which it was last complete. ``began_ms`` is the Unix time in milliseconds at
    which the folder was empty.
    """

    disk_id: str = msgspec.field(default_factory=_new_id)
    began_ms: int = msgspec.field(default_factory=unix_ms)
    is_intact: bool = False
    sealed_epoch: int = 0
    complete_epoch: int = 0


class MemberState:
    """Keeps the record in memory and on disk.

    :param path: file of the record; its folder exists.
    """

    def __init__(self, path: Path) -> None:
        self._path = path
        self.record = _read_record(path)

    def update(self, **changes: bool | int) -> None:
        """Change fields; the change is on disk when this returns.

        :param changes: new values by field name.
        :raises OSError: if the file cannot be written; nothing changes then.
        """
        changed = msgspec.structs.replace(self.record, **changes)
        replace_file(self._path, msgspec.json.encode(changed))
        self.record = changed


def _read_record(path: Path) -> MemberRecord:
    try:
        return msgspec.json.decode(path.read_bytes(), type=MemberRecord)
    except FileNotFoundError:
        # The data folder is new: the first start, or the disk was lost.
        return MemberRecord()
    except _UNREADABLE as error:
        _log.error('membership record unreadable', extra={'error': str(error)})
        return MemberRecord()
