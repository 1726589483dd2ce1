"""Sends counts to a statsd server."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import gevent
from statsd import StatsClient

if TYPE_CHECKING:
    from collections.abc import Callable

    from citrondyke.operator.request_metrics import RequestMetrics
    from citrondyke.settings.model import StatsdSettings

__all__ = ('StatsdReporter',)


class StatsdReporter:
    """Reports what changed, once in a while, so that its cost does not grow with the traffic."""

    def __init__(
        self,
        settings: StatsdSettings,
        metrics: RequestMetrics,
        gauges: Callable[[], dict[str, float]],
    ) -> None:
        """Report nothing before ``start``.

        :param gauges: gives the levels to report.
        """
        self._settings = settings
        self._metrics = metrics
        self._gauges = gauges
        self._reported: Counter[str] = Counter()

    def start(self) -> None:
        """Begin, where an address is set."""
        if self._settings.ip:
            gevent.spawn(self._run)

    def _run(self) -> None:
        client = StatsClient(self._settings.ip, self._settings.port, self._settings.prefix)
        while True:
            gevent.sleep(self._settings.every_ms / 1e3)
            with client.pipeline() as pipe:
                for name, count in self._metrics.outcomes.items():
                    pipe.incr(f'requests.{_clean(name)}', count - self._reported[name])
                for name, level in self._gauges().items():
                    pipe.gauge(name, level)
            self._reported = Counter(self._metrics.outcomes)


def _clean(name: str) -> str:
    return name.replace('/', '.').replace(':', '_')
