"""One bound on the bytes that an instance holds for callers and servers together."""

from __future__ import annotations

from enum import Enum

__all__ = ('ByteBudget', 'HeldBytes', 'HeldKind', 'budget_for')

#: Part of an instance's memory; the rest is for the process itself, the items of jobs, and what
#: its sockets hold.
MEMORY_SHARE = 0.3
#: Part of the budget that one kind may take: full of slow callers' requests an instance still
#: passes answers on, and full of answers that nobody reads it still takes requests.
KIND_SHARE = 0.75


class HeldKind(Enum):
    """What the bytes are."""

    #: Bodies of requests, until they are answered.
    REQUEST = 'request'
    #: Answers that are read whole before they are passed on.
    ANSWER = 'answer'


class ByteBudget:
    """Counts what is held, by kind.

    Answers many large bodies at once, or callers who read slowly while large answers come: each
    has a bound of its own, and the sum of many would end the process with all its callers.
    """

    def __init__(self, limit_bytes: float) -> None:
        """Hold nothing yet."""
        self._limit_bytes = limit_bytes
        self._held: dict[HeldKind, dict[HeldBytes, int]] = {kind: {} for kind in HeldKind}

    def open(self, kind: HeldKind) -> HeldBytes:
        """Begin to hold one body."""
        return HeldBytes(self, kind)

    def bytes_of(self, kind: HeldKind) -> int:
        """Count what is held of a kind."""
        return sum(self._held[kind].values())

    def try_acquire(self, held: HeldBytes, size_bytes: int) -> bool:
        """Count more bytes of a body, if there is room.

        The oldest of a kind always has room, within its own bound: if several waited for each
        other with a part of their bytes each, none would come to its end.
        """
        of_kind = self._held[held.kind]
        is_oldest = not of_kind or next(iter(of_kind)) is held
        if not is_oldest and not self._fits(held.kind, size_bytes):
            return False
        of_kind[held] = of_kind.get(held, 0) + size_bytes
        return True

    def release(self, held: HeldBytes) -> None:
        """Forget a body."""
        self._held[held.kind].pop(held, None)

    def _fits(self, kind: HeldKind, size_bytes: int) -> bool:
        of_kind = self.bytes_of(kind) + size_bytes
        of_all = sum(self.bytes_of(each) for each in HeldKind) + size_bytes
        return of_kind <= self._limit_bytes * KIND_SHARE and of_all <= self._limit_bytes


class HeldBytes:
    """One body in the budget."""

    def __init__(self, budget: ByteBudget, kind: HeldKind) -> None:
        """Hold nothing of it yet."""
        self._budget = budget
        self.kind = kind

    def try_acquire(self, size_bytes: int) -> bool:
        """Count more of its bytes; tell whether there was room."""
        return self._budget.try_acquire(self, size_bytes)

    def release(self) -> None:
        """Let it go."""
        self._budget.release(self)


def budget_for(memory_bytes: int) -> ByteBudget:
    """Make the budget of an instance with so much memory."""
    return ByteBudget(memory_bytes * MEMORY_SHARE)
