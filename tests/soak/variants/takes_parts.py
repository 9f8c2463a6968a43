"""Takes the end after a reset for the end of an answer."""

from soak.variants import run_patched


def change():
    from bergamotwood_daemon.gateway import client

    client.is_orderly_end = lambda error: True


if __name__ == "__main__":
    run_patched(change)
