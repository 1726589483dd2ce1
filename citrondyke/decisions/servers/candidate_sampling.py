"""The few servers among which one request's place is chosen."""

from __future__ import annotations

from heapq import nlargest
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random

    from citrondyke.decisions.forwarding.server_state import ServerState

__all__ = ('DRAWN_CANDIDATES_COUNT', 'sample_candidates')

#: Servers that are drawn. With fewer, slow ones are too often the only choice; with more, all
#: instances choose the same one where counts are a tenth of a second old.
DRAWN_CANDIDATES_COUNT = 4


def sample_candidates(
    states: list[ServerState], random: Random, now_ms: float, count: int = DRAWN_CANDIDATES_COUNT
) -> list[ServerState]:
    """Draw servers, a quick one more often than a slow one.

    Answers many instances that choose by the same counts, which are some tens of ms old: all would
    send to the one that looked best, until they hear of it.
    """
    if len(states) <= count:
        return states
    # The largest of random numbers to the power of 1 / weight are a draw by weight.
    drawn = {
        state.incarnation: random.random() ** state.expected_slowdown(now_ms) for state in states
    }
    return nlargest(count, states, key=lambda state: drawn[state.incarnation])
