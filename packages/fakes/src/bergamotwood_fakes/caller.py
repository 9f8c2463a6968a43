"""A caller: asks for addresses, sends requests, and keeps transcripts."""

from collections.abc import Iterator
from random import Random

import gevent
from geventhttpclient import HTTPClient
from msgspec import DecodeError, Struct, json

from bergamotwood_core.messages import Address
from bergamotwood_core.states import Run
from bergamotwood_fakes.fleet import Fleet, call
from bergamotwood_fakes.member import Member
from bergamotwood_fakes.record import read_clock
from bergamotwood_fakes.transcript import Outcome, Request, Transcript, Try
from bergamotwood_fakes.web import parse_address

DONE = b"[DONE]"
EVENT_PREFIX = b"data:"
LONGEST_WAIT_SECONDS = 1.0
SHORTEST_WAIT_SECONDS = 0.05


class Patience(Struct, frozen=True):
    """How long a caller waits and how often it tries.

    Parameters
    ----------
    silence : float
        Seconds without a byte after which a connection is given up.
    tries : int
        Sendings of one request at most.
    """

    silence: float = 8.0
    tries: int = 6


class Caller:
    """Sends requests to a fleet, as its users would.

    Parameters
    ----------
    fleet : Fleet
        Where to send.
    random : Random
        Of the choice among addresses.
    patience : Patience
        Waits and tries.
    """

    def __init__(
        self, fleet: Fleet, random: Random, patience: Patience | None = None
    ) -> None:
        self._fleet = fleet
        self._random = random
        self._patience = patience or Patience()
        self._addresses: list[Address] = []
        self._kept_until = 0.0
        self.transcripts: list[Transcript] = []

    def send(self, request: Request, entries: tuple[str, ...] = ()) -> Transcript:
        """Send a request until it is answered or the tries are used up.

        Parameters
        ----------
        request : Request
            What to send.
        entries : tuple of str
            Names of the entries to use in turn; the fleet is asked without.
        """
        transcript = Transcript(request)
        self.transcripts.append(transcript)
        for number in range(self._patience.tries):
            one = self._try(request, self._choose(entries, number))
            transcript.tries.append(one)
            if not self._may_resend(request, one):
                break
            self._wait(one)
        transcript.done = True
        return transcript

    def race(self, request: Request, entries: tuple[str, ...]) -> Transcript:
        """Send one request through several entries at once."""
        transcript = Transcript(request)
        self.transcripts.append(transcript)
        sending = [
            gevent.spawn(self._try, request, self._fleet.members[name])
            for name in entries
        ]
        gevent.joinall(sending)
        transcript.tries.extend(greenlet.value for greenlet in sending)
        transcript.done = True
        return transcript

    def find_addresses(self) -> list[Address]:
        """Ask any entry that answers which ones to use."""
        entries = list(self._fleet.entries)
        self._random.shuffle(entries)
        for entry in entries:
            status, body = call(entry.public, "GET", "/v1/addresses")
            if status == 200:
                return self._keep(json.decode(body))
        return []

    def _keep(self, answer: dict) -> list[Address]:
        """Keep an answer of `/v1/addresses` as long as it says."""
        self._kept_until = read_clock() + answer["ttl_seconds"]
        found = [parse_address(row["address"]) for row in answer["addresses"]]
        self._addresses = [self._fleet.find_public(address) for address in found]
        return self._addresses

    def _choose(self, entries: tuple[str, ...], number: int) -> Member:
        """Choose the entry of one try."""
        if entries:
            return self._fleet.members[entries[number % len(entries)]]
        if number or not self._addresses or read_clock() > self._kept_until:
            self.find_addresses()
        known = {entry.public: entry for entry in self._fleet.entries}
        usable = [known[at] for at in self._addresses if at in known]
        return self._random.choice(usable or self._fleet.entries)

    def _may_resend(self, request: Request, one: Try) -> bool:
        """Whether a careful caller sends a request again after a try."""
        match one.outcome:
            case Outcome.ANSWERED:
                return False
            case Outcome.UNREACHABLE:
                return True
            case Outcome.REFUSED:
                return one.status in (429, 503, 504) or one.status == 0
            case _:
                return request.idempotent or bool(request.key)

    def _wait(self, one: Try) -> None:
        """Wait before the next try."""
        wait = max(SHORTEST_WAIT_SECONDS, min(one.retry_after, LONGEST_WAIT_SECONDS))
        gevent.sleep(wait * self._random.uniform(0.5, 1.0))

    def _try(self, request: Request, entry: Member) -> Try:
        """Send a request once, on a connection of its own."""
        one = Try(entry.name, read_clock())
        client = HTTPClient(
            entry.public.host,
            entry.public.port,
            connection_timeout=self._patience.silence,
            network_timeout=self._patience.silence,
        )
        try:
            self._exchange(client, request, one)
        except ConnectionRefusedError:
            one.outcome = Outcome.UNREACHABLE
        except Exception as error:
            one.detail = f"{type(error).__name__}: {error}"
        finally:
            client.close()
            one.ended = read_clock()
        return one

    def _exchange(self, client: HTTPClient, request: Request, one: Try) -> None:
        """Send a request and read what comes back."""
        response = client.request(
            request.method,
            request.path,
            body=request.body,
            headers=_make_headers(request),
        )
        one.status = response.status_code
        one.request_id = response.get("Bergamotwood-Request", "")
        one.version = response.get("Bergamotwood-Version", "")
        one.session = response.get("Bergamotwood-Session", "")
        if "event-stream" in response.get("Content-Type", ""):
            _read_stream(_read_events(response), one)
            return
        body = bytes(response.read())
        one.first_token = read_clock() - one.began
        if one.status >= 400 and "problem" in response.get("Content-Type", ""):
            _read_problem(json.decode(body), one)
            return
        _read_whole(body, request, one)


