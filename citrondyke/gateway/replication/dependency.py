"""Whether something that an instance depends on answers; logged when that changes."""

from __future__ import annotations

from typing import TYPE_CHECKING

import logbook

if TYPE_CHECKING:
    from citrondyke.util.clock import Clock

__all__ = ('Dependency',)

log = logbook.Logger(__name__)

#: Without an answer for so long it counts as lost; a single lost reply is none.
LOST_AFTER_MS = 1_000.0


class Dependency:
    """Calls and answers of one dependency, from all who use it.

    It is silent from the first call on that stays without an answer, not from the last answer
    on: a large fleet calls so rarely that seconds without a call say nothing.
    """

    def __init__(self, clock: Clock, name: str) -> None:
        """Start as neither lost nor found."""
        self._clock = clock
        self._name = name
        self._last_answer_ms = clock.now_ms()
        #: When the first call since the last answer was made; ``None`` where there was none.
        self._unanswered_since_ms: float | None = None
        self.is_lost = False

    def record_call(self) -> None:
        """Take note of a call that is being made; its answer or failure is told too."""
        if self._unanswered_since_ms is None:
            self._unanswered_since_ms = self._clock.now_ms()

    def record_answer(self) -> None:
        """Take note of an answer."""
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
        """Take note of a failure."""
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
        """Give the time for which calls have had no answer; 0 where none waits for one."""
        return (
            0.0
            if self._unanswered_since_ms is None
            else self._clock.now_ms() - self._unanswered_since_ms
        )

    @property
    def answer_age_ms(self) -> float:
        """Give the time since the last answer."""
        return self._clock.now_ms() - self._last_answer_ms
