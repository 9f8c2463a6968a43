"""What entries that have stopped had reported of roll-outs in progress.

The requests that a new version has had, and how they ended, still count after the entry
that sent them is gone. It answers entries that stop, crash or start again during a
roll-out: without it a bad version could be given more requests than allowed.
"""

from collections.abc import Container, Iterable

from msgspec.structs import replace

from bergamotwood_core.gateway.rollout import VersionEvidence
from bergamotwood_core.ids import Incarnation, InstanceId, LogIndex

# Runs of entries that are kept; a run is kept until its roll-outs have ended.
MAX_RUNS = 1_024

EntryRun = tuple[InstanceId, Incarnation]


class DepartedEvidence:
    """Last evidence of each run of an entry that has stopped."""

    def __init__(self) -> None:
        self._evidence: dict[EntryRun, tuple[VersionEvidence, ...]] = {}

    def keep(self, run: EntryRun, evidence: Iterable[VersionEvidence]) -> None:
        """Keep what a run of an entry reported last.

        Its open requests have ended with it. Counts that name no roll-out are of an
        older build, and are left out.
        """
        kept = tuple(replace(item, open=0) for item in evidence if item.rollout)
        if not kept:
            return
        while len(self._evidence) >= MAX_RUNS:
            del self._evidence[next(iter(self._evidence))]
        self._evidence[run] = kept

    def forget(self, run: EntryRun) -> None:
        """Drop what is kept of a run that reports again, here or elsewhere."""
        self._evidence.pop(run, None)

    def retain_rollouts(self, rollouts: Container[LogIndex]) -> None:
        """Drop everything except the counts of some roll-outs."""
        for run, evidence in list(self._evidence.items()):
            kept = tuple(item for item in evidence if item.rollout in rollouts)
            if not kept:
                del self._evidence[run]
            elif len(kept) < len(evidence):
                self._evidence[run] = kept

    def list_reports(self) -> list[tuple[VersionEvidence, ...]]:
        """Return the evidence of each run that is kept."""
        return list(self._evidence.values())
