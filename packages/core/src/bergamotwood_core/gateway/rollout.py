"""Roll-out of a service's version: traffic share, session assignment and outcome.

The share of the new version stays small for the first half of the time, so that a bad
version affects few requests. It then grows with the evidence, as far as the limit on
the requests of a bad version allows, and reaches 1 just before the end.
"""

from collections.abc import Callable, Collection, Iterable, Sequence
from math import exp, lgamma, log

from msgspec import Struct

from bergamotwood_core.clock import Seconds
from bergamotwood_core.gateway.endpoints import EndpointHeartbeat
from bergamotwood_core.gateway.exposure import (
    LATEST_FULL_START,
    REPORT_SECONDS,
    ExposureLimit,
    SentRequests,
    choose_affordable,
    find_affordable_share,
)
from bergamotwood_core.gateway.orders import RolloutOutcome, ServiceRollout
from bergamotwood_core.gateway.routing import hash_to_unit_interval
from bergamotwood_core.ids import LogIndex, ServiceName
from bergamotwood_core.sequential import Loss, bet_above

# Fraction of the roll-out's time at which each stage starts, and the share of sessions
# on the new version from then on. The time before the first stage allows endpoints to
# start and entries to exchange their open sessions. The other stages start after
# open sessions may move.
STAGES = ((0.1, 0.08), (0.52, 0.2), (0.7, 0.5), (0.76, 1.0))
FIRST_SHARE = STAGES[0][1]
# Where few requests come, the first share tells too little of a slower version in time.
# It then grows to the share that would send this many requests to the new version in
# the whole time, up to a maximum. From then until the last stages these are about 30,
# the number that a bad version may get in addition to its allowed part of all requests.
EARLY_REQUESTS = 72.0
MAX_EARLY_SHARE = 0.35
# Fraction of the time at which that share is computed, and from which on it holds.
# Entries exchange the open sessions that it would move in between. Endpoints that have
# just started are slower for some seconds, which an earlier start would take for a
# fault of the version.
EARLY_SHARE_KNOWN = 0.25
EARLY_SHARE_START = 0.38
# Open sessions are exchanged up to this multiple of it: replicas compute it from
# slightly different counts.
EARLY_SHARE_MARGIN = 1.2
# Fraction of the time after which open sessions may move to the new version.
SESSION_MOVE_FRACTION = 0.5
# Fraction of the time at which the roll-out ends. The rest allows the outcome to be
# committed and read before the deadline.
END_FRACTION = 0.93
# Open requests for each judged one above which a version is not completed.
MAX_OPEN_RATIO = 3.0
# Minimum number of judged requests on the new version for the last two stages, which
# also need as many of them as are still open.
# Shortly before the end, these stages start without it.
MIN_EVIDENCE_TRIALS = 12
# Maximum probability that a good version is ever judged to be bad.
FALSE_STOP_RATE = 0.005
# The same for a version under suspicion. It gets no larger share, and is rolled back if
# the time ends before more is known.
FALSE_SUSPICION_RATE = 0.4
# Factor by which requests may take longer on the new version, as its endpoints have no
# prompts cached yet; and probability that such a version is suspected.
SLOWER_FACTOR = 1.4
SLOWER_RATE = 0.01
# Part of a sum below which further terms are left out.
NEGLIGIBLE = 1e-12
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
# Stands for all routes of a service in a verdict.
ALL_ROUTES = "*"
# Roll-out of counts that an older build reports without one.
UNKNOWN_ROLLOUT = LogIndex(0)
# Minimum duration of a roll-out, which avoids division by zero.
MIN_DURATION_SECONDS = 1e-3


