"""File operations whose result survives a power loss once they return."""

import os
from pathlib import Path

__all__ = ('replace_file', 'sync_folder')


def sync_folder(folder: Path) -> None:
    """Make the directory entries of a folder durable.

    :param folder: folder to sync.
    :raises OSError: if the folder cannot be opened or synced.
    """
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def replace_file(path: Path, body: bytes) -> None:
    """Replace a file atomically; a power loss leaves the old or new content.

    :param path: file to replace; it need not exist.
    :param body: new content.
    :raises OSError: if writing, syncing or renaming fails.
    """
    temporary = path.with_suffix('.new')
    with temporary.open('wb') as file:
        file.write(body)
        file.flush()
        os.fsync(file.fileno())
    temporary.replace(path)
    sync_folder(path.parent)
