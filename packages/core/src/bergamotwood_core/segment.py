"""Requests of one workspace that are planned alike."""

from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass, field

from bergamotwood_core.clock import Seconds
from bergamotwood_core.frontier import Mix
from bergamotwood_core.ids import RequestClass, VersionId
from bergamotwood_core.usage import Candidate

# Requests that the moving averages of a segment remember.
SEGMENT_MEMORY = 200.0
MAX_SEGMENTS = 64


@dataclass(frozen=True, slots=True)
class SegmentKey:
    """Requests that are planned alike: a class and its candidates."""

    request_class: RequestClass
    versions: tuple[VersionId, ...]


@dataclass(slots=True)
class Segment:
    """State of the requests that are planned alike."""

    candidates: Sequence[Candidate]
    weight: float = 0.0
    count: int = 0
    prompt_tokens: float = 0.0
    mix: Mix | None = None
    credit: float = 0.0


@dataclass(slots=True)
class WorkspaceState:
    """Segments of one workspace and the age of their allocation."""

    segments: OrderedDict[SegmentKey, Segment] = field(default_factory=OrderedDict)
    planned_at: Seconds = Seconds(float("-inf"))

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

    def list_weights(self) -> list[float]:
        """Share of each segment among the requests."""
        total = sum(segment.weight for segment in self.segments.values())
        return [segment.weight / total for segment in self.segments.values()]
