"""Order in which the rows of a list changed locally, independent of store versions."""

from __future__ import annotations

from collections import OrderedDict

__all__ = ('ServerListChangeLog',)

#: Changes of deleted rows that are kept, in addition to one change for each existing row.
EXTRA_KEYS_LIMIT = 2_000


class ServerListChangeLog:
    """Number changes, so that a peer can request those it lacks.

    The store may show a change seconds late, under an older version; a peer that requested all
    changes after a store version would never receive it.
    """

    def __init__(self) -> None:
        """Start at number 0."""
        self.number = 0
        self._numbers: OrderedDict[str, int] = OrderedDict()
        #: Number up to which changes may have been dropped.
        self._forgotten_until = 0

    def record_change(self, key: str, rows_count: int) -> None:
        """Record a change of a row.

        :param rows_count: number of rows in the whole list.
        """
        self.number += 1
        self._numbers[key] = self.number
        self._numbers.move_to_end(key)
        if len(self._numbers) > rows_count + EXTRA_KEYS_LIMIT:
            _, self._forgotten_until = self._numbers.popitem(last=False)

    def changed_since(self, number: int) -> list[str] | None:
        """List the keys that changed after a number, oldest change first.

        :returns: ``None`` if the log does not reach back that far.
        """
        if number < self._forgotten_until or number > self.number:
            return None
        keys = []
        for key in reversed(self._numbers):
            if self._numbers[key] <= number:
                break
            keys.append(key)
        keys.reverse()
        return keys
