"""Requests of one workspace that are planned alike."""

from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass, field

from bergamotwood_core.allocation import Mix
from bergamotwood_core.clock import Seconds
from bergamotwood_core.frontier import Option
from bergamotwood_core.ids import RequestClass, VersionId
from bergamotwood_core.usage import Candidate

# Requests that the moving averages of a segment remember.
SEGMENT_MEMORY = 200.0
MAX_SEGMENTS = 64
# Answers over which a shortfall of quality is averaged, how strongly it is made
# good, and the bounds of that.
BALANCE_MEMORY = 150.0
BALANCE_GAIN = 1.5
LEAST_CORRECTION = -0.02
MOST_CORRECTION = 0.05


@dataclass(frozen=True, slots=True)
class SegmentKey:
    """Requests that are planned alike: a class and its candidates."""

    request_class: RequestClass
    versions: tuple[VersionId, ...]


@dataclass(frozen=True, slots=True)
class Hope:
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
    mix: Mix | None = None
    unrated: Mix | None = None
    hopes: Sequence[Hope] = ()
    credit: float = 0.0
    unrated_credit: float = 0.0

    def find_hope(self) -> tuple[Hope | None, float]:
        """Find the version that may save the most, and the share of cost it saves."""
        best, most = None, 0.0
        for hope in self.hopes:
            saving = self._find_saving(hope)
            if saving > most:
                best, most = hope, saving
        return best, most

    def _find_saving(self, hope: Hope) -> float:
        mix = self.mix
        if mix is None or hope.quality < mix.low.quality:
            return 0.0
        if hope.version in (mix.low.steps[0].version, mix.high.steps[0].version):
            return 0.0
        gain = mix.high.quality - mix.low.quality
        place = min((hope.quality - mix.low.quality) / gain, 1.0) if gain else 0.0
        replaced = mix.low.cost + place * (mix.high.cost - mix.low.cost)
        return 1.0 - hope.cost / replaced if replaced else 0.0

    def draw_rated(self) -> Option:
        """Choose an option of the mix, each as often as its share says."""
        mix = self.mix
        if mix is None:
            raise ValueError("segment without an allocation")
        self.credit += mix.share
        if self.credit < 1.0:
            return mix.low
        self.credit -= 1.0
        return mix.high

    def draw_unrated(self) -> Option:
        """Choose an option of the mix that needs no ratings."""
        mix = self.unrated
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
            other.weight *= 1.0 - 1.0 / SEGMENT_MEMORY
        segment.weight += 1.0
        segment.count += 1
        weight = 1.0 / min(segment.count, SEGMENT_MEMORY)
        segment.prompt_tokens += weight * (prompt_tokens - segment.prompt_tokens)

    def count_quality(self, quality: float, aim: float) -> None:
        """Average how far the returned answers fall short of what is aimed at."""
        self.shortfall += (aim - quality - self.shortfall) / BALANCE_MEMORY

    @property
    def correction(self) -> float:
        """Quality to aim at above the target, to make a shortfall good."""
        wanted = BALANCE_GAIN * self.shortfall
        return min(max(wanted, LEAST_CORRECTION), MOST_CORRECTION)

    def list_weights(self) -> list[float]:
        """Share of each segment among the requests."""
        total = sum(segment.weight for segment in self.segments.values())
        return [segment.weight / total for segment in self.segments.values()]