class VersionEvidence(Struct, frozen=True, array_like=True):
    """Counts of judged requests of one route on one version of a service.

    A request is judged once it has ended, or while it is open once its answer has taken
    too long: otherwise the answers of a slower version would be judged by its quick
    ones alone.

    Parameters
    ----------
    service, version, route : str
        Service, version and route of the requests.
    trials : int
        Judged requests.
    bad : int
        Judged requests that failed or were slow.
    open : int
        Requests that are not judged yet.
    ended : int
        Requests that have ended.
    seconds : float
        Time that all requests have taken so far, ended or not.
    sent : int
        Requests that were sent, also those whose end says nothing. Older builds report
        0.
    rollout : LogIndex
        Roll-out during which they were sent.
    """

    service: ServiceName
    version: str
    route: str
    trials: int
    bad: int
    open: int = 0
    ended: int = 0
    seconds: float = 0.0
    sent: int = 0
    rollout: LogIndex = UNKNOWN_ROLLOUT

    @property
    def requests(self) -> int:
        """Number of requests that were sent, as far as it is known."""
        return max(self.sent, self.trials + self.open)


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
    early_share : float
        Share that follows the first one, or 0 if that stays. Of level 1.
    """

    rollout: ServiceRollout
    elapsed_seconds: float
    share: float
    early_share: float = 0.0

    @property
    def may_move_sessions(self) -> bool:
        """Whether open sessions may move to the new version."""
        return (
            self.elapsed_seconds
            >= SESSION_MOVE_FRACTION * self.rollout.duration_seconds
        )

    @property
    def exchanged_share(self) -> float:
        """Share up to which entries exchange the open sessions on other versions."""
        return max(FIRST_SHARE, EARLY_SHARE_MARGIN * self.early_share)

    @property
    def exchanges_sessions(self) -> bool:
        """Whether entries exchange the open sessions on other versions."""
        is_running = self.rollout.outcome is RolloutOutcome.IN_PROGRESS
        return is_running and not self.may_move_sessions


def compute_early_share(
    rollout: ServiceRollout,
    elapsed_seconds: float,
    evidence: Iterable[VersionEvidence],
    limit: ExposureLimit = ExposureLimit(),  # noqa: B008
) -> float | None:
    """Return the share that follows the first one; None before it can be told.

    Parameters
    ----------
    rollout : ServiceRollout
        A roll-out in progress.
    elapsed_seconds : float
        Time since the roll-out was ordered.
    evidence : iterable of VersionEvidence
        Requests on all versions.
    limit : ExposureLimit
        Requests that a bad version may get until the deadline.
    """
    if _compute_elapsed_fraction(rollout, elapsed_seconds) < EARLY_SHARE_KNOWN:
        return None
    sent = count_sent(rollout, evidence)
    # The latest requests are not in the evidence yet.
    reported_seconds = max(elapsed_seconds - REPORT_SECONDS, REPORT_SECONDS)
    expected = sent.total * rollout.duration_seconds / reported_seconds
    return min(
        EARLY_REQUESTS / max(expected, 1.0),
        MAX_EARLY_SHARE,
        find_affordable_share(rollout, elapsed_seconds, sent, limit, FIRST_SHARE),
    )


def choose_share(
    rollout: ServiceRollout,
    elapsed_seconds: float,
    evidence: Iterable[VersionEvidence],
    has_capacity: bool,
    is_suspected: bool = False,
    early_share: float = 0.0,
    limit: ExposureLimit = ExposureLimit(),  # noqa: B008
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
    is_suspected : bool
        Whether the new version is likely to be bad.
    early_share : float
        Share that follows the first one.
    limit : ExposureLimit
        Requests that a bad version may get until the deadline.
    """
    evidence = list(evidence)
    fraction = _compute_elapsed_fraction(rollout, elapsed_seconds)
    reached = [share for start, share in STAGES if fraction >= start]
    if not reached or not has_capacity:
        return 0.0
    judged, open_requests = _count_on_target(rollout, evidence)
    lacks_evidence = judged < max(MIN_EVIDENCE_TRIALS, open_requests)
    if is_suspected or (lacks_evidence and fraction < END_FRACTION - 0.1):
        reached = reached[:2]
    if fraction >= EARLY_SHARE_START:
        reached = [max(share, early_share) for share in reached]
    if fraction >= LATEST_FULL_START:
        return reached[-1]
    sent = count_sent(rollout, evidence)
    return choose_affordable(reached, rollout, elapsed_seconds, sent, limit)


def count_sent(
    rollout: ServiceRollout, evidence: Iterable[VersionEvidence]
) -> SentRequests:
    """Return the requests that were sent to a service since its roll-out was ordered.

    Parameters
    ----------
    rollout : ServiceRollout
        The roll-out.
    evidence : iterable of VersionEvidence
        Requests on all versions.
    """
    total = exposed = 0
    for item in evidence:
        if item.service != rollout.service:
            continue
        total += item.requests
        if item.version == rollout.target:
            exposed += item.requests
    return SentRequests(total, exposed)


