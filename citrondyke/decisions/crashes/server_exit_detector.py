"""Which servers have ended, and what was under way there when they did."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from citrondyke.decisions.crashes.request_fingerprint import RequestFingerprint

if TYPE_CHECKING:
    from citrondyke.decisions.core.context import Context

__all__ = ('InterruptedRequest', 'ServerExitDetector')

#: How long what broke off at a server waits for word of its end: a server that ended without a
#: word is off the list after three heartbeats and a look, some 5 s.
KEPT_MS = 10_000.0
#: A connection that is taken this soon after another broke off shows that the server lives: it
#: takes seconds to start anew.
ALIVE_WITHIN_MS = 500.0
#: What is kept of one server, and servers that are kept: places of a server, and a fleet's.
PER_SERVER_LIMIT = 64
SERVERS_LIMIT = 1_000


class InterruptedRequest(msgspec.Struct, frozen=True):
    """A request that broke off at a server."""

    content: RequestFingerprint
    #: Whether its answer had not been coming for long.
    is_fresh: bool
    at_ms: float


class ServerExitDetector:
    """Tells a server's end from a broken connection.

    Connections are reset, answers get lost, instances are cut off: none of it says anything of
    the request. A server has ended when it refuses connections right after, or is off the list
    though it never said that it leaves, or has begun another life.
    """

    def __init__(self, context: Context) -> None:
        """Start without a server."""
        self._context = context
        self._interrupted: dict[int, list[InterruptedRequest]] = {}
        self._exited_ms: dict[int, float] = {}

    def record_interrupted(
        self, server: int, content: RequestFingerprint, *, is_fresh: bool
    ) -> bool:
        """Keep what broke off; tell whether the server is known to have ended."""
        self._forget_old()
        if server in self._exited_ms:
            return True
        kept = self._interrupted.setdefault(server, [])
        if len(kept) < PER_SERVER_LIMIT:
            kept.append(InterruptedRequest(content, is_fresh, self._context.now_ms()))
        return False

    def record_server_exited(self, server: int) -> list[InterruptedRequest]:
        """Take in a server's end; give what it counts against."""
        self._forget_old()
        self._exited_ms.setdefault(server, self._context.now_ms())
        return self._interrupted.pop(server, [])

    def record_removed(self, server: int) -> list[InterruptedRequest]:
        """Take in that a server is off the list; give what that counts against.

        It may go on serving what it has: only what broke off there before is told by it.
        """
        self._forget_old()
        return self._interrupted.pop(server, [])

    def has_exited(self, server: int) -> bool:
        """Tell whether a server is known to have ended."""
        return server in self._exited_ms

    def record_server_alive(self, server: int, asked_ms: float) -> bool:
        """Take in that a server took a connection; tell whether more broke off since.

        :param asked_ms: when the connection was begun.
        """
        kept = [
            each
            for each in self._interrupted.pop(server, [])
            if not 0.0 <= asked_ms - each.at_ms <= ALIVE_WITHIN_MS
        ]
        if kept:
            self._interrupted[server] = kept
        return any(each.at_ms > asked_ms for each in kept)

    def _forget_old(self) -> None:
        oldest_ms = self._context.now_ms() - KEPT_MS
        for server, kept in list(self._interrupted.items()):
            fresh = [each for each in kept if each.at_ms >= oldest_ms]
            if fresh:
                self._interrupted[server] = fresh
            else:
                del self._interrupted[server]
        for server in [each for each, ms in self._exited_ms.items() if ms < oldest_ms]:
            del self._exited_ms[server]
        while len(self._interrupted) > SERVERS_LIMIT:
            del self._interrupted[next(iter(self._interrupted))]
