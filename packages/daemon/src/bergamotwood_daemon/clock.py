"""The daemon's clock."""

from time import CLOCK_BOOTTIME, clock_gettime

from bergamotwood_core.clock import Seconds


def read_clock() -> Seconds:
    """Return seconds since boot, including the time that the machine was suspended."""
    return Seconds(clock_gettime(CLOCK_BOOTTIME))
