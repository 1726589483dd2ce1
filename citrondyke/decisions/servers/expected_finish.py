"""Expected completion time of a request at a server, relative to an empty average server."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from citrondyke.decisions.forwarding.server_state import ServerState

__all__ = ('REQUEST_COST', 'expected_finish')

#: Part by which each request on a server prolongs the next one while capacity is free: steps take
#: longer the more requests share them, and counts that are too low are corrected late.
REQUEST_COST = 0.3


def expected_finish(state: ServerState, now_ms: float) -> float:
    """Return the time until an answer, as a multiple of that at an empty average server.

    Handles servers of 0.6 to 1.6 times the typical latency on machines that are slow for a while:
    chosen by count, the slow ones would get as many requests as the fast ones.
    """
    slots = state.listed.slots_count
    total = state.total_count(now_ms)
    finish = state.expected_slowdown(now_ms) * (1.0 + REQUEST_COST * min(total, slots))
    if total < slots:
        return finish
    # Batch items are preempted, so that a request waits for online requests only; free capacity is
    # preferred to capacity that must be preempted.
    return finish + slots + state.online_count(now_ms)
