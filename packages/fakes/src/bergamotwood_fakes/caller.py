"""A client of the fleet that retries requests and keeps transcripts."""

from collections.abc import Iterator
from random import Random

import gevent
from geventhttpclient import HTTPClient
from msgspec import DecodeError, Struct, json

from bergamotwood_core.messages import Address
from bergamotwood_core.states import Run
from bergamotwood_fakes.fleet import Fleet, send_http_request
from bergamotwood_fakes.managed_process import ManagedProcess
from bergamotwood_fakes.record import read_clock
from bergamotwood_fakes.transcript import Attempt, Outcome, Request, Transcript
from bergamotwood_fakes.web import parse_address

DONE = b"[DONE]"
EVENT_PREFIX = b"data:"
MAX_RETRY_DELAY_SECONDS = 1.0
MIN_RETRY_DELAY_SECONDS = 0.05


class RetryPolicy(Struct, frozen=True):
    """Timeout and number of attempts of a caller.

    Parameters
    ----------
    idle_timeout_seconds : float
        Seconds without received bytes after which an attempt is abandoned.
    max_attempts : int
        Maximum number of attempts per request.
    """

    idle_timeout_seconds: float = 8.0
    max_attempts: int = 6


class Caller:
    """Sends requests to a fleet as its clients would.

    Parameters
    ----------
    fleet : Fleet
        Fleet that receives the requests.
    random : Random
        Random source for the choice of entries and for retry delays.
    retry_policy : RetryPolicy, optional
        Timeout and number of attempts.
    """

    def __init__(
        self, fleet: Fleet, random: Random, retry_policy: RetryPolicy | None = None
    ) -> None:
        self._fleet = fleet
        self._random = random
        self._retry_policy = retry_policy or RetryPolicy()
        self._addresses: list[Address] = []
        self._addresses_expire_at = 0.0
        self.transcripts: list[Transcript] = []

    def send(self, request: Request, entries: tuple[str, ...] = ()) -> Transcript:
        """Send a request until it is answered or the attempts run out.

        It is sent again only when that is safe.

        Parameters
        ----------
        request : Request
            Request to send.
        entries : tuple of str
            Names of entries to use in turn; by default the fleet is asked for
            addresses.
        """
        transcript = Transcript(request)
        self.transcripts.append(transcript)
        for attempt_number in range(self._retry_policy.max_attempts):
            attempt = self._send_once(
                request, self._choose_entry(entries, attempt_number)
            )
            transcript.tries.append(attempt)
            if not self._may_resend(request, attempt):
                break
            self._wait_before_retry(attempt)
        transcript.done = True
        return transcript

    def send_concurrently(
        self, request: Request, entries: tuple[str, ...]
    ) -> Transcript:
        """Send one request to several entries concurrently."""
        transcript = Transcript(request)
        self.transcripts.append(transcript)
        greenlets = [
            gevent.spawn(self._send_once, request, self._fleet.members[name])
            for name in entries
        ]
        gevent.joinall(greenlets)
        transcript.tries.extend(greenlet.value for greenlet in greenlets)
        transcript.done = True
        return transcript

    def fetch_addresses(self) -> list[Address]:
        """Fetch the addresses to use from any entry that answers."""
        entries = list(self._fleet.entries)
        self._random.shuffle(entries)
        for entry in entries:
            status, body = send_http_request(entry.public, "GET", "/v1/addresses")
            if status == 200:
                return self._cache_addresses(json.decode(body))
        return []

    def _cache_addresses(self, answer: dict) -> list[Address]:
        """Cache a response of `/v1/addresses` for its time to live."""
        self._addresses_expire_at = read_clock() + answer["ttl_seconds"]
        advertised = [parse_address(row["address"]) for row in answer["addresses"]]
        self._addresses = [
            self._fleet.find_public_address(address) for address in advertised
        ]
        return self._addresses

    def _choose_entry(
        self, entries: tuple[str, ...], attempt_number: int
    ) -> ManagedProcess:
        """Choose the entry for an attempt."""
        if entries:
            return self._fleet.members[entries[attempt_number % len(entries)]]
        if (
            attempt_number
            or not self._addresses
            or read_clock() > self._addresses_expire_at
        ):
            self.fetch_addresses()
        entries_by_address = {entry.public: entry for entry in self._fleet.entries}
        usable = [
            entries_by_address[address]
            for address in self._addresses
            if address in entries_by_address
        ]
        return self._random.choice(usable or self._fleet.entries)

    def _may_resend(self, request: Request, attempt: Attempt) -> bool:
        """Whether a request can safely be sent again after an attempt."""
        match attempt.outcome:
            case Outcome.ANSWERED:
                return False
            case Outcome.UNREACHABLE:
                return True
            case Outcome.REFUSED:
                return attempt.status in (429, 503, 504) or attempt.status == 0
            case _:
                return request.idempotent or bool(request.key)

    def _wait_before_retry(self, attempt: Attempt) -> None:
        """Wait before the next attempt, with random jitter."""
        delay = max(
            MIN_RETRY_DELAY_SECONDS, min(attempt.retry_after, MAX_RETRY_DELAY_SECONDS)
        )
        gevent.sleep(delay * self._random.uniform(0.5, 1.0))

    def _send_once(self, request: Request, entry: ManagedProcess) -> Attempt:
        """Send a request once, on a new connection."""
        attempt = Attempt(entry.name, read_clock())
        client = HTTPClient(
            entry.public.host,
            entry.public.port,
            connection_timeout=self._retry_policy.idle_timeout_seconds,
            network_timeout=self._retry_policy.idle_timeout_seconds,
        )
        try:
            self._exchange(client, request, attempt)
        except ConnectionRefusedError:
            attempt.outcome = Outcome.UNREACHABLE
        except Exception as error:
            attempt.detail = f"{type(error).__name__}: {error}"
        finally:
            client.close()
            attempt.ended = read_clock()
        return attempt

    def _exchange(self, client: HTTPClient, request: Request, attempt: Attempt) -> None:
        """Send a request and read the response."""
        response = client.request(
            request.method,
            request.path,
            body=request.body,
            headers=_make_headers(request),
        )
        attempt.status = response.status_code
        attempt.request_id = response.get("Bergamotwood-Request", "")
        attempt.version = response.get("Bergamotwood-Version", "")
        attempt.session = response.get("Bergamotwood-Session", "")
        if "event-stream" in response.get("Content-Type", ""):
            _read_stream(_read_events(response), attempt)
            return
        body = bytes(response.read())
        attempt.first_token = read_clock() - attempt.began
        if attempt.status >= 400 and "problem" in response.get("Content-Type", ""):
            _read_problem(json.decode(body), attempt)
            return
        _read_complete_answer(body, request, attempt)


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
    """Make the API key of a workspace's callers."""
    return f"caller-key-of-{workspace}"


