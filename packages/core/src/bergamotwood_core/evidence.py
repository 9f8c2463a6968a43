"""Rating evidence that entries exchange, each message counted once."""

from collections import OrderedDict

from msgspec import Struct

from bergamotwood_core.estimate import SCORE_BINS
from bergamotwood_core.ids import RequestClass, VersionId, WorkspaceId

# Cells in one message, and ratings taken from one cell of a message.
MAX_MESSAGE_HISTOGRAMS = 512
MAX_HISTOGRAM_RATINGS = 100
# Senders whose newest sequence is remembered.
MAX_SOURCES = 1_024


class EstimateKey(Struct, frozen=True, array_like=True):
    """What one estimate is about.

    Parameters
    ----------
    workspace : WorkspaceId
        Whose requests.
    request_class : RequestClass
        Kind of request.
    version : VersionId
        What answered.
    escalated : bool
        Whether another version's answer was refused before.
    """

    workspace: WorkspaceId
    request_class: RequestClass
    version: VersionId
    escalated: bool = False


class EvidenceHistogram(Struct, frozen=True, array_like=True):
    """New ratings of one cell: number and sum of the scores by bin."""

    key: EstimateKey
    counts: tuple[int, ...]
    totals: tuple[float, ...]

    def list_scores(self) -> list[float]:
        """Mean score of its bin for each rating; empty for a malformed cell."""
        if len(self.counts) != SCORE_BINS or len(self.totals) != SCORE_BINS:
            return []
        scores: list[float] = []
        for count, total in zip(self.counts, self.totals, strict=True):
            if count <= 0 or not 0.0 <= total <= count:
                continue
            scores += [total / count] * min(count, MAX_HISTOGRAM_RATINGS)
        return scores[:MAX_HISTOGRAM_RATINGS]


class Evidence(Struct, frozen=True, array_like=True):
    """Ratings that one entry saw since its last message.

    Parameters
    ----------
    source : str
        The entry and its incarnation.
    sequence : int
        Rises with each message of a source.
    histograms : tuple of EvidenceHistogram
        New ratings.
    """

    source: str
    sequence: int
    histograms: tuple[EvidenceHistogram, ...] = ()


class EvidenceCollector:
    """Counts the ratings of this entry until they are taken to be sent.

    Parameters
    ----------
    source : str
        This entry and its incarnation.
    """

    def __init__(self, source: str) -> None:
        self.source = source
        self._sequence = 0
        self._histograms: dict[EstimateKey, tuple[list[int], list[float]]] = {}

    def add(self, key: EstimateKey, index: int, score: float) -> None:
        """Count one score in a bin; beyond the bound it stays local."""
        histogram = self._histograms.get(key)
        if histogram is None:
            if len(self._histograms) >= MAX_MESSAGE_HISTOGRAMS:
                return
            histogram = ([0] * SCORE_BINS, [0.0] * SCORE_BINS)
            self._histograms[key] = histogram
        histogram[0][index] += 1
        histogram[1][index] += score

    def take(self) -> Evidence:
        """Everything counted since the last call."""
        self._sequence += 1
        histograms = tuple(
            EvidenceHistogram(key, tuple(counts), tuple(totals))
            for key, (counts, totals) in self._histograms.items()
        )
        self._histograms = {}
        return Evidence(self.source, self._sequence, histograms)


class SequenceFilter:
    """Remembers the newest sequence of each source, to drop repeated messages."""

    def __init__(self) -> None:
        self._newest: OrderedDict[str, int] = OrderedDict()

    def accept(self, source: str, sequence: int) -> bool:
        """Whether a message is newer than all before it from its source."""
        if sequence <= self._newest.get(source, -1):
            return False
        self._newest[source] = sequence
        self._newest.move_to_end(source)
        if len(self._newest) > MAX_SOURCES:
            self._newest.popitem(last=False)
        return True
