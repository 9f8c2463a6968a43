"""Segments: requests of one workspace that share a cascade allocation."""

from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass, field

from bergamotwood_core.allocation import OptionMix
from bergamotwood_core.clock import Seconds
from bergamotwood_core.frontier import Option
from bergamotwood_core.ids import RequestClass, VersionId
from bergamotwood_core.usage import Candidate

# Window of the moving averages of a segment, in requests.
SEGMENT_WINDOW_REQUESTS = 200.0
MAX_SEGMENTS = 64
# Window of the average quality shortfall in answers, gain of the correction that
# compensates it, and the bounds of that correction.
SHORTFALL_WINDOW_ANSWERS = 150.0
CORRECTION_GAIN = 1.5
MIN_CORRECTION = -0.02
MAX_CORRECTION = 0.05


@dataclass(frozen=True, slots=True)
class SegmentKey:
    """Key of a segment: request class and candidate versions."""

    request_class: RequestClass
    versions: tuple[VersionId, ...]


@dataclass(frozen=True, slots=True)
class ExplorationCandidate:
    """Cost of a version and the upper bound of its quality."""

    version: VersionId
    cost: float
    quality: float


@dataclass(slots=True)
class Segment:
    """Allocation and moving averages of one segment.

    Parameters
    ----------
    candidates : sequence of Candidate
        Candidates of the newest request.
    weight : float
        Number of requests, discounted at each request of any segment.
    count : int
        Number of requests.
    prompt_tokens : float
        Mean prompt length.
    mix, unrated_mix : OptionMix or None
        Allocation, and the one used when the rating budget does not suffice.
    exploration_candidates : sequence of ExplorationCandidate
        Versions that may be explored.
    credit, unrated_credit : float
        Accumulated share of each mix. When it reaches 1, the `high` option is
        chosen and 1 is subtracted.
    """

    candidates: Sequence[Candidate]
    weight: float = 0.0
    count: int = 0
    prompt_tokens: float = 0.0
    mix: OptionMix | None = None
    unrated_mix: OptionMix | None = None
    exploration_candidates: Sequence[ExplorationCandidate] = ()
    credit: float = 0.0
    unrated_credit: float = 0.0

    def find_exploration_candidate(self) -> tuple[ExplorationCandidate | None, float]:
        """Find the version with the largest possible saving, and that saving.

        The saving is a fraction of the cost; the version is None if none can save
        anything.
        """
        best, largest_saving = None, 0.0
        for candidate in self.exploration_candidates:
            saving = self._estimate_saving(candidate)
            if saving > largest_saving:
                best, largest_saving = candidate, saving
        return best, largest_saving

    def _estimate_saving(self, candidate: ExplorationCandidate) -> float:
        mix = self.mix
        if mix is None or candidate.quality < mix.low.quality:
            return 0.0
        if candidate.version in (mix.low.steps[0].version, mix.high.steps[0].version):
            return 0.0
        gain = mix.high.quality - mix.low.quality
        position = (
            min((candidate.quality - mix.low.quality) / gain, 1.0) if gain else 0.0
        )
        replaced_cost = mix.low.cost + position * (mix.high.cost - mix.low.cost)
        return 1.0 - candidate.cost / replaced_cost if replaced_cost else 0.0

    def choose_rated_option(self) -> Option:
        """Choose an option of the mix; each is chosen in proportion to its share."""
        mix = self.mix
        if mix is None:
            raise ValueError("segment without an allocation")
        self.credit += mix.share
        if self.credit < 1.0:
            return mix.low
        self.credit -= 1.0
        return mix.high

    def choose_unrated_option(self) -> Option:
        """Choose an option of the unrated mix, likewise in proportion to the shares."""
        mix = self.unrated_mix
        if mix is None:
            raise ValueError("segment without an allocation")
        self.unrated_credit += mix.share
        if self.unrated_credit < 1.0:
            return mix.low
        self.unrated_credit -= 1.0
        return mix.high


@dataclass(slots=True)
class WorkspaceState:
    """Segments of one workspace, time of their allocation and quality shortfall."""

    segments: OrderedDict[SegmentKey, Segment] = field(default_factory=OrderedDict)
    planned_at: Seconds = Seconds(float("-inf"))
    shortfall: float = 0.0

    def find_segment(
        self, request_class: RequestClass, candidates: Sequence[Candidate]
    ) -> Segment:
        """Return the segment of a request, evicting the least recently used if full."""
        key = SegmentKey(request_class, tuple(c.version for c in candidates))
        segment = self.segments.get(key)
        if segment is None:
            segment = self.segments[key] = Segment(candidates)
        segment.candidates = candidates
        self.segments.move_to_end(key)
        if len(self.segments) > MAX_SEGMENTS:
            self.segments.popitem(last=False)
        return segment

    def count_request(self, segment: Segment, prompt_tokens: int) -> None:
        """Update the weight of a segment and its mean prompt length."""
        for other in self.segments.values():
            other.weight *= 1.0 - 1.0 / SEGMENT_WINDOW_REQUESTS
        segment.weight += 1.0
        segment.count += 1
        weight = 1.0 / min(segment.count, SEGMENT_WINDOW_REQUESTS)
        segment.prompt_tokens += weight * (prompt_tokens - segment.prompt_tokens)

    def record_quality(self, quality: float, target: float) -> None:
        """Update the mean shortfall of returned answers from the target quality."""
        self.shortfall += (target - quality - self.shortfall) / SHORTFALL_WINDOW_ANSWERS

    @property
    def correction(self) -> float:
        """Correction of the target quality that compensates the shortfall."""
        wanted = CORRECTION_GAIN * self.shortfall
        return min(max(wanted, MIN_CORRECTION), MAX_CORRECTION)

    def list_weights(self) -> list[float]:
        """Return the share of requests of each segment."""
        total = sum(segment.weight for segment in self.segments.values())
        return [segment.weight / total for segment in self.segments.values()]
