"""Holds requests until an instance that has just started can serve them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
import logbook
from gevent.event import Event

if TYPE_CHECKING:
    from collections.abc import Callable

    from citrondyke.decisions.core.context import Context
    from citrondyke.decisions.forwarding.startup_hold import StartupHold
    from citrondyke.util.start_steps import StartSteps

__all__ = ('StartupGate',)

log = logbook.Logger(__name__)

POLL_S = 0.01
#: After this many polls the start is waiting for an unresponsive store, so polls become slower.
FAST_POLLS_COUNT = 200
SLOW_POLL_S = 0.05
#: Optional startup steps are polled for this long. An instance may never reach them: for example,
#: other instances may hold all leases.
MILESTONES_S = 1.0


class StartupGate:
    """Lets requests through once the configuration and the list of servers are known."""

    def __init__(
        self,
        context: Context,
        hold: StartupHold,
        is_complete: Callable[[], bool],
        steps: StartSteps | None,
        milestones: dict[str, Callable[[], bool]],
    ) -> None:
        """Use the parts handed in.

        :param is_complete: returns whether requests can be served.
        :param marks: by the name of a startup step, returns whether it is done.
        """
        self._context = context
        self._hold = hold
        self._is_complete = is_complete
        self._steps = steps
        self._milestones = milestones
        self._opened = Event()
        self._held_total = 0
        #: Time to readiness since the start of the process, or of this instance if the process's
        #: start is not known; 0 before it is ready.
        self.opened_after_ms = 0.0

    def retry_in_ms(self) -> float:
        """Return the retry time for a rejected caller."""
        return self._hold.retry_in_ms()

    def wait(self, within_ms: float | None) -> None:
        """Wait until requests can be served, or until the caller should try another instance.

        :param within_ms: how long the caller waits; ``None`` if it does not say.
        """
        if self._opened.is_set():
            return
        until_ms = self._hold.begin(within_ms)
        if until_ms is None:
            return
        self._held_total += 1
        try:
            self._opened.wait((until_ms - self._context.now_ms()) / 1e3)
        finally:
            self._hold.end()

    def run(self) -> None:
        """Open the gate once requests can be served."""
        started_ms = self._context.now_ms()
        polls_count = 0
        while not self._is_complete():
            polls_count += 1
            self._record_milestones()
            gevent.sleep(POLL_S if polls_count < FAST_POLLS_COUNT else SLOW_POLL_S)
        self._opened.set()
        self.opened_after_ms = waited_ms = self._context.now_ms() - started_ms
        self._record_milestones()
        if self._steps is not None:
            self._steps.record('serving')
            self.opened_after_ms = self._steps.done_ms['serving']
        log.info(
            'instance.serving',
            extra={
                'waited_ms': round(waited_ms, 1),
                'held_requests': self._held_total,
                'steps_ms': None if self._steps is None else dict(self._steps.done_ms),
            },
        )
        self._poll_milestones()

    def _poll_milestones(self) -> None:
        """Poll for the steps that requests need not wait for, then log all steps."""
        if self._steps is None:
            return
        until_ms = self._context.now_ms() + MILESTONES_S * 1e3
        while self._milestones and self._context.now_ms() < until_ms:
            gevent.sleep(POLL_S)
            self._record_milestones()
        log.info('instance.steps', extra={'steps_ms': self._steps.done_ms})

    def _record_milestones(self) -> None:
        if self._steps is None:
            return
        for name in [name for name, is_done in self._milestones.items() if is_done()]:
            self._steps.record(name)
            del self._milestones[name]
