"""Counters of the traffic to peers, by message class and by local or remote zone."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import gevent
import logbook

if TYPE_CHECKING:
    from collections.abc import Sequence

    from citrondyke.decisions.core.context import Context
    from citrondyke.gateway.metrics import Metrics
    from citrondyke.gateway.peers.peer_codec import PeerText
    from citrondyke.ids import AvailabilityZone

__all__ = ('PeerTraffic',)

log = logbook.Logger(__name__)

#: Interval between two log lines. Traffic between zones costs money; a line every 10 s shows when
#: it grew and by which messages, at negligible cost.
LOG_EVERY_S = 10.0


class PeerTraffic:
    """Counts sent messages and bytes in the metrics, and logs the bytes every 10 s."""

    def __init__(self, context: Context, metrics: Metrics) -> None:
        """Start at zero."""
        self._context = context
        self._metrics = metrics
        self._bytes_since_log: Counter[str] = Counter()

    def record_sent(
        self, text: PeerText, size_bytes: int, zones: Sequence[AvailabilityZone | None]
    ) -> None:
        """Count a message that was sent to one or more recipients.

        :param zones: zones of the recipients; ``None`` for a recipient whose zone is not known.
        """
        local_zone_count = zones.count(self._context.zone)
        for distance, count in (('near', local_zone_count), ('far', len(zones) - local_zone_count)):
            if not count:
                continue
            kind = f'{type(text).__name__}_{distance}'
            self._bytes_since_log[kind] += size_bytes * count
            self._metrics.counters[f'peer_bytes_sent_{kind}'] += size_bytes * count
            self._metrics.counters[f'peer_messages_sent_{kind}'] += count

    def run(self) -> None:
        """Log the sent bytes periodically."""
        while True:
            gevent.sleep(LOG_EVERY_S)
            if self._bytes_since_log:
                log.info('peer.traffic', extra={'sent_bytes': dict(self._bytes_since_log)})
                self._bytes_since_log.clear()
