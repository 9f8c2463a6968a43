"""Retries every failed request, also one that must not run twice."""

from soak.variants import run_patched


def change():
    from bergamotwood_daemon.gateway import forwarder

    def may_retry(call, has_run, now):
        return len(call.tried_endpoints) < 3

    forwarder.may_retry = may_retry


if __name__ == "__main__":
    run_patched(change)
