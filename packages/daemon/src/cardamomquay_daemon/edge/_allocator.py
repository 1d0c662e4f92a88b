"""Settings of the C library's allocator."""

from __future__ import annotations

import ctypes
from contextlib import suppress

# Parameters of mallopt(3).
M_TRIM_THRESHOLD = -1
M_MMAP_THRESHOLD = -3
# Larger blocks are mapped each by itself, so that they grow in place and their memory
# returns to the system when they are freed. Otherwise the threshold rises by itself to
# 32 MiB, and growing bodies leave holes in the heap.
MMAP_THRESHOLD_BYTES = 16_384
# Free memory at the end of the heap that is kept.
TRIM_THRESHOLD_BYTES = 1_048_576


def return_freed_memory() -> None:
    """Make the allocator return the memory of large blocks once they are freed.

    Does nothing with a C library that has no `mallopt`.
    """
    with suppress(OSError, AttributeError):
        mallopt = ctypes.CDLL(None).mallopt
        mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES)
        mallopt(M_TRIM_THRESHOLD, TRIM_THRESHOLD_BYTES)
