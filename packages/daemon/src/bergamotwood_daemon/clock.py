"""The daemon's clock."""

from time import CLOCK_BOOTTIME, clock_gettime

from bergamotwood_core.clock import Seconds


def read_clock() -> Seconds:
    """Return seconds since boot, counted also while the machine sleeps."""
    return Seconds(clock_gettime(CLOCK_BOOTTIME))
