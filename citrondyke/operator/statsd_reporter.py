"""Sends metrics to a statsd server."""

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
    """Sends counter increments at an interval, so that its cost does not grow with traffic."""

    def __init__(
        self,
        settings: StatsdSettings,
        metrics: RequestMetrics,
        gauges: Callable[[], dict[str, float]],
    ) -> None:
        """Create a reporter, which sends nothing before ``start``.

        :param gauges: returns the current values of the gauges by name.
        """
        self._settings = settings
        self._metrics = metrics
        self._gauges = gauges
        self._reported: Counter[str] = Counter()

    def start(self) -> None:
        """Begin to report, if the settings have an address."""
        if self._settings.ip:
            gevent.spawn(self._run)

    def _run(self) -> None:
        client = StatsClient(self._settings.ip, self._settings.port, self._settings.prefix)
        while True:
            gevent.sleep(self._settings.every_ms / 1e3)
            with client.pipeline() as pipe:
                for name, count in self._metrics.outcomes.items():
                    pipe.incr(f'requests.{_clean(name)}', count - self._reported[name])
                for name, value in self._gauges().items():
                    pipe.gauge(name, value)
            self._reported = Counter(self._metrics.outcomes)


def _clean(name: str) -> str:
    return name.replace('/', '.').replace(':', '_')
