"""Capacity of a service that batch items at risk may keep from online requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from citrondyke.decisions.forwarding.server_state import ServerState

__all__ = ('PROTECTED_BATCH_SHARE', 'protect_batch_capacity')

#: Part of the capacity that batch items keep if their jobs would otherwise miss their due time.
#: Without it, 85% of the items were overdue on a service with two of its five servers left.
PROTECTED_BATCH_SHARE = 0.25


def protect_batch_capacity(states: Iterable[ServerState]) -> None:
    """Set the protected capacity of each server of one service.

    Handles online requests at servers that are full of items at risk. On a server that is too small
    for a part of its own, one unit would be most of it or all: items at risk would hold a service
    of such servers for seconds, while its online requests miss their targets. These servers share
    one part: some of them have a unit, the others none. All instances choose the same ones as far
    as they know the same servers.
    """
    small_count = 0
    for state in sorted(states, key=lambda each: each.listed.id):
        slots_count = state.listed.slots_count
        limit = int(slots_count * PROTECTED_BATCH_SHARE)
        if not limit and not state.listed.is_leaving:
            before = int(small_count * PROTECTED_BATCH_SHARE)
            small_count += slots_count
            limit = int(small_count * PROTECTED_BATCH_SHARE) - before
        state.protected_batch_limit = limit
