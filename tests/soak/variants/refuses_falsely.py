"""Reports a request as not run whenever its endpoint fails."""

from soak.variants import run_patched


def change():
    from bergamotwood_core.errors import Code, EndpointError, RefusedError
    from bergamotwood_daemon.gateway.forwarder import Forwarder

    forward = Forwarder._forward

    def forward_as_refusal(self, call, exchange):
        try:
            forward(self, call, exchange)
        except EndpointError as error:
            raise RefusedError(error.detail, Code.OVERLOADED, retry_after=0.1)

    Forwarder._forward_converting_refusals = forward_as_refusal


if __name__ == "__main__":
    run_patched(change)
