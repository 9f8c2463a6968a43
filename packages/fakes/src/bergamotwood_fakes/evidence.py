"""Evidence of a scenario run, from which the checks find violations."""

from msgspec import Struct, field

from bergamotwood_fakes.record import Event, Record
from bergamotwood_fakes.transcript import Transcript


class TicketSubmission(Struct):
    """A submitted ticket.

    Parameters
    ----------
    number : int
        Number of the ticket.
    content : dict
        The complete ticket.
    sent, answered : float
        Times of the first attempt and of the answer, in seconds since boot.
    accepted : bool or None
        Whether it was accepted; None when no answer was received.
    """

    number: int
    content: dict
    sent: float
    answered: float = 0.0
    accepted: bool | None = None


class Sample(Struct):
    """The status of an entry's configuration at a time.

    Parameters
    ----------
    time : float
        Time of the status request, in seconds since boot.
    entry : str
        Name of the entry.
    process : int
        Process id, by which a restart of the entry shows.
    ticket : int
        Number of the latest ticket that the entry applies.
    age : float or None
        Seconds since its configuration was last confirmed as the newest; None when
        it never was.
    draining : bool
        Whether it is shutting down.
    """

    time: float
    entry: str
    process: int
    ticket: int
    age: float | None
    draining: bool


class PlannedStop(Struct):
    """A graceful shutdown: when it was requested and when the process exited."""

    name: str
    told: float
    ended: float | None
    exit_code: int | None


class Evidence(Struct):
    """Transcripts, records, tickets and bills of a scenario run.

    Parameters
    ----------
    transcripts : list of Transcript
        Transcripts of all requests.
    records : list of Record
        Records of the runs at endpoints, ordered by time.
    tickets : list of TicketSubmission
        Submitted tickets, in the order in which they were sent.
    bills : list of dict or None
        Bills of the ledger as an entry returns them; None when it could not be
        read.
    samples : list of Sample
        Samples of the entries' configurations.
    departures : list of PlannedStop
        Graceful shutdowns of single processes.
    surprises : list of str
        Descriptions of unexpected exits and of failed shutdowns.
    kept_tickets : dict of int to bool
        Whether each of the latest accepted tickets is still stored at the end.
    lag : float
        Seconds within which all entries must apply an accepted ticket.
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
        """The records of the starts of runs."""
        return [record for record in self.records if record.event is Event.START]


class Violation(Struct):
    """A promise that was violated."""

    promise: str
    detail: str
