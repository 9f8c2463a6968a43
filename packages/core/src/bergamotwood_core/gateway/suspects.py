"""What one entry sees of requests that crash the endpoints which execute them.

Either a single request does, which its caller resends, or any request whose prompt has
a certain part. An endpoint that ends takes all of its requests along. Those that it has
just begun to answer are suspected, and answers that survive speak for their request and
for the parts of its prompt. The control group weighs what all entries report.
"""

from collections import OrderedDict, deque
from collections.abc import Iterable
from enum import StrEnum
from itertools import chain

from msgspec import Struct
from msgspec.structs import replace

from bergamotwood_core.clock import Seconds
from bergamotwood_core.gateway.notices import IncarnationKey
from bergamotwood_core.ids import (
    EndpointId,
    Fingerprint,
    Incarnation,
    PromptPartId,
    ServiceName,
)

# Time after the beginning of an answer within which the request can have crashed its
# endpoint. An answer that outlasts it counts as a success.
SURVIVAL_SECONDS = 1.0
# Tolerance for the times at which entries notice the same end of an endpoint.
NOTICE_SECONDS = 0.1
# Further time until an answer counts as a success: another entry may have noticed the
# end of the endpoint, and its report takes a few polls.
CONFIRMATION_SECONDS = 1.2
# Time for which ends of endpoints are kept and reported; covers several polls.
REPORT_SECONDS = 4.0
# Time for which an entry by itself refuses a request that crashed several endpoints.
LOCAL_SUSPENSION_SECONDS = 30.0
# Number of endpoints that a request must have crashed without a success in between.
# Two may be a coincidence while endpoints crash for another reason.
MIN_CRASHES = 3
# Parts of a prompt that are considered; prompts have a few.
MAX_PARTS = 16
# Limits on what one entry keeps: the newest are kept.
MAX_ENDS = 64
MAX_ANSWERS = 4_096
MAX_SUCCESSES = 4_096
MAX_REFUSALS = 64
# Requests of one entry that waited at one endpoint; more than it has slots for.
MAX_WAITING = 128


class CauseKind(StrEnum):
    """What a crash is attributed to.

    Attributes
    ----------
    REQUEST
        One request, whoever resends it.
    PROMPT_PART
        Every request whose prompt has a certain part.
    """

    REQUEST = "request"
    PROMPT_PART = "prompt_part"


class Cause(Struct, frozen=True, array_like=True):
    """What may crash the endpoints of a service.

    Parameters
    ----------
    kind : CauseKind
        Kind of the cause.
    service : ServiceName
        Service whose endpoints crash.
    id : str
        Fingerprint of the request, or id of the part.
    """

    kind: CauseKind
    service: ServiceName
    id: Fingerprint | PromptPartId


class ExecutedRequest(Struct, frozen=True, array_like=True):
    """A request that was at an endpoint when it ended.

    Parameters
    ----------
    fingerprint : Fingerprint
        Hash of the method, path, query, workspace and body.
    parts : tuple of PromptPartId
        Parts of its prompt except the last, which no other request has.
    has_begun : bool
        Whether the endpoint had begun to answer.
    answered_seconds : float
        Time from the beginning of the answer to the end of the endpoint.
    is_resent : bool
        Whether it was sent over a new connection after another endpoint had ended
        with it: the two did not end at the same moment.
    """

    fingerprint: Fingerprint
    parts: tuple[PromptPartId, ...] = ()
    has_begun: bool = False
    answered_seconds: float = 0.0
    is_resent: bool = False

    def list_causes(self, service: ServiceName) -> list[Cause]:
        """Return what may have crashed the endpoint if this request did."""
        causes = [Cause(CauseKind.REQUEST, service, self.fingerprint)]
        causes += [Cause(CauseKind.PROMPT_PART, service, part) for part in self.parts]
        return causes


class EndpointCrash(Struct, frozen=True, array_like=True):
    """The end of an incarnation, and the requests that may have crashed it.

    Parameters
    ----------
    endpoint, incarnation : EndpointId, Incarnation
        The incarnation.
    service : ServiceName
        Its service.
    age_seconds : float
        Time since the end was first noticed.
    requests : tuple of ExecutedRequest
        Requests of the reporting entries.
    is_certain : bool
        Whether it refuses connections; a connection may also break by itself.
    """

    endpoint: EndpointId
    incarnation: Incarnation
    service: ServiceName
    age_seconds: float
    requests: tuple[ExecutedRequest, ...] = ()
    is_certain: bool = False


class CauseReport(Struct, frozen=True, array_like=True):
    """Time since something last happened to requests with a cause.

    Parameters
    ----------
    cause : Cause
        The cause.
    age_seconds : float
        Time since it happened.
    is_certain : bool
        False for an answer whose endpoint may still turn out to have crashed.
    """

    cause: Cause
    age_seconds: float
    is_certain: bool = True


