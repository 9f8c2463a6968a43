"""Choice of the model for requests that leave it open.

Answers the load of long answers: a larger model that is too slow to end within the
caller's patience would hold an engine for long, and the caller would get nothing.
"""

from collections.abc import Callable, Sequence

from bergamotwood_core.ids import ModelName

# Confidence of an answer up to which a larger model is asked.
LOW_CONFIDENCE = 0.5


def choose_first_model(
    models: Sequence[ModelName], available: set[ModelName]
) -> ModelName | None:
    """Return the smallest model that endpoints hold, None without one."""
    for model in models:
        if model in available:
            return model
    return None


def choose_next_model(
    models: Sequence[ModelName],
    available: set[ModelName],
    current: ModelName,
    confidence: float | None,
    has_time: Callable[[ModelName], bool],
) -> ModelName | None:
    """Return the largest model to ask instead, None to keep the answer.

    Parameters
    ----------
    models : sequence of ModelName
        Models of the route, smallest first.
    available : set of ModelName
        Models that endpoints hold.
    current : ModelName
        Model that has answered.
    confidence : float or None
        Its opinion of the answer, from 0 to 1.
    has_time : callable
        Whether a model is expected to answer in time.
    """
    if confidence is None or confidence >= LOW_CONFIDENCE or current not in models:
        return None
    for model in reversed(models[models.index(current) + 1 :]):
        if model in available and has_time(model):
            return model
    return None


def can_finish_in_time(seconds: float | None, time_left: float) -> bool:
    """Whether an answer is as likely as not to end in time.

    Estimates are right at the median, so the chances are even where one just fits.

    Parameters
    ----------
    seconds : float or None
        The estimate; None where there is none yet, which allows it.
    time_left : float
        Seconds until nobody waits for the answer.
    """
    return seconds is None or seconds <= time_left
