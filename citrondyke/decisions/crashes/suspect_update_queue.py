"""What peers are to be told of suspects, and when."""

from __future__ import annotations

from enum import IntEnum
from typing import TYPE_CHECKING

import msgspec

from citrondyke.decisions.crashes.request_fingerprint import RequestFingerprint

if TYPE_CHECKING:
    from citrondyke.decisions.core.context import Context

__all__ = ('SuspectNews', 'SuspectUpdateBatch', 'SuspectUpdateKind', 'SuspectUpdateQueue')

#: When the same is told again, in ms after it was told before: one datagram in a hundred is lost,
#: and a link that loses many is harmed for seconds.
RESEND_AFTER_MS = (100.0, 700.0)
#: How often a thing is told.
SENDS_COUNT = len(RESEND_AFTER_MS) + 1
#: Requests in one message, 16 bytes each; it must fit one packet.
ENTRIES_PER_MESSAGE = 60
#: Between two messages: one that tells 195 instances all the time sends 3,900 datagrams/s.
MESSAGE_GAP_MS = 50.0
#: What waits to be told; the least suspected is left out.
QUEUE_LIMIT = 512


class SuspectUpdateKind(IntEnum):
    """What there is to tell; the higher, the weightier."""

    BEGUN = 0
    FRESH = 1
    #: It was answered well.
    SURVIVED = 2


class SuspectNews(msgspec.Struct, frozen=True):
    """One request and what is to be told of it."""

    content: RequestFingerprint
    kind: SuspectUpdateKind


class SuspectUpdateBatch(msgspec.Struct, frozen=True):
    """What goes into one message."""

    #: Digest of the life of the server that ended; 0 where none has.
    server: int
    news: list[SuspectNews]
    #: Whether everybody is to know, not only who collects what is seen.
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
    """Tells each thing some times, a bounded number of messages a second."""

    def __init__(self, context: Context) -> None:
        """Start with nothing to tell."""
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
        """Have something told.

        :param server: digest of the life of the server that ended; 0 for a success.
        :param is_broadcast: whether everybody is to know.
        :param times: how often it is told.
        """
        rank = float('inf') if news.kind is SuspectUpdateKind.SURVIVED else score
        now_ms = self._context.now_ms()
        self._pending.append(_PendingUpdate(server, news, rank, now_ms, is_broadcast, sends_count))
        if len(self._pending) > QUEUE_LIMIT:
            self._pending.remove(min(self._pending, key=lambda each: each.rank))

    def next_pause_ms(self) -> float | None:
        """Give the time until something is to be told; ``None`` while there is nothing."""
        if not self._pending:
            return None
        due_ms = min(each.due_ms for each in self._pending)
        return max(0.0, max(due_ms, self._sent_ms + MESSAGE_GAP_MS) - self._context.now_ms())

    def take_due(self) -> SuspectUpdateBatch | None:
        """Give the next message; ``None`` where nothing is due."""
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
