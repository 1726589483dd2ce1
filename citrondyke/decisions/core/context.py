"""Context of all decisions: the instance's identity, its clock and its randomness."""

from __future__ import annotations

from typing import TYPE_CHECKING

from citrondyke.ids import AvailabilityZone, InstanceId, WriteId
from citrondyke.util.clock import Clock

if TYPE_CHECKING:
    from random import Random

__all__ = ('Context',)


class Context:
    """Identity, clock and random generator of one incarnation of an instance."""

    def __init__(
        self,
        instance_id: InstanceId,
        zone: AvailabilityZone,
        clock: Clock,
        random: Random,
    ) -> None:
        """Create a context.

        :param random: seeded by the host; the same seed gives the same decisions.
        """
        self.instance_id = instance_id
        self.zone = zone
        self.clock = clock
        self.random = random
        self._incarnation = f'{random.getrandbits(64):016x}'
        self._writes_count = 0

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
