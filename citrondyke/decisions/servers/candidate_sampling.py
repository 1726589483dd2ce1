"""Draw the few candidates among which the server of one request is chosen."""

from __future__ import annotations

from heapq import nlargest
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random

    from citrondyke.decisions.forwarding.server_state import ServerState

__all__ = ('DRAWN_CANDIDATES_COUNT', 'sample_candidates')

#: Servers that are drawn. With fewer, often only slow ones are available; with more, all instances
#: choose the same server if counts are a tenth of a second old.
DRAWN_CANDIDATES_COUNT = 4


def sample_candidates(
    states: list[ServerState], random: Random, now_ms: float, count: int = DRAWN_CANDIDATES_COUNT
) -> list[ServerState]:
    """Draw servers at random, fast ones more often than slow ones.

    Handles many instances that choose by the same counts, which are some tens of ms old: all would
    send to the server that looks best until its new counts arrive.
    """
    if len(states) <= count:
        return states
    # Drawing by weight: the largest of random numbers raised to the power of 1 / weight win.
    drawn = {
        state.incarnation: random.random() ** state.expected_slowdown(now_ms) for state in states
    }
    return nlargest(count, states, key=lambda state: drawn[state.incarnation])
