"""The first read of the configuration waits for what the readers of the zone hand on."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent

from citrondyke.gateway.replication.read_delegation import ReadDelegation

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ('ConfigReadDelegation',)

POLL_MS = 20.0


class ConfigReadDelegation(ReadDelegation):
    """Only at a start: a change of the configuration is read by everybody at once."""

    def __init__(
        self, wait_for_decision: Callable[[], bool], is_awaited: Callable[[], bool]
    ) -> None:
        """Ask the parts handed in.

        :param wait_for_decision: waits until it is known whether the first read is left to
            readers; tells it.
        :param is_awaited: tells whether the configuration may still come from one.
        """
        self._wait_for_decision = wait_for_decision
        self._is_awaited = is_awaited

    @property
    def is_delegated(self) -> bool:
        """Tell that nobody follows it for this instance."""
        return False

    @property
    def is_delegate_reader(self) -> bool:
        """Tell that nobody relies on it."""
        return False

    def delay_first_read(self) -> None:
        """Wait for the readers as long as the list of servers waits for them."""
        if not self._wait_for_decision():
            return
        while self._is_awaited():
            gevent.sleep(POLL_MS / 1e3)
