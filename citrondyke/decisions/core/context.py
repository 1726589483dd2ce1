"""Context of all decisions: the instance's identity, its clock and its randomness."""

from __future__ import annotations

from typing import TYPE_CHECKING

from citrondyke.ids import AvailabilityZone, InstanceId, WriteId
from citrondyke.util.clock import Clock

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from citrondyke.decisions.core.decision_event import DecisionEvent

__all__ = ('Context',)


class Context:
    """Identity, clock and random generator of one incarnation of an instance."""

    def __init__(
        self,
        instance_id: InstanceId,
        zone: AvailabilityZone,
        clock: Clock,
        random: Random,
        on_event: Callable[[DecisionEvent], None] | None = None,
    ) -> None:
        """Create a context.

        :param random: seeded by the host; the same seed gives the same decisions.
        :param on_event: called with each reported event; must not block.
        """
        self.instance_id = instance_id
        self.zone = zone
        self.clock = clock
        self.random = random
        self._incarnation = f'{random.getrandbits(64):016x}'
        self._writes_count = 0
        self._on_event = on_event

    def report(self, event: DecisionEvent) -> None:
        """Hand an event to the host, which logs it."""
        if self._on_event is not None:
            self._on_event(event)

    def now_ms(self) -> float:
        """Return the monotonic time, in milliseconds."""
        return self.clock.now_ms()

    def epoch_ms(self) -> float:
        """Return the wall-clock time, in milliseconds since 1970."""
        return self.clock.epoch_ms()

    def new_write_id(self) -> WriteId:
        """Return a write id that is unique over all incarnations of all instances."""
        self._writes_count += 1
        return WriteId(f'{self.instance_id}.{self._incarnation}.{self._writes_count}')

    def jittered_ms(self, base_ms: float, share: float = 0.2) -> float:
        """Return a pause with random jitter, so that instances do not act in lockstep.

        :param share: largest deviation, as a share of the pause.
        """
        return base_ms * (1 + share * (2 * self.random.random() - 1))