def _make_headers(request: Request) -> dict[str, str]:
    """Make the header fields of a request."""
    headers = {
        "Authorization": f"Bearer {make_caller_key(request.workspace)}",
        "Content-Type": "application/json",
    }
    if request.key:
        headers["Idempotency-Key"] = request.key
    if not request.idempotent:
        headers["Bergamotwood-Idempotent"] = "false"
    if request.session:
        headers["Bergamotwood-Session"] = request.session
    return headers


def make_caller_key(workspace: str) -> str:
    """Make the key that callers of a workspace show."""
    return f"caller-key-of-{workspace}"


def _read_events(response: object) -> Iterator[bytes]:
    """Read the data of server-sent events."""
    while line := response.readline(b"\n\n"):
        line = bytes(line).strip()
        if line.startswith(EVENT_PREFIX):
            yield line.removeprefix(EVENT_PREFIX).strip()


def _read_stream(events: Iterator[bytes], one: Try) -> None:
    """Read a streamed answer; only its end marker makes it whole."""
    for data in events:
        if data == DONE:
            one.outcome = Outcome.ANSWERED
            return
        event = json.decode(data)
        if "error" in event:
            _read_problem(event["error"], one)
            return
        one.first_token = one.first_token or read_clock() - one.began
        one.request_id = event.get("id", one.request_id)
        one.version = event.get("model", one.version)
        one.text += event["choices"][0]["delta"].get("content") or ""
        _read_receipt(event, one)


def _read_whole(body: bytes, request: Request, one: Try) -> None:
    """Read an answer that came in one piece."""
    one.outcome = Outcome.ANSWERED
    if not request.is_chat:
        one.text = body.decode()
        return
    try:
        completion = json.decode(body)
    except DecodeError:
        one.outcome = Outcome.BROKEN
        return
    one.text = completion["choices"][0]["message"]["content"] or ""
    one.request_id = completion.get("id", "")
    one.version = completion.get("model", "")
    _read_receipt(completion, one)


def _read_receipt(document: dict, one: Try) -> None:
    """Read cost and session, where the answer tells them."""
    receipt = document.get("bergamotwood")
    if receipt is None:
        return
    one.cost = receipt["cost"]
    one.session = receipt["session"]


def _read_problem(problem: dict, one: Try) -> None:
    """Read a problem document."""
    one.code = problem.get("code", 0)
    one.run = Run(problem["run"]) if "run" in problem else None
    one.detail = problem.get("detail", "")
    one.request_id = problem.get("request", one.request_id)
    one.retry_after = problem.get("retry_after", 0.0)
    not_run = one.run is Run.NOT_RUN
    one.outcome = Outcome.REFUSED if not_run else Outcome.UNKNOWN
