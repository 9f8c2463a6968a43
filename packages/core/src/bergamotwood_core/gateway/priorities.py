"""Priorities by which engines admit requests.

Engines serve requests of equal priority in order of arrival, so that the answer of a
small model waits behind prompts of larger ones, which take ten times as long. That
answer tells whether a larger model is needed at all. It answers bursts in which prompts
wait at the engines.
"""

# Priorities of engines go from 0, the most urgent, to 9.
MAX_PRIORITY = 9
# Priorities of each rank: one for first answers, one for others, and one to spare.
# Ranks from 3 on share the last priority.
PRIORITIES_PER_RANK = 3


def compute_priority(rank: int, is_first_answer: bool) -> int:
    """Return the priority for an engine; a more urgent rank always goes first.

    Parameters
    ----------
    rank : int
        Priority of the workspace or route; 0 is the most urgent.
    is_first_answer : bool
        Whether the smallest model of the route answers.
    """
    return min(PRIORITIES_PER_RANK * rank + (not is_first_answer), MAX_PRIORITY)
