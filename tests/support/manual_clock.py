"""A clock that tests move by hand."""

from __future__ import annotations

import random

from citrondyke.decisions.core.context import Context
from citrondyke.ids import AvailabilityZone, InstanceId
from citrondyke.util.clock import Clock

__all__ = ('ManualClock', 'manual_context')


class ManualClock(Clock):
    """Stands still until it is moved."""

    def __init__(self) -> None:
        self.ms = 1_000.0

    def now_ms(self) -> float:
        return self.ms

    def epoch_ms(self) -> float:
        return self.ms + 1e12


def manual_context(
    clock: ManualClock | None = None, name: str = 'instance-0', zone: str = 'zone-a', seed: int = 1
) -> Context:
    """A context with a clock that stands still and chance from a fixed seed."""
    return Context(
        InstanceId(name), AvailabilityZone(zone), clock or ManualClock(), random.Random(seed)
    )
