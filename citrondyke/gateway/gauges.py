"""What is read of an instance when its metrics are asked for."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from citrondyke.decisions.batch.batch_need import Prospect

if TYPE_CHECKING:
    from citrondyke.gateway.instance import GatewayInstance

__all__ = ('add_gauges',)


def add_gauges(instance: GatewayInstance) -> None:
    """Show what the instance believes and has in hand."""
    config = instance.beliefs.config
    for name, read in (
        ('config_version', lambda: float(config.current.version)),
        ('config_age_ms', lambda: min(1e9, config.age_ms(instance.clock.now_ms()))),
        ('servers', lambda: float(len(list(instance.book.states())))),
        ('open_connections', lambda: float(instance.front.open_count)),
        ('owned_jobs', lambda: float(len(instance.batch.owned.by_id))),
        ('kept_places', lambda: float(instance.batch.runner.kept_places_count())),
        ('suspects', lambda: float(len(instance.suspects))),
        ('limit_slots', lambda: float(len(instance.limits.held_slots()))),
        ('store_silent_ms', lambda: instance.store.silent_ms),
    ):
        instance.metrics.add_gauge(name, read)
    for prospect in Prospect:
        instance.metrics.add_gauge(
            f'items_waiting_{prospect.name.lower()}',
            partial(instance.batch.runner.waiting_count, prospect),
        )
