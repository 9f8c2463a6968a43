"""Hedged requests: a second attempt for a short idempotent call that is late."""

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
    """Run an attempt, and a second one when the first is late.

    Parameters
    ----------
    attempt : callable
        Runs one attempt; the losing one is killed, which must cancel it.
    budget : HedgeBudget
        When a call is late, and whether a second attempt may be made.
    clock : callable
        Gives the time.

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
    """Return the first answer and cancel whoever has not ended."""
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
