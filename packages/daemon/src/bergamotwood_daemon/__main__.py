"""Lets `python -m bergamotwood_daemon` run the daemon."""

from bergamotwood_daemon.boot import main

main()
