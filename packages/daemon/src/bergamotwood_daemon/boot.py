"""Start of the daemon: gevent takes over blocking calls before other imports."""

from gevent import monkey


def main() -> None:
    """Patch the standard library and gRPC, then run the command line."""
    monkey.patch_all()
    from grpc.experimental.gevent import init_gevent

    init_gevent()
    from bergamotwood_daemon.command import main as run_command

    run_command()
