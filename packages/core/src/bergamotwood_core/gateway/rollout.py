"""Roll-out of a service's version: traffic share, session assignment and outcome.

The share of the new version stays small for the first half of the time, so that a bad
version affects few requests. It then grows with the evidence and reaches 1 early
enough for requests on the previous version to finish.
"""

from collections.abc import Iterable, Sequence

from msgspec import Struct

from bergamotwood_core.clock import Seconds
from bergamotwood_core.gateway.routing import hash_to_unit_interval
from bergamotwood_core.gateway.state_machine import RolloutOutcome, ServiceRollout
from bergamotwood_core.ids import ServiceName, SessionId
from bergamotwood_core.sequential import Loss, bet_above

# Fraction of the roll-out's time at which each stage starts, and the share of sessions
# on the new version from then on. The time before the first stage allows endpoints to
# start and entries to exchange their open sessions. The other stages start after
# open sessions may move.
STAGES = ((0.1, 0.08), (0.52, 0.2), (0.7, 0.5), (0.76, 1.0))
FIRST_SHARE = STAGES[0][1]
# Fraction of the time after which open sessions may move to the new version.
SESSION_MOVE_FRACTION = 0.5
# Fraction of the time at which the roll-out ends. The rest allows the outcome to be
# committed and read before the deadline.
END_FRACTION = 0.93
# Minimum number of finished requests on the new version for the last two stages.
# Shortly before the end, these stages start without it.
MIN_EVIDENCE_TRIALS = 12
# Maximum probability that a good version is ever judged to be bad.
FALSE_STOP_RATE = 0.005
# Tolerated increase of the rate of bad answers over the previous version, because the
# rate of one route is measured with few requests.
TOLERATED_RATE = 0.03
# Prior for the rate of the previous version: one bad answer in fifty requests.
PRIOR_BAD = 1.0
PRIOR_TRIALS = 50.0
# Interval at which another test starts, so that good answers at the beginning do not
# hide a version that turns bad later.
TEST_PERIOD_SECONDS = 3.0
# Minimum number of endpoints on the new version, relative to those on other versions,
# before traffic is moved.
MIN_CAPACITY_FRACTION = 0.5
# Minimum duration of a roll-out, which avoids division by zero.
MIN_DURATION_SECONDS = 1e-3


class VersionEvidence(Struct, frozen=True, array_like=True):
    """Counts of finished requests of one route on one version of a service.

    Parameters
    ----------
    service, version, route : str
        Service, version and route of the requests.
    trials : int
        Finished requests.
    bad : int
        Finished requests that failed or were slow.
    """

    service: ServiceName
    version: str
    route: str
    trials: int
    bad: int


