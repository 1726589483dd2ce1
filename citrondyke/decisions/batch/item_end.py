"""Whether the end of an item's run is the end of the item, and who is asked if that is in doubt."""

from __future__ import annotations

from typing import TYPE_CHECKING

from citrondyke.decisions.streams.stream_end import AGREEING_SERVERS, EndVerdict, RunEnd, StreamEnd
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
        self._is_resumable = True
        #: Digest of the text at whose end a connection was closed, and the servers that closed it.
        self._text_digest: int | None = None
        self._text_servers: list[ServerIncarnation] = []

    @property
    def is_in_doubt(self) -> bool:
        """Whether a server has stated the end, which isn't confirmed yet."""
        return self._stream.is_in_doubt

    @property
    def ending_servers(self) -> frozenset[ServerIncarnation]:
        """Servers whose run ended where the item may end."""
        if self._has_begun_anew:
            return self._stream.ending_servers.union(self._text_servers)
        return self._stream.ending_servers

    def servers_to_avoid(self, now_ms: float) -> frozenset[ServerIncarnation]:
        """Return the servers that must not run the item next."""
        return self._heard_servers if now_ms < self._confirm_until_ms else frozenset()

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
        *,
        is_resumable: bool,
    ) -> EndVerdict:
        """Record the orderly end of a run.

        :param text: the item's text so far.
        :param has_others: returns whether there are servers that may run the item beside some.
        :param is_resumable: whether a server may go on after the run's last event.
        """
        if end.last_event_id != self._doubted_event_id or self._confirm_until_ms < 0.0:
            self._doubted_event_id = end.last_event_id
            self._confirm_until_ms = now_ms + CONFIRM_WAIT_MS
        self._is_resumable = is_resumable
        if end.events_count:
            self._record_text(end, text)
            heard = self._heard_servers
        else:
            heard = self._heard_servers | {end.server}
        has_other_servers = now_ms < self._confirm_until_ms and has_others(heard)
        verdict = self._stream.record_end(end, has_other_servers=has_other_servers)
        if verdict.is_complete or not end.events_count:
            return verdict
        is_agreed = self._is_text_agreed(has_other_servers=has_other_servers)
        return EndVerdict.COMPLETE_BY_AGREEMENT if is_agreed else verdict

    @property
    def _heard_servers(self) -> frozenset[ServerIncarnation]:
        """Servers whose further statement would not confirm the end.

        One that closed its connection after the last event may still be asked what follows, unless
        it would begin anew.
        """
        if self._has_begun_anew or not self._is_resumable:
            return self._stream.stating_servers.union(self._text_servers)
        return self._stream.stating_servers

    def _record_text(self, end: RunEnd, text: str) -> None:
        digest = content_hash(text.encode())
        if digest != self._text_digest:
            self._text_digest, self._text_servers = digest, []
        self._text_servers.append(end.server)

    def _is_text_agreed(self, *, has_other_servers: bool) -> bool:
        """Return whether enough runs have ended after the same text."""
        if len(set(self._text_servers)) >= AGREEING_SERVERS:
            return True
        return not has_other_servers and len(self._text_servers) > AGREEING_SERVERS