def _read_events(response: object) -> Iterator[bytes]:
    """Yield the data of server-sent events."""
    while line := response.readline(b"\n\n"):
        line = bytes(line).strip()
        if line.startswith(EVENT_PREFIX):
            yield line.removeprefix(EVENT_PREFIX).strip()


def _read_stream(events: Iterator[bytes], attempt: Attempt) -> None:
    """Read a streamed answer, which is complete only with its end marker."""
    for data in events:
        if data == DONE:
            attempt.outcome = Outcome.ANSWERED
            return
        event = json.decode(data)
        if "error" in event:
            _read_problem(event["error"], attempt)
            return
        attempt.first_token = attempt.first_token or read_clock() - attempt.began
        attempt.request_id = event.get("id", attempt.request_id)
        attempt.version = event.get("model", attempt.version)
        attempt.text += event["choices"][0]["delta"].get("content") or ""
        _read_cost_and_session(event, attempt)


def _read_complete_answer(body: bytes, request: Request, attempt: Attempt) -> None:
    """Read an answer that was not streamed."""
    attempt.outcome = Outcome.ANSWERED
    if not request.is_chat:
        attempt.text = body.decode()
        return
    try:
        completion = json.decode(body)
    except DecodeError:
        attempt.outcome = Outcome.BROKEN
        return
    attempt.text = completion["choices"][0]["message"]["content"] or ""
    attempt.request_id = completion.get("id", "")
    attempt.version = completion.get("model", "")
    _read_cost_and_session(completion, attempt)


def _read_cost_and_session(document: dict, attempt: Attempt) -> None:
    """Read cost and session from an answer that contains them."""
    extension = document.get("bergamotwood")
    if extension is None:
        return
    attempt.cost = extension["cost"]
    attempt.session = extension["session"]


def _read_problem(problem: dict, attempt: Attempt) -> None:
    """Read a problem document into an attempt."""
    attempt.code = problem.get("code", 0)
    attempt.run = Run(problem["run"]) if "run" in problem else None
    attempt.detail = problem.get("detail", "")
    attempt.request_id = problem.get("request", attempt.request_id)
    attempt.retry_after = problem.get("retry_after", 0.0)
    not_run = attempt.run is Run.NOT_RUN
    attempt.outcome = Outcome.REFUSED if not_run else Outcome.UNKNOWN