class RolloutView(Struct, frozen=True, array_like=True):
    """State of a roll-out as sent to entries.

    Parameters
    ----------
    rollout : ServiceRollout
        Roll-out as stored in the log.
    elapsed_seconds : float
        Time since the roll-out was ordered.
    share : float
        Share of the sessions on the new version.
    """

    rollout: ServiceRollout
    elapsed_seconds: float
    share: float

    @property
    def may_move_sessions(self) -> bool:
        """Whether open sessions may move to the new version."""
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
    """Return the share of the sessions that is sent to the new version.

    Parameters
    ----------
    rollout : ServiceRollout
        A roll-out in progress.
    elapsed_seconds : float
        Time since the roll-out was ordered.
    evidence : iterable of VersionEvidence
        Finished requests on all versions.
    has_capacity : bool
        Whether enough endpoints run the new version.
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
    """Whether requests with an affinity key are sent to the new version.

    Parameters
    ----------
    view : RolloutView
        A roll-out in progress.
    affinity_key : str
        Id of the session, or of the request if it has no session.
    is_on_other_version : bool
        Whether the session is open on another version.
    """
    point = hash_affinity_key(view.rollout, affinity_key)
    if point >= view.share:
        return False
    return view.may_move_sessions or not is_on_other_version


def hash_affinity_key(rollout: ServiceRollout, affinity_key: str) -> float:
    """Return the hash of an affinity key in [0, 1), specific to a roll-out."""
    return hash_to_unit_interval(f"{rollout.service}/{rollout.target}/{affinity_key}")


class RegressionDetector:
    """Sequential test for a route on which the new version is worse.

    A test starts every `TEST_PERIOD_SECONDS`. Each one bets that the rate of bad
    answers exceeds the rate of the previous version plus `TOLERATED_RATE`. The new
    version is bad if the mean capital of all tests on a route reaches the number of
    routes divided by `FALSE_STOP_RATE`.
    """

    def __init__(self) -> None:
        self._test_starts: list[tuple[Seconds, dict[str, tuple[int, int]]]] = []

    def find_regressed_route(
        self, rollout: ServiceRollout, evidence: Sequence[VersionEvidence], now: Seconds
    ) -> str | None:
        """Return a route on which the new version is shown to be bad, if any."""
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
    """Return the outcome of a roll-out, or that it is still in progress.

    Parameters
    ----------
    rollout : ServiceRollout
        A roll-out in progress.
    elapsed_seconds : float
        Time since the roll-out was ordered.
    regressed_route : str or None
        Route on which the new version is bad.
    share : float
        Share of the sessions on the new version.
    outstanding_before : int
        Requests that are still open on other versions. Their endpoints stop without
        draining once the roll-out is completed.
    """
    if regressed_route is not None:
        return RolloutOutcome.ROLLED_BACK
    fraction = _compute_elapsed_fraction(rollout, elapsed_seconds)
    if share < 1.0 or fraction < STAGES[-1][0]:
        return RolloutOutcome.IN_PROGRESS
    if fraction >= END_FRACTION:
        return RolloutOutcome.COMPLETED
    early_end = STAGES[-1][0] + (END_FRACTION - STAGES[-1][0]) / 2
    if outstanding_before == 0 and fraction >= early_end:
        return RolloutOutcome.COMPLETED
    return RolloutOutcome.IN_PROGRESS


def merge_evidence(
    reports: Iterable[Iterable[VersionEvidence]],
) -> list[VersionEvidence]:
    """Return the summed evidence of all entries."""
    totals: dict[tuple[ServiceName, str, str], tuple[int, int]] = {}
    for report in reports:
        for item in report:
            key = (item.service, item.version, item.route)
            trials, bad = totals.get(key, (0, 0))
            totals[key] = (trials + item.trials, bad + item.bad)
    return [VersionEvidence(*key, trials, bad) for key, (trials, bad) in totals.items()]


class SessionVersions:
    """Versions of the sessions that are open at this entry.

    Parameters
    ----------
    session_timeout_seconds : float
        Time without requests after which a session is closed.
    """

    def __init__(self, session_timeout_seconds: float) -> None:
        self._timeout_seconds = session_timeout_seconds
        self._seen: dict[tuple[ServiceName, SessionId], tuple[str, Seconds]] = {}

    def record(
        self, service: ServiceName, session: SessionId, version: str, now: Seconds
    ) -> None:
        """Record that a request of a session was sent to a version."""
        key = (service, session)
        self._seen.pop(key, None)
        self._seen[key] = (version, now)

    def find_version(
        self, service: ServiceName, session: SessionId, now: Seconds
    ) -> str | None:
        """Return the version of an open session; None if it is not open."""
        seen = self._seen.get((service, session))
        if seen is None or now - seen[1] > self._timeout_seconds:
            return None
        return seen[0]

    def list_open(self, rollout: ServiceRollout, now: Seconds) -> list[SessionId]:
        """Return open sessions on other versions that the first stage would move."""
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
            if now - at <= self._timeout_seconds:
                return
            del self._seen[key]


def _compute_elapsed_fraction(rollout: ServiceRollout, elapsed_seconds: float) -> float:
    """Return the elapsed fraction of a roll-out's time."""
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
