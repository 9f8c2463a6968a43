"""Faults that a stand-in can be told to show."""

from msgspec import Struct


class Faults(Struct, forbid_unknown_fields=True):
    """Faults in force; the default is none.

    Parameters
    ----------
    silent_after, break_after : int, optional
        Tokens after which a stream goes silent, or its connection breaks.
    reorder, repeat : bool
        Swap, or send twice, neighbouring chunks of a stream.
    error_rate : float
        Chance that a request is answered 500, not run.
    extra_latency : float
        Seconds added before the first byte.
    late : float
        Seconds between running a request and answering it.
    bad_quality : float, optional
        Quality of every answer in place of the version's own.
    bad_version : str
        The only version that `bad_quality` and `error_rate` touch; empty for all.
    """

    silent_after: int | None = None
    break_after: int | None = None
    reorder: bool = False
    repeat: bool = False
    error_rate: float = 0.0
    extra_latency: float = 0.0
    late: float = 0.0
    bad_quality: float | None = None
    bad_version: str = ""

    def matches(self, version: str) -> bool:
        """Whether faults of versions touch this one."""
        return self.bad_version in ("", version)
