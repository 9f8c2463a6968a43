"""Sequential tests on bounded losses that may be looked at at any time.

Each test bets on a loss between 0 and 1 having a mean other than a baseline. The
capital of the bets is a nonnegative supermartingale while the mean does not lie on
the tested side, so that it passes `1 / rate` at any time with a chance of at most
`rate` (Ville's inequality).
"""

from collections.abc import Sequence
from dataclasses import dataclass
from math import exp, inf, log

# Stakes as shares of the largest one that keeps the capital positive.
STAKES = (0.02, 0.05, 0.1, 0.2, 0.4, 0.7, 0.95)


@dataclass(frozen=True, slots=True)
class Loss:
    """Observations with the same loss.

    Parameters
    ----------
    value : float
        The loss, 0 to 1.
    count : int
        How many.
    """

    value: float
    count: int


def bet_above(losses: Sequence[Loss], baseline: float) -> float:
    """Capital against the claim that the mean loss is at most a baseline.

    Parameters
    ----------
    losses : sequence of Loss
        What was observed.
    baseline : float
        Claimed bound of the mean loss.

    Returns
    -------
    float
        1 or less on average while the claim is true.
    """
    if baseline <= 0.0 or baseline >= 1.0:
        return 1.0
    return _average_capital(losses, baseline, 1.0 / baseline)


def bet_below(losses: Sequence[Loss], baseline: float) -> float:
    """Capital against the claim that the mean loss is at least a baseline."""
    if baseline <= 0.0 or baseline >= 1.0:
        return 1.0
    return _average_capital(losses, baseline, -1.0 / (1.0 - baseline))


def _average_capital(losses: Sequence[Loss], baseline: float, largest: float) -> float:
    total = 0.0
    for stake in STAKES:
        total += exp(min(_log_capital(losses, baseline, stake * largest), 700.0))
    return total / len(STAKES)


def _log_capital(losses: Sequence[Loss], baseline: float, stake: float) -> float:
    capital = 0.0
    for loss in losses:
        if loss.count <= 0:
            continue
        factor = 1.0 + stake * (loss.value - baseline)
        if factor <= 0.0:
            return -inf
        capital += loss.count * log(factor)
    return capital
