"""Which requests or parts of prompts crash endpoints, by the ends at which they were.

Answers requests that crash whatever runs them, among sound ones that share endpoints
and parts of their prompts with them, and endpoints that end for other reasons.
"""

from bergamotwood_core.gateway.suspects import MIN_CRASHES, Cause, CauseKind

# Lead over any other part that names a part after that many ends.
MIN_LEAD = 1.0
# Ends that name the leading part in any case, or several that are always together.
MIN_LEADING_CRASHES = 4
# Ends that name a part which was served before, for example by an earlier version.
MIN_CRASHES_AFTER_SUCCESS = 5
# Share of the prompts at the ends above which a part is common, and ends that name a
# common part which was served before: it is at most ends whatever causes them.
COMMON_SHARE = 0.2
MIN_CRASHES_OF_COMMON = 8


def choose_causes(
    counts: dict[Cause, float],
    served: frozenset[Cause],
    holders: dict[Cause, set[Cause]],
) -> list[Cause]:
    """Return what crashes endpoints, if the evidence tells it apart.

    A part is named if it was at more ends than any request that has it; a request if
    no part explains as many. What was served before is named last, and a common part
    only after many ends.

    Parameters
    ----------
    counts : dict
        Weighted number of separate ends since the last success of each cause.
    served : frozenset of Cause
        Causes that have had a success.
    holders : dict
        Requests that have each part.
    """
    requests = {
        cause: count
        for cause, count in counts.items()
        if cause.kind is CauseKind.REQUEST
    }
    prompts = len(set().union(*holders.values()))
    parts: dict[Cause, float] = {}
    for part, holding in holders.items():
        count = counts.get(part, 0.0)
        is_common = part in served and len(holding) > COMMON_SHARE * prompts
        is_due = not is_common or count >= MIN_CRASHES_OF_COMMON
        if is_due and count > max(counts.get(own, 0.0) for own in holding):
            parts[part] = count
    most = max(
        (count for cause, count in requests.items() if cause not in served),
        default=0.0,
    )
    named = [
        part
        for part in choose_parts(parts, served)
        if parts[part] >= most + (MIN_LEAD if part in served else 0.0)
    ]
    if named:
        return named
    rival = max(
        (count for part, count in parts.items() if part not in served), default=0.0
    )
    return [
        cause
        for cause, count in requests.items()
        if count >= MIN_CRASHES and count > rival
    ]


def choose_parts(counts: dict[Cause, float], served: frozenset[Cause]) -> list[Cause]:
    """Return the parts that crash endpoints, if the evidence tells them apart.

    Parameters
    ----------
    counts : dict
        Weighted number of separate ends since the last success of each part.
    served : frozenset of Cause
        Parts that have had a success. While nothing is served at all, a part that
        many prompts have is at every end, too.
    """
    fresh = {cause: count for cause, count in counts.items() if cause not in served}
    most, leading = _find_leading(fresh)
    close = [cause for cause, count in fresh.items() if count > most - MIN_LEAD]
    if most >= MIN_LEADING_CRASHES or (most >= MIN_CRASHES and len(close) == 1):
        return leading
    known = {cause: count for cause, count in counts.items() if cause in served}
    most_known, leading_known = _find_leading(known)
    is_clear = most_known > most and len(leading_known) == 1
    if is_clear and most_known >= MIN_CRASHES_AFTER_SUCCESS:
        return leading_known
    return []


def _find_leading(counts: dict[Cause, float]) -> tuple[float, list[Cause]]:
    most = max(counts.values(), default=0.0)
    return most, [cause for cause, count in counts.items() if count == most]
