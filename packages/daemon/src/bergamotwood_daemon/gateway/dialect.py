"""What an adapter translates for the gateway."""

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
    """Header fields and documents of a platform, in the gateway's own types."""

    def read_call(self, headers: Headers) -> RequestMetadata:
        """Return what a caller says of its request.

        Raises
        ------
        RequestError
            When a field cannot be read.
        """
        ...

    def write_forward(self, headers: Headers, terms: ForwardMetadata) -> Headers:
        """Return a caller's header fields as an endpoint is to get them."""
        ...

    def read_id(self, headers: Headers) -> RequestId:
        """Return the id of a request, empty without one."""
        ...

    def read_answer(self, headers: Headers) -> ResponseMetadata:
        """Return what an endpoint says of its response."""
        ...

    def decode_configuration(self, document: bytes) -> GatewayConfiguration:
        """Return the configuration that an operator sent.

        Raises
        ------
        RequestError
            When it cannot be read in full.
        """
        ...
