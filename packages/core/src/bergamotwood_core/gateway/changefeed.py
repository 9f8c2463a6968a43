"""A table with numbered changes, of which a reader gets those after its cursor.

What a change costs grows with the number of readers, but not with the size of the
table. It answers large fleets, in which instances join one after another.
"""

from collections import OrderedDict
from collections.abc import Hashable, Iterator
from typing import Generic, TypeVar

from msgspec import Struct

Key = TypeVar("Key", bound=Hashable)
Value = TypeVar("Value")

# Cursor of a reader that has nothing yet.
NO_CURSOR = -1
# Removals that are kept; a reader that lacks an older one gets the whole table.
MAX_KEPT_REMOVALS = 256


class Changes(Struct, Generic[Key, Value], frozen=True, array_like=True):
    """Changes of a table after a cursor.

    Parameters
    ----------
    since, cursor : int
        Cursors before and after these changes.
    is_complete : bool
        Whether `values` is the whole table.
    values : dict
        New and changed values.
    removed : tuple
        Keys that were removed.
    """

    since: int
    cursor: int
    is_complete: bool
    values: dict[Key, Value]
    removed: tuple[Key, ...] = ()

    def apply(self, table: dict[Key, Value]) -> dict[Key, Value]:
        """Return a copy of a reader's table with these changes."""
        if self.is_complete:
            return dict(self.values)
        updated = {**table, **self.values}
        for key in self.removed:
            updated.pop(key, None)
        return updated


class ChangeFeed(Generic[Key, Value]):
    """A table whose changes are numbered from 1.

    Attributes
    ----------
    cursor : int
        Number of the newest change.
    """

    def __init__(self) -> None:
        self.cursor = 0
        # Both are ordered by the number of the change.
        self._values: OrderedDict[Key, tuple[int, Value]] = OrderedDict()
        self._removals: OrderedDict[Key, int] = OrderedDict()
        self._forgotten_cursor = 0

    def __len__(self) -> int:
        return len(self._values)

    def __iter__(self) -> Iterator[Key]:
        return iter(self._values)

    def find(self, key: Key) -> Value | None:
        """Return a value; None if there is none."""
        numbered = self._values.get(key)
        return None if numbered is None else numbered[1]

    def list_values(self) -> tuple[Value, ...]:
        """Return all values."""
        return tuple(value for _, value in self._values.values())

    def put(self, key: Key, value: Value) -> None:
        """Add or replace a value; an equal one is no change."""
        if self.find(key) == value:
            return
        self.cursor += 1
        self._values[key] = (self.cursor, value)
        self._values.move_to_end(key)
        self._removals.pop(key, None)

    def remove(self, key: Key) -> None:
        """Remove a value, if there is one."""
        if self._values.pop(key, None) is None:
            return
        self.cursor += 1
        self._removals[key] = self.cursor
        if len(self._removals) > MAX_KEPT_REMOVALS:
            _, self._forgotten_cursor = self._removals.popitem(last=False)

    def list_changes(self, cursor: int) -> Changes[Key, Value] | None:
        """Return the changes after a reader's cursor; None if there are none."""
        if cursor == self.cursor:
            return None
        if not self._forgotten_cursor <= cursor < self.cursor:
            values = {key: value for key, (_, value) in self._values.items()}
            return Changes(cursor, self.cursor, True, values)
        changed = {}
        for key, (number, value) in reversed(self._values.items()):
            if number <= cursor:
                break
            changed[key] = value
        removed = []
        for key, number in reversed(self._removals.items()):
            if number <= cursor:
                break
            removed.append(key)
        return Changes(cursor, self.cursor, False, changed, tuple(removed))
