"""What all entries report of crashed endpoints, and the causes that follow from it.

An endpoint that ends takes sound requests along, which share their caller and parts of
their prompts with the one that crashed it. A cause is named when

- it was there at several ends, without an answer that survived since,
- no other cause explains these ends as well, and
- for a part of a prompt, several different requests had it.

An end shortly after the beginning of an answer counts for more than a later one, as
a request that crashes endpoints does so when it begins. Ends at the same moment count
once: endpoints that are killed together say nothing about the requests that they had.
A connection may break at an endpoint that goes on: its heartbeats show that it did not
end. Ends that a suspended part explains count for nothing else, also once the part is
served again: its requests, and those that they took along, would be named next.
"""

from collections import Counter, OrderedDict
from collections.abc import Callable, Iterable
from itertools import chain

from msgspec import Struct

from bergamotwood_core.clock import Seconds
from bergamotwood_core.gateway.crashcauses import choose_causes
from bergamotwood_core.gateway.suspects import (
    Cause,
    CauseKind,
    CauseReport,
    EndpointCrash,
    ExecutedRequest,
    IncarnationKey,
)
from bergamotwood_core.ids import EndpointId, Fingerprint, ServiceName

# Time for which ends are weighed together.
EVIDENCE_SECONDS = 60.0
# Ends that are kept; more than this many in a minute have another reason.
MAX_INCIDENTS = 128
# Requests that are kept of one end. An endpoint begins fewer answers in a second.
MAX_REQUESTS = 128
# Time from the beginning of an answer up to which the end of its endpoint counts fully,
# and the weight of a later end, or of one before any answer had begun.
CLOSE_SECONDS = 0.3
DISTANT_WEIGHT = 0.6
# Weight of an end at which a cause was not, after its first one.
ABSENT_WEIGHT = 0.1
# Ends closer together than this count as one.
COINCIDENCE_SECONDS = 0.05
# Time for which entries are asked about a cause before it is named: a poll, a report
# and a relay between replicas.
QUESTION_SECONDS = 0.8
# Time for which questions are not weighed anew, as every poll asks for them.
WEIGHING_SECONDS = 0.1
# Causes about which entries are asked at a time.
MAX_QUESTIONS = 64
# Weighted ends from which on a cause is asked about.
MIN_QUESTION_CRASHES = 1.2
# Successes that are kept.
MAX_SUCCESSES = 1_024
# Time for which an end is relayed and sent to entries.
RELAY_SECONDS = 3.0
# A heartbeat that is received that long after the end of its incarnation was not sent
# before it.
ALIVE_SECONDS = 1.5
# Requests and parts in one log line.
MAX_DESCRIBED = 8
NEVER = Seconds(float("-inf"))


class Incident(Struct):
    """The end of one incarnation, as pooled from all entries.

    Parameters
    ----------
    service : ServiceName
        Its service.
    ended_at, updated_at : Seconds
        Time of the end, and time at which something new was learned of it.
    is_certain : bool
        Whether it refuses connections.
    requests : dict
        Requests that it had.
    is_explained : bool
        Whether one of them had a part that was suspended.
    explaining : set of Fingerprint
        Those that were suspended themselves. The end speaks against nothing else than
        what they have.
    causes : dict
        What may have caused the end if a request did: the request, then its parts.
    """

    service: ServiceName
    ended_at: Seconds
    updated_at: Seconds
    is_certain: bool = False
    requests: dict[Fingerprint, ExecutedRequest] = {}
    is_explained: bool = False
    explaining: set[Fingerprint] = set()
    causes: dict[Fingerprint, tuple[Cause, ...]] = {}

    def add_request(self, request: ExecutedRequest) -> None:
        """Add a request, or replace what is known of it."""
        if request.fingerprint not in self.causes:
            self.causes[request.fingerprint] = tuple(request.list_causes(self.service))
        self.requests[request.fingerprint] = request

    def note_suspended(self, suspended: frozenset[Cause]) -> None:
        """Note what of the requests is suspended, and stays the reason of the end."""
        if self.is_explained:
            return
        for cause in self.list_causes() & suspended:
            if cause.kind is CauseKind.PROMPT_PART:
                self.is_explained = True
            else:
                self.explaining.add(Fingerprint(cause.id))

    def list_suspects(self) -> list[ExecutedRequest]:
        """Return the requests that may have crashed the incarnation.

        A request may do so before it is answered, beside others whose answers have
        begun.
        """
        requests = self.requests
        return [requests[key] for key in self.explaining] or list(requests.values())

    def list_causes(self) -> set[Cause]:
        """Return what the requests that it had have in common with others."""
        return set(chain.from_iterable(self.causes.values()))

    def list_resent(self) -> set[Cause]:
        """Return the causes of requests that another endpoint had ended with before."""
        return {
            cause
            for request in self.requests.values()
            if request.is_resent
            for cause in self.causes[request.fingerprint]
        }

    def weigh_causes(self) -> dict[Cause, float]:
        """Return what may have caused the end, with the weight of the evidence."""
        weights: dict[Cause, float] = {}
        for request in self.list_suspects():
            weight = _weigh(request)
            for cause in self.causes[request.fingerprint]:
                # An answer that had gone on for longer speaks for what it shares.
                weights[cause] = min(weight, weights.get(cause, weight))
        return weights


