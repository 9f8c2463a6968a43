"""What is held of an endpoint's answer until its caller has it."""

from collections.abc import Callable

from bergamotwood_core.clock import Seconds
from bergamotwood_core.memory import Holding, MemoryAccount


class AnswerMemory:
    """What is held of one answer until its caller has it.

    Parameters
    ----------
    account : MemoryAccount
        Account in which it is counted.
    clock : callable
        Returns the current time.
    """

    def __init__(self, account: MemoryAccount, clock: Callable[[], Seconds]) -> None:
        self._account = account
        self._clock = clock
        self._holding: Holding | None = None

    def resize(self, count: int) -> bool:
        """Hold a number of bytes; return whether there is room for them."""
        if self._holding is None:
            if not count:
                return True
            self._holding = self._account.open_answer(self._clock())
        more = count - self._holding.held_bytes
        if more > 0:
            return self._account.grow(self._holding, more, self._clock())
        self._account.shrink(self._holding, -more)
        return True

    def close(self) -> None:
        """Hold nothing more."""
        if self._holding is not None:
            self._account.close(self._holding)
            self._holding = None
