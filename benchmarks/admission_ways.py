"""Ways to turn requests away and to ask them back, on the same bursts and seeds, in virtual time.

Run by hand, ``python -m benchmarks.admission_ways``.
"""

from __future__ import annotations

from statistics import mean, pstdev

from rich.console import Console
from rich.table import Table

from benchmarks.gateway_load import SERVERS, Play
from benchmarks.gateway_policies import (
    SERVICE,
    STAY_MS,
    LeastLoadedOnly,
    NoWaiting,
    Ours,
    Policy,
)
from benchmarks.kept_admission import KeptAdmission, KeptHalf
from citrondyke.decisions.core.context import Context
from citrondyke.decisions.forwarding.admission_rule import MAX_RETRY_MS, Rejected
from citrondyke.decisions.forwarding.server_registry import ServerRegistry
from citrondyke.ids import ServerId

__all__ = ('main',)

SEEDS = (7, 8, 9, 10, 11)
#: Servers and requests a second in the mean: bursts that the servers nearly bear, bursts at which
#: two of five are left, and twice the traffic.
LOADS = {
    'bursts': (SERVERS, 20.7),
    'two of five servers': (2, 20.7),
    'twice the traffic': (SERVERS, 41.4),
}
#: The limit learned from delay grows and shrinks within these parts of the places.
LEAST_LIMIT, MOST_LIMIT = 0.5, 2.0
LIMIT_GROWTH, LIMIT_CUT = 0.02, 0.9


class PlacesInTheFuture(Ours):
    """Those turned away are given places one after the other, by this instance's part of them."""

    def __init__(self, context: Context, book: ServerRegistry) -> None:
        """Give none out yet."""
        super().__init__(context, book)
        self._due_ms = 0.0

    def choose(self) -> ServerId | float:
        """Choose."""
        state = self.book.choose_server(SERVICE, (), '')
        assert state is not None
        answer = self.decide(state)
        if not isinstance(answer, Rejected):
            return state.listed.id
        now_ms = self.context.now_ms()
        slots = sum(each.listed.slots_count for each in self.book.eligible_servers(SERVICE))
        gap_ms = STAY_MS / slots * self.book.topology.instances_count
        self._due_ms = max(self._due_ms, now_ms + answer.expected_wait_ms) + gap_ms
        self._due_ms = min(self._due_ms, now_ms + MAX_RETRY_MS)
        return self._due_ms - now_ms


class LearnedLimit(Policy):
    """A limit on each server's requests that follows the wait which they were expected to have."""

    def __init__(self, context: Context, book: ServerRegistry) -> None:
        """Begin at the places."""
        super().__init__(context, book)
        self._factor = 1.0

    def choose(self) -> ServerId | float:
        """Choose."""
        state = self.book.choose_server(SERVICE, (), '')
        assert state is not None
        places = state.listed.slots_count
        taken = state.online_count(self.context.now_ms())
        is_late = isinstance(self.decide(state), Rejected)
        self._factor *= LIMIT_CUT if is_late else 1 + LIMIT_GROWTH
        self._factor = min(MOST_LIMIT, max(LEAST_LIMIT, self._factor))
        if taken < places * self._factor:
            return state.listed.id
        return STAY_MS * (0.5 + self.context.random.random())


WAYS: dict[str, type[Policy]] = {
    'bounded wait, spread back (stands)': Ours,
    'bounded wait, places in the future': PlacesInTheFuture,
    'bounded wait, places kept': KeptAdmission,
    'bounded wait, half kept': KeptHalf,
    'limit learned from delay': LearnedLimit,
    'no waiting': NoWaiting,
    'no bound': LeastLoadedOnly,
}


def main() -> None:
    """Print the mean worth of an answer by way and load, with its spread over the seeds."""
    table = Table('way', *LOADS)
    for name, way in WAYS.items():
        cells = []
        for servers_count, per_s in LOADS.values():
            worths = [Play(way, servers_count, per_s, seed=seed).run().mean_worth for seed in SEEDS]
            cells.append(f'{mean(worths):.3f} ± {pstdev(worths):.3f}')
        table.add_row(name, *cells)
    Console(width=120).print(table)


if __name__ == '__main__':
    main()
