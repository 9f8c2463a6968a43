"""How many requests a new version may get before the deadline of its roll-out.

A version may show its fault only at a share that it has not had yet, or only after the
deadline. So the requests that it gets until then are bounded whatever the evidence
tells, and its share grows to what the rest of the time allows. It answers versions that
are bad under load.
"""

from collections.abc import Iterable
from math import sqrt

from msgspec import Struct

from bergamotwood_core.gateway.orders import ServiceRollout

# Part of the allowed requests that is planned with, as traffic varies meanwhile, and
# standard deviations of the planned ones, if they came at random, that are reserved.
# The requests of a session come together, so they deviate more than random ones.
PLANNED_FRACTION = 0.97
RESERVED_DEVIATIONS = 3.0
# Time until requests that entries send appear in the evidence.
REPORT_SECONDS = 0.7
# Fraction of the time from which a version without a known fault is to get everything,
# and from which it does in any case, so that it is completed in time. Between them it
# waits if more requests than planned were sent to it.
PLANNED_FULL_START = 0.92
LATEST_FULL_START = 0.95


class ExposureLimit(Struct, frozen=True):
    """Requests that a bad version may get between the order and its deadline.

    Parameters
    ----------
    ratio : float
        Part of all requests of its service.
    tolerance : float
        Requests in addition.
    """

    ratio: float = 0.15
    tolerance: float = 30.0


class SentRequests(Struct, frozen=True):
    """Requests that were sent to a service since a roll-out was ordered.

    Parameters
    ----------
    total : int
        Requests sent to all versions.
    exposed : int
        Those sent to the new version.
    """

    total: int
    exposed: int


def is_affordable(
    share: float,
    rollout: ServiceRollout,
    elapsed_seconds: float,
    sent: SentRequests,
    limit: ExposureLimit,
    current_share: float,
) -> bool:
    """Whether a share leaves enough of the limit to complete the version in time.

    Parameters
    ----------
    share : float
        Share of the new version until it gets all requests.
    rollout : ServiceRollout
        A roll-out in progress.
    elapsed_seconds : float
        Time since the roll-out was ordered.
    sent : SentRequests
        Requests since then.
    limit : ExposureLimit
        Requests that a bad version may get.
    current_share : float
        Share that it has now.
    """
    plan = _make_plan(rollout, elapsed_seconds, sent, limit, current_share)
    planned = share * plan.before_full + plan.full
    reserve = (1.0 - PLANNED_FRACTION) * plan.allowed
    reserve += RESERVED_DEVIATIONS * sqrt(planned)
    return planned <= plan.unspent - reserve


def find_affordable_share(
    rollout: ServiceRollout,
    elapsed_seconds: float,
    sent: SentRequests,
    limit: ExposureLimit,
    current_share: float,
) -> float:
    """Return the largest share that the limit allows until the version gets all.

    Parameters
    ----------
    rollout, elapsed_seconds, sent, limit, current_share
        As for `is_affordable`.
    """
    plan = _make_plan(rollout, elapsed_seconds, sent, limit, current_share)
    return max(plan.unspent - plan.full, 0.0) / max(plan.before_full, 1.0)


class _Plan(Struct, frozen=True):
    """Expected requests until the deadline.

    Parameters
    ----------
    allowed : float
        Requests that a bad version may get.
    unspent : float
        Those of them that may still be planned with.
    before_full, full : float
        Requests until and from the time at which the version gets all.
    """

    allowed: float
    unspent: float
    before_full: float
    full: float


def _make_plan(
    rollout: ServiceRollout,
    elapsed_seconds: float,
    sent: SentRequests,
    limit: ExposureLimit,
    current_share: float,
) -> _Plan:
    left = max(rollout.duration_seconds - elapsed_seconds, 0.0)
    # The latest requests are not in the evidence yet.
    rate = sent.total / max(elapsed_seconds - REPORT_SECONDS, REPORT_SECONDS)
    expected = rate * rollout.duration_seconds
    allowed = limit.ratio * expected + limit.tolerance
    full_seconds = min((1.0 - PLANNED_FULL_START) * rollout.duration_seconds, left)
    unreported = rate * current_share * REPORT_SECONDS
    return _Plan(
        allowed,
        allowed - sent.exposed - unreported,
        rate * (left - full_seconds),
        rate * full_seconds,
    )


def choose_affordable(
    shares: Iterable[float],
    rollout: ServiceRollout,
    elapsed_seconds: float,
    sent: SentRequests,
    limit: ExposureLimit,
) -> float:
    """Return the largest of some shares that is affordable; the first one always is.

    Parameters
    ----------
    shares : iterable of float
        Shares in the order of their stages, at least one.
    rollout, elapsed_seconds, sent, limit
        As for `is_affordable`.
    """
    chosen, *others = shares
    for share in others:
        if not is_affordable(share, rollout, elapsed_seconds, sent, limit, chosen):
            break
        chosen = share
    return chosen
