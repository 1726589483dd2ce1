"""Counts bytes read from the store and calls to it, by table and kind of call."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import gevent
import logbook

if TYPE_CHECKING:
    from citrondyke.gateway.metrics import Metrics

__all__ = ('StoreTraffic',)

log = logbook.Logger(__name__)

LOG_EVERY_S = 10.0


class StoreTraffic:
    """Reports the store's traffic as metrics and in the log every 10 s, since it is billed."""

    def __init__(self) -> None:
        """Start at nothing."""
        self._bytes: Counter[str] = Counter()
        self._calls: Counter[str] = Counter()
        self._refused: Counter[str] = Counter()

    def record(self, kind: str, table: str, size_bytes: int, *, is_answered: bool) -> None:
        """Count a call and the size of its response.

        :param kind: kind of the call: read, feed, parts or write.
        :param is_answered: whether the call succeeded.
        """
        name = f'{kind}_{table}'
        self._calls[name] += 1
        self._bytes[name] += size_bytes
        if not is_answered:
            self._refused[name] += 1

    def run(self, metrics: Metrics) -> None:
        """Log and export the counts periodically, forever."""
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
