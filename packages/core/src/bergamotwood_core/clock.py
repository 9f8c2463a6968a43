"""Clocks of the core: time is passed in as seconds that never go back."""

from typing import NewType

# Seconds on a clock that counts while the machine sleeps (CLOCK_BOOTTIME).
Seconds = NewType("Seconds", float)
