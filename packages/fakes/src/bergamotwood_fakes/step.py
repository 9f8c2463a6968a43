"""Steps of a scenario: the verbs of the language."""

from msgspec import Struct, field

from bergamotwood_fakes.rule import ANY_PROCESS


class Condition(Struct, forbid_unknown_fields=True):
    """What a step waits for; every given field must hold.

    Parameters
    ----------
    answered, tried : int
        Requests answered, or tries begun, of the stream `of` or of all.
    of : str
        Stream of requests; empty for all.
    running : int
        Runs that endpoints have begun and not ended.
    ran : int
        Runs that endpoints have begun.
    finished : str
        Stream of requests that is over.
    effective : bool
        Every running entry has the newest accepted ticket in force.
    repaired : bool
        Every running control replica counts for majorities.
    endpoints : int
        Endpoints that every running entry knows.
    ended : str
        Process that has ended.
    within : float
        Seconds after which the scenario fails.
    """

    answered: int | None = None
    tried: int | None = None
    of: str = ""
    running: int | None = None
    ran: int | None = None
    finished: str | None = None
    effective: bool = False
    repaired: bool = False
    endpoints: int | None = None
    ended: str | None = None
    within: float = 30.0


class TicketStep(Struct, forbid_unknown_fields=True):
    """Submit a named ticket.

    Parameters
    ----------
    name : str
        Of the file's tickets.
    entry : str
        Where; empty for any that accepts it.
    rival : str
        Ticket that is submitted with the same number at the same time.
    resends : int
        Times that the same ticket is submitted again.
    copies : int
        Tickets with rising numbers and the same content.
    """

    name: str
    entry: str = ""
    rival: str = ""
    resends: int = 0
    copies: int = 1


class SendStep(Struct, forbid_unknown_fields=True):
    """Send a stream of requests.

    Parameters
    ----------
    id : str
        Name of the stream.
    kind : str
        `chat`, `payment` or `lookup`.
    workspace, model, service, path : str
        What is asked for.
    count : int
        Requests, or sessions when `turns` is more than one.
    rate : float
        Arrivals a second, open loop; 0 for one after the other.
    turns : int
        Requests of a session, one after the other.
    text, words, max_tokens : str, int, int
        Prompt's text, words added to it, and length of the answer.
    stream, keyed : bool
        Ask for events, and send an idempotency key.
    entries : tuple of str
        Entries to use; the fleet is asked without.
    race : bool
        Send each request through all `entries` at once.
    resend : bool
        Send each request a second time after its answer.
    tries : int
        Sendings at most.
    silence : float
        Seconds without a byte after which a caller gives a connection up.
    wait : bool
        Whether the next step waits for the end.
    """

    id: str
    kind: str = "chat"
    workspace: str = "circles"
    model: str = "small"
    service: str = "parcels"
    path: str = "payments"
    count: int = 1
    rate: float = 0.0
    turns: int = 1
    text: str = "Summarise this letter."
    words: int = 20
    max_tokens: int | None = None
    stream: bool = True
    keyed: bool = True
    entries: tuple[str, ...] = ()
    race: bool = False
    resend: bool = False
    tries: int = 6
    silence: float = 8.0
    wait: bool = False


class FaultStep(Struct, forbid_unknown_fields=True):
    """Set the faults of stand-ins; without `faults` they are lifted."""

    of: tuple[str, ...]
    faults: dict = field(default_factory=dict)


class LinkStep(Struct, forbid_unknown_fields=True):
    """Hurt connections at the proxy; see `bergamotwood_fakes.rule`."""

    sources: tuple[str, ...] = (ANY_PROCESS,)
    targets: tuple[str, ...] = (ANY_PROCESS,)
    seconds: float = 0.0
    share: float = 1.0
    new_too: bool = False


class AnnounceStep(Struct, forbid_unknown_fields=True):
    """Announce an endpoint through an entry, as itself.

    Parameters
    ----------
    of : str
        Endpoint whose last word is taken.
    entry : str
        Where.
    changes : dict
        Fields that differ.
    """

    of: str
    entry: str
    changes: dict = field(default_factory=dict)


class ExpectStep(Struct, forbid_unknown_fields=True):
    """What must hold, at once or within some seconds.

    Parameters
    ----------
    of : str
        Stream of requests; empty for all.
    answered, refused, unknown : tuple of int
        Least and most requests with that end.
    seen : tuple of int
        Result codes of which each was given to some try.
    codes : tuple of int, optional
        Result codes that refusals may have; others are faults.
    longest_gap : float, optional
        Seconds without an answer at most.
    ran : tuple of int, optional
        Least and most runs at endpoints of requests of the stream.
    versions : tuple of str, optional
        Versions that answers may come from.
    within : float
        Seconds in which it must come to hold.
    """

    of: str = ""
    answered: tuple[int, int] | None = None
    refused: tuple[int, int] | None = None
    unknown: tuple[int, int] | None = None
    seen: tuple[int, ...] = ()
    codes: tuple[int, ...] | None = None
    longest_gap: float | None = None
    ran: tuple[int, int] | None = None
    versions: tuple[str, ...] | None = None
    within: float = 0.0


class Step(Struct, forbid_unknown_fields=True):
    """One verb, at a time or on a condition.

    Parameters
    ----------
    at : float, optional
        Seconds after the start of the steps.
    when : Condition, optional
        Waited for, after `at`.
    """

    at: float | None = None
    when: Condition | None = None
    start: str | None = None
    announce: AnnounceStep | None = None
    ticket: TicketStep | None = None
    send: SendStep | None = None
    fault: FaultStep | None = None
    delay: LinkStep | None = None
    drop: LinkStep | None = None
    cut: LinkStep | None = None
    silence: LinkStep | None = None
    half_open: LinkStep | None = None
    partition: LinkStep | None = None
    heal: bool | None = None
    stop: str | None = None
    pause: str | None = None
    wake: str | None = None
    kill: str | None = None
    restart: str | None = None
    lose_disk: str | None = None
    expect: ExpectStep | None = None
