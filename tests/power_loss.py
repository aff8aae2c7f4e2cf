"""Simulates a power loss that discards data that was not synced."""

import os
import shutil
from contextlib import contextmanager
from pathlib import Path
from unittest import mock

_fsync = os.fsync


class SyncedPaths:
    """Records synced files by inode, and paths whose folder was synced."""

    def __init__(self):
        self.files = set()
        self.names = set()

    def record_sync(self, descriptor):
        """Sync a descriptor and record what became durable."""
        _fsync(descriptor)
        path = Path(os.readlink(f'/proc/self/fd/{descriptor}'))
        if path.is_dir():
            self.names.update(path.iterdir())
        else:
            self.files.add(os.fstat(descriptor).st_ino)

    def lose_power(self, folder):
        """Remove paths below a folder whose name or content is not durable."""
        for path in sorted(folder.rglob('*')):
            if not path.exists():
                continue
            is_folder = path.is_dir()
            is_synced = is_folder or path.stat().st_ino in self.files
            if is_synced and path in self.names:
                continue
            if is_folder:
                shutil.rmtree(path)
            else:
                path.unlink()


@contextmanager
def synced_paths():
    """Record all calls of ``fsync`` and ``fdatasync`` in the block."""
    synced = SyncedPaths()
    with (
        mock.patch('os.fsync', synced.record_sync),
        mock.patch('os.fdatasync', synced.record_sync),
    ):
        yield synced
