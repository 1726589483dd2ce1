"""Whether the end of an item's run is the end of the item, and who is asked if that is in doubt."""

from __future__ import annotations

from typing import TYPE_CHECKING

from citrondyke.decisions.streams.stream_end import EndVerdict, RunEnd, StreamEnd
from citrondyke.util.hashing import content_hash

if TYPE_CHECKING:
    from collections.abc import Callable

    from citrondyke.ids import ServerIncarnation

__all__ = ('CONFIRM_WAIT_MS', 'ItemEnd')

#: How long an item whose end is in doubt waits for a server that has not stated the end yet. Such a
#: server may stay full, or be listed although it has ended; after this time the servers that have
#: stated it are asked again, and their further statements count. A faulty server alone can't end
#: an item while another one that may continue it has been reachable within this time.
CONFIRM_WAIT_MS = 10_000.0


class ItemEnd:
    """Collects what servers state about the end of one item; an item has no caller to ask again.

    An item that no server may continue, as their version is not known, begins anew after each run.
    There a whole run that ends after the same text states the same as an end without an event.
    """

    def __init__(self) -> None:
        """Start before the first run."""
        self._stream = StreamEnd(may_be_empty=False)
        self._confirm_until_ms = float('-inf')
        self._doubted_event_id: int | None = None
        self._has_begun_anew = False
        #: Digest of the text at whose end a connection was closed, and the servers that closed it.
        self._text_digest: int | None = None
        self._text_servers: list[ServerIncarnation] = []

    @property
    def is_in_doubt(self) -> bool:
        """Whether a server has stated the end, which isn't confirmed yet."""
        return self._stream.is_in_doubt

    @property
    def stating_servers(self) -> frozenset[ServerIncarnation]:
        """Servers that have stated the end."""
        if self._has_begun_anew:
            return self._stream.stating_servers.union(self._text_servers)
        return self._stream.stating_servers

    def servers_to_avoid(self, now_ms: float) -> frozenset[ServerIncarnation]:
        """Return the servers whose further statement would not confirm the end."""
        return self.stating_servers if now_ms < self._confirm_until_ms else frozenset()

    def begin_anew(self) -> None:
        """Drop what was stated: the next run generates the text from its first event."""
        self._stream = StreamEnd(may_be_empty=False)
        self._has_begun_anew = True

    def record_interruption(
        self, last_event_id: int | None, *, has_events: bool, is_in_event: bool
    ) -> None:
        """Record that a run was interrupted; the parameters are those of ``StreamEnd``."""
        self._stream.record_interruption(
            last_event_id, has_events=has_events, is_in_event=is_in_event
        )

    def record_end(
        self,
        end: RunEnd,
        text: str,
        has_others: Callable[[frozenset[ServerIncarnation]], bool],
        now_ms: float,
    ) -> EndVerdict:
        """Record the orderly end of a run.

        :param text: the item's text so far.
        :param has_others: returns whether there are servers that may run the item beside some.
        """
        if end.last_event_id != self._doubted_event_id or self._confirm_until_ms < 0.0:
            self._doubted_event_id = end.last_event_id
            self._confirm_until_ms = now_ms + CONFIRM_WAIT_MS
        is_others_turn = now_ms < self._confirm_until_ms
        has_other_servers = is_others_turn and has_others(self.stating_servers | {end.server})
        verdict = self._stream.record_end(end, has_other_servers=has_other_servers)
        if verdict.is_complete or not end.events_count:
            return verdict
        return self._record_repeated(end, text, verdict, has_other_servers=has_other_servers)

    def _record_repeated(
        self, end: RunEnd, text: str, verdict: EndVerdict, *, has_other_servers: bool
    ) -> EndVerdict:
        """Count the earlier runs that ended after the same text."""
        digest = content_hash(text.encode())
        if digest != self._text_digest:
            self._text_digest, self._text_servers = digest, []
        for server in self._text_servers:
            # It did not end before its first event, so that its end counts like a framed one.
            repeated = RunEnd(server, True, 0, end.last_event_id)
            verdict = self._stream.record_end(repeated, has_other_servers=has_other_servers)
            if verdict.is_complete:
                break
        self._text_servers.append(end.server)
        return verdict
