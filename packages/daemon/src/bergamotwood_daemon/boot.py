"""Start of the daemon: gevent takes over blocking calls before other imports."""

from gevent import get_hub, monkey

# gRPC holds a thread of the hub's pool for each call that waits; the pool's
# usual ten are all held by long polls and calls to silent peers.
MAX_POOL_THREADS = 256


def main() -> None:
    """Patch the standard library and gRPC, then run the command line."""
    monkey.patch_all()
    from grpc.experimental.gevent import init_gevent

    init_gevent()
    get_hub().threadpool.maxsize = MAX_POOL_THREADS
    from bergamotwood_daemon.command import main as run_command

    run_command()
