"""The state machine that a replicated log drives."""

from typing import Protocol

from bergamotwood_core.ids import LogIndex


class StateMachine(Protocol):
    """State that is a pure function of the commands applied to it."""

    def apply(self, index: LogIndex, command: bytes) -> bytes:
        """Apply one committed command.

        Parameters
        ----------
        index : LogIndex
            Place of the command in the log; rises with each call.
        command : bytes
            What was proposed.

        Returns
        -------
        bytes
            Answer for the proposer; equal on every replica.
        """
        ...

    def snapshot(self) -> bytes:
        """Return the whole state, for `restore`."""
        ...

    def restore(self, snapshot: bytes) -> None:
        """Replace the whole state by one that `snapshot` returned."""
        ...
