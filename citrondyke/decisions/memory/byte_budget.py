"""A common limit on the bytes that an instance holds for callers and servers."""

from __future__ import annotations

from enum import Enum

__all__ = ('ByteBudget', 'HeldBytes', 'HeldKind', 'budget_for')

#: Share of an instance's memory; the rest is for the process itself, the items of jobs and socket
#: buffers.
MEMORY_SHARE = 0.3
#: Share of the budget that one kind may use. An instance full of slow callers' requests can still
#: forward responses, and one full of unread responses can still accept requests.
KIND_SHARE = 0.75


class HeldKind(Enum):
    """Kind of held bytes."""

    #: Bodies of requests, until they are answered.
    REQUEST = 'request'
    #: Responses that are read completely before they are forwarded.
    ANSWER = 'answer'


class ByteBudget:
    """Limits the total held bytes, and those of each kind.

    Handles many large bodies at once, or slow readers of large responses: each body has a limit of
    its own, but the sum of many would exhaust the memory and terminate the process.
    """

    def __init__(self, limit_bytes: float) -> None:
        """Initialize an empty budget."""
        self._limit_bytes = limit_bytes
        self._held: dict[HeldKind, dict[HeldBytes, int]] = {kind: {} for kind in HeldKind}

    def open(self, kind: HeldKind) -> HeldBytes:
        """Start to hold a body."""
        return HeldBytes(self, kind)

    def bytes_of(self, kind: HeldKind) -> int:
        """Return the held bytes of a kind."""
        return sum(self._held[kind].values())

    def try_acquire(self, held: HeldBytes, size_bytes: int) -> bool:
        """Acquire more bytes for a body; return false if the budget is used up.

        The oldest body of a kind always gets its bytes, within its own limit: if several bodies
        waited for each other with a part of their bytes each, none would complete.
        """
        of_kind = self._held[held.kind]
        is_oldest = not of_kind or next(iter(of_kind)) is held
        if not is_oldest and not self._fits(held.kind, size_bytes):
            return False
        of_kind[held] = of_kind.get(held, 0) + size_bytes
        return True

    def release(self, held: HeldBytes) -> None:
        """Release all bytes of a body."""
        self._held[held.kind].pop(held, None)

    def _fits(self, kind: HeldKind, size_bytes: int) -> bool:
        of_kind = self.bytes_of(kind) + size_bytes
        of_all = sum(self.bytes_of(each) for each in HeldKind) + size_bytes
        return of_kind <= self._limit_bytes * KIND_SHARE and of_all <= self._limit_bytes


class HeldBytes:
    """The bytes of one body in the budget."""

    def __init__(self, budget: ByteBudget, kind: HeldKind) -> None:
        """Initialize the body without bytes."""
        self._budget = budget
        self.kind = kind

    def try_acquire(self, size_bytes: int) -> bool:
        """Acquire more bytes; return false if the budget is used up."""
        return self._budget.try_acquire(self, size_bytes)

    def release(self) -> None:
        """Release all bytes of the body."""
        self._budget.release(self)


def budget_for(memory_bytes: int) -> ByteBudget:
    """Create the budget of an instance with ``memory_bytes`` of memory."""
    return ByteBudget(memory_bytes * MEMORY_SHARE)
