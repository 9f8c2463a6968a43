"""What the greenlet of a log group takes in."""

from collections.abc import Callable

from gevent.event import AsyncResult
from msgspec import Struct

from bergamotwood_core.clock import Seconds
from bergamotwood_core.logmessages import Message
from bergamotwood_core.replica import Replica


class Proposal:
    """A command that waits to be appended, then to be applied.

    Parameters
    ----------
    command : bytes
        For the machine.
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
    """Time has passed."""


class Call(Struct, frozen=True):
    """Something to do on the replica between two batches."""

    action: Callable[[Replica, Seconds], object]
    result: AsyncResult


class Stop(Struct, frozen=True):
    """The end of the greenlet."""


Input = Proposal | Received | Tick | Call | Stop
