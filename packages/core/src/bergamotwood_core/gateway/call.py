"""What callers and endpoints say about a request, in the gateway's own terms."""

from msgspec import Struct

from bergamotwood_core.clock import Seconds
from bergamotwood_core.gateway.configuration import GatewayWorkspace, ServiceRoute
from bergamotwood_core.gateway.latency import Timing
from bergamotwood_core.ids import (
    EndpointId,
    Fingerprint,
    ModelName,
    RequestId,
    ServiceName,
    SessionId,
    WorkspaceId,
)


class PromptPart(Struct, frozen=True):
    """A part of a prompt that other requests may share.

    Parameters
    ----------
    id : str
        Equal parts have equal ids.
    tokens : int
        Its length.
    """

    id: str
    tokens: int


class RequestMetadata(Struct, frozen=True):
    """What a caller says of its request.

    Parameters
    ----------
    request : RequestId
        Id of this attempt of the caller.
    patience_seconds : float or None
        How long the caller waits.
    key : str
        Key of its workspace, empty without one.
    session : SessionId
        Requests of one session belong together; empty without one.
    model : ModelName
        Model that it asks for, empty when it names none.
    leaves_model_open : bool
        Whether the router chooses the model.
    prompt_tokens, output_tokens : int
        Length of the prompt, and the most that is to be generated.
    expected_tokens : int
        The caller's estimate of what is generated; 0 without one.
    prompt : tuple of PromptPart
        Parts of the prompt in order; the last one is the request's own.
    last_event : str
        Id of the last event that the caller has, empty for a new stream.
    """

    request: RequestId
    patience_seconds: float | None = None
    key: str = ""
    session: SessionId = SessionId("")
    model: ModelName = ModelName("")
    leaves_model_open: bool = False
    prompt_tokens: int = 0
    output_tokens: int = 0
    expected_tokens: int = 0
    prompt: tuple[PromptPart, ...] = ()
    last_event: str = ""


class ForwardMetadata(Struct, frozen=True):
    """What the router says to an endpoint of a request.

    Parameters
    ----------
    endpoint : EndpointId
        The only endpoint that may run it.
    patience_seconds : float
        Time after which nobody waits for the answer.
    workspace : WorkspaceId or None
        Workspace of the caller's key.
    model : ModelName
        Chosen model, empty where there is no choice.
    urgency : int or None
        From 0, the most urgent, to 9.
    last_event : str
        Event after which a stream goes on, empty from the beginning.
    """

    endpoint: EndpointId
    patience_seconds: float
    workspace: WorkspaceId | None = None
    model: ModelName = ModelName("")
    urgency: int | None = None
    last_event: str = ""


class ResponseMetadata(Struct, frozen=True):
    """What an endpoint says of its response.

    Parameters
    ----------
    request : RequestId
        Request that it answers.
    is_signed : bool
        Whether the endpoint vouches for the response.
    is_not_run : bool
        Whether it says that it has not run the request.
    confidence : float or None
        The model's opinion of its answer, from 0 to 1.
    """

    request: RequestId
    is_signed: bool
    is_not_run: bool
    confidence: float | None = None


class Call(Struct):
    """A request on its way through an entry.

    Parameters
    ----------
    terms : RequestMetadata
        What the caller said.
    route : ServiceRoute
        Its route.
    holder : GatewayWorkspace or None
        Workspace of its key.
    service : ServiceName
        Service chosen for it.
    received_at, deadline : Seconds
        When it came, and when its final answer is due.
    fingerprint : Fingerprint
        Equal for the same method, path, workspace and body.
    tried : list of EndpointId
        Endpoints that it was sent to.
    runs : int
        Attempts that may have run.
    last_event : str
        Last event that the caller has.
    model : ModelName
        Model of the current attempt.
    confidence : float or None
        Opinion of the newest model that answered.
    timing : Timing or None
        Times of the answer that the caller has.
    """

    terms: RequestMetadata
    route: ServiceRoute
    holder: GatewayWorkspace | None
    service: ServiceName
    received_at: Seconds
    deadline: Seconds
    fingerprint: Fingerprint
    tried: list[EndpointId] = []
    runs: int = 0
    last_event: str = ""
    model: ModelName = ModelName("")
    confidence: float | None = None
    timing: Timing | None = None

    @property
    def urgency(self) -> int:
        """Rank of the request, 0 is the most urgent."""
        if self.holder is not None and self.holder.priority is not None:
            return self.holder.priority
        return self.route.priority
