"""Behaviour of the C library's heap."""

from ctypes import CDLL

# Parameter of `mallopt` (malloc.h): size from which a block is mapped by itself.
M_MMAP_THRESHOLD = -3
MAPPED_BYTES = 131_072


def map_large_blocks() -> None:
    """Have freed blocks of 128 KiB or more go back to the system at once.

    The GNU C library raises its threshold to the largest freed block otherwise, and
    bodies of requests leave holes in the heap that stay with the process.
    """
    try:
        set_option = CDLL(None).mallopt
    except AttributeError:
        # Another C library; memory is given back later there.
        return
    set_option(M_MMAP_THRESHOLD, MAPPED_BYTES)