class IncidentLog:
    """Recent ends of endpoints."""

    def __init__(self) -> None:
        self._incidents: OrderedDict[IncarnationKey, Incident] = OrderedDict()

    def merge(self, crashes: Iterable[EndpointCrash], now: Seconds) -> None:
        """Add what entries report."""
        for crash in crashes:
            key = (crash.endpoint, crash.incarnation)
            ended_at = Seconds(now - crash.age_seconds)
            incident = self._incidents.get(key)
            if incident is None:
                incident = Incident(crash.service, ended_at, now)
                self._incidents[key] = incident
                if len(self._incidents) > MAX_INCIDENTS:
                    self._incidents.popitem(last=False)
            incident.ended_at = min(incident.ended_at, ended_at)
            if crash.is_certain and not incident.is_certain:
                incident.is_certain = True
                incident.updated_at = now
            for request in crash.requests:
                _merge_request(incident, request, now)

    def drop_refuted(
        self, find_last_heard: Callable[[IncarnationKey], Seconds | None]
    ) -> None:
        """Drop the uncertain ends of incarnations that were heard of since."""
        for key, incident in list(self._incidents.items()):
            if incident.is_certain:
                continue
            heard_at = find_last_heard(key)
            if heard_at is not None and heard_at > incident.ended_at + ALIVE_SECONDS:
                del self._incidents[key]

    def list_items(self, now: Seconds) -> list[tuple[IncarnationKey, Incident]]:
        """Return the incidents that are still weighed, with their incarnations."""
        self.list_recent(now)
        return list(self._incidents.items())

    def list_recent(self, now: Seconds) -> list[Incident]:
        """Return the incidents that are still weighed, oldest first."""
        limit = now - EVIDENCE_SECONDS
        for key in [k for k, item in self._incidents.items() if item.ended_at < limit]:
            del self._incidents[key]
        return sorted(self._incidents.values(), key=lambda item: item.ended_at)

    def list_crashes(
        self, now: Seconds, with_requests: bool
    ) -> tuple[EndpointCrash, ...]:
        """Return the incidents of which something was learned recently."""
        return tuple(
            EndpointCrash(
                *key,
                incident.service,
                round(now - incident.ended_at, 3),
                tuple(incident.requests.values()) if with_requests else (),
                incident.is_certain,
            )
            for key, incident in self._incidents.items()
            if now - incident.updated_at <= RELAY_SECONDS
        )


class SuccessLog:
    """Last success for each of the causes that entries were asked about."""

    def __init__(self) -> None:
        self._certain: OrderedDict[Cause, Seconds] = OrderedDict()
        self._uncertain: OrderedDict[Cause, Seconds] = OrderedDict()

    def merge(self, reports: Iterable[CauseReport], now: Seconds) -> None:
        """Add what entries report."""
        for report in reports:
            table = self._certain if report.is_certain else self._uncertain
            at = Seconds(now - report.age_seconds)
            table[report.cause] = max(at, table.get(report.cause, at))
            table.move_to_end(report.cause)
            if len(table) > MAX_SUCCESSES:
                table.popitem(last=False)

    def find(self, cause: Cause) -> Seconds:
        """Return the time of the last certain success; minus infinity if none."""
        return self._certain.get(cause, NEVER)

    def list_served(self, causes: Iterable[Cause]) -> frozenset[Cause]:
        """Return which of some causes have had a success, certain or not."""
        return frozenset(
            cause
            for cause in causes
            if cause in self._certain or cause in self._uncertain
        )

    def list_reports(
        self, causes: Iterable[Cause], now: Seconds
    ) -> tuple[CauseReport, ...]:
        """Return the reports of some causes, to relay them."""
        return tuple(
            CauseReport(cause, round(now - table[cause], 3), table is self._certain)
            for table in (self._certain, self._uncertain)
            for cause in causes
            if cause in table
        )


