"""Lets `python -m bergamotctl` run the command."""

from bergamotctl.command import main

main(prog_name="bergamotctl")
