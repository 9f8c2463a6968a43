"""Requests of one workspace that are planned alike."""

from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass, field

from bergamotwood_core.allocation import OptionMix
from bergamotwood_core.clock import Seconds
from bergamotwood_core.frontier import Option
from bergamotwood_core.ids import RequestClass, VersionId
from bergamotwood_core.usage import Candidate

# Requests that the moving averages of a segment remember.
SEGMENT_WINDOW_REQUESTS = 200.0
MAX_SEGMENTS = 64
# Answers over which a shortfall of quality is averaged, how strongly it is made
# good, and the bounds of that.
SHORTFALL_WINDOW_ANSWERS = 150.0
CORRECTION_GAIN = 1.5
MIN_CORRECTION = -0.02
MAX_CORRECTION = 0.05


@dataclass(frozen=True, slots=True)
class SegmentKey:
    """Requests that are planned alike: a class and its candidates."""

    request_class: RequestClass
    versions: tuple[VersionId, ...]


@dataclass(frozen=True, slots=True)
class ExplorationCandidate:
    """Cost of a version and the quality that it may have at best."""

    version: VersionId
    cost: float
    quality: float


@dataclass(slots=True)
class Segment:
    """State of the requests that are planned alike."""

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
        """Find the version that may save the most, and the share of cost it saves."""
        best, most = None, 0.0
        for candidate in self.exploration_candidates:
            saving = self._estimate_saving(candidate)
            if saving > most:
                best, most = candidate, saving
        return best, most

    def _estimate_saving(self, candidate: ExplorationCandidate) -> float:
        mix = self.mix
        if mix is None or candidate.quality < mix.low.quality:
            return 0.0
        if candidate.version in (mix.low.steps[0].version, mix.high.steps[0].version):
            return 0.0
        gain = mix.high.quality - mix.low.quality
        place = min((candidate.quality - mix.low.quality) / gain, 1.0) if gain else 0.0
        replaced = mix.low.cost + place * (mix.high.cost - mix.low.cost)
        return 1.0 - candidate.cost / replaced if replaced else 0.0

    def choose_rated_option(self) -> Option:
        """Choose an option of the mix, each as often as its share says."""
        mix = self.mix
        if mix is None:
            raise ValueError("segment without an allocation")
        self.credit += mix.share
        if self.credit < 1.0:
            return mix.low
        self.credit -= 1.0
        return mix.high

    def choose_unrated_option(self) -> Option:
        """Choose an option of the mix that needs no ratings."""
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
    """Segments of one workspace and the age of their allocation."""

    segments: OrderedDict[SegmentKey, Segment] = field(default_factory=OrderedDict)
    planned_at: Seconds = Seconds(float("-inf"))
    shortfall: float = 0.0

    def find_segment(
        self, request_class: RequestClass, candidates: Sequence[Candidate]
    ) -> Segment:
        """Find the segment of a request; the one unused for longest may make room."""
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
        """Learn the share of a segment and the size of its prompts."""
        for other in self.segments.values():
            other.weight *= 1.0 - 1.0 / SEGMENT_WINDOW_REQUESTS
        segment.weight += 1.0
        segment.count += 1
        weight = 1.0 / min(segment.count, SEGMENT_WINDOW_REQUESTS)
        segment.prompt_tokens += weight * (prompt_tokens - segment.prompt_tokens)

    def record_quality(self, quality: float, target: float) -> None:
        """Average how far the returned answers fall short of what is aimed at."""
        self.shortfall += (target - quality - self.shortfall) / SHORTFALL_WINDOW_ANSWERS

    @property
    def correction(self) -> float:
        """Quality to aim at above the target, to make a shortfall good."""
        wanted = CORRECTION_GAIN * self.shortfall
        return min(max(wanted, MIN_CORRECTION), MAX_CORRECTION)

    def list_weights(self) -> list[float]:
        """Share of each segment among the requests."""
        total = sum(segment.weight for segment in self.segments.values())
        return [segment.weight / total for segment in self.segments.values()]
