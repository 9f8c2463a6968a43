"""Table of the entries that report to the control group.

A replica keeps the reports of the entries that poll it. Of the other entries it only
knows who they are, and the sums that their replicas relay, so that what the replicas
exchange does not grow with the number of reports.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from itertools import chain

from msgspec.structs import replace

from bergamotwood_core.clock import Seconds
from bergamotwood_core.gateway.changefeed import NO_CURSOR, ChangeFeed
from bergamotwood_core.gateway.departedevidence import DepartedEvidence, EntryRun
from bergamotwood_core.gateway.latency import LatencyReport, merge_latencies
from bergamotwood_core.gateway.levels import EntryLevels
from bergamotwood_core.gateway.load import EndpointLoad, LoadSum
from bergamotwood_core.gateway.members import EntryAddress
from bergamotwood_core.gateway.prefill import estimate_rates, merge_histograms
from bergamotwood_core.gateway.retries import UsageReport, merge_usage
from bergamotwood_core.gateway.rollout import VersionEvidence, merge_evidence
from bergamotwood_core.gateway.usable import is_usable_load
from bergamotwood_core.ids import EndpointId, InstanceId, ModelName, SessionId
from bergamotwood_core.progress import NEVER
from bergamotwood_daemon.gateway.peermessages import (
    EntryMember,
    EntryStatus,
    ReplicaSummary,
    SummaryCursor,
)
from bergamotwood_daemon.gateway.unusable import report_unusable

# Entries report at least every half second. One that has missed two reports is
# dropped, so that callers are no longer directed to it.
ENTRY_EXPIRY_SECONDS = 1.5
# Time without a summary after which a replica's entries are dropped. They have moved to
# another replica by then.
SUMMARY_EXPIRY_SECONDS = 2.0
# How long averages of all entries are cached: they change slowly, and every poll needs
# them.
AVERAGES_CACHE_SECONDS = 0.5


@dataclass
class RelayedEntries:
    """What another replica has relayed of its entries."""

    summary: ReplicaSummary
    received_at: Seconds
    cursor: int = NO_CURSOR
    members: dict[InstanceId, EntryMember] = field(default_factory=dict)


class EntryTable:
    """Newest status of each entry that polls this replica, and summaries of others.

    Parameters
    ----------
    clock : callable
        Returns the current time.
    session_timeout_seconds : float
        Time for which the sessions of an entry that has stopped remain open.

    Attributes
    ----------
    members : ChangeFeed
        Entries that poll this replica.
    addresses : ChangeFeed
        Addresses of all entries, for callers.
    levels : EntryLevels
        Feature levels of the entries that poll this replica.
    departed : DepartedEvidence
        Evidence of entries that polled this replica and have stopped.
    has_new_failures : bool
        Whether a report has brought more bad responses; to be reset by its reader.
    """

    def __init__(
        self, clock: Callable[[], Seconds], session_timeout_seconds: float = 5.0
    ) -> None:
        self.members: ChangeFeed[InstanceId, EntryMember] = ChangeFeed()
        self.addresses: ChangeFeed[InstanceId, EntryAddress] = ChangeFeed()
        self.levels = EntryLevels(complete_from=NEVER)
        self.departed = DepartedEvidence()
        self._clock = clock
        self._statuses: dict[InstanceId, EntryStatus] = {}
        self._received_at: dict[InstanceId, Seconds] = {}
        self._relayed: dict[InstanceId, RelayedEntries] = {}
        self._loads = LoadSum()
        # Sessions of entries that have stopped, and the time of their last report.
        self._left_sessions: dict[
            InstanceId, tuple[tuple[SessionId, ...], Seconds]
        ] = {}
        self._session_timeout_seconds = session_timeout_seconds
        self._rates: dict[ModelName, float] = {}
        self._latencies: LatencyReport = {}
        self._averaged_at = Seconds(float("-inf"))
        self.has_new_failures = False

    def update(self, status: EntryStatus) -> bool:
        """Store a status; return whether it is newer than what is known."""
        instance = status.entry.instance
        usable = {
            key: load for key, load in status.loads.items() if is_usable_load(load)
        }
        if len(usable) < len(status.loads):
            unusable = len(status.loads) - len(usable)
            report_unusable(f"loads of {instance}", unusable, "out of range")
            status = replace(status, loads=usable)
        previous = self._statuses.get(instance)
        if previous is not None and _order(previous) >= _order(status):
            return False
        if self._find_newest_relayed(instance) > _order(status):
            return False
        if previous is not None:
            self._loads.subtract(previous.loads)
            if previous.incarnation != status.incarnation:
                self.departed.keep(_get_run(previous), previous.evidence)
        self.departed.forget(_get_run(status))
        self._loads.add(status.loads)
        known_evidence = previous.evidence if previous is not None else ()
        self._note_failures(known_evidence, status.evidence)
        self._statuses[instance] = status
        self._received_at[instance] = self._clock()
        self._left_sessions.pop(instance, None)
        self.levels.record(instance, status.incarnation, status.level, self._clock())
        known = self.members.find(instance)
        if known is None or (known.entry, known.incarnation) != (
            status.entry,
            status.incarnation,
        ):
            self._publish_member(status)
        return True

    def summarize(
        self, replica: InstanceId, boot: str, sequence: int
    ) -> ReplicaSummary:
        """Return the summary for other replicas, without changes of the members."""
        statuses = self._statuses.values()
        loads = LoadSum()
        for status in statuses:
            loads.add(status.loads)
        return ReplicaSummary(
            replica,
            boot,
            sequence,
            None,
            loads.list_without({}),
            tuple(merge_evidence(self._list_own_evidence())),
            self._list_own_sessions(),
            prefill_times=merge_histograms(status.prefill_times for status in statuses),
            latencies=merge_latencies(status.latencies for status in statuses),
            retry_usage=merge_usage(status.retry_usage for status in statuses),
            withdrawn_sessions=self._list_own_withdrawn_sessions(),
        )

    def merge_summary(self, summary: ReplicaSummary) -> SummaryCursor:
        """Store the summary of another replica; return what is known of it then."""
        relayed = self._relayed.get(summary.replica)
        if relayed is not None and relayed.summary.boot == summary.boot:
            if summary.sequence <= relayed.summary.sequence:
                return SummaryCursor(summary.boot, relayed.cursor)
            self._loads.subtract(relayed.summary.loads)
            self._note_failures(relayed.summary.evidence, summary.evidence)
            relayed.summary = summary
            relayed.received_at = self._clock()
        else:
            if relayed is not None:
                self._drop_relayed(summary.replica)
            relayed = RelayedEntries(summary, self._clock())
            self._relayed[summary.replica] = relayed
        self._loads.add(summary.loads)
        self._apply_member_changes(relayed)
        return SummaryCursor(summary.boot, relayed.cursor)

    def expire(self) -> None:
        """Remove entries, and summaries of replicas, that have stopped reporting."""
        now = self._clock()
        cutoff = now - ENTRY_EXPIRY_SECONDS
        for instance in [key for key, at in self._received_at.items() if at < cutoff]:
            status = self._statuses[instance]
            self.departed.keep(_get_run(status), status.evidence)
            self._drop(instance)
        cutoff = now - SUMMARY_EXPIRY_SECONDS
        for replica in [
            key
            for key, relayed in self._relayed.items()
            if relayed.received_at < cutoff
        ]:
            self._drop_relayed(replica)

    def list_relayed_levels(self) -> list[int]:
        """Return the lowest feature level of the entries of each other replica."""
        return [relayed.summary.lowest_level for relayed in self._relayed.values()]

    def list_loads(self, instance: InstanceId | None) -> dict[EndpointId, EndpointLoad]:
        """Return the load that all entries except `instance` put on each endpoint."""
        own_status = self._statuses.get(instance)
        return self._loads.list_without(own_status.loads if own_status else {})

    def list_evidence(self) -> list[VersionEvidence]:
        """Return the evidence of all entries on versions that are rolled out."""
        return merge_evidence(
            chain(
                self._list_own_evidence(),
                (relayed.summary.evidence for relayed in self._relayed.values()),
            )
        )

    def _list_own_evidence(self) -> list[tuple[VersionEvidence, ...]]:
        """Return the evidence of the entries that poll this replica or did last."""
        statuses = self._statuses.values()
        return [*(item.evidence for item in statuses), *self.departed.list_reports()]

    def list_prefill_rates(self) -> dict[ModelName, float]:
        """Return the seconds to prefill a token, from the samples of all entries."""
        self._refresh_averages()
        return self._rates

    def list_latencies(self) -> LatencyReport:
        """Return the average response times of all entries."""
        self._refresh_averages()
        return self._latencies

    def compute_share(self) -> float:
        """Return the fraction of all entries that poll this replica."""
        return min(len(self.members) / max(len(self.addresses), 1), 1.0)

    def list_open_sessions(self) -> tuple[SessionId, ...]:
        """Return the open sessions of all entries without duplicates."""
        sessions = chain(
            (self._list_own_sessions(),),
            (relayed.summary.open_sessions for relayed in self._relayed.values()),
        )
        return tuple(dict.fromkeys(chain.from_iterable(sessions)))

    def list_withdrawn_sessions(self) -> tuple[SessionId, ...]:
        """Return the sessions of all entries on versions that were rolled back."""
        sessions = chain(
            (self._list_own_withdrawn_sessions(),),
            (relayed.summary.withdrawn_sessions for relayed in self._relayed.values()),
        )
        return tuple(dict.fromkeys(chain.from_iterable(sessions)))

    def _list_own_withdrawn_sessions(self) -> tuple[SessionId, ...]:
        statuses = self._statuses.values()
        return _collect(status.withdrawn_sessions for status in statuses)

    def _list_own_sessions(self) -> tuple[SessionId, ...]:
        """Return the open sessions of the entries that poll this replica.

        Those of an entry that has stopped go on at others.
        """
        self._expire_sessions()
        return _collect(
            chain(
                (status.open_sessions for status in self._statuses.values()),
                (sessions for sessions, _ in self._left_sessions.values()),
            )
        )

    def _expire_sessions(self) -> None:
        cutoff = self._clock() - self._session_timeout_seconds
        for instance, (_, at) in list(self._left_sessions.items()):
            if at < cutoff:
                del self._left_sessions[instance]

    def list_retry_usage(self) -> UsageReport:
        """Return the requests and retries of all entries in the current window."""
        return merge_usage(
            chain(
                (status.retry_usage for status in self._statuses.values()),
                (relayed.summary.retry_usage for relayed in self._relayed.values()),
            )
        )

    def _note_failures(
        self, known: tuple[VersionEvidence, ...], new: tuple[VersionEvidence, ...]
    ) -> None:
        if sum(item.bad for item in new) > sum(item.bad for item in known):
            self.has_new_failures = True

    def _refresh_averages(self) -> None:
        now = self._clock()
        if now - self._averaged_at <= AVERAGES_CACHE_SECONDS:
            return
        self._averaged_at = now
        reports = [
            *self._statuses.values(),
            *(relayed.summary for relayed in self._relayed.values()),
        ]
        times = merge_histograms(report.prefill_times for report in reports)
        self._rates = estimate_rates(times)
        self._latencies = merge_latencies(report.latencies for report in reports)

    def _apply_member_changes(self, relayed: RelayedEntries) -> None:
        changes = relayed.summary.members
        if changes is None or not (
            changes.is_complete or changes.since <= relayed.cursor
        ):
            # Changes since a later cursor are sent again from the one returned.
            return
        before = relayed.members
        relayed.members = changes.apply(before)
        relayed.cursor = changes.cursor
        for instance, member in changes.values.items():
            self._resolve_move(instance, member)
        for instance in before.keys() | changes.values.keys():
            self._refresh_address(instance)

    def _resolve_move(self, instance: InstanceId, member: EntryMember) -> None:
        """Keep an entry at the replica that it polls now."""
        self.departed.forget((instance, member.incarnation))
        own_status = self._statuses.get(instance)
        if own_status is None:
            self.levels.forget_moved(instance, member.incarnation)
            return
        if _order(own_status) < _order(member):
            if own_status.incarnation != member.incarnation:
                self.departed.keep(_get_run(own_status), own_status.evidence)
            self._drop(instance)
            self.levels.forget_moved(instance, member.incarnation)
        elif _order(self.members.find(instance)) < _order(member):
            # It went to the other replica and came back: tell that one.
            self._publish_member(own_status)

    def _publish_member(self, status: EntryStatus) -> None:
        member = EntryMember(status.entry, status.incarnation, status.sequence)
        self.members.put(status.entry.instance, member)
        self._refresh_address(status.entry.instance)

    def _find_newest_relayed(self, instance: InstanceId) -> tuple[int, int]:
        return max(
            (
                _order(relayed.members[instance])
                for relayed in self._relayed.values()
                if instance in relayed.members
            ),
            default=(0, 0),
        )

    def _refresh_address(self, instance: InstanceId) -> None:
        """Publish the newest address of an entry that any replica has."""
        members = [
            relayed.members[instance]
            for relayed in self._relayed.values()
            if instance in relayed.members
        ]
        own_member = self.members.find(instance)
        if own_member is not None:
            members.append(own_member)
        if members:
            self.addresses.put(instance, max(members, key=_order).entry)
        else:
            self.addresses.remove(instance)

    def _drop(self, instance: InstanceId) -> None:
        status = self._statuses.pop(instance)
        self._loads.subtract(status.loads)
        received_at = self._received_at.pop(instance)
        if status.open_sessions:
            self._left_sessions[instance] = (status.open_sessions, received_at)
        self.members.remove(instance)
        self._refresh_address(instance)

    def _drop_relayed(self, replica: InstanceId) -> None:
        relayed = self._relayed.pop(replica)
        self._loads.subtract(relayed.summary.loads)
        for instance in relayed.members:
            self._refresh_address(instance)


def _order(report: EntryStatus | EntryMember) -> tuple[int, int]:
    return report.incarnation, report.sequence


def _get_run(status: EntryStatus) -> EntryRun:
    return status.entry.instance, status.incarnation


def _collect(reports: Iterable[tuple]) -> tuple:
    return tuple(chain.from_iterable(reports))
