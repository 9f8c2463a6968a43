"""Steps of a scenario, each with one verb of the scenario language."""

from msgspec import Struct, field

from bergamotwood_fakes.rule import ANY_PROCESS


class Condition(Struct, forbid_unknown_fields=True):
    """What a step waits for; all given fields must be met.

    Parameters
    ----------
    answered, tried : int
        Minimum number of requests of the stream `of` that were answered, or
        that were begun.
    of : str
        Stream of requests; empty for all streams.
    running : int
        Minimum number of runs in progress at endpoints.
    ran : int
        Minimum number of runs that were started at endpoints.
    finished : str
        Stream whose requests have all finished.
    effective : bool
        Every running entry applies the latest accepted ticket.
    repaired : bool
        Every running control replica takes part in voting.
    endpoints : int
        Minimum number of endpoints that every running entry knows.
    ended : str
        Process that has exited.
    within : float
        Timeout in seconds, after which the step fails.
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
        Name of a ticket in the scenario file.
    entry : str
        Entry to submit it to; empty for random running entries.
    rival : str
        Ticket that is submitted concurrently with the same number.
    resends : int
        Number of times that the same ticket is submitted again.
    copies : int
        Number of tickets with this content and consecutive numbers.
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
        Workspace, and the model or the service and path that it calls.
    count : int
        Number of requests, or of sessions when `turns` is more than one.
    rate : float
        Arrivals per second in an open loop; 0 to send sequentially.
    turns : int
        Number of sequential requests of a session.
    text, words, max_tokens : str, int, int
        Text of the prompt, number of random words added to it, and length of the
        answer in tokens.
    stream, keyed : bool
        Whether to ask for a streamed answer, and to send an idempotency key.
    entries : tuple of str
        Entries to use in turn; by default the fleet is asked for addresses.
    race : bool
        Whether to send each request to all `entries` concurrently.
    resend : bool
        Whether to send each request a second time after it has finished.
    tries : int
        Maximum number of attempts.
    silence : float
        Idle timeout of a caller's connection, in seconds.
    wait : bool
        Whether the next step waits until the stream has finished.
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
    """Inject faults into fake endpoints; empty `faults` remove them."""

    of: tuple[str, ...]
    faults: dict = field(default_factory=dict)


class LinkStep(Struct, forbid_unknown_fields=True):
    """Add a rule to the proxy; see `bergamotwood_fakes.rule`."""

    sources: tuple[str, ...] = (ANY_PROCESS,)
    targets: tuple[str, ...] = (ANY_PROCESS,)
    seconds: float = 0.0
    share: float = 1.0
    new_too: bool = False


class AnnounceStep(Struct, forbid_unknown_fields=True):
    """Post a changed copy of an endpoint's announcement to an entry.

    Parameters
    ----------
    of : str
        Endpoint whose latest announcement is copied.
    entry : str
        Entry that receives the copy.
    changes : dict
        Fields to replace; without `sequence` the sequence number grows by
        1,000,000.
    """

    of: str
    entry: str
    changes: dict = field(default_factory=dict)


class ExpectStep(Struct, forbid_unknown_fields=True):
    """An expectation that must be met at once or within some seconds.

    Parameters
    ----------
    of : str
        Stream of requests; empty for all streams.
    answered, refused, unknown : tuple of int
        Minimum and maximum number of requests with that outcome.
    seen : tuple of int
        Result codes that must each have been returned at least once.
    codes : tuple of int, optional
        The only result codes that may be returned.
    longest_gap : float, optional
        Maximum number of seconds without an answer while requests are waiting.
    ran : tuple of int, optional
        Minimum and maximum number of runs of the stream's requests at endpoints.
    versions : tuple of str, optional
        The only versions that may answer.
    within : float
        Timeout in seconds.
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
    """One verb, executed at a given time and on a condition.

    Parameters
    ----------
    at : float, optional
        Earliest time, in seconds after the start of the scenario.
    when : Condition, optional
        Condition to wait for after `at`.
    announce, ticket, send, fault, expect : optional
        Verbs that the class of their value describes.
    delay, drop, cut, silence, half_open, partition : LinkStep, optional
        Add a rule with this action to the proxy.
    heal : bool, optional
        Remove all rules from the proxy.
    start, stop, pause, wake, kill, restart, lose_disk : str, optional
        Process to start, to shut down gracefully, to suspend, to resume, to kill, to
        kill and start again, or to kill before its data folder is erased.
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
