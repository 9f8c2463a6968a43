"""Suspensions of causes of crashes, which all entries apply, and their trials.

A suspended cause gets no further evidence, as nothing with it is sent. One request at a
time is therefore tried, at an entry that the control group chooses through its log, and
after longer and longer times. A version of the endpoints that has not crashed yet is
tried sooner.
"""

from collections.abc import Iterable

from msgspec import Struct

from bergamotwood_core.clock import Seconds
from bergamotwood_core.gateway.suspects import Cause
from bergamotwood_core.ids import Incarnation, InstanceId, LogIndex

# Time until the first trial, longer than its outcome takes to be known. Each further
# one takes this many times longer.
FIRST_TRIAL_SECONDS = 30.0
TRIAL_BACKOFF = 4.0
MAX_TRIAL_SECONDS = 3_600.0
# Limit on the exponent, which would overflow after many trials.
MAX_BACKOFFS = 8
# Time until a trial on versions that have not crashed.
VERSION_TRIAL_SECONDS = 10.0
# Time for which an entry may use a trial, counted from its poll.
TRIAL_VALIDITY_SECONDS = 3.0
# Shortest time that a refused caller is told to wait.
MIN_REFUSAL_SECONDS = 1.0
# Suspensions that are kept; the oldest are dropped.
MAX_SUSPENSIONS = 64


class Suspension(Struct, frozen=True, array_like=True):
    """A cause of crashes for which requests are refused.

    Parameters
    ----------
    cause : Cause
        The cause.
    versions : tuple of str
        Versions of the service that were in use when it crashed endpoints.
    index : LogIndex
        Index of the log entry that suspended it, or that granted the last trial.
    ordered_at : float
        Wall-clock time of that entry in seconds.
    trials : int
        Trials that were granted.
    entry, incarnation : InstanceId, Incarnation
        Run of the entry that may try one request; empty before the first trial.
    """

    cause: Cause
    versions: tuple[str, ...]
    index: LogIndex
    ordered_at: float
    trials: int = 0
    entry: InstanceId = InstanceId("")
    incarnation: Incarnation = Incarnation(0)


def compute_trial_delay(suspension: Suspension, versions: Iterable[str]) -> float:
    """Return the seconds from a suspension or its last trial to the next trial.

    Parameters
    ----------
    suspension : Suspension
        The suspension.
    versions : iterable of str
        Versions of the service that are in use.
    """
    current = set(versions)
    if current and current.isdisjoint(suspension.versions):
        return VERSION_TRIAL_SECONDS
    exponent = min(suspension.trials, MAX_BACKOFFS)
    delay = FIRST_TRIAL_SECONDS * TRIAL_BACKOFF**exponent
    return min(delay, MAX_TRIAL_SECONDS)


class SuspensionTable:
    """Suspensions as one entry applies them.

    Parameters
    ----------
    instance, incarnation : InstanceId, Incarnation
        This run of the entry.
    """

    def __init__(self, instance: InstanceId, incarnation: Incarnation) -> None:
        self._run = (instance, incarnation)
        self._suspensions: dict[Cause, Suspension] = {}
        self._known_since: dict[LogIndex, Seconds] = {}
        self._tried: set[LogIndex] = set()

    def __len__(self) -> int:
        return len(self._suspensions)

    def update(self, suspensions: Iterable[Suspension], requested_at: Seconds) -> None:
        """Replace the suspensions with those in the answer to a poll.

        Parameters
        ----------
        suspensions : iterable of Suspension
            All suspensions.
        requested_at : Seconds
            Time of the poll, from which a trial is valid.
        """
        self._suspensions = {item.cause: item for item in suspensions}
        indexes = {item.index for item in self._suspensions.values()}
        self._tried &= indexes
        self._known_since = {
            index: self._known_since.get(index, requested_at) for index in indexes
        }

    def find_suspended(self, causes: Iterable[Cause]) -> Suspension | None:
        """Return a suspension of one of some causes; None if there is none."""
        for cause in causes:
            if cause in self._suspensions:
                return self._suspensions[cause]
        return None

    def take_trial(self, suspension: Suspension, now: Seconds) -> bool:
        """Use the trial that this run of the entry was granted; False without one."""
        index = suspension.index
        if (suspension.entry, suspension.incarnation) != self._run:
            return False
        if index in self._tried:
            return False
        if now - self._known_since[index] > TRIAL_VALIDITY_SECONDS:
            return False
        self._tried.add(index)
        return True

    def measure_left(self, suspension: Suspension, now: Seconds) -> float:
        """Return about how many seconds are left until the next trial."""
        delay = compute_trial_delay(suspension, ())
        return max(
            self._known_since[suspension.index] + delay - now, MIN_REFUSAL_SECONDS
        )
