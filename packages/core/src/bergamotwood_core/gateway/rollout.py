"""Roll-out of a service's version: how much of it, for whom, and its verdict.

Answers the ordinary load during a roll-out. The share is small until half of the
time has passed, so that a bad version harms few; it grows with the evidence, and is
whole early enough for requests at the version before to end.
"""

from collections.abc import Iterable, Sequence

from msgspec import Struct

from bergamotwood_core.clock import Seconds
from bergamotwood_core.gateway.routing import hash_to_unit_interval
from bergamotwood_core.gateway.state_machine import RolloutOutcome, ServiceRollout
from bergamotwood_core.ids import ServiceName, SessionId
from bergamotwood_core.sequential import Loss, bet_above

# Parts of a roll-out's time, and the share of sessions from each on. The first
# waits for endpoints to start and for entries to learn which sessions are open.
# Sessions change their version only after half of the time.
STAGES = ((0.1, 0.08), (0.52, 0.2), (0.7, 0.5), (0.76, 1.0))
FIRST_SHARE = STAGES[0][1]
# Part of the time after which sessions may change to the new version.
SESSION_MOVE_FRACTION = 0.5
# Part of the time at which the roll-out ends: the rest is for the order to be
# committed and read before its deadline.
END_FRACTION = 0.93
# Finished requests on the new version that the last two stages wait for.
MIN_EVIDENCE_TRIALS = 12
# Chance, at any time, of taking a sound version for a bad one.
FALSE_STOP_RATE = 0.005
# Bad answers above the rate of the version before that are never held against
# a version: one route's rate is measured on few requests.
TOLERATED_RATE = 0.03
# Prior of the rate of the version before: one bad answer in fifty requests.
PRIOR_BAD = 1.0
PRIOR_TRIALS = 50.0
# Time between two starts of the test, so that a version that turns bad late is
# not covered by its good answers before.
TEST_PERIOD_SECONDS = 3.0
# Endpoints of the new version, as a part of those of the other ones, without
# which traffic is not moved.
MIN_CAPACITY_FRACTION = 0.5
# An order of no time at all counts as one of a thousandth of a second.
MIN_DURATION_SECONDS = 1e-3


class VersionEvidence(Struct, frozen=True, array_like=True):
    """Requests of one route on one version of a service.

    Parameters
    ----------
    service, version, route : str
        Which requests.
    trials : int
        Requests that ended.
    bad : int
        Those that failed or were slow.
    """

    service: ServiceName
    version: str
    route: str
    trials: int
    bad: int


class RolloutView(Struct, frozen=True, array_like=True):
    """A roll-out as an entry gets it.

    Parameters
    ----------
    rollout : ServiceRollout
        The roll-out.
    elapsed_seconds : float
        Time since it was ordered.
    share : float
        Part of the sessions on the new version.
    """

    rollout: ServiceRollout
    elapsed_seconds: float
    share: float

    @property
    def may_move_sessions(self) -> bool:
        """Whether open sessions may change to the new version."""
        return (
            self.elapsed_seconds
            >= SESSION_MOVE_FRACTION * self.rollout.duration_seconds
        )


def choose_share(
    rollout: ServiceRollout,
    elapsed_seconds: float,
    evidence: Iterable[VersionEvidence],
    has_capacity: bool,
) -> float:
    """Return the part of the sessions that belongs on the new version.

    Parameters
    ----------
    rollout : ServiceRollout
        A roll-out in progress.
    elapsed_seconds : float
        Time since it was ordered.
    evidence : iterable of VersionEvidence
        Requests on all versions.
    has_capacity : bool
        Whether enough endpoints of the new version have announced themselves.
    """
    fraction = _compute_elapsed_fraction(rollout, elapsed_seconds)
    reached = [share for start, share in STAGES if fraction >= start]
    if not reached or not has_capacity:
        return 0.0
    sums = _sum_by_route(evidence, rollout, of_target=True)
    trials = sum(finished for finished, _ in sums.values())
    if trials < MIN_EVIDENCE_TRIALS and fraction < END_FRACTION - 0.1:
        reached = reached[:2]
    return reached[-1]


def is_on_target(
    view: RolloutView, affinity_key: str, is_on_other_version: bool
) -> bool:
    """Whether a subject's requests belong on the new version.

    Parameters
    ----------
    view : RolloutView
        A roll-out in progress.
    affinity_key : str
        A session, or a request without one.
    is_on_other_version : bool
        Whether the session was on another version just now.
    """
    point = hash_affinity_key(view.rollout, affinity_key)
    if point >= view.share:
        return False
    return view.may_move_sessions or not is_on_other_version


def hash_affinity_key(rollout: ServiceRollout, affinity_key: str) -> float:
    """Return a subject's place in [0, 1) for a roll-out."""
    return hash_to_unit_interval(f"{rollout.service}/{rollout.target}/{affinity_key}")


