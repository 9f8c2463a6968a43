"""Choice of the model for requests that leave the choice to the router.

A larger model is only tried if it is expected to finish before the caller gives up, and
to start within the latency objective: otherwise it would occupy an engine for a long
time, and delay the requests of other callers beyond theirs. It answers bursts in which
the engines cannot give every request its best answer in time.
"""

from collections.abc import Callable, Sequence

from bergamotwood_core.ids import ModelName

# Confidence below which the request is sent to a larger model.
LOW_CONFIDENCE = 0.5


def choose_first_model(
    models: Sequence[ModelName], available: set[ModelName]
) -> ModelName | None:
    """Return the smallest available model; None if there is none."""
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
    """Return the largest model to try next, or None to keep the answer.

    Parameters
    ----------
    models : sequence of ModelName
        Models of the route, smallest first.
    available : set of ModelName
        Models that endpoints have loaded.
    current : ModelName
        Model that produced the answer.
    confidence : float or None
        The model's confidence in its answer, from 0 to 1.
    has_time : callable
        Returns whether a model is expected to answer in time.
    """
    if confidence is None or confidence >= LOW_CONFIDENCE or current not in models:
        return None
    for model in reversed(models[models.index(current) + 1 :]):
        if model in available and has_time(model):
            return model
    return None


def can_finish_in_time(seconds: float | None, time_left: float) -> bool:
    """Whether an answer finishes in time with a probability of at least one half.

    Estimates are medians: an answer whose estimate equals the time left finishes in
    time with a probability of one half.

    Parameters
    ----------
    seconds : float or None
        Estimated duration; None if unknown, which counts as in time.
    time_left : float
        Seconds until the caller no longer waits for the answer.
    """
    return seconds is None or seconds <= time_left


def can_start_in_time(start_seconds: float | None, objective_left: float) -> bool:
    """Whether an answer starts within the objective, unless that has passed already.

    A caller whose objective has passed still gains by a better answer.

    Parameters
    ----------
    start_seconds : float or None
        Expected time until the answer starts; None if unknown, which counts as in
        time.
    objective_left : float
        Seconds left until the latency objective of the route.
    """
    return start_seconds is None or not 0.0 < objective_left < start_seconds
