"""Greenlets of an instance."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import gevent
from gevent.pool import Group

from citrondyke.decisions.core.failure_series import QUIET_MS
from citrondyke.gateway.failure_log import FailureLog
from citrondyke.util.clock import SystemClock

if TYPE_CHECKING:
    from collections.abc import Callable

    from citrondyke.util.clock import Clock

__all__ = ('Tasks',)

#: Pause before a failed task is restarted.
RESTART_S = 0.3
#: ... and the longest one, after repeated failures: a task may read a whole table at each start,
#: and a server that leaves may get requests for 2 s.
LONGEST_RESTART_S = 1.2


class Tasks:
    """Spawns greenlets that are killed with their instance."""

    def __init__(self, clock: Clock | None = None) -> None:
        """Start with none.

        :param clock: clock of the log of failures; the system's by default.
        """
        self._group = Group()
        #: Exceptions of all tasks; each one restarts a supervised task.
        self.failures = FailureLog(SystemClock() if clock is None else clock, 'task')

    def spawn(self, work: Callable[..., object], *arguments: Any) -> gevent.Greenlet:
        """Run a task once; its value is ``None`` after an unexpected exception, which is logged."""
        return self._group.spawn(self._run_once, work, *arguments)

    def supervise(self, work: Callable[[], None]) -> None:
        """Run a task and restart it after an unexpected exception.

        If an error in one row ended a follower, its instance would use a stale server list forever,
        and only failing requests would show it.
        """
        self._group.spawn(self._supervise, work)

    def end(self) -> None:
        """Kill all greenlets."""
        self._group.kill(block=True, timeout=1.0)

    def _run_once(self, work: Callable[..., object], *arguments: Any) -> object:
        name = getattr(work, '__qualname__', type(work).__name__)
        try:
            result = work(*arguments)
        except Exception:
            self.failures.record_failure(name)
            return None
        self.failures.record_success(name)
        return result

    def _supervise(self, work: Callable[[], None]) -> None:
        name = getattr(work, '__qualname__', type(work).__name__)
        pause_s = RESTART_S
        recovery: gevent.Greenlet | None = None
        while True:
            try:
                work()
                return
            except Exception:
                self.failures.record_failure(name)
            if recovery is not None:
                is_repeated = not recovery.ready()
                recovery.kill(block=False)
                pause_s = min(2 * pause_s, LONGEST_RESTART_S) if is_repeated else RESTART_S
            gevent.sleep(pause_s)
            recovery = self.spawn(self._log_recovery, name)

    def _log_recovery(self, name: str) -> None:
        """Log the recovery of a restarted task, unless it fails again before."""
        gevent.sleep(QUIET_MS / 1e3)
        self.failures.record_success(name)
