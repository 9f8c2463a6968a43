"""Lifecycle of a fake's process: start, announce, stop on a signal."""

from signal import SIGINT, SIGTERM
from sys import stdout

import gevent
from gevent.event import Event
from gevent.pywsgi import WSGIServer
from msgspec import json

from bergamotwood_fakes.announcer import Announcer
from bergamotwood_fakes.recorder import Recorder

IDLE_POLL_SECONDS = 0.05
STOP_TIMEOUT_SECONDS = 1.0


def print_start_message(identity: str, kind: str, port: int) -> None:
    """Print the JSON line that tells the parent process the port."""
    line = json.encode({"id": identity, "kind": kind, "port": port})
    stdout.write(line.decode() + "\n")
    stdout.flush()


def wait_for_stop() -> None:
    """Wait for SIGTERM or SIGINT."""
    stopped = Event()
    for signal_number in (SIGTERM, SIGINT):
        gevent.signal_handler(signal_number, stopped.set)
    stopped.wait()


def run_until_stopped(server: WSGIServer, identity: str, kind: str) -> None:
    """Run a fake that is no endpoint until SIGTERM or SIGINT."""
    server.start()
    print_start_message(identity, kind, server.server_port)
    wait_for_stop()
    server.stop(timeout=STOP_TIMEOUT_SECONDS)


def run_endpoint(
    server: WSGIServer,
    announcer: Announcer,
    identity: str,
    kind: str,
    recorder: Recorder,
    leave_seconds: float,
) -> None:
    """Run a fake endpoint until SIGTERM or SIGINT, then shut it down gracefully.

    On shutdown it announces that it leaves, serves new requests for
    `leave_seconds`, and exits when all runs have ended.

    Parameters
    ----------
    server : WSGIServer
        Its listening server.
    announcer : Announcer
        Announces it to the entries.
    identity, kind : str
        Printed in the start message.
    recorder : Recorder
        Counts the runs in progress.
    leave_seconds : float
        Time for which it keeps serving after it announced that it leaves.
    """
    server.start()
    print_start_message(identity, kind, server.server_port)
    announcer_task = gevent.spawn(announcer.run)
    wait_for_stop()
    recorder.leaving = True
    announcer.leave()
    gevent.sleep(leave_seconds)
    while recorder.running:
        gevent.sleep(IDLE_POLL_SECONDS)
    announcer_task.kill()
    server.stop(timeout=STOP_TIMEOUT_SECONDS)
