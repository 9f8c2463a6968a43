"""Orders of operators as the state machine keeps them."""

from enum import StrEnum

from msgspec import Struct

from bergamotwood_core.ids import LogIndex, ServiceName


class RolloutOutcome(StrEnum):
    """State of the roll-out of a service's version."""

    IN_PROGRESS = "in_progress"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


class ServiceRollout(Struct, frozen=True, array_like=True):
    """Roll-out of a service with its current outcome.

    Parameters
    ----------
    service, target : str
        Service and version to roll out.
    duration_seconds : float
        Time within which the roll-out has to finish.
    outcome : RolloutOutcome
        State of the roll-out.
    index : LogIndex
        Index of the log entry that started the roll-out; identifies it.
    ordered_at : float
        Wall-clock time of the order in seconds.
    """

    service: ServiceName
    target: str
    duration_seconds: float
    outcome: RolloutOutcome
    index: LogIndex
    ordered_at: float
