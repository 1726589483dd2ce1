"""Places in the future of a full service, kept for who was told."""

from __future__ import annotations

from typing import TYPE_CHECKING

from benchmarks.gateway_policies import AIM_MS, SERVICE, STAY_MS, Ours
from citrondyke.decisions.forwarding.admission_rule import (
    MAX_RETRY_MS,
    WAIT_SHARE,
    Rejected,
)
from citrondyke.decisions.reservations.reservations import Reservations

if TYPE_CHECKING:
    from citrondyke.decisions.core.context import Context
    from citrondyke.decisions.forwarding.server_registry import ServerRegistry
    from citrondyke.ids import ServerId

__all__ = ('KeptAdmission', 'KeptHalf')


class KeptAdmission(Ours):
    """Those turned away get places by this instance's part of the service's rate.

    Callers come back to the instance that told them, which is better than they do: a book for the
    whole service could keep no more than that.
    """

    share = 1.0

    def __init__(self, context: Context, book: ServerRegistry) -> None:
        """Keep nothing yet."""
        super().__init__(context, book)
        self._places = Reservations()

    def choose_for(self, key: int) -> ServerId | float:
        """Choose for a request that may come back to its place."""
        now_ms = self.context.now_ms()
        self._places.expire(now_ms)
        state = self.book.choose_server(SERVICE, (), '')
        assert state is not None
        slots = sum(each.listed.slots_count for each in self.book.eligible_servers(SERVICE))
        if self._places.due_ms_of(key) is not None:
            self._places.consume(key)
            return state.listed.id
        answer = self.decide(state)
        gap_ms = STAY_MS / slots * self.book.topology.instances_count / self.share
        # Places that are due are not given to who comes now.
        kept_ms = self._places.count_due(now_ms) * gap_ms * self.share
        if not isinstance(answer, Rejected):
            if answer.expected_wait_ms + kept_ms <= WAIT_SHARE * AIM_MS:
                return state.listed.id
            wait_ms = answer.expected_wait_ms
        else:
            wait_ms = answer.expected_wait_ms - WAIT_SHARE * AIM_MS
        due_ms = self._places.next_due_ms(now_ms + wait_ms + kept_ms, gap_ms)
        if due_ms <= now_ms + MAX_RETRY_MS:
            self._places.reserve(key, due_ms)
        return due_ms - now_ms


class KeptHalf(KeptAdmission):
    """As above with half of the rate; the rest is for who comes first."""

    share = 0.5