class StartedAnswer(Struct):
    """An answer that an endpoint has begun.

    Parameters
    ----------
    request : ExecutedRequest
        The request.
    service : ServiceName
        Its service.
    started_at : Seconds
        Time at which the answer began.
    is_conclusive : bool
        Whether the answer counts as a success if the endpoint survives. One that was
        cut off, or that ended with its connection, does not.
    is_complete : bool
        Whether it was received whole.
    """

    request: ExecutedRequest
    service: ServiceName
    started_at: Seconds
    is_conclusive: bool = True
    is_complete: bool = False


class EndedIncarnation(Struct):
    """An incarnation that has ended.

    Parameters
    ----------
    service : ServiceName
        Its service.
    ended_at : Seconds
        Time at which the end was first noticed.
    is_observed : bool
        Whether this entry noticed it by itself.
    is_certain : bool
        Whether it refuses connections.
    waiting : list of ExecutedRequest
        Requests of this entry that it had not begun to answer.
    """

    service: ServiceName
    ended_at: Seconds
    is_observed: bool = False
    is_certain: bool = False
    waiting: list[ExecutedRequest] = []


class SuspectTable:
    """Answers, ends of endpoints and refusals that one entry has seen."""

    def __init__(self) -> None:
        # Ordered by time: those that are not concluded yet, and the suspected ones.
        self._answers: deque[tuple[IncarnationKey, StartedAnswer]] = deque(
            maxlen=MAX_ANSWERS
        )
        self._suspected: deque[tuple[IncarnationKey, StartedAnswer]] = deque(
            maxlen=MAX_ANSWERS
        )
        self._ended: OrderedDict[IncarnationKey, EndedIncarnation] = OrderedDict()
        self._successes: dict[CauseKind, OrderedDict[Cause, Seconds]] = {
            kind: OrderedDict() for kind in CauseKind
        }
        self._refused: OrderedDict[Cause, Seconds] = OrderedDict()
        self._crashes: deque[tuple[Cause, IncarnationKey, Seconds]] = deque(
            maxlen=MAX_ENDS
        )

    def record_answer(
        self,
        key: IncarnationKey,
        service: ServiceName,
        request: ExecutedRequest,
        now: Seconds,
    ) -> StartedAnswer:
        """Record that an endpoint begins to answer a request."""
        answer = StartedAnswer(request, service, now)
        self._answers.append((key, answer))
        if self._crashes:
            self._drop_refuted_crashes(key, now)
        return answer

    def record_crash(
        self,
        key: IncarnationKey,
        service: ServiceName,
        request: ExecutedRequest,
        now: Seconds,
    ) -> None:
        """Record that an endpoint ended while it had a request.

        Requests that it answered for longer than `SURVIVAL_SECONDS` are not suspected:
        their ends are recorded with `record_end`.
        """
        ended = self._record_end(key, service, now)
        ended.is_observed = True
        if not request.has_begun and len(ended.waiting) < MAX_WAITING:
            ended.waiting.append(request)
        # A request with a prompt that only waited for its answer crashed nothing.
        if request.has_begun or not request.parts:
            cause = Cause(CauseKind.REQUEST, service, request.fingerprint)
            self._crashes.append((cause, key, now))

    def record_end(
        self, key: IncarnationKey, service: ServiceName, now: Seconds
    ) -> None:
        """Record that the connection to an endpoint broke."""
        self._record_end(key, service, now).is_observed = True

    def record_refused_connection(
        self, key: IncarnationKey, service: ServiceName, now: Seconds
    ) -> bool:
        """Record that an endpoint refuses connections; return whether this is new."""
        ended = self._record_end(key, service, now)
        is_new = not ended.is_certain
        ended.is_observed = ended.is_certain = True
        return is_new

    def apply_ends(self, crashes: Iterable[EndpointCrash], now: Seconds) -> None:
        """Apply the ends that other entries have noticed."""
        for crash in crashes:
            self._record_end(
                (crash.endpoint, crash.incarnation),
                crash.service,
                Seconds(now - crash.age_seconds),
            )

    def apply_successes(self, reports: Iterable[CauseReport], now: Seconds) -> None:
        """Apply the certain successes that other entries have seen."""
        for report in reports:
            if report.is_certain:
                self._put_success(report.cause, Seconds(now - report.age_seconds))

    def record_refusal(self, cause: Cause, now: Seconds) -> None:
        """Record that a request was refused because of a cause."""
        self._refused[cause] = now
        self._refused.move_to_end(cause)
        if len(self._refused) > MAX_REFUSALS:
            self._refused.popitem(last=False)

    def list_crashes(self, now: Seconds) -> tuple[EndpointCrash, ...]:
        """Return the recent ends of endpoints, with the requests that are suspected."""
        self._expire(now)
        begun: dict[IncarnationKey, list[ExecutedRequest]] = {}
        for key, answer in chain(self._suspected, self._answers):
            if self._is_suspected(key, answer):
                seconds = self._ended[key].ended_at - answer.started_at
                request = replace(
                    answer.request, answered_seconds=round(max(seconds, 0.0), 3)
                )
                begun.setdefault(key, []).append(request)
        return tuple(
            EndpointCrash(
                *key,
                ended.service,
                round(now - ended.ended_at, 3),
                (*begun.get(key, ()), *ended.waiting),
                ended.is_certain,
            )
            for key, ended in self._ended.items()
            if ended.is_observed or key in begun
        )

    def list_successes(
        self, causes: Iterable[Cause], now: Seconds
    ) -> tuple[CauseReport, ...]:
        """Return the last success for each of some causes that has had one."""
        self._expire(now)
        causes = tuple(causes)
        recent = self._list_recently_served(now) if causes else set()
        reports = []
        for cause in causes:
            at = self._successes[cause.kind].get(cause)
            if at is not None:
                reports.append(CauseReport(cause, round(now - at, 3)))
            elif cause in recent:
                reports.append(CauseReport(cause, 0.0, is_certain=False))
        return tuple(reports)

    def list_refusals(self, now: Seconds) -> tuple[CauseReport, ...]:
        """Return the causes of recent refusals."""
        return tuple(
            CauseReport(cause, round(now - at, 3))
            for cause, at in self._refused.items()
            if now - at <= REPORT_SECONDS
        )

    def measure_suspension(self, cause: Cause, now: Seconds) -> float:
        """Return the seconds for which this entry by itself refuses a request.

        It does so until the control group decides, and while that is away.
        """
        since = now - LOCAL_SUSPENSION_SECONDS
        crashes = [
            (key, at)
            for crashed, key, at in self._crashes
            if crashed == cause and at > since
        ]
        if len({key for key, _ in crashes}) < MIN_CRASHES:
            return 0.0
        served_at = self._find_last_served(cause)
        if len({key for key, at in crashes if at > served_at}) < MIN_CRASHES:
            return 0.0
        return max(at for _, at in crashes) + LOCAL_SUSPENSION_SECONDS - now

    def _find_last_served(self, cause: Cause) -> Seconds:
        """Return the time of the last success, certain or not."""
        served_at = self._successes[cause.kind].get(cause, Seconds(float("-inf")))
        for key, answer in self._answers:
            if (
                answer.is_complete
                and cause in answer.request.list_causes(answer.service)
                and not self._is_suspected(key, answer)
            ):
                served_at = max(served_at, answer.started_at)
        return served_at

    def _drop_refuted_crashes(self, key: IncarnationKey, now: Seconds) -> None:
        """Forget the crashes of an incarnation that begins an answer later."""
        self._crashes = deque(
            (
                crash
                for crash in self._crashes
                if crash[1] != key or now - crash[2] <= SURVIVAL_SECONDS
            ),
            maxlen=MAX_ENDS,
        )

    def _record_end(
        self, key: IncarnationKey, service: ServiceName, at: Seconds
    ) -> EndedIncarnation:
        ended = self._ended.get(key)
        if ended is None:
            ended = self._ended[key] = EndedIncarnation(service, at)
            if len(self._ended) > MAX_ENDS:
                self._ended.popitem(last=False)
        ended.ended_at = min(ended.ended_at, at)
        return ended

    def _expire(self, now: Seconds) -> None:
        """Conclude what became of older answers, and drop old ends."""
        confirmed_at = now - SURVIVAL_SECONDS - CONFIRMATION_SECONDS
        while self._answers and self._answers[0][1].started_at <= confirmed_at:
            key, answer = self._answers.popleft()
            if self._is_suspected(key, answer):
                self._suspected.append((key, answer))
            elif answer.is_conclusive:
                self._record_success(answer)
        limit = now - REPORT_SECONDS
        while self._suspected and self._suspected[0][1].started_at <= limit:
            self._suspected.popleft()
        for key, ended in list(self._ended.items()):
            if now - ended.ended_at > REPORT_SECONDS:
                del self._ended[key]

    def _list_recently_served(self, now: Seconds) -> set[Cause]:
        """Return the causes of answers that will count as successes soon."""
        return {
            cause
            for key, answer in self._answers
            if answer.is_conclusive
            and (answer.is_complete or now - answer.started_at > SURVIVAL_SECONDS)
            and not self._is_suspected(key, answer)
            for cause in answer.request.list_causes(answer.service)
        }

    def _is_suspected(self, key: IncarnationKey, answer: StartedAnswer) -> bool:
        """Whether the endpoint ended shortly after an answer had begun."""
        ended = self._ended.get(key)
        if ended is None:
            return False
        seconds = ended.ended_at - answer.started_at
        return -NOTICE_SECONDS <= seconds <= SURVIVAL_SECONDS

    def _record_success(self, answer: StartedAnswer) -> None:
        at = Seconds(answer.started_at + SURVIVAL_SECONDS)
        for cause in answer.request.list_causes(answer.service):
            self._put_success(cause, at)

    def _put_success(self, cause: Cause, at: Seconds) -> None:
        successes = self._successes[cause.kind]
        successes[cause] = max(at, successes.get(cause, at))
        successes.move_to_end(cause)
        if len(successes) > MAX_SUCCESSES:
            successes.popitem(last=False)
