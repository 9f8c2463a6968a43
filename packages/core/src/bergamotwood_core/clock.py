"""Type of time in the core, which is passed in and never decreases."""

from typing import NewType

# Seconds on a clock that counts while the machine sleeps (CLOCK_BOOTTIME).
Seconds = NewType("Seconds", float)
