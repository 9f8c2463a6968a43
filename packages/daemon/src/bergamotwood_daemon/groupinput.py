"""Inputs of the greenlet that runs a log group."""

from collections.abc import Callable

from gevent.event import AsyncResult
from msgspec import Struct

from bergamotwood_core.clock import Seconds
from bergamotwood_core.errors import BergamotwoodError
from bergamotwood_core.logmessages import Message
from bergamotwood_core.replica import Replica


class Proposal:
    """A command that waits to be appended to the log and then applied.

    Parameters
    ----------
    command : bytes
        Command for the state machine.

    Attributes
    ----------
    result : AsyncResult
        The state machine's answer, or the error that the proposer gets.
    appended : bool
        Whether it was appended to the log, so that it may be applied.
    abandoned : bool
        Whether the proposer stopped waiting; then it is not appended any more.
    """

    __slots__ = ("command", "result", "appended", "abandoned")

    def __init__(self, command: bytes) -> None:
        self.command = command
        self.result: AsyncResult = AsyncResult()
        self.appended = False
        self.abandoned = False


class Received(Struct, frozen=True):
    """A message from another instance."""

    message: Message


class Tick(Struct, frozen=True):
    """A tick of the clock, for elections and heartbeats."""


class Call(Struct, frozen=True):
    """A function to run on the replica, and where its result goes."""

    action: Callable[[Replica, Seconds], object]
    result: AsyncResult

    def run(self, replica: Replica, now: Seconds) -> None:
        """Run the function; a typed error goes to the caller."""
        try:
            self.result.set(self.action(replica, now))
        except (BergamotwoodError, ValueError) as error:
            self.result.set_exception(error)


class Stop(Struct, frozen=True):
    """Wakes the greenlet so that it ends."""


Input = Proposal | Received | Tick | Call | Stop