class CrashEvidence:
    """Evidence of one replica: from its entries, and relayed by other replicas.

    Parameters
    ----------
    find_last_heard : callable
        Returns when a heartbeat of an incarnation was last received; None if it is
        unknown.
    """

    def __init__(
        self,
        find_last_heard: Callable[[IncarnationKey], Seconds | None] = lambda key: None,
    ) -> None:
        self._find_last_heard = find_last_heard
        self._own = IncidentLog()
        self._all = IncidentLog()
        self._successes = SuccessLog()
        self._own_successes = SuccessLog()
        self._asked_at: dict[Cause, Seconds] = {}
        self._weighed_at = NEVER

    def apply_report(
        self,
        crashes: Iterable[EndpointCrash],
        successes: Iterable[CauseReport],
        now: Seconds,
    ) -> None:
        """Add what an entry of this replica reports."""
        crashes = tuple(crashes)
        self._own.merge(crashes, now)
        self._all.merge(crashes, now)
        successes = tuple(successes)
        self._own_successes.merge(successes, now)
        self._successes.merge(successes, now)

    def apply_relay(
        self,
        crashes: Iterable[EndpointCrash],
        successes: Iterable[CauseReport],
        now: Seconds,
    ) -> None:
        """Add what another replica relays of its entries."""
        self._all.merge(crashes, now)
        self._successes.merge(successes, now)

    def list_own_crashes(self, now: Seconds) -> tuple[EndpointCrash, ...]:
        """Return the recent ends that other replicas need to know."""
        return self._own.list_crashes(now, with_requests=True)

    def list_own_successes(self, now: Seconds) -> tuple[CauseReport, ...]:
        """Return the successes that other replicas need to know."""
        return self._own_successes.list_reports(self._asked_at, now)

    def list_successes(self, now: Seconds) -> tuple[CauseReport, ...]:
        """Return the successes with the causes that entries are asked about."""
        return self._successes.list_reports(self._asked_at, now)

    def list_ends(self, now: Seconds) -> tuple[EndpointCrash, ...]:
        """Return the recent ends that entries need to know, without the requests."""
        return self._all.list_crashes(now, with_requests=False)

    def find_last_success(self, cause: Cause) -> Seconds:
        """Return the time of the last reported success; minus infinity if none."""
        return self._successes.find(cause)

    def list_questions(
        self, suspended: frozenset[Cause], now: Seconds
    ) -> tuple[Cause, ...]:
        """Return the causes about which entries are asked whether they succeed."""
        is_recent = 0.0 < now - self._weighed_at < WEIGHING_SECONDS
        if not is_recent or not self._asked_at.keys() >= suspended:
            self._update_questions(suspended, self._weigh(suspended, now)[1], now)
        return tuple(self._asked_at)

    def find_causes(self, suspended: frozenset[Cause], now: Seconds) -> list[Cause]:
        """Return the causes that the evidence names now, besides those suspended."""
        incidents, counts = self._weigh(suspended, now)
        self._update_questions(suspended, counts, now)
        served = self._successes.list_served(counts)
        # A weaker cause is not named instead of one that is yet to be asked about.
        return [
            cause
            for cause in choose_causes(counts, served, _find_holders(incidents))
            if cause not in suspended
            and now - self._asked_at.get(cause, now) >= QUESTION_SECONDS
        ]

    def _weigh(
        self, suspended: frozenset[Cause], now: Seconds
    ) -> tuple[list[Incident], dict[Cause, float]]:
        """Return the ends that are not explained, and the weight of each cause."""
        self._own.drop_refuted(self._find_last_heard)
        self._all.drop_refuted(self._find_last_heard)
        incidents = self._list_unexplained(suspended, now)
        return incidents, self._count_crashes(incidents)

    def _update_questions(
        self, suspended: frozenset[Cause], counts: dict[Cause, float], now: Seconds
    ) -> None:
        self._weighed_at = now
        candidates = [
            cause for cause, count in counts.items() if count >= MIN_QUESTION_CRASHES
        ]
        candidates.sort(key=lambda cause: -counts[cause])
        self._asked_at = {
            cause: self._asked_at.get(cause, now)
            for cause in (*suspended, *candidates[:MAX_QUESTIONS])
        }

    def describe_ends(
        self, cause: Cause, now: Seconds
    ) -> list[tuple[EndpointId, bool, bool, float, float]]:
        """Return the ends at which a cause is suspected, for logs.

        Each one with its endpoint, whether it is certain, whether the answer had begun
        and for how many seconds, and its age in seconds.
        """
        return [
            (
                endpoint,
                incident.is_certain,
                request.has_begun,
                request.answered_seconds,
                round(now - incident.ended_at, 2),
            )
            for (endpoint, _), incident in self._all.list_items(now)
            for request in incident.list_suspects()
            if cause in incident.causes[request.fingerprint]
        ]

    def count_ends(self, now: Seconds) -> int:
        """Return the number of ends that are weighed."""
        return len(self._all.list_recent(now))

    def describe_weights(
        self, suspended: frozenset[Cause], now: Seconds
    ) -> list[tuple[CauseKind, str, float, int, bool]]:
        """Return the requests and parts at most ends, for logs.

        Each one with its kind, its id, the weight that counts against it, the number
        of ends at which a request with it was, suspected or not, and whether it has
        had a success since it was asked about.
        """
        incidents = self._list_unexplained(suspended, now)
        weights = self._count_crashes(incidents)
        ends = Counter(
            cause for incident in incidents for cause in incident.list_causes()
        )
        served = self._successes.list_served(ends)
        return [
            (cause.kind, cause.id, weights.get(cause, 0.0), count, cause in served)
            for cause, count in ends.most_common(MAX_DESCRIBED)
            if count > 1
        ]

    def _list_unexplained(
        self, suspended: frozenset[Cause], now: Seconds
    ) -> list[Incident]:
        """Return the incidents that no part explains which is or was suspended."""
        incidents = self._all.list_recent(now)
        if suspended:
            for incident in incidents:
                incident.note_suspended(suspended)
        return [incident for incident in incidents if not incident.is_explained]

    def _count_crashes(self, incidents: list[Incident]) -> dict[Cause, float]:
        """Return the weighted number of separate ends since each cause's success.

        Ends at which a cause was not speak for another reason.
        """
        counts: dict[Cause, float] = {}
        counted_at: dict[Cause, Seconds] = {}
        # Number of the first separate end of each cause, and of those since then at
        # which it was.
        first: dict[Cause, int] = {}
        present: Counter[Cause] = Counter()
        ends, end_at = 0, NEVER
        for incident in incidents:
            at = incident.ended_at
            if at - end_at > COINCIDENCE_SECONDS:
                ends += 1
                end_at = at
            resent = incident.list_resent()
            for cause, weight in incident.weigh_causes().items():
                if at <= self._successes.find(cause):
                    continue
                is_separate = at - counted_at.get(cause, NEVER) > COINCIDENCE_SECONDS
                if is_separate:
                    present[cause] += 1
                    first.setdefault(cause, ends)
                if is_separate or cause in resent:
                    counts[cause] = counts.get(cause, 0.0) + weight
                    counted_at[cause] = at
        for cause in counts:
            absent = max(ends - first[cause] + 1 - present[cause], 0)
            counts[cause] = round(counts[cause] - ABSENT_WEIGHT * absent, 3)
        return counts


def _weigh(request: ExecutedRequest) -> float:
    # Without a prompt there is no stream, and an answer comes whole or not at all.
    is_close = request.has_begun and request.answered_seconds <= CLOSE_SECONDS
    return 1.0 if is_close or not request.parts else DISTANT_WEIGHT


def _find_holders(incidents: list[Incident]) -> dict[Cause, set[Cause]]:
    """Return the suspected requests that have each part."""
    holders: dict[Cause, set[Cause]] = {}
    for incident in incidents:
        for request in incident.list_suspects():
            own, *parts = incident.causes[request.fingerprint]
            for part in parts:
                holders.setdefault(part, set()).add(own)
    return holders


def _merge_request(incident: Incident, request: ExecutedRequest, now: Seconds) -> None:
    known = incident.requests.get(request.fingerprint)
    if known is not None and _weigh(known) >= _weigh(request):
        return
    if known is None and len(incident.requests) >= MAX_REQUESTS:
        return
    incident.add_request(request)
    incident.updated_at = now
