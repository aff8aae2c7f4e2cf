"""Files that outlast a loss of power once a function returns."""

import os
from pathlib import Path

__all__ = ('replace_file', 'sync_folder')


def sync_folder(folder: Path) -> None:
    """Make the names of the files in a folder durable.

    :param folder: the folder.
    :raises OSError: if the disk fails.
    """
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def replace_file(path: Path, body: bytes) -> None:
    """Write a file, so that a power loss leaves the old or the new one.

    :param path: where it is written.
    :param body: new content.
    :raises OSError: if the disk fails.
    """
    fresh = path.with_suffix('.new')
    with fresh.open('wb') as file:
        file.write(body)
        file.flush()
        os.fsync(file.fileno())
    fresh.replace(path)
    sync_folder(path.parent)
