"""Rating histograms that entries exchange, with each message counted once."""

from collections import OrderedDict

from msgspec import Struct

from bergamotwood_core.estimate import SCORE_BINS
from bergamotwood_core.ids import RequestClass, VersionId, WorkspaceId

# Maximum histograms per message, and ratings accepted from one histogram.
MAX_MESSAGE_HISTOGRAMS = 512
MAX_HISTOGRAM_RATINGS = 100
# Maximum number of sources whose newest sequence is kept.
MAX_SOURCES = 1_024


class EstimateKey(Struct, frozen=True, array_like=True):
    """Key of a quality estimate.

    Parameters
    ----------
    workspace : WorkspaceId
        Workspace of the requests.
    request_class : RequestClass
        Class of the requests.
    version : VersionId
        Version that answered.
    escalated : bool
        Whether the answer of another version was rejected before.
    """

    workspace: WorkspaceId
    request_class: RequestClass
    version: VersionId
    escalated: bool = False


class EvidenceHistogram(Struct, frozen=True, array_like=True):
    """New ratings for one estimate: count and sum of the scores by bin."""

    key: EstimateKey
    counts: tuple[int, ...]
    totals: tuple[float, ...]

    def list_scores(self) -> list[float]:
        """List the mean score of its bin for each rating.

        Bins with impossible values are skipped; the list is empty if the number of
        bins is wrong.
        """
        if len(self.counts) != SCORE_BINS or len(self.totals) != SCORE_BINS:
            return []
        scores: list[float] = []
        for count, total in zip(self.counts, self.totals, strict=True):
            if count <= 0 or not 0.0 <= total <= count:
                continue
            scores += [total / count] * min(count, MAX_HISTOGRAM_RATINGS)
        return scores[:MAX_HISTOGRAM_RATINGS]


class Evidence(Struct, frozen=True, array_like=True):
    """Ratings of one entry since its last message.

    Parameters
    ----------
    source : str
        Entry and its incarnation.
    sequence : int
        Increases with each message of a source.
    histograms : tuple of EvidenceHistogram
        New ratings.
    """

    source: str
    sequence: int
    histograms: tuple[EvidenceHistogram, ...] = ()


class EvidenceCollector:
    """Collects the ratings of this entry until they are sent.

    Parameters
    ----------
    source : str
        Entry and its incarnation.
    """

    def __init__(self, source: str) -> None:
        self.source = source
        self._sequence = 0
        self._histograms: dict[EstimateKey, tuple[list[int], list[float]]] = {}

    def add(self, key: EstimateKey, index: int, score: float) -> None:
        """Add one score to a bin; a key beyond the message limit is not sent."""
        histogram = self._histograms.get(key)
        if histogram is None:
            if len(self._histograms) >= MAX_MESSAGE_HISTOGRAMS:
                return
            histogram = ([0] * SCORE_BINS, [0.0] * SCORE_BINS)
            self._histograms[key] = histogram
        histogram[0][index] += 1
        histogram[1][index] += score

    def take(self) -> Evidence:
        """Return the ratings collected since the last call."""
        self._sequence += 1
        histograms = tuple(
            EvidenceHistogram(key, tuple(counts), tuple(totals))
            for key, (counts, totals) in self._histograms.items()
        )
        self._histograms = {}
        return Evidence(self.source, self._sequence, histograms)


class SequenceFilter:
    """Detects repeated messages by the newest sequence of each source."""

    def __init__(self) -> None:
        self._newest: OrderedDict[str, int] = OrderedDict()

    def accept(self, source: str, sequence: int) -> bool:
        """Record a message; return whether it is newer than all before it."""
        if sequence <= self._newest.get(source, -1):
            return False
        self._newest[source] = sequence
        self._newest.move_to_end(source)
        if len(self._newest) > MAX_SOURCES:
            self._newest.popitem(last=False)
        return True