def is_on_target(
    view: RolloutView,
    affinity_key: str,
    is_on_other_version: bool,
    is_on_withdrawn_version: bool = False,
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
    is_on_withdrawn_version : bool
        Whether that one was rolled back. The session has to leave it, and moves once
        only if it goes to the version that all sessions will get.
    """
    if is_on_withdrawn_version and view.may_move_sessions and view.share > 0.0:
        return True
    point = hash_affinity_key(view.rollout, affinity_key)
    if point >= view.share:
        return False
    return view.may_move_sessions or not is_on_other_version


def list_allowed_versions(
    view: RolloutView | None,
    heartbeats: list[EndpointHeartbeat],
    routes_to_target: Callable[[RolloutView], bool],
    withdrawn: Collection[str] = (),
) -> tuple[list[list[EndpointHeartbeat]], list[EndpointHeartbeat]]:
    """Return the endpoints that a request may use, preferred group first.

    The second part are those of the version to use if evacuations leave none of them.

    Parameters
    ----------
    view : RolloutView or None
        Newest roll-out of the service; None if there was none.
    heartbeats : list of EndpointHeartbeat
        Endpoints of the service.
    routes_to_target : callable
        Whether the request is sent to the new version during the roll-out.
    withdrawn : collection of str
        Versions that were rolled back.
    """
    if withdrawn:
        heartbeats = [item for item in heartbeats if item.version not in withdrawn]
    if view is None:
        return [heartbeats], []
    target = view.rollout.target
    new = [heartbeat for heartbeat in heartbeats if heartbeat.version == target]
    old = [heartbeat for heartbeat in heartbeats if heartbeat.version != target]
    match view.rollout.outcome:
        case RolloutOutcome.COMPLETED:
            return [new, old], []
        case RolloutOutcome.ROLLED_BACK:
            return [old], []
    return ([new, old], []) if routes_to_target(view) else ([old], new)


def hash_affinity_key(rollout: ServiceRollout, affinity_key: str) -> float:
    """Return the hash of an affinity key in [0, 1), specific to a roll-out."""
    return hash_to_unit_interval(f"{rollout.service}/{rollout.target}/{affinity_key}")


class RegressionDetector:
    """Sequential test for a route on which the new version is worse.

    The first test counts from the order, as far as reports name the roll-out that they
    belong to, so that a replica that starts to look later judges by the same requests.
    Another one starts every `TEST_PERIOD_SECONDS`. Each one bets that the rate of bad
    answers exceeds the rate of the previous version plus `TOLERATED_RATE`. The new
    version is bad if the mean capital of all tests on a route, or on all routes
    together, reaches the number of these divided by `FALSE_STOP_RATE`. In the short
    time of a roll-out a single route may have too few requests.

    Attributes
    ----------
    is_undecided : bool
        Whether far more requests are open on the new version than were judged.
    """

    def __init__(self) -> None:
        self._test_starts: list[tuple[Seconds, dict[str, tuple[int, int]]]] = []
        self._capitals: dict[str, float] = {}
        self._is_slower = False
        self.is_undecided = False

    def update(
        self, rollout: ServiceRollout, evidence: Sequence[VersionEvidence], now: Seconds
    ) -> None:
        """Apply the newest evidence; to be called several times a second."""
        candidate = _sum_by_route(evidence, rollout, of_target=True)
        current = _sum_by_route(evidence, rollout, of_target=False)
        if not self._test_starts:
            unknown = [item for item in evidence if item.rollout == UNKNOWN_ROLLOUT]
            start = _sum_by_route(unknown, rollout, of_target=True)
            self._test_starts.append((now, start))
        elif now - self._test_starts[-1][0] >= TEST_PERIOD_SECONDS:
            self._test_starts.append((now, candidate))
        baselines = {route: _find_baseline(current.get(route)) for route in candidate}
        self._capitals = {
            route: self._compute_capital([route], candidate, baselines)
            for route in candidate
        }
        self._is_slower = is_slower(rollout, evidence)
        judged, open_requests = _count_on_target(rollout, evidence)
        self.is_undecided = open_requests > MAX_OPEN_RATIO * judged
        self._capitals[ALL_ROUTES] = self._compute_capital(
            list(candidate), candidate, baselines
        )

    @property
    def regressed_route(self) -> str | None:
        """Route on which the new version is shown to be bad, if any."""
        return self._find_route(1.0 / FALSE_STOP_RATE)

    @property
    def suspected_route(self) -> str | None:
        """Route on which the new version is more likely to be bad than not, if any."""
        route = self._find_route(1.0 / FALSE_SUSPICION_RATE)
        return ALL_ROUTES if route is None and self._is_slower else route

    def _find_route(self, limit: float) -> str | None:
        for route, capital in self._capitals.items():
            if capital >= limit * len(self._capitals):
                return route
        return None

    def _compute_capital(
        self,
        routes: list[str],
        candidate: dict[str, tuple[int, int]],
        baselines: dict[str, float],
    ) -> float:
        """Return the mean capital of all tests on the requests of some routes."""
        total = 0.0
        for _, since in self._test_starts:
            good = bad = 0
            expected = 0.0
            for route in routes:
                trials, route_bad = candidate[route]
                old_trials, old_bad = since.get(route, (0, 0))
                new_bad = max(route_bad - old_bad, 0)
                new_good = max(trials - old_trials - new_bad, 0)
                bad += new_bad
                good += new_good
                expected += (new_bad + new_good) * baselines[route]
            if not bad + good:
                total += 1.0
                continue
            losses = [Loss(1.0, bad), Loss(0.0, good)]
            total += bet_above(losses, expected / (bad + good))
        return total / len(self._test_starts)


def is_slower(rollout: ServiceRollout, evidence: Iterable[VersionEvidence]) -> bool:
    """Whether requests end far less often on the new version, for their time.

    The ends in a time are compared, as for lifetimes that are censored: a request that
    is open counts with the time that it has taken so far. Both versions have the load
    of the same moments.
    """
    current: dict[str, tuple[int, float]] = {}
    candidate: dict[str, tuple[int, float]] = {}
    for item in evidence:
        if item.service != rollout.service:
            continue
        table = candidate if item.version == rollout.target else current
        known_ended, known_seconds = table.get(item.route, (0, 0.0))
        table[item.route] = (known_ended + item.ended, known_seconds + item.seconds)
    expected = 0.0
    total_ended = 0
    for route, (ended, seconds) in candidate.items():
        known_ended, known_seconds = current.get(route, (0, 0.0))
        if known_seconds:
            expected += seconds * known_ended / known_seconds
            total_ended += ended
    return _compute_poisson_tail(total_ended, expected / SLOWER_FACTOR) < SLOWER_RATE


def choose_outcome(
    rollout: ServiceRollout,
    elapsed_seconds: float,
    regressed_route: str | None,
    share: float,
    outstanding_before: int,
    is_suspected: bool = False,
    is_undecided: bool = False,
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
    is_suspected : bool
        Whether the new version is likely to be bad.
    is_undecided : bool
        Whether far more of its requests are open than were judged.
    """
    if regressed_route is not None:
        return RolloutOutcome.ROLLED_BACK
    fraction = _compute_elapsed_fraction(rollout, elapsed_seconds)
    if (is_suspected or is_undecided) and fraction >= END_FRACTION:
        return RolloutOutcome.ROLLED_BACK
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
    """Return the summed evidence of all entries, by roll-out."""
    totals: dict[tuple[ServiceName, str, str, LogIndex], VersionEvidence] = {}
    for report in reports:
        for item in report:
            key = (item.service, item.version, item.route, item.rollout)
            known = totals.get(key, VersionEvidence(*key[:3], 0, 0))
            totals[key] = VersionEvidence(
                *key[:3],
                known.trials + item.trials,
                known.bad + item.bad,
                known.open + item.open,
                known.ended + item.ended,
                known.seconds + item.seconds,
                known.sent + item.requests,
                item.rollout,
            )
    return list(totals.values())


def is_of_rollout(item: VersionEvidence, rollout: ServiceRollout) -> bool:
    """Whether evidence may belong to a roll-out; that of older builds may."""
    return item.service == rollout.service and item.rollout in (
        UNKNOWN_ROLLOUT,
        rollout.index,
    )


def _compute_elapsed_fraction(rollout: ServiceRollout, elapsed_seconds: float) -> float:
    """Return the elapsed fraction of a roll-out's time."""
    return elapsed_seconds / max(rollout.duration_seconds, MIN_DURATION_SECONDS)


def _count_on_target(
    rollout: ServiceRollout, evidence: Iterable[VersionEvidence]
) -> tuple[int, int]:
    """Return the number of judged and of other open requests on the new version."""
    on_target = [
        item
        for item in evidence
        if item.service == rollout.service and item.version == rollout.target
    ]
    judged = sum(item.trials for item in on_target)
    return judged, sum(item.open for item in on_target)


def _compute_poisson_tail(count: int, mean: float) -> float:
    """Return the probability of at most `count` events where `mean` are expected."""
    if mean <= 0.0:
        return 1.0
    # The sum begins at its largest term: that of no event is 0 for large means.
    peak = min(count, int(mean))
    largest = exp(peak * log(mean) - mean - lgamma(peak + 1))
    total = term = largest
    for number in range(peak, 0, -1):
        term *= number / mean
        total += term
        if term < NEGLIGIBLE * total:
            break
    term = largest
    for number in range(peak + 1, count + 1):
        term *= mean / number
        total += term
        if term < NEGLIGIBLE * total:
            break
    return min(total, 1.0)


def _find_baseline(counts: tuple[int, int] | None) -> float:
    """Return the rate of bad answers that the new version may have on a route."""
    trials, bad = counts or (0, 0)
    rate = (bad + PRIOR_BAD) / (trials + PRIOR_TRIALS)
    return min(rate + TOLERATED_RATE, 0.9)


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
