"""Choice of the model for requests that leave it open."""

from collections.abc import Sequence

from bergamotwood_core.ids import ModelName

# Confidence of an answer up to which a larger model is asked.
LOW_CONFIDENCE = 0.5


def choose_first_model(
    models: Sequence[ModelName], held: set[ModelName]
) -> ModelName | None:
    """Return the smallest model that endpoints hold, None without one."""
    for model in models:
        if model in held:
            return model
    return None


def choose_next_model(
    models: Sequence[ModelName],
    held: set[ModelName],
    current: ModelName,
    confidence: float | None,
) -> ModelName | None:
    """Return the model to ask instead, None to keep the answer.

    Parameters
    ----------
    models : sequence of ModelName
        Models of the route, smallest first.
    held : set of ModelName
        Models that endpoints hold.
    current : ModelName
        Model that has answered.
    confidence : float or None
        Its opinion of the answer, from 0 to 1.
    """
    if confidence is None or confidence >= LOW_CONFIDENCE or current not in models:
        return None
    larger = [model for model in models[models.index(current) + 1 :] if model in held]
    return larger[-1] if larger else None