class RegressionDetector:
    """Evidence of one roll-out over time, for its verdict."""

    def __init__(self) -> None:
        self._test_starts: list[tuple[Seconds, dict[str, tuple[int, int]]]] = []

    def find_regressed_route(
        self, rollout: ServiceRollout, evidence: Sequence[VersionEvidence], now: Seconds
    ) -> str | None:
        """Return the route on which the new version is shown to be bad."""
        candidate = _sum_by_route(evidence, rollout, of_target=True)
        current = _sum_by_route(evidence, rollout, of_target=False)
        if (
            not self._test_starts
            or now - self._test_starts[-1][0] >= TEST_PERIOD_SECONDS
        ):
            self._test_starts.append((now, candidate))
        limit = max(len(candidate), 1) / FALSE_STOP_RATE
        for route, (trials, bad) in candidate.items():
            known_trials, known_bad = current.get(route, (0, 0))
            rate = (known_bad + PRIOR_BAD) / (known_trials + PRIOR_TRIALS)
            baseline = min(rate + TOLERATED_RATE, 0.9)
            capital = 0.0
            for _, since in self._test_starts:
                old_trials, old_bad = since.get(route, (0, 0))
                new_bad = max(bad - old_bad, 0)
                good = max(trials - old_trials - new_bad, 0)
                capital += bet_above([Loss(1.0, new_bad), Loss(0.0, good)], baseline)
            if capital / len(self._test_starts) >= limit:
                return route
        return None


def choose_outcome(
    rollout: ServiceRollout,
    elapsed_seconds: float,
    regressed_route: str | None,
    share: float,
    outstanding_before: int,
) -> RolloutOutcome:
    """Return how a roll-out stands.

    Parameters
    ----------
    rollout : ServiceRollout
        A roll-out in progress.
    elapsed_seconds : float
        Time since it was ordered.
    regressed_route : str or None
        Route on which the version is bad.
    share : float
        Part of the sessions on the new version.
    outstanding_before : int
        Requests that still run on other versions: their endpoints stop without
        draining once the roll-out is completed.
    """
    if regressed_route is not None:
        return RolloutOutcome.ROLLED_BACK
    fraction = _compute_elapsed_fraction(rollout, elapsed_seconds)
    if share < 1.0 or fraction < STAGES[-1][0]:
        return RolloutOutcome.IN_PROGRESS
    if fraction >= END_FRACTION:
        return RolloutOutcome.COMPLETED
    settled = STAGES[-1][0] + (END_FRACTION - STAGES[-1][0]) / 2
    if outstanding_before == 0 and fraction >= settled:
        return RolloutOutcome.COMPLETED
    return RolloutOutcome.IN_PROGRESS


def merge_evidence(
    reports: Iterable[Iterable[VersionEvidence]],
) -> list[VersionEvidence]:
    """Add up the evidence of all entries."""
    totals: dict[tuple[ServiceName, str, str], tuple[int, int]] = {}
    for report in reports:
        for item in report:
            key = (item.service, item.version, item.route)
            trials, bad = totals.get(key, (0, 0))
            totals[key] = (trials + item.trials, bad + item.bad)
    return [VersionEvidence(*key, trials, bad) for key, (trials, bad) in totals.items()]


class SessionVersions:
    """Versions that sessions were on, while they are open.

    Parameters
    ----------
    session_seconds : float
        Pause after which a session is over.
    """

    def __init__(self, session_seconds: float) -> None:
        self._seconds = session_seconds
        self._seen: dict[tuple[ServiceName, SessionId], tuple[str, Seconds]] = {}

    def record(
        self, service: ServiceName, session: SessionId, version: str, now: Seconds
    ) -> None:
        """Note that a request of a session is on a version."""
        key = (service, session)
        self._seen.pop(key, None)
        self._seen[key] = (version, now)

    def find_version(
        self, service: ServiceName, session: SessionId, now: Seconds
    ) -> str | None:
        """Return the version of an open session."""
        seen = self._seen.get((service, session))
        if seen is None or now - seen[1] > self._seconds:
            return None
        return seen[0]

    def list_open(self, rollout: ServiceRollout, now: Seconds) -> list[SessionId]:
        """Return open sessions of other versions that would be moved first."""
        self._expire(now)
        return [
            session
            for (service, session), (version, _) in self._seen.items()
            if service == rollout.service
            and version != rollout.target
            and hash_affinity_key(rollout, session) < FIRST_SHARE
        ]

    def _expire(self, now: Seconds) -> None:
        for key, (_, at) in list(self._seen.items()):
            if now - at <= self._seconds:
                return
            del self._seen[key]


def _compute_elapsed_fraction(rollout: ServiceRollout, elapsed_seconds: float) -> float:
    """Return the part of a roll-out's time that has passed."""
    return elapsed_seconds / max(rollout.duration_seconds, MIN_DURATION_SECONDS)


def _sum_by_route(
    evidence: Iterable[VersionEvidence], rollout: ServiceRollout, of_target: bool
) -> dict[str, tuple[int, int]]:
    sums: dict[str, tuple[int, int]] = {}
    for item in evidence:
        if item.service != rollout.service:
            continue
        if (item.version == rollout.target) is not of_target:
            continue
        trials, bad = sums.get(item.route, (0, 0))
        sums[item.route] = (trials + item.trials, bad + item.bad)
    return sums
