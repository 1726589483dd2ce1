"""Reads answers whole before they are passed on, within the instance's budget of bytes."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
import logbook

from citrondyke.errors.broken_reply import BreakKind, BrokenReplyError

if TYPE_CHECKING:
    from citrondyke.decisions.memory.byte_budget import HeldBytes
    from citrondyke.gateway.servers.server_connection import ServerConnection
    from citrondyke.util.clock import Clock

__all__ = ('read_held_answer',)

log = logbook.Logger(__name__)

#: Answers up to this are held until they are whole, so that a broken one can be repeated.
HELD_ANSWER_BYTES = 4 * 1024 * 1024
#: Between two looks whether there is room for more of an answer; a target is 30 times as long.
POLL_MS = 10.0


def read_held_answer(
    connection: ServerConnection, held: HeldBytes, clock: Clock, until_ms: float
) -> bytes:
    """Read a whole body; what there is no room for stays with its server meanwhile.

    :raises BrokenReplyError: when it breaks off, is too large, or found no room in time.
    """
    return connection.read_body(
        until_ms,
        HELD_ANSWER_BYTES,
        lambda size_bytes: _wait_for_memory(held, size_bytes, clock, until_ms),
    )


def _wait_for_memory(held: HeldBytes, size_bytes: int, clock: Clock, until_ms: float) -> None:
    is_waiting = False
    while not held.try_acquire(size_bytes):
        if not is_waiting:
            log.info('answer.waits_for_memory', extra={'piece_bytes': size_bytes})
            is_waiting = True
        if clock.now_ms() >= until_ms:
            raise BrokenReplyError(BreakKind.SILENT, 'no room for its bytes')
        gevent.sleep(POLL_MS / 1e3)
