"""Detects server exits and the requests that were in flight there."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from citrondyke.decisions.crashes.suspect_key import SuspectKey

if TYPE_CHECKING:
    from citrondyke.decisions.core.context import Context

__all__ = ('InterruptedRequest', 'ServerExitDetector')

#: How long interrupted requests are kept until the server's exit is known: a server that exited
#: silently is off the list after three heartbeats and a poll, about 5 s.
INTERRUPTED_EXPIRY_MS = 10_000.0
#: A connection accepted this soon after another one broke shows that the server is alive: a
#: restart takes seconds.
ALIVE_WITHIN_MS = 500.0
#: Interrupted requests kept for each server (its capacity), and servers kept (a fleet's size).
REQUESTS_PER_SERVER_LIMIT = 64
SERVERS_LIMIT = 1_000


class InterruptedRequest(msgspec.Struct, frozen=True):
    """A request whose connection to its server broke."""

    content: SuspectKey
    #: Parts of its prompt that other requests may share.
    parts: tuple[SuspectKey, ...]
    #: Whether its response had not started, or only a short time before.
    is_fresh: bool
    at_ms: float

    @property
    def keys(self) -> tuple[SuspectKey, ...]:
        """All keys that an exit counts against."""
        return (self.content, *self.parts)


class ServerExitDetector:
    """Distinguishes a server's exit from a broken connection.

    Connections are reset, responses get lost and instances are partitioned; none of this is
    evidence against the request. A server has exited if it refuses connections right afterwards,
    is off the list without having announced that it leaves, or runs as a new incarnation.
    Servers are identified by the digest of their incarnation.
    """

    def __init__(self, context: Context) -> None:
        """Start without any observations."""
        self._context = context
        self._interrupted: dict[int, list[InterruptedRequest]] = {}
        self._exited_ms: dict[int, float] = {}

    def record_interrupted(
        self, server: int, content: SuspectKey, *parts: SuspectKey, is_fresh: bool
    ) -> bool:
        """Record an interrupted request; return whether the server is known to have exited.

        :param parts: parts of its prompt that other requests may share.
        """
        self._forget_old()
        if server in self._exited_ms:
            return True
        kept = self._interrupted.setdefault(server, [])
        if len(kept) < REQUESTS_PER_SERVER_LIMIT:
            kept.append(InterruptedRequest(content, parts, is_fresh, self._context.now_ms()))
        return False

    def record_server_exited(self, server: int) -> list[InterruptedRequest]:
        """Record a server's exit; return the interrupted requests that it counts against."""
        self._forget_old()
        self._exited_ms.setdefault(server, self._context.now_ms())
        return self._interrupted.pop(server, [])

    def record_removed(self, server: int) -> list[InterruptedRequest]:
        """Record that a server is off the list; return the requests that this counts against.

        The server may continue to serve its current requests, so only requests that were
        interrupted before count, and the server is not recorded as exited.
        """
        self._forget_old()
        return self._interrupted.pop(server, [])

    def has_exited(self, server: int) -> bool:
        """Return whether a server is known to have exited."""
        return server in self._exited_ms

    def record_server_alive(self, server: int, connect_started_ms: float) -> bool:
        """Record an accepted connection; return whether requests were interrupted since.

        :param connect_started_ms: monotonic time at which the connection attempt started.
        """
        kept = [
            each
            for each in self._interrupted.pop(server, [])
            if not 0.0 <= connect_started_ms - each.at_ms <= ALIVE_WITHIN_MS
        ]
        if kept:
            self._interrupted[server] = kept
        return any(each.at_ms > connect_started_ms for each in kept)

    def _forget_old(self) -> None:
        oldest_ms = self._context.now_ms() - INTERRUPTED_EXPIRY_MS
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
