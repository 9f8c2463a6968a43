"""Outcomes of requests under a roll-out, counted per entry and summed."""

from bisect import bisect_left
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field

from msgspec import Struct
from msgspec import field as struct_field

from bergamotwood_core.estimate import SCORE_BINS, find_bin, is_valid_score
from bergamotwood_core.ids import RolloutId, TicketNumber, VersionId

# Upper bounds of the first-token histogram in seconds; a last bin has no bound.
LATENCY_BOUNDS = tuple(0.02 * 1.25**index for index in range(36))
LATENCY_BINS = len(LATENCY_BOUNDS) + 1
# Maximum roll-outs counted by one entry, and entries whose counts a leader keeps.
MAX_ROLLOUTS = 64
MAX_SOURCES = 1_024


@dataclass(frozen=True, slots=True)
class Outcome:
    """Outcome of one request.

    Parameters
    ----------
    version : VersionId
        Version that ran the request.
    failed : bool
        Whether it ended with an error of the endpoint.
    first_token_seconds : float or None
        Time to the first token, None without one.
    """

    version: VersionId
    failed: bool = False
    first_token_seconds: float | None = None


class ArmCounts(Struct, array_like=True):
    """Outcome counts of one version.

    Parameters
    ----------
    started, finished, failed : int
        Requests that were dispatched, that ended, and that ended with an error.
    latencies : list of int
        Number of first tokens by bin of `LATENCY_BOUNDS`.
    scores : list of int
        Number of ratings by bin.
    """

    started: int = 0
    finished: int = 0
    failed: int = 0
    latencies: list[int] = struct_field(default_factory=lambda: [0] * LATENCY_BINS)
    scores: list[int] = struct_field(default_factory=lambda: [0] * SCORE_BINS)

    def count(self, outcome: Outcome) -> None:
        """Count one outcome."""
        self.finished += 1
        self.failed += outcome.failed
        if outcome.first_token_seconds is not None:
            index = bisect_left(LATENCY_BOUNDS, outcome.first_token_seconds)
            self.latencies[index] += 1

    def copy(self) -> "ArmCounts":
        """Return an independent copy of the counts."""
        copied = ArmCounts()
        copied.add(self)
        return copied

    def add(self, other: "ArmCounts") -> None:
        """Add other counts to these."""
        self.started += other.started
        self.finished += other.finished
        self.failed += other.failed
        self.latencies = [
            own + added
            for own, added in zip(self.latencies, other.latencies, strict=True)
        ]
        self.scores = [
            own + added for own, added in zip(self.scores, other.scores, strict=True)
        ]

    def is_valid(self) -> bool:
        """Whether the counts are consistent."""
        numbers = (self.started, self.finished, self.failed)
        if min(*numbers, *self.latencies, *self.scores, 0) < 0:
            return False
        if len(self.latencies) != LATENCY_BINS or len(self.scores) != SCORE_BINS:
            return False
        return max(self.failed, sum(self.latencies)) <= self.finished <= self.started


class RolloutReport(Struct, frozen=True, array_like=True):
    """Cumulative counts of one entry under one roll-out.

    Parameters
    ----------
    source : str
        Entry and its incarnation.
    sequence : int
        Increases with each report of a source.
    rollout : RolloutId
        Roll-out.
    ticket : TicketNumber
        Ticket that configured the roll-out.
    candidate, current : ArmCounts
        Counts since the entry began counting. They are cumulative, so that the next
        report makes up for a lost one.
    """

    source: str
    sequence: int
    rollout: RolloutId
    ticket: TicketNumber
    candidate: ArmCounts
    current: ArmCounts


@dataclass(slots=True)
class RolloutCounts:
    """Counts of one entry under one roll-out."""

    ticket: TicketNumber
    candidate_version: VersionId
    current_version: VersionId
    candidate: ArmCounts = field(default_factory=ArmCounts)
    current: ArmCounts = field(default_factory=ArmCounts)

    def find_arm(self, version: VersionId) -> ArmCounts | None:
        """Return the counts of a version, None if the roll-out does not involve it."""
        if version == self.candidate_version:
            return self.candidate
        if version == self.current_version:
            return self.current
        return None


