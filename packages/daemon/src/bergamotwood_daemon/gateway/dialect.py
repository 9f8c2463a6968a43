"""Interface that a platform adapter implements for the gateway."""

from typing import Protocol

from bergamotwood_core.gateway.call import (
    ForwardMetadata,
    RequestMetadata,
    ResponseMetadata,
)
from bergamotwood_core.gateway.configuration import GatewayConfiguration
from bergamotwood_core.ids import RequestId
from bergamotwood_daemon.gateway.message import Headers


class Dialect(Protocol):
    """Translates a platform's header fields and documents to the gateway's types.

    Attributes
    ----------
    liveness_target : bytes
        Request target that an endpoint answers without a free slot.
    """

    liveness_target: bytes

    def read_call(self, headers: Headers) -> RequestMetadata:
        """Parse the header fields of a caller's request.

        Raises
        ------
        RequestError
            When a field is malformed.
        """
        ...

    def write_forward(self, headers: Headers, metadata: ForwardMetadata) -> Headers:
        """Return the header fields of a caller's request to send to an endpoint."""
        ...

    def read_id(self, headers: Headers) -> RequestId:
        """Return the id of a request; empty if it has none."""
        ...

    def read_answer(self, headers: Headers) -> ResponseMetadata:
        """Parse the header fields of an endpoint's response."""
        ...

    def decode_configuration(self, document: bytes) -> GatewayConfiguration:
        """Decode a configuration document sent by an operator.

        Raises
        ------
        RequestError
            When any part of the document is invalid.
        """
        ...
