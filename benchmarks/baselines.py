"""What ours is compared with: ways to share a server that others might pick."""

from __future__ import annotations

from citrondyke.decisions.sharing.server_share import ServerShare
from citrondyke.ids import RequestId

__all__ = ('FixedShare', 'GreedyShare')


class FixedShare(ServerShare):
    """A fixed number of batch slots, whatever online does."""

    def __init__(self, slots: int) -> None:
        """Keep so many slots."""
        super().__init__()
        self._slots = slots

    def room(self, now_ms: float) -> int:
        """Count the free slots."""
        return max(0, self._slots - self.batch_count)

    def fill_limit(self, now_ms: float) -> int:
        """Give the slots."""
        return self._slots

    def batch_preempt_limit(self, now_ms: float) -> int:
        """Never cut."""
        return self.running_count

    def online_limit(self) -> int:
        """Let all in."""
        return 128

    def on_frame(self, request_id: RequestId, now_ms: float) -> None:
        """Learn nothing."""

    def on_call_end(self, took_ms: float) -> None:
        """Learn nothing."""


class GreedyShare(FixedShare):
    """Fills the engine with batch work and never yields."""

    def __init__(self) -> None:
        """Take all the places but a few."""
        super().__init__(120)
