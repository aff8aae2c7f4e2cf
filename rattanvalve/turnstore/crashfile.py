"""Copy of the records of crashes on the disk of a turn store.

If all processes end at the same moment, nobody else remembers which requests
are blocked.
"""

import asyncio
import time
from dataclasses import replace
from pathlib import Path

from rattanvalve import wire
from rattanvalve.errors import FrameError
from rattanvalve.logs import LogPart, part_logger
from rattanvalve.messages import Document
from rattanvalve.sharedstate.request_crashes import CrashTable
from rattanvalve.turn_messages import Observations
from rattanvalve.turnstore.documentfiles import (
    decode_document,
    encode_document,
)
from rattanvalve.turnstore.durablefiles import replace_file

__all__ = ('CrashFile',)

#: Records that arrive within this interval cause a single write.
SAVE_INTERVAL_S = 0.1
_KIND = 'crashes'

_log = part_logger(LogPart.CONFIG)


class CrashFile:
    """Saves the records whenever they have changed.

    The version of the saved document is the Unix time of the write in
    milliseconds, which gives the ages of the records after a restart.

    :param path: file; its folder exists.
    :param table: records of this process.
    """

    def __init__(self, path: Path, table: CrashTable) -> None:
        self._path = path
        self._table = table
        self._saved_digest = 0

    def load(self, unix_s: float, now_s: float) -> None:
        """Read the saved records; a missing or damaged file is skipped.

        :param unix_s: Unix time in seconds.
        :param now_s: monotonic time in seconds.
        """
        try:
            document = decode_document(self._path.read_bytes())
            saved = wire.decode_struct(Observations, document.body)
        except FileNotFoundError:
            # Nothing was saved yet.
            return
        except (OSError, FrameError) as error:
            _log.warning(
                'kept crashes passed over', extra={'error': str(error)}
            )
            return
        elapsed_ms = max(int(unix_s * 1000) - document.version, 0)
        self._table.merge(
            [
                replace(crash, crash_age_ms=crash.crash_age_ms + elapsed_ms)
                for crash in saved.crashes
            ],
            now_s,
        )
        self._saved_digest = self._table.digest

    async def run(self) -> None:
        """Save changed records until cancelled."""
        while True:
            await self.save(time.time(), time.monotonic())
            await asyncio.sleep(SAVE_INTERVAL_S)

    async def save(self, unix_s: float, now_s: float) -> None:
        """Write the records if they have changed.

        A failed write is logged and retried by the next call.

        :param unix_s: Unix time in seconds.
        :param now_s: monotonic time in seconds.
        """
        digest = self._table.digest
        if digest == self._saved_digest:
            return
        saved = Observations(crashes=self._table.reports(now_s))
        document = Document(
            kind=_KIND,
            version=int(unix_s * 1000),
            body=wire.encode_struct(saved),
        )
        try:
            await asyncio.to_thread(
                replace_file, self._path, encode_document(document)
            )
        except OSError as error:
            _log.warning('crashes not kept', extra={'error': str(error)})
            return
        self._saved_digest = digest
