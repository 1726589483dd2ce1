"""The greenlets of one instance."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import gevent
import logbook
from gevent.pool import Group

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ('Tasks',)

log = logbook.Logger(__name__)

#: Pause before a task that failed begins again.
RESTART_S = 0.3


class Tasks:
    """Spawns greenlets that end with their instance."""

    def __init__(self) -> None:
        """Start with none."""
        self._group = Group()

    def spawn(self, work: Callable[..., object], *arguments: Any) -> gevent.Greenlet:
        """Run something once."""
        return self._group.spawn(work, *arguments)

    def keep(self, work: Callable[[], None]) -> None:
        """Run something for good; after an unforeseen failure it begins again.

        A follower that ended by an error in one row would leave its instance with an old list of
        servers for good, and nothing would show it but failing requests.
        """
        self._group.spawn(self._keep, work)

    def end(self) -> None:
        """End all of them."""
        self._group.kill(block=True, timeout=1.0)

    @staticmethod
    def _keep(work: Callable[[], None]) -> None:
        while True:
            try:
                work()
                return
            except Exception:
                log.exception('task.failed', extra={'task': work.__qualname__})
            gevent.sleep(RESTART_S)
