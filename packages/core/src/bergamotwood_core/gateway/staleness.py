"""Whether a control replica and an entry use a copy of the endpoints and entries.

A replica that has just started, or that was partitioned from the others, may know no
endpoints or such as have left. It answers restarts and partitions of the control group.
"""

# Age from which a replica's state is old: it is partitioned from the others, or they
# have no leader.
MAX_STATE_AGE_SECONDS = 0.9
# Age from which an entry's own copy is no better than any reply. Endpoints announce
# themselves anew meanwhile.
MAX_KEPT_AGE_SECONDS = 3.0
# Time after its start, and relays of another replica, from which on a replica knows the
# endpoints and entries: endpoints announce themselves to all replicas by then.
LEARN_SECONDS = 1.0
LEARN_RELAYS = 3


def is_outdated(reply_age: float, own_age: float) -> bool:
    """Whether a reply tells an older state than an entry's recent copy.

    Parameters
    ----------
    reply_age : float
        Age of the replica's state in seconds; infinite if it was never confirmed.
    own_age : float
        Age of the entry's copy in seconds.
    """
    if reply_age <= MAX_STATE_AGE_SECONDS or own_age > MAX_KEPT_AGE_SECONDS:
        return False
    return reply_age > own_age + MAX_STATE_AGE_SECONDS


def has_learned(seconds: float, relays: int) -> bool:
    """Whether a replica that has started knows the endpoints that the others know.

    Until then it leaves entries that come from another replica what they have. It
    answers replicas that are restarted one right after the other.

    Parameters
    ----------
    seconds : float
        Time since its start.
    relays : int
        Relays of the replica that has sent most of them. The first ones may have been
        sent before that one knew of the start, and contain changes only.
    """
    return seconds >= LEARN_SECONDS or relays >= LEARN_RELAYS
