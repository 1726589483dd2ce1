"""Greenlets of an instance."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import gevent
import logbook
from gevent.pool import Group

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ('Tasks',)

log = logbook.Logger(__name__)

#: Pause before a failed task is restarted.
RESTART_S = 0.3


class Tasks:
    """Spawns greenlets that are killed with their instance."""

    def __init__(self) -> None:
        """Start with none."""
        self._group = Group()

    def spawn(self, work: Callable[..., object], *arguments: Any) -> gevent.Greenlet:
        """Run a task once."""
        return self._group.spawn(work, *arguments)

    def supervise(self, work: Callable[[], None]) -> None:
        """Run a task and restart it after an unexpected exception.

        If an error in one row ended a follower, its instance would use a stale server list forever,
        and only failing requests would show it.
        """
        self._group.spawn(self._supervise, work)

    def end(self) -> None:
        """Kill all greenlets."""
        self._group.kill(block=True, timeout=1.0)

    @staticmethod
    def _supervise(work: Callable[[], None]) -> None:
        while True:
            try:
                work()
                return
            except Exception:
                log.exception('task.failed', extra={'task': work.__qualname__})
            gevent.sleep(RESTART_S)
