"""Sequential tests on the mean of bounded losses, valid at any stopping time.

The tests use betting: they bet that the mean of a loss between 0 and 1 lies on one
side of a baseline. While it does not, the capital of the bets is a nonnegative
supermartingale that starts at 1. The probability that it ever exceeds `1 / rate` is
then at most `rate`, the error rate that the caller accepts (Ville's inequality).
"""

from collections.abc import Sequence
from dataclasses import dataclass
from math import exp, inf, log

# Stakes, as fractions of the largest stake that keeps the capital positive.
STAKES = (0.02, 0.05, 0.1, 0.2, 0.4, 0.7, 0.95)


@dataclass(frozen=True, slots=True)
class Loss:
    """A number of observations with the same loss.

    Parameters
    ----------
    value : float
        Loss, from 0 to 1.
    count : int
        Number of observations.
    """

    value: float
    count: int


def bet_above(losses: Sequence[Loss], baseline: float) -> float:
    """Compute the capital against the claim that the mean loss is at most a baseline.

    Parameters
    ----------
    losses : sequence of Loss
        Observed losses.
    baseline : float
        Claimed upper bound of the mean loss.

    Returns
    -------
    float
        Capital, with an expected value of at most 1 while the claim is true.
    """
    if baseline <= 0.0 or baseline >= 1.0:
        return 1.0
    return _average_capital(losses, baseline, 1.0 / baseline)


def bet_below(losses: Sequence[Loss], baseline: float) -> float:
    """Compute the capital against the claim that the mean is at least a baseline."""
    if baseline <= 0.0 or baseline >= 1.0:
        return 1.0
    return _average_capital(losses, baseline, -1.0 / (1.0 - baseline))


def _average_capital(losses: Sequence[Loss], baseline: float, largest: float) -> float:
    total = 0.0
    for stake in STAKES:
        # Bounded because exp overflows above 709.
        total += exp(min(_log_capital(losses, baseline, stake * largest), 700.0))
    return total / len(STAKES)


def _log_capital(losses: Sequence[Loss], baseline: float, stake: float) -> float:
    log_capital = 0.0
    for loss in losses:
        if loss.count <= 0:
            continue
        factor = 1.0 + stake * (loss.value - baseline)
        if factor <= 0.0:
            return -inf
        log_capital += loss.count * log(factor)
    return log_capital
