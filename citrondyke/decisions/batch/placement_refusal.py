"""Why a batch item was not placed on a server."""

from __future__ import annotations

from enum import Enum

__all__ = ('PlacementRefusal',)


class PlacementRefusal(Enum):
    """Reason for which no server was chosen for a waiting item."""

    #: No server of the service accepts the item's work.
    NO_SERVER = 'no_server'
    #: Requests use all capacity.
    FULL = 'full'
    #: The free capacity is kept for online requests.
    KEPT_FOR_ONLINE = 'kept_for_online'
    #: This instance's share of the free capacity is used up for now.
    START_BUDGET = 'start_budget'
