"""Counts the bytes that an instance reads from the store, by table and kind of call."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import gevent
import logbook

if TYPE_CHECKING:
    from citrondyke.gateway.metrics import Metrics

__all__ = ('StoreTraffic',)

log = logbook.Logger(__name__)

#: Time between two lines of the log.
LOG_EVERY_S = 10.0


class StoreTraffic:
    """Shown as metrics, and in the log every 10 s; bytes of the store cost money."""

    def __init__(self) -> None:
        """Start at nothing."""
        self._bytes: Counter[str] = Counter()
        self._calls: Counter[str] = Counter()
        self._refused: Counter[str] = Counter()

    def record(self, kind: str, table: str, size_bytes: int, *, is_answered: bool) -> None:
        """Count an answer, or a call without a good one.

        :param kind: of the call: read, feed, parts or write.
        """
        name = f'{kind}_{table}'
        self._calls[name] += 1
        self._bytes[name] += size_bytes
        if not is_answered:
            self._refused[name] += 1

    def run(self, metrics: Metrics) -> None:
        """Log and show what was read, for good."""
        while True:
            gevent.sleep(LOG_EVERY_S)
            if not self._calls:
                continue
            for name, size_bytes in self._bytes.items():
                metrics.counters[f'store_bytes_{name}'] += size_bytes
            for name, count in self._calls.items():
                metrics.counters[f'store_calls_{name}'] += count
            log.info(
                'store.traffic',
                extra={
                    'bytes': dict(self._bytes),
                    'calls': dict(self._calls),
                    'unanswered': dict(self._refused),
                },
            )
            for counter in (self._bytes, self._calls, self._refused):
                counter.clear()
