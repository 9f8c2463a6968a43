"""Type of the times that callers pass to the core; they never decrease."""

from typing import NewType

# Seconds on a monotonic clock that also runs while the machine sleeps
# (CLOCK_BOOTTIME).
Seconds = NewType("Seconds", float)
