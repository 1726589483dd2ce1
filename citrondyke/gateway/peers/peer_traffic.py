"""Counts what an instance sends to its peers, by kind of message and by how far it goes."""

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

#: Time between two lines of the log: bytes between zones cost money, and a line every 10 s shows
#: when and by what they grew, at no cost that shows.
LOG_EVERY_S = 10.0


class PeerTraffic:
    """Shown as metrics, and in the log every 10 s."""

    def __init__(self, context: Context, metrics: Metrics) -> None:
        """Start at nothing."""
        self._context = context
        self._metrics = metrics
        self._since_line: Counter[str] = Counter()

    def record_sent(
        self, text: PeerText, size_bytes: int, zones: Sequence[AvailabilityZone | None]
    ) -> None:
        """Count a message that was sent, once for all of its receivers.

        :param zones: of the receivers; ``None`` for one whose zone is not known.
        """
        near_count = zones.count(self._context.zone)
        for where, count in (('near', near_count), ('far', len(zones) - near_count)):
            if not count:
                continue
            kind = f'{type(text).__name__}_{where}'
            self._since_line[kind] += size_bytes * count
            self._metrics.counters[f'peer_bytes_sent_{kind}'] += size_bytes * count
            self._metrics.counters[f'peer_messages_sent_{kind}'] += count

    def run(self) -> None:
        """Log what was sent, for good."""
        while True:
            gevent.sleep(LOG_EVERY_S)
            if self._since_line:
                log.info('peer.traffic', extra={'sent_bytes': dict(self._since_line)})
                self._since_line.clear()
