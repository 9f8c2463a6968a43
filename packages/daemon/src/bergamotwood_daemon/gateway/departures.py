"""Commits of departures, which end the requests to an incarnation of an endpoint."""

from collections.abc import Callable

from gevent import spawn

from bergamotwood_core.errors import BergamotwoodError
from bergamotwood_core.gateway.endpoints import EndpointDirectory
from bergamotwood_core.gateway.notices import LeavingEndpoint
from bergamotwood_core.gateway.state_machine import (
    CommandOutcome,
    GatewayCommand,
    RecordDeparture,
)
from bergamotwood_core.ids import EndpointId, Incarnation
from bergamotwood_core.states import EndpointState
from bergamotwood_daemon.log import log_event


class DepartureRecorder:
    """Commits that endpoints leave, as they or entries report it.

    Parameters
    ----------
    directory : EndpointDirectory
        The replica's directory of endpoints.
    commit : callable
        Commits a command through the leader.
    """

    def __init__(
        self,
        directory: EndpointDirectory,
        commit: Callable[[GatewayCommand], CommandOutcome],
    ) -> None:
        self._directory = directory
        self._commit = commit
        self._reported: set[tuple[EndpointId, Incarnation]] = set()

    def record(
        self,
        endpoint: EndpointId,
        incarnation: Incarnation | None,
        state: EndpointState,
    ) -> None:
        """Commit that an endpoint gets no more requests.

        Parameters
        ----------
        endpoint : EndpointId
            The endpoint.
        incarnation : Incarnation or None
            Incarnation that leaves; None for the newest known one.
        state : EndpointState
            State that the endpoint reports.

        Raises
        ------
        ReplicationError
            When no majority confirms it in time.
        """
        if incarnation is None:
            known_heartbeat = self._directory.find(endpoint)
            incarnation = (
                known_heartbeat.incarnation if known_heartbeat else Incarnation(0)
            )
        outcome = self._commit(RecordDeparture(endpoint, incarnation, state))
        if outcome.changed:
            log_event("directory", "Endpoint leaves.", endpoint=endpoint, state=state)

    def record_notice(self, leaving: LeavingEndpoint) -> None:
        """Commit a departure that an endpoint has announced to an entry only."""
        run = (leaving.endpoint, leaving.incarnation)
        if run in self._reported or not self._directory.is_serving(*run):
            return
        self._reported.add(run)
        spawn(self._commit_notice, leaving)

    def _commit_notice(self, leaving: LeavingEndpoint) -> None:
        run = (leaving.endpoint, leaving.incarnation)
        try:
            self.record(*run, EndpointState.LEAVING)
        except BergamotwoodError as error:
            # The entry reports the endpoint again with its next polls.
            log_event("directory", "Departure not committed.", reason=error.detail)
        finally:
            self._reported.discard(run)
