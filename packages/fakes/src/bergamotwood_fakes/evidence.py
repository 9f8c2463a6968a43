"""What a scenario leaves behind for its checks."""

from msgspec import Struct, field

from bergamotwood_fakes.record import Event, Record
from bergamotwood_fakes.transcript import Transcript


class TicketSubmission(Struct):
    """A ticket that was submitted.

    Parameters
    ----------
    number : int
        Its number.
    content : dict
        The whole ticket.
    sent, answered : float
        Seconds on the machine's clock.
    accepted : bool or None
        None when no answer came.
    """

    number: int
    content: dict
    sent: float
    answered: float = 0.0
    accepted: bool | None = None


class Sample(Struct):
    """What an entry said of its configuration at a time."""

    time: float
    entry: str
    process: int
    ticket: int
    age: float | None
    draining: bool


class PlannedStop(Struct):
    """A process that was told to stop, and when it had ended."""

    name: str
    told: float
    ended: float | None
    exit_code: int | None


class Evidence(Struct):
    """Records of endpoints, transcripts of callers, and the ledger.

    Parameters
    ----------
    transcripts : list of Transcript
        All requests.
    records : list of Record
        What endpoints ran, in order of time.
    tickets : list of TicketSubmission
        In the order in which they were sent.
    bills : list of dict or None
        The ledger as an entry gives it; None when it could not be read.
    samples : list of Sample
        Of the entries' configuration.
    departures : list of PlannedStop
        Planned stops.
    surprises : list of str
        Processes that ended by themselves, and what else went wrong.
    kept_tickets : dict of int to bool
        Whether an accepted ticket is still known at the end.
    lag : float
        Seconds in which a ticket must be in force.
    """

    transcripts: list[Transcript]
    records: list[Record]
    tickets: list[TicketSubmission]
    bills: list[dict] | None
    samples: list[Sample]
    departures: list[PlannedStop]
    surprises: list[str] = field(default_factory=list)
    kept_tickets: dict[int, bool] = field(default_factory=dict)
    lag: float = 6.0

    @property
    def starts(self) -> list[Record]:
        """Starts of runs."""
        return [record for record in self.records if record.event is Event.START]


class Violation(Struct):
    """A promise that did not hold."""

    promise: str
    detail: str
