"""Disks that lose what was not synced."""

import os
import shutil
from contextlib import contextmanager
from pathlib import Path
from unittest import mock

_fsync = os.fsync


class SyncedPaths:
    """Paths whose content was synced, and folders with the names they had."""

    def __init__(self):
        self.files = set()
        self.names = set()

    def note(self, descriptor):
        """Sync a descriptor and remember what that made durable."""
        _fsync(descriptor)
        path = Path(os.readlink(f'/proc/self/fd/{descriptor}'))
        if path.is_dir():
            self.names.update(path.iterdir())
        else:
            self.files.add(os.fstat(descriptor).st_ino)

    def lose_power(self, folder):
        """Remove the files of a folder whose name or content is not durable."""
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
    """Watch what is synced."""
    watched = SyncedPaths()
    with (
        mock.patch('os.fsync', watched.note),
        mock.patch('os.fdatasync', watched.note),
    ):
        yield watched
