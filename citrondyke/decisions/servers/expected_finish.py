"""When a request would be through at a server, against an empty one of the middle."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from citrondyke.decisions.forwarding.server_state import ServerState

__all__ = ('REQUEST_COST', 'expected_finish')

#: What each request that is on a server adds to the time of the next one, in parts of it, while
#: places are free: steps grow with what shares them, and counts that are too low show late.
REQUEST_COST = 0.3


def expected_finish(state: ServerState, now_ms: float) -> float:
    """Give the time until a request's answer, in times of one at an empty server of the middle.

    Answers servers of 0.6 to 1.6 times the usual time on machines that are slow for a while: by
    count the slow ones get as many requests as the quick ones.
    """
    slots = state.listed.slots_count
    total = state.total_count(now_ms)
    finish = state.expected_slowdown(now_ms) * (1.0 + REQUEST_COST * min(total, slots))
    if total < slots:
        return finish
    # Batch items make room, so that only online requests are waited for; a free place is better
    # than one that must be made.
    return finish + slots + state.online_count(now_ms)
