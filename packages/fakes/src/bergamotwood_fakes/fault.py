"""Faults that can be injected into a fake endpoint."""

from msgspec import Struct


class Faults(Struct, forbid_unknown_fields=True):
    """Injected faults; by default there are none.

    Parameters
    ----------
    silent_after, break_after : int, optional
        Number of tokens after which a stream stalls, or its connection is closed. A
        plain service closes the connection before its answer for any `break_after`.
    reorder, repeat : bool
        Swap neighbouring chunks of a stream, or send each chunk twice.
    error_rate : float
        Probability that a request gets status 500 without being run.
    extra_latency : float
        Seconds added before the first byte.
    late : float
        Seconds between running a request and sending its answer, for a plain service.
    bad_quality : float, optional
        Quality of every answer, instead of the version's own.
    bad_version : str
        The only version affected by `bad_quality` and `error_rate`; empty for
        all versions.
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
        """Whether `bad_quality` and `error_rate` apply to a version."""
        return self.bad_version in ("", version)
