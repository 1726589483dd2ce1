"""Delegation of the first read of the configuration to the readers of the zone."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent

from citrondyke.gateway.replication.read_delegation import ReadDelegation

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ('ConfigReadDelegation',)

POLL_MS = 20.0


class ConfigReadDelegation(ReadDelegation):
    """Delays the first read of the configuration; later changes are read by every instance itself.

    A change of the configuration must take effect on all instances at once, so it doesn't wait for
    a reader.
    """

    def __init__(
        self, wait_for_decision: Callable[[], bool], is_awaited: Callable[[], bool]
    ) -> None:
        """Store the conditions for a delay.

        :param wait_for_decision: waits until it is decided whether the first read is left to
            readers, and returns the decision.
        :param is_awaited: returns whether the configuration may still arrive from a reader.
        """
        self._wait_for_decision = wait_for_decision
        self._is_awaited = is_awaited

    @property
    def is_delegated(self) -> bool:
        """Return ``False``, since every instance follows the configuration itself."""
        return False

    @property
    def is_delegate_reader(self) -> bool:
        """Return ``False``, since no instance relies on this one."""
        return False

    def delay_first_read(self) -> None:
        """Wait for the readers as long as the first read of the server list waits for them."""
        if not self._wait_for_decision():
            return
        while self._is_awaited():
            gevent.sleep(POLL_MS / 1e3)
