"""Queue of suspect updates that are to be sent to peers."""

from __future__ import annotations

from enum import IntEnum
from typing import TYPE_CHECKING

import msgspec

from citrondyke.decisions.crashes.suspect_key import SuspectKey

if TYPE_CHECKING:
    from citrondyke.decisions.core.context import Context

__all__ = ('SuspectNews', 'SuspectUpdateBatch', 'SuspectUpdateKind', 'SuspectUpdateQueue')

#: Pauses before an update is resent, in ms: one datagram in a hundred is lost, and a lossy link
#: stays lossy for seconds.
RESEND_AFTER_MS = (100.0, 700.0)
#: How often an update is sent.
SENDS_COUNT = len(RESEND_AFTER_MS) + 1
#: Keys in one message, 16 bytes each; a message must fit into one packet.
ENTRIES_PER_MESSAGE = 60
#: Pause between two messages: continuous sending to 195 instances is 3,900 datagrams/s.
MESSAGE_GAP_MS = 50.0
#: Updates that may wait; on overflow the one with the lowest score is dropped.
QUEUE_LIMIT = 512


class SuspectUpdateKind(IntEnum):
    """Kind of an update."""

    #: A server exited after the response had been streaming for a while.
    BEGUN = 0
    #: A server exited before or just after the response started.
    FRESH = 1
    #: A request got a complete response.
    SURVIVED = 2
    #: A prompt part was answered lately; tells the one instance that counted an exit against it.
    PROVEN = 3


class SuspectNews(msgspec.Struct, frozen=True):
    """One update about one key of requests."""

    key: SuspectKey
    kind: SuspectUpdateKind


class SuspectUpdateBatch(msgspec.Struct, frozen=True):
    """Content of one message."""

    #: Digest of the incarnation of the exited server; 0 for successes.
    server: int
    news: list[SuspectNews]
    #: Whether it goes to all peers, not only to those that collect reports on these keys.
    is_broadcast: bool


class _PendingUpdate(msgspec.Struct):
    server: int
    news: SuspectNews
    rank: float
    due_ms: float
    is_broadcast: bool
    sends_left: int
    sent_count: int = 0


class SuspectUpdateQueue:
    """Sends each update several times, within a bounded message rate."""

    def __init__(self, context: Context) -> None:
        """Start empty."""
        self._context = context
        self._pending: list[_PendingUpdate] = []
        self._sent_ms = float('-inf')

    def enqueue(
        self,
        server: int,
        news: SuspectNews,
        score: float,
        *,
        is_broadcast: bool = True,
        sends_count: int = SENDS_COUNT,
    ) -> None:
        """Queue an update.

        :param server: digest of the incarnation of the exited server; 0 for a success.
        :param news: the update.
        :param score: the key's score; higher ones are sent first.
        :param is_broadcast: whether it goes to all peers.
        :param sends_count: how often it is sent.
        """
        rank = float('inf') if news.kind is SuspectUpdateKind.SURVIVED else score
        now_ms = self._context.now_ms()
        self._pending.append(_PendingUpdate(server, news, rank, now_ms, is_broadcast, sends_count))
        if len(self._pending) > QUEUE_LIMIT:
            self._pending.remove(min(self._pending, key=lambda each: each.rank))

    def next_pause_ms(self) -> float | None:
        """Return the time until the next message is due; ``None`` if the queue is empty."""
        if not self._pending:
            return None
        due_ms = min(each.due_ms for each in self._pending)
        return max(0.0, max(due_ms, self._sent_ms + MESSAGE_GAP_MS) - self._context.now_ms())

    def take_due(self) -> SuspectUpdateBatch | None:
        """Return the next message; ``None`` if none is due."""
        now_ms = self._context.now_ms()
        due = [each for each in self._pending if each.due_ms <= now_ms]
        if not due:
            return None
        due.sort(key=lambda each: (each.sent_count, -each.rank))
        server, is_broadcast = due[0].server, due[0].is_broadcast
        chosen = [
            each for each in due if (each.server, each.is_broadcast) == (server, is_broadcast)
        ]
        del chosen[ENTRIES_PER_MESSAGE:]
        for each in chosen:
            each.sends_left -= 1
            if not each.sends_left:
                self._pending.remove(each)
                continue
            each.due_ms = now_ms + RESEND_AFTER_MS[min(each.sent_count, len(RESEND_AFTER_MS) - 1)]
            each.sent_count += 1
        self._sent_ms = now_ms
        return SuspectUpdateBatch(server, [each.news for each in chosen], is_broadcast)
