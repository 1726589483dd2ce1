"""What every decision is handed: who it is, the time, and chance."""

from __future__ import annotations

from typing import TYPE_CHECKING

from citrondyke.ids import AvailabilityZone, InstanceId, WriteId
from citrondyke.util.clock import Clock

if TYPE_CHECKING:
    from random import Random

__all__ = ('Context',)


class Context:
    """The surroundings of one life of one instance."""

    def __init__(
        self,
        instance_id: InstanceId,
        zone: AvailabilityZone,
        clock: Clock,
        random: Random,
    ) -> None:
        """Take what is handed in.

        :param random: seeded by the host; the same seed gives the same decisions.
        """
        self.instance_id = instance_id
        self.zone = zone
        self.clock = clock
        self.random = random
        self._incarnation = f'{random.getrandbits(64):016x}'
        self._writes_count = 0

    def now_ms(self) -> float:
        """Give the monotonic time, in milliseconds."""
        return self.clock.now_ms()

    def epoch_ms(self) -> float:
        """Give the wall clock's time, in milliseconds since 1970."""
        return self.clock.epoch_ms()

    def new_write_id(self) -> WriteId:
        """Give a write id that no other life of any instance gives."""
        self._writes_count += 1
        return WriteId(f'{self.instance_id}.{self._incarnation}.{self._writes_count}')

    def jittered_ms(self, base_ms: float, share: float = 0.2) -> float:
        """Spread a pause, so that many instances do not act at the same moment."""
        return base_ms * (1 + share * (2 * self.random.random() - 1))
