"""What peers are to be told of suspects, and when."""

from __future__ import annotations

from enum import IntEnum
from typing import TYPE_CHECKING

import msgspec

from citrondyke.decisions.crashes.content import RequestContent

if TYPE_CHECKING:
    from citrondyke.decisions.core.context import Context

__all__ = ('SuspectNews', 'SuspectUpdateBatch', 'SuspectUpdateKind', 'SuspectUpdateQueue')

#: When the same is told again, in ms after it was told before: one datagram in a hundred is lost,
#: and a link that loses many is harmed for seconds.
AGAIN_AFTER_MS = (100.0, 700.0)
#: How often a thing is told.
TIMES = len(AGAIN_AFTER_MS) + 1
#: Requests in one message, 16 bytes each; it must fit one packet.
PER_MESSAGE = 60
#: Between two messages: one that tells 195 instances all the time sends 3,900 datagrams/s.
GAP_MS = 50.0
#: What waits to be told; the least suspected is left out.
WAITING_LIMIT = 512


class SuspectUpdateKind(IntEnum):
    """What there is to tell; the higher, the weightier."""

    BEGUN = 0
    FRESH = 1
    #: It was answered well.
    SURVIVED = 2


class SuspectNews(msgspec.Struct, frozen=True):
    """One request and what is to be told of it."""

    content: RequestContent
    kind: SuspectUpdateKind


class SuspectUpdateBatch(msgspec.Struct, frozen=True):
    """What goes into one message."""

    #: Digest of the life of the server that ended; 0 where none has.
    server: int
    news: list[SuspectNews]
    #: Whether everybody is to know, not only who collects what is seen.
    is_wide: bool


class _Waiting(msgspec.Struct):
    server: int
    news: SuspectNews
    rank: float
    due_ms: float
    is_wide: bool
    times_left: int
    told_count: int = 0


class SuspectUpdateQueue:
    """Tells each thing some times, a bounded number of messages a second."""

    def __init__(self, context: Context) -> None:
        """Start with nothing to tell."""
        self._context = context
        self._waiting: list[_Waiting] = []
        self._sent_ms = float('-inf')

    def add(
        self,
        server: int,
        news: SuspectNews,
        score: float,
        *,
        is_wide: bool = True,
        times: int = TIMES,
    ) -> None:
        """Have something told.

        :param server: digest of the life of the server that ended; 0 for a success.
        :param is_wide: whether everybody is to know.
        :param times: how often it is told.
        """
        rank = float('inf') if news.kind is SuspectUpdateKind.SURVIVED else score
        now_ms = self._context.now_ms()
        self._waiting.append(_Waiting(server, news, rank, now_ms, is_wide, times))
        if len(self._waiting) > WAITING_LIMIT:
            self._waiting.remove(min(self._waiting, key=lambda each: each.rank))

    def next_pause_ms(self) -> float | None:
        """Give the time until something is to be told; ``None`` while there is nothing."""
        if not self._waiting:
            return None
        due_ms = min(each.due_ms for each in self._waiting)
        return max(0.0, max(due_ms, self._sent_ms + GAP_MS) - self._context.now_ms())

    def take(self) -> SuspectUpdateBatch | None:
        """Give the next message; ``None`` where nothing is due."""
        now_ms = self._context.now_ms()
        due = [each for each in self._waiting if each.due_ms <= now_ms]
        if not due:
            return None
        due.sort(key=lambda each: (each.told_count, -each.rank))
        server, is_wide = due[0].server, due[0].is_wide
        chosen = [each for each in due if (each.server, each.is_wide) == (server, is_wide)]
        del chosen[PER_MESSAGE:]
        for each in chosen:
            each.times_left -= 1
            if not each.times_left:
                self._waiting.remove(each)
                continue
            each.due_ms = now_ms + AGAIN_AFTER_MS[min(each.told_count, len(AGAIN_AFTER_MS) - 1)]
            each.told_count += 1
        self._sent_ms = now_ms
        return SuspectUpdateBatch(server, [each.news for each in chosen], is_wide)
