"""Availability of a service that an instance depends on; changes are logged."""

from __future__ import annotations

from typing import TYPE_CHECKING

import logbook

if TYPE_CHECKING:
    from citrondyke.util.clock import Clock

__all__ = ('Dependency',)

log = logbook.Logger(__name__)

#: A dependency whose calls fail for this long counts as lost; a single lost reply does not matter.
LOST_AFTER_MS = 1_000.0


class Dependency:
    """Tracks the calls to a dependency and their responses, from all of its users.

    It counts as unresponsive from the first unanswered call on, not from the last response on: in a
    large fleet an instance calls so rarely that seconds without a call prove nothing.
    """

    def __init__(self, clock: Clock, name: str) -> None:
        """Start as available."""
        self._clock = clock
        self._name = name
        self._last_answer_ms = clock.now_ms()
        #: When the first call since the last response was made; ``None`` if there was none.
        self._unanswered_since_ms: float | None = None
        self.is_lost = False

    def record_call(self) -> None:
        """Record that a call begins; its response or failure must be recorded too."""
        if self._unanswered_since_ms is None:
            self._unanswered_since_ms = self._clock.now_ms()

    def record_answer(self) -> None:
        """Record a response."""
        unanswered_ms = self.unanswered_ms
        self._last_answer_ms = self._clock.now_ms()
        self._unanswered_since_ms = None
        if self.is_lost:
            self.is_lost = False
            log.info(
                'dependency.regained',
                extra={'dependency': self._name, 'silent_ms': round(unanswered_ms)},
            )

    def record_failure(self, detail: str) -> None:
        """Record a failed call."""
        unanswered_ms = self.unanswered_ms
        if not self.is_lost and unanswered_ms >= LOST_AFTER_MS:
            self.is_lost = True
            log.warning(
                'dependency.lost',
                extra={
                    'dependency': self._name,
                    'detail': detail,
                    'silent_ms': round(unanswered_ms),
                },
            )

    @property
    def unanswered_ms(self) -> float:
        """Time since the first unanswered call; 0 if no call is unanswered."""
        return (
            0.0
            if self._unanswered_since_ms is None
            else self._clock.now_ms() - self._unanswered_since_ms
        )

    @property
    def answer_age_ms(self) -> float:
        """Time since the last response."""
        return self._clock.now_ms() - self._last_answer_ms
