"""Interface of the state machine that a replicated log drives."""

from typing import Protocol

from bergamotwood_core.ids import LogIndex


class StateMachine(Protocol):
    """State that is a pure function of the commands applied to it."""

    def apply(self, index: LogIndex, command: bytes) -> bytes:
        """Apply one committed command.

        Parameters
        ----------
        index : LogIndex
            Index of the command in the log; increases with each call.
        command : bytes
            The command as it was proposed.

        Returns
        -------
        bytes
            Answer for the proposer; identical on every replica.

        Raises
        ------
        BuildTooOldError
            When this build cannot read the command; the state is unchanged.
        """
        ...

    def snapshot(self) -> bytes:
        """Return the whole state in a form that `restore` reads."""
        ...

    def restore(self, snapshot: bytes) -> None:
        """Replace the whole state with one that `snapshot` returned.

        Raises
        ------
        BuildTooOldError
            When this build cannot read the state.
        """
        ...