class OutcomeCounter:
    """Counts the outcomes of one entry under its roll-outs.

    Parameters
    ----------
    source : str
        Entry and its incarnation.
    """

    def __init__(self, source: str) -> None:
        self.source = source
        self._sequence = 0
        self._counts: OrderedDict[RolloutId, RolloutCounts] = OrderedDict()

    def start_counting(
        self,
        rollout: RolloutId,
        ticket: TicketNumber,
        candidate: VersionId,
        current: VersionId,
    ) -> None:
        """Start counting for a roll-out; a new ticket resets its counts."""
        counts = self._counts.get(rollout)
        if counts is not None and counts.ticket == ticket:
            return
        self._counts[rollout] = RolloutCounts(ticket, candidate, current)
        if len(self._counts) > MAX_ROLLOUTS:
            self._counts.popitem(last=False)

    def stop_counting(self, rollout: RolloutId) -> None:
        """Stop counting for a roll-out."""
        self._counts.pop(rollout, None)

    def count_start(self, version: VersionId) -> None:
        """Count a dispatched request."""
        for arm in self._find_arms(version):
            arm.started += 1

    def count_outcome(self, outcome: Outcome) -> None:
        """Count the end of a request that `count_start` counted."""
        for arm in self._find_arms(outcome.version):
            if arm.finished < arm.started:
                arm.count(outcome)

    def count_score(self, version: VersionId, score: float) -> None:
        """Count a rating; an invalid score is dropped."""
        if not is_valid_score(score):
            return
        for arm in self._find_arms(version):
            arm.scores[find_bin(score)] += 1

    def is_candidate(self, version: VersionId) -> bool:
        """Whether a version is a candidate, whose answers have priority in rating."""
        return any(c.candidate_version == version for c in self._counts.values())

    def list_reports(self) -> list[RolloutReport]:
        """List a report for each roll-out, for the leader of the control log."""
        self._sequence += 1
        return [
            RolloutReport(
                source=self.source,
                sequence=self._sequence,
                rollout=rollout,
                ticket=counts.ticket,
                candidate=counts.candidate.copy(),
                current=counts.current.copy(),
            )
            for rollout, counts in self._counts.items()
        ]

    def _find_arms(self, version: VersionId) -> list[ArmCounts]:
        arms = (counts.find_arm(version) for counts in self._counts.values())
        return [arm for arm in arms if arm is not None]


class RolloutEvidence:
    """Newest report of each entry under one ticket of a roll-out.

    Parameters
    ----------
    ticket : TicketNumber
        Reports of other tickets are dropped.
    """

    def __init__(self, ticket: TicketNumber) -> None:
        self.ticket = ticket
        self._reports: OrderedDict[str, RolloutReport] = OrderedDict()

    def merge(self, report: RolloutReport) -> bool:
        """Store a report; False if old, repeated, invalid or of another ticket."""
        if report.ticket != self.ticket:
            return False
        if not (report.candidate.is_valid() and report.current.is_valid()):
            return False
        known = self._reports.get(report.source)
        if known is not None and known.sequence >= report.sequence:
            return False
        if known is None and len(self._reports) >= MAX_SOURCES:
            return False
        self._reports[report.source] = report
        return True

    def sum_candidate(self) -> ArmCounts:
        """Sum the candidate's counts over all entries."""
        return _sum_arms(report.candidate for report in self._reports.values())

    def sum_current(self) -> ArmCounts:
        """Sum the current version's counts over all entries."""
        return _sum_arms(report.current for report in self._reports.values())


def _sum_arms(arms: Iterable[ArmCounts]) -> ArmCounts:
    total = ArmCounts()
    for arm in arms:
        total.add(arm)
    return total
