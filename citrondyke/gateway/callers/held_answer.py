"""Reads whole responses before they are relayed, within the instance's memory budget."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
import logbook

from citrondyke.errors.broken_reply import BrokenReplyError, ReplyFailureKind

if TYPE_CHECKING:
    from citrondyke.decisions.memory.byte_budget import HeldBytes
    from citrondyke.gateway.servers.server_connection import ServerConnection
    from citrondyke.util.clock import Clock

__all__ = ('read_held_answer',)

log = logbook.Logger(__name__)

#: Responses up to this size are held until they are whole, so that the request of a truncated one
#: can be retried.
HELD_ANSWER_BYTES = 4 * 1024 * 1024
#: Pause between two polls for free memory; a route's latency target is 30 times as long.
POLL_MS = 10.0


def read_held_answer(
    connection: ServerConnection, held: HeldBytes, clock: Clock, until_ms: float
) -> bytes:
    """Read a whole body; without free memory for it, reading from the server pauses.

    :raises BrokenReplyError: if it is truncated or too large, or if memory was not free in time.
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
            raise BrokenReplyError(ReplyFailureKind.SILENT, 'no free memory for the response body')
        gevent.sleep(POLL_MS / 1e3)
