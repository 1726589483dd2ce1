"""Bytes held for callers and servers stay within a common budget."""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from citrondyke.decisions.memory.byte_budget import KIND_SHARE, ByteBudget, HeldBytes, HeldKind

LIMIT_BYTES = 1_000
PIECE_BYTES = 100


def fill(budget: ByteBudget, kind: HeldKind) -> list[HeldBytes]:
    """Hold bodies of one piece until the budget is used up."""
    bodies = []
    while (held := budget.open(kind)).try_acquire(PIECE_BYTES):
        bodies.append(held)
    return bodies


def test_unread_responses_leave_budget_for_requests() -> None:
    # Slow readers: responses use up their share of the budget, and requests are still accepted.
    budget = ByteBudget(LIMIT_BYTES)
    fill(budget, HeldKind.ANSWER)
    assert budget.bytes_of(HeldKind.ANSWER) <= KIND_SHARE * LIMIT_BYTES
    assert budget.open(HeldKind.REQUEST).try_acquire(PIECE_BYTES)


def test_oldest_body_always_completes() -> None:
    # Guards against a deadlock of many large responses that grow at once: if each waited for the
    # others with a part of its bytes, none would complete.
    budget = ByteBudget(LIMIT_BYTES)
    bodies = fill(budget, HeldKind.ANSWER)
    assert not bodies[-1].try_acquire(PIECE_BYTES)
    assert bodies[0].try_acquire(PIECE_BYTES)
    bodies[0].release()
    assert bodies[1].try_acquire(PIECE_BYTES)


class BudgetMachine(RuleBasedStateMachine):
    """Bodies that start, grow and end in any order, compared with a plain sum."""

    def __init__(self) -> None:
        super().__init__()
        self.budget = ByteBudget(LIMIT_BYTES)
        self.sizes: dict[HeldBytes, int] = {}

    @rule(kind=st.sampled_from(HeldKind), size=st.integers(1, 300))
    def begin(self, kind: HeldKind, size: int) -> None:
        held = self.budget.open(kind)
        if held.try_acquire(size):
            self.sizes[held] = size

    @rule(index=st.integers(0, 50), size=st.integers(1, 300))
    def grow(self, index: int, size: int) -> None:
        if self.sizes:
            held = list(self.sizes)[index % len(self.sizes)]
            self.sizes[held] += size * held.try_acquire(size)

    @rule(index=st.integers(0, 50))
    def end(self, index: int) -> None:
        if self.sizes:
            held = list(self.sizes)[index % len(self.sizes)]
            del self.sizes[held]
            held.release()

    @invariant()
    def all_but_the_oldest_of_a_kind_fit(self) -> None:
        for kind in HeldKind:
            sizes = [size for held, size in self.sizes.items() if held.kind is kind]
            assert self.budget.bytes_of(kind) == sum(sizes)
            assert sum(sizes[1:]) <= KIND_SHARE * LIMIT_BYTES


TestBudgetMachine = BudgetMachine.TestCase
TestBudgetMachine.settings = settings(max_examples=60, deadline=None)
