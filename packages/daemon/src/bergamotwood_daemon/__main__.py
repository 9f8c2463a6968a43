"""Runs the daemon for `python -m bergamotwood_daemon`."""

from bergamotwood_daemon.boot import main

main()
