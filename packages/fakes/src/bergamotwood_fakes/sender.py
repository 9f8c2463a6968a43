"""Sending of the request streams of a scenario."""

from collections.abc import Iterator
from random import Random

import gevent
from gevent import Greenlet

from bergamotwood_fakes.answer import WORDS
from bergamotwood_fakes.caller import Caller, RetryPolicy
from bergamotwood_fakes.fleet import Fleet
from bergamotwood_fakes.language import ScenarioError
from bergamotwood_fakes.request import make_chat, make_lookup, make_payment
from bergamotwood_fakes.step import SendStep
from bergamotwood_fakes.transcript import Request, Transcript


class Sender:
    """Sends one stream of requests in the background.

    Parameters
    ----------
    fleet : Fleet
        Fleet that receives the requests.
    step : SendStep
        Description of the stream.
    seed : int
        Seed of arrivals, prompts and the choice of entries.
    """

    def __init__(self, fleet: Fleet, step: SendStep, seed: int) -> None:
        self._step = step
        self._random = Random(f"{seed}-{step.id}")
        retry_policy = RetryPolicy(step.silence, step.tries)
        self._caller = Caller(fleet, self._random, retry_policy)
        self._greenlet: Greenlet | None = None

    @property
    def transcripts(self) -> list[Transcript]:
        """The transcripts of the requests sent so far."""
        return self._caller.transcripts

    @property
    def finished(self) -> bool:
        """Whether all requests have finished."""
        return self._greenlet is not None and self._greenlet.ready()

    def start(self) -> None:
        """Start sending."""
        self._greenlet = gevent.spawn(self._run)

    def wait(self, seconds: float) -> bool:
        """Wait until all requests finish and return whether they did in time."""
        self._greenlet.join(seconds)
        if self._greenlet.exception is not None:
            raise self._greenlet.exception
        return self._greenlet.ready()

    def _run(self) -> None:
        """Send all requests, in an open loop if a rate is given."""
        step = self._step
        if not step.rate:
            for number in range(step.count):
                self._send_session(number)
            return
        greenlets = []
        for number in range(step.count):
            greenlets.append(gevent.spawn(self._send_session, number))
            gevent.sleep(self._random.expovariate(step.rate))
        gevent.joinall(greenlets, raise_error=True)

    def _send_session(self, number: int) -> None:
        """Send the requests of one session, each after the previous answer."""
        session = ""
        for turn in range(self._step.turns):
            request = self._make_request(f"{self._step.id}.{number}.{turn}", session)
            transcript = self._send(request)
            if transcript.answer is None:
                return
            session = transcript.answer.session

    def _send(self, request: Request) -> Transcript:
        """Send one request in the way that the step asks for."""
        step = self._step
        if step.race:
            return self._caller.send_concurrently(request, step.entries)
        transcript = self._caller.send(request, step.entries)
        if step.resend:
            self._caller.send(request, step.entries)
        return transcript

    def _make_request(self, mark: str, session: str) -> Request:
        """Make the request with a given mark."""
        step = self._step
        match step.kind:
            case "chat":
                text = " ".join((step.text, *self._draw_words()))
                return make_chat(
                    mark,
                    step.workspace,
                    step.model,
                    text,
                    step.max_tokens,
                    step.stream,
                    f"key-{mark}" if step.keyed else "",
                    session if step.turns > 1 else "",
                )
            case "payment":
                return make_payment(mark, step.workspace, step.service, step.path)
            case "lookup":
                return make_lookup(mark, step.workspace, step.service, step.path)
            case other:
                raise ScenarioError(f"send: unknown kind {other}")

    def _draw_words(self) -> Iterator[str]:
        """Draw the random words of a prompt."""
        return (self._random.choice(WORDS) for _ in range(self._step.words))
