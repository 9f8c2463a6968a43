"""Bounds of values in documents from outside, checked where they are decoded.

What is within them can be encoded for other instances, used in arithmetic, and, where
it is an address, connected to.
"""

from typing import Annotated

from msgspec import Meta

# Integers that every encoding of the system can hold.
MAX_INTEGER = 2**63 - 1
MAX_NAME_CHARACTERS = 256
MAX_SLOTS = 1_000_000
# Durations of 30 years and more have no use, and may overflow a clock.
MAX_SECONDS = 1e9
MAX_MILLISECONDS = 1e12
MAX_LIST_LENGTH = 4_096

Integer = Annotated[int, Meta(ge=-MAX_INTEGER, le=MAX_INTEGER)]
Counter = Annotated[int, Meta(ge=0, le=MAX_INTEGER)]
Slots = Annotated[int, Meta(ge=0, le=MAX_SLOTS)]
Name = Annotated[str, Meta(max_length=MAX_NAME_CHARACTERS)]
Milliseconds = Annotated[float, Meta(ge=0.0, le=MAX_MILLISECONDS)]
PositiveSeconds = Annotated[float, Meta(gt=0.0, le=MAX_SECONDS)]


def parse_count(text: str, maximum: int) -> int | None:
    """Return a decimal number, at most `maximum`; None if the text is not one.

    `int` refuses numbers of more than some thousand digits.
    """
    if not (text.isascii() and text.isdecimal()):
        return None
    digits = text.lstrip("0")
    if len(digits) > len(str(maximum)):
        return maximum
    return min(int(digits or "0"), maximum)
