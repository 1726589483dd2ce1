"""Log and count of unexpected exceptions, bounded for each operation."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import logbook

from citrondyke.decisions.core.failure_series import FailureSeries

if TYPE_CHECKING:
    from collections.abc import Callable

    from citrondyke.util.clock import Clock

__all__ = ('FailureLog',)

log = logbook.Logger(__name__)


class FailureLog:
    """Logs the unexpected exceptions of operations, and their recovery.

    An operation is named by the code, so that their number is bounded.
    """

    def __init__(self, clock: Clock, event: str) -> None:
        """Start without failures.

        :param event: prefix of the events ``.failed`` and ``.recovered``.
        """
        self._clock = clock
        self._event = event
        self._series: dict[str, FailureSeries] = {}
        #: Failures so far, including those that were not logged.
        self.count = 0

    def attempt(self, name: str, work: Callable[..., object], *arguments: Any) -> bool:
        """Run an operation, and log its exception; return whether it raised none."""
        try:
            work(*arguments)
        except Exception:
            self.record_failure(name)
            return False
        self.record_success(name)
        return True

    def record_failure(self, name: str, **detail: object) -> None:
        """Record the exception that is being handled.

        :param name: operation that failed.
        :param detail: additional fields of the line.
        """
        self.count += 1
        series = self._series.setdefault(name, FailureSeries())
        summary = series.record_failure(self._clock.now_ms())
        if summary is not None:
            extra = {'failures': summary.count, 'failing_ms': round(summary.since_ms)}
            log.exception(f'{self._event}.failed', extra={'task': name, **extra, **detail})

    def record_success(self, name: str) -> None:
        """Record that an operation succeeded."""
        series = self._series.get(name)
        if series is None:
            return
        ended = series.record_success(self._clock.now_ms())
        if ended is not None:
            del self._series[name]
            extra = {'failures': ended.count, 'failing_ms': round(ended.since_ms)}
            log.info(f'{self._event}.recovered', extra={'task': name, **extra})
