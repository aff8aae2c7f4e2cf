"""Settings of the process by which freed memory returns to the system.

By default the size from which blocks are mapped on their own grows up to 32 MB
with the blocks that are freed. Bodies then come from the heap, which cannot
shrink below the newest of them.
"""

import ctypes

__all__ = ('map_large_blocks',)

#: Number of the option in ``malloc.h``.
M_MMAP_THRESHOLD = -3
#: Larger than ordinary requests, whose blocks are not mapped.
MAPPED_BYTES = 64 * 1024


def map_large_blocks() -> bool:
    """Map large blocks on their own, so that freeing them returns the memory.

    :returns: whether the C library has the setting.
    """
    try:
        return bool(ctypes.CDLL(None).mallopt(M_MMAP_THRESHOLD, MAPPED_BYTES))
    except AttributeError:
        return False
