"""Entry point of the daemon, which patches blocking calls before other imports."""

from gevent import get_hub, monkey

# gRPC occupies a thread of the hub's pool for each pending call. Long polls and
# calls to unresponsive peers would occupy all of the default ten.
MAX_POOL_THREADS = 256


def main() -> None:
    """Patch the standard library and gRPC, then run the command line."""
    monkey.patch_all()
    from bergamotwood_daemon.heap import map_large_blocks

    map_large_blocks()
    from grpc.experimental.gevent import init_gevent

    init_gevent()
    get_hub().threadpool.maxsize = MAX_POOL_THREADS
    from bergamotwood_daemon.command import main as run_command

    run_command()
