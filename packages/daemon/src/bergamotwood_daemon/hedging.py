"""Hedged requests: a second attempt when a short idempotent call is slow."""

from collections.abc import Callable
from typing import TypeVar

from gevent import Greenlet, spawn, wait

from bergamotwood_core.clock import Seconds
from bergamotwood_core.retry import HedgeBudget

Answer = TypeVar("Answer")


def run_hedged(
    attempt: Callable[[], Answer],
    budget: HedgeBudget,
    clock: Callable[[], Seconds],
) -> Answer:
    """Run an attempt, and a second one if the first does not answer in time.

    Parameters
    ----------
    attempt : callable
        Runs one attempt. The greenlet of the slower one is killed, which must cancel
        its request.
    budget : HedgeBudget
        Sets the delay before a second attempt, and limits their number.
    clock : callable
        Returns the current time.

    Returns
    -------
    object
        The first answer.

    Raises
    ------
    BergamotwoodError
        Every attempt failed; the error is the first attempt's.
    """
    started_at = clock()
    delay = budget.delay_seconds
    first = spawn(attempt)
    if delay is not None and not wait([first], timeout=delay) and budget.try_spend():
        answer = _wait_for_first_answer([first, spawn(attempt)])
    else:
        answer = _wait_for_first_answer([first])
    budget.record_latency(clock() - started_at)
    return answer


def _wait_for_first_answer(running: list[Greenlet]) -> Answer:
    """Return the first answer, and kill the attempts that are still running."""
    pending = list(running)
    try:
        while pending:
            for greenlet in wait(pending, count=1):
                pending.remove(greenlet)
                if greenlet.successful():
                    return greenlet.value
        return running[0].get()
    finally:
        for greenlet in running:
            greenlet.kill(block=False)
