"""Proposals that are in the log and wait to be applied."""

from bergamotwood_core.errors import NotLeaderError, ReplicationError
from bergamotwood_core.ids import LogIndex, Term
from bergamotwood_core.logentries import Entry
from bergamotwood_daemon.groupinput import Proposal


class PendingProposals:
    """Pending proposals, by the index and term at which they were appended."""

    def __init__(self) -> None:
        self._proposals: dict[LogIndex, tuple[Term, Proposal]] = {}

    def __len__(self) -> int:
        return len(self._proposals)

    def add(self, index: LogIndex, term: Term, proposal: Proposal) -> None:
        """Add a proposal that was just appended."""
        self._fail_overwritten(index)
        proposal.appended = True
        self._proposals[index] = (term, proposal)

    def resolve(self, entry: Entry, answer: bytes) -> None:
        """Complete the proposal of an applied entry with its answer."""
        pending = self._proposals.get(entry.index)
        if pending is None:
            return
        term, proposal = pending
        if term != entry.term:
            self._fail_overwritten(entry.index)
            return
        del self._proposals[entry.index]
        proposal.result.set(answer)

    def fail_through(self, index: LogIndex) -> None:
        """Fail the proposals up to an index that a received snapshot contains."""
        for pending_index in [key for key in self._proposals if key <= index]:
            _, proposal = self._proposals.pop(pending_index)
            proposal.result.set_exception(ReplicationError("passed over by a snapshot"))

    def fail_all(self, detail: str) -> None:
        """Fail all pending proposals."""
        for _, proposal in self._proposals.values():
            proposal.result.set_exception(ReplicationError(detail))
        self._proposals.clear()

    def _fail_overwritten(self, index: LogIndex) -> None:
        # Another entry took its index, so it will never be applied.
        pending = self._proposals.pop(index, None)
        if pending is not None:
            pending[1].result.set_exception(NotLeaderError("lost to a later term"))
