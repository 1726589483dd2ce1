"""Judges the leases of others by this instance's own clock."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

import msgspec

from citrondyke.decisions.membership.session_row import (
    SessionRow,
    SessionState,
    split_session_id,
)

if TYPE_CHECKING:
    from citrondyke.ids import InstanceId, SessionId

__all__ = ('LeaseWatch',)

#: Instances that are watched at once; the one looked at longest ago is forgotten first.
WATCHED_LIMIT = 4096


class _Observation(msgspec.Struct):
    epoch: int
    counter: int
    #: When the counter was first seen at this value, in an unbroken run of looks.
    since_ms: float
    polled_ms: float


class LeaseWatch:
    """Tells whose holder is gone, from looks at the lease rows."""

    def __init__(self, lease_ms: float, longest_gap_ms: float) -> None:
        """Start having seen nothing.

        :param lease_ms: how long a counter must stand still.
        :param longest_gap_ms: looks further apart than this do not prove a standstill.
        """
        self._lease_ms = lease_ms
        self._longest_gap_ms = longest_gap_ms
        self._seen: OrderedDict[InstanceId, _Observation] = OrderedDict()

    def has_expired(self, session: SessionId, row: SessionRow | None, now_ms: float) -> bool:
        """Look at the holder's lease row and judge whether this life of it is over.

        After an outage of the table service every counter has stood still, as nobody could renew.
        Judged by the last look before it, all leases would seem to have run out and every segment
        would change hands; so a gap between two looks begins the wait anew.
        """
        instance_id, epoch = split_session_id(session)
        if row is None or row.epoch > epoch:
            return True
        if row.state is SessionState.RELEASED:
            return True
        seen = self._seen.get(instance_id)
        if (
            seen is None
            or seen.epoch != row.epoch
            or seen.counter != row.counter
            or now_ms - seen.polled_ms > self._longest_gap_ms
        ):
            self._seen[instance_id] = _Observation(row.epoch, row.counter, now_ms, now_ms)
            self._seen.move_to_end(instance_id)
            if len(self._seen) > WATCHED_LIMIT:
                self._seen.popitem(last=False)
            return False
        seen.polled_ms = now_ms
        return now_ms - seen.since_ms >= self._lease_ms
