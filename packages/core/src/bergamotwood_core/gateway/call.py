"""Metadata that accompanies requests and responses, independent of header names."""

from msgspec import Struct

from bergamotwood_core.clock import Seconds
from bergamotwood_core.gateway.configuration import GatewayWorkspace, ServiceRoute
from bergamotwood_core.gateway.latency import Timing
from bergamotwood_core.gateway.priorities import compute_priority
from bergamotwood_core.gateway.suspects import MAX_PARTS, Cause, ExecutedRequest
from bergamotwood_core.ids import (
    EndpointId,
    Fingerprint,
    InstanceId,
    ModelName,
    PromptPartId,
    RequestId,
    ServiceName,
    SessionId,
    WorkspaceId,
)


class PromptPart(Struct, frozen=True):
    """A part of a prompt that other requests may share.

    Parameters
    ----------
    id : PromptPartId
        Identifies the content; equal parts have equal ids.
    tokens : int
        Length in tokens.
    """

    id: PromptPartId
    tokens: int


class RequestMetadata(Struct, frozen=True):
    """Metadata that a caller sends with a request.

    Parameters
    ----------
    request : RequestId
        Identifies the request; a retry by the caller has a new id.
    timeout_seconds : float or None
        Seconds that the caller waits for the answer; None if it set no limit.
    key : str
        API key of the workspace; empty if none was sent.
    session : SessionId
        Session of the request; empty if it belongs to none.
    model : ModelName
        Requested model; empty if none was named.
    accepts_any_model : bool
        Whether the router chooses the model.
    prompt_tokens, output_tokens : int
        Length of the prompt, and the maximum number of generated tokens.
    expected_tokens : int
        The caller's estimate of generated tokens; 0 if it gave none.
    prompt : tuple of PromptPart
        Parts of the prompt in order; the last one is not shared.
    last_event_id : str
        Id of the last event that the caller received; empty for a new stream.
    """

    request: RequestId
    timeout_seconds: float | None = None
    key: str = ""
    session: SessionId = SessionId("")
    model: ModelName = ModelName("")
    accepts_any_model: bool = False
    prompt_tokens: int = 0
    output_tokens: int = 0
    expected_tokens: int = 0
    prompt: tuple[PromptPart, ...] = ()
    last_event_id: str = ""


class ForwardMetadata(Struct, frozen=True):
    """Metadata that the router sends to an endpoint with a request.

    Parameters
    ----------
    endpoint : EndpointId
        The only endpoint that may execute the request.
    timeout_seconds : float
        Seconds after which the caller no longer waits for the answer.
    workspace : WorkspaceId or None
        Workspace of the caller's key.
    model : ModelName
        Chosen model; empty if the route has no choice of models.
    priority : int or None
        Priority from 0, the most urgent, to 9.
    last_event_id : str
        Id of the event after which a stream resumes; empty for its beginning.
    """

    endpoint: EndpointId
    timeout_seconds: float
    workspace: WorkspaceId | None = None
    model: ModelName = ModelName("")
    priority: int | None = None
    last_event_id: str = ""


class ResponseMetadata(Struct, frozen=True):
    """Metadata that an endpoint sends with a response.

    Parameters
    ----------
    request : RequestId
        Request that the response answers.
    is_signed : bool
        Whether the endpoint signed the response.
    is_not_executed : bool
        Whether the endpoint states that it did not execute the request.
    confidence : float or None
        The model's confidence in its answer, from 0 to 1.
    is_leaving : bool
        Whether the endpoint announces that it leaves.
    requests_per_second : float or None
        Limit that the endpoint names on the requests of all entries; None if it names
        none.
    refusals_per_second : float or None
        Refusals of requests of all entries that the endpoint bears; None if it
        states none.
    warmup_seconds : float or None
        How much longer the endpoint is cold; None if it states nothing.
    """

    request: RequestId
    is_signed: bool
    is_not_executed: bool
    confidence: float | None = None
    is_leaving: bool = False
    requests_per_second: float | None = None
    refusals_per_second: float | None = None
    warmup_seconds: float | None = None


class Call(Struct):
    """State of a request while an entry processes it.

    Parameters
    ----------
    metadata : RequestMetadata
        Metadata that the caller sent.
    route : ServiceRoute
        Route that matches the request.
    workspace : GatewayWorkspace or None
        Workspace of the caller's key.
    service : ServiceName
        Service chosen among the route's destinations.
    received_at, deadline : Seconds
        Time of arrival, and time by which the complete answer is due.
    fingerprint : Fingerprint
        Equal for requests with the same method, path, query, workspace and body.
    tried_endpoints : list of EndpointId
        Endpoints that the request was sent to.
    possible_executions : int
        Attempts that may have been executed.
    last_event_id : str
        Id of the last event that the caller received.
    model : ModelName
        Model of the current attempt.
    confidence : float or None
        Confidence reported by the model that answered last.
    timing : Timing or None
        Timing of the answer that was delivered to the caller.
    is_trial : bool
        Whether it is sent although a cause that it has is suspended. It is sent to
        one endpoint only.
    relayed_by : InstanceId or None
        Entry that has relayed it to this one; it is not relayed again.
    relayed_to : InstanceId or None
        Entry that it was relayed to last.
    relayed_executions : int
        Possible executions before it was relayed to this entry.
    has_fixed_model : bool
        Whether a part of the answer was delivered before it was relayed, so that no
        other model may answer.
    has_lost_endpoint : bool
        Whether an endpoint ended with it. It is sent over a new connection from then
        on, which an endpoint that ended at the same moment does not accept.
    """

    metadata: RequestMetadata
    route: ServiceRoute
    workspace: GatewayWorkspace | None
    service: ServiceName
    received_at: Seconds
    deadline: Seconds
    fingerprint: Fingerprint
    tried_endpoints: list[EndpointId] = []
    possible_executions: int = 0
    last_event_id: str = ""
    model: ModelName = ModelName("")
    confidence: float | None = None
    timing: Timing | None = None
    is_trial: bool = False
    relayed_by: InstanceId | None = None
    relayed_to: InstanceId | None = None
    relayed_executions: int = 0
    has_fixed_model: bool = False
    has_lost_endpoint: bool = False

    @property
    def causes(self) -> list[Cause]:
        """What the crash of an endpoint that executes the request may be due to."""
        return self.describe_execution(has_begun=False).list_causes(self.service)

    def describe_execution(self, has_begun: bool) -> ExecutedRequest:
        """Return what is reported of the request if its endpoint crashes."""
        shared = self.metadata.prompt[:-1][:MAX_PARTS]
        parts = tuple(part.id for part in shared)
        return ExecutedRequest(
            self.fingerprint, parts, has_begun, is_resent=self.has_lost_endpoint
        )

    @property
    def engine_priority(self) -> int:
        """Priority for an engine, from 0, the most urgent, to 9."""
        models = self.route.models
        is_first_answer = bool(models) and self.model == models[0]
        return compute_priority(self.priority, is_first_answer)

    @property
    def priority(self) -> int:
        """Priority of the request; 0 is the most urgent."""
        if self.workspace is not None and self.workspace.priority is not None:
            return self.workspace.priority
        return self.route.priority
