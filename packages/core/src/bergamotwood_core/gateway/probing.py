"""When entries probe the services that they cannot connect to.

Any number of entries may lose a service at once, and none knows how many have. Each
one therefore assumes that all live entries have lost it, and keeps to its share of the
probes that the endpoints of a service may get from all entries together.
"""

from collections.abc import Iterable
from random import Random

from bergamotwood_core.clock import Seconds
from bergamotwood_core.ids import ServiceName

# Probes that all entries together send to a service in any one second.
MAX_PROBES_PER_SECOND = 100
# Probes a second of one service by one entry.
MAX_PROBES_PER_ENTRY = 3
# With more entries than `MAX_PROBES_PER_SECOND`, the number of probes in a second
# varies by chance around this mean. It exceeds the maximum in less than one second of a
# million.
MEAN_PROBES_PER_SECOND = 60.0
# Fraction by which intervals are lengthened at random, so that entries do not probe in
# step.
INTERVAL_JITTER = 0.2
# Longest time between two calls of `ProbeSchedule.advance` that counts. A process that
# was suspended would otherwise probe as soon as it resumes, together with others.
MAX_STEP_SECONDS = 0.1
# Time after which all entries have heard of one that joined, and for which one that is
# no longer listed still counts.
COUNT_SECONDS = 2.0
# Age of the list of entries above which an entry does not probe. Others still count it
# until then: control replicas list an entry for 1.5 s after its last report, and others
# count it for `COUNT_SECONDS` longer.
MAX_COUNT_AGE_SECONDS = 3.0


class EntryCount:
    """Number of entries that may be probing.

    It never falls short of the number of entries that probe: an entry does not probe
    until all others have heard of it, and stops before they forget it.
    """

    def __init__(self) -> None:
        self._counts: list[tuple[Seconds, int]] = []
        self._known_since = Seconds(float("-inf"))
        self._known_at = Seconds(float("-inf"))

    def update(self, entries: int, known_at: Seconds, now: Seconds) -> None:
        """Apply a list of entries that the control group has sent.

        Parameters
        ----------
        entries : int
            Number of live entries in the list.
        known_at : Seconds
            Time at which the list was current.
        now : Seconds
            Current time.
        """
        if now - known_at > MAX_COUNT_AGE_SECONDS:
            return
        if now - self._known_at > MAX_COUNT_AGE_SECONDS:
            self._known_since = now
            self._counts.clear()
        self._known_at = max(self._known_at, known_at)
        cutoff = now - COUNT_SECONDS
        self._counts = [item for item in self._counts if item[0] > cutoff]
        self._counts.append((now, entries))

    def find(self, now: Seconds) -> int | None:
        """Return the largest recent number; None while the entry may not probe."""
        is_known = (
            now - self._known_at <= MAX_COUNT_AGE_SECONDS
            and now - self._known_since >= COUNT_SECONDS
        )
        if not is_known:
            return None
        return max(1, *(entries for _, entries in self._counts))


class ProbeSchedule:
    """Times at which this entry probes each lost service.

    Parameters
    ----------
    rng : Random
        Varies the times.
    """

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        # Remaining time until the next probe of each service, in intervals.
        self._waits: dict[ServiceName, float] = {}
        self._probed_at: dict[ServiceName, Seconds] = {}
        self._advanced_at = Seconds(float("-inf"))

    def advance(
        self, services: Iterable[ServiceName], entries: int | None, now: Seconds
    ) -> list[ServiceName]:
        """Return the services of which a probe is due; to be called often.

        Parameters
        ----------
        services : iterable of ServiceName
            Services that are lost.
        entries : int or None
            Number of entries that may be probing; None if no probe may be sent.
        now : Seconds
            Current time.
        """
        elapsed = min(now - self._advanced_at, MAX_STEP_SECONDS)
        self._advanced_at = now
        services = list(services)
        for service in self._waits.keys() - set(services):
            del self._waits[service]
        if entries is None:
            return []
        interval = compute_probe_interval(entries)
        for service in services:
            if service in self._waits:
                self._waits[service] -= elapsed / interval
            else:
                self._waits[service] = self._draw_first_wait(service, interval, now)
        return [service for service in services if self._waits[service] <= 0.0]

    def record_probe(self, service: ServiceName, now: Seconds) -> None:
        """Record that a probe of a service begins."""
        self._probed_at[service] = now
        self._waits[service] = 1.0 + INTERVAL_JITTER * self._rng.random()

    def _draw_first_wait(
        self, service: ServiceName, interval: float, now: Seconds
    ) -> float:
        """Return the wait after a loss: entries lose a service at the same time."""
        since = now - self._probed_at.get(service, Seconds(float("-inf")))
        return self._rng.random() + max(0.0, 1.0 - since / interval)


def compute_probe_interval(entries: int) -> float:
    """Return the shortest time in seconds between an entry's probes of a lost service.

    Up to `MAX_PROBES_PER_SECOND` entries, the number of probes that each one can send
    in any one second keeps their sum within the maximum. With more, each one sends at
    most one in any second, independently of the others, with a probability that keeps
    the mean of the sum at `MEAN_PROBES_PER_SECOND`.

    Parameters
    ----------
    entries : int
        Number of entries that may be probing.
    """
    if entries > MAX_PROBES_PER_SECOND:
        return entries / MEAN_PROBES_PER_SECOND
    share = MAX_PROBES_PER_SECOND // max(entries, 1)
    return 1.0 / min(share, MAX_PROBES_PER_ENTRY)
