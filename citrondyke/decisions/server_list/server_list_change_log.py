"""In which order the rows of a list changed here, whatever the store's versions say."""

from __future__ import annotations

from collections import OrderedDict

__all__ = ('ServerListChangeLog',)

#: Changes that are remembered beyond one of each row that is there.
EXTRA_KEYS_LIMIT = 2_000


class ServerListChangeLog:
    """Numbers changes, so that a neighbour can be told what it lacks.

    The store may show a change seconds late, under a version that lies behind; a neighbour that
    asked for all behind a version of the store would never hear of it.
    """

    def __init__(self) -> None:
        """Start at number 0."""
        self.number = 0
        self._numbers: OrderedDict[str, int] = OrderedDict()
        #: Up to this number changes may have been forgotten.
        self._forgotten_until = 0

    def record_change(self, key: str, rows_count: int) -> None:
        """Take note of a change of a row.

        :param rows_count: of the whole list.
        """
        self.number += 1
        self._numbers[key] = self.number
        self._numbers.move_to_end(key)
        if len(self._numbers) > rows_count + EXTRA_KEYS_LIMIT:
            _, self._forgotten_until = self._numbers.popitem(last=False)

    def changed_since(self, number: int) -> list[str] | None:
        """List the keys that changed behind a number, oldest change first.

        :returns: ``None`` where the memory does not reach back so far.
        """
        if number < self._forgotten_until or number > self.number:
            return None
        found = []
        for key in reversed(self._numbers):
            if self._numbers[key] <= number:
                break
            found.append(key)
        found.reverse()
        return found
