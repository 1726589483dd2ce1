"""State of a job at its owner: open items, finished results, durable results."""

from __future__ import annotations

from collections.abc import Collection, Iterable
from enum import Enum

import msgspec

from citrondyke.decisions.batch.item_end import ItemEnd
from citrondyke.decisions.batch.job import ItemResult, ItemState, JobHead, JobItem
from citrondyke.decisions.streams.stream_origin import StreamOrigin

__all__ = ('COMMIT_BYTES', 'ItemProgress', 'OwnedJob', 'RunResult', 'give_up_epoch_ms')

#: Pause before an item is retried after a failed run; doubled with each consecutive break.
RETRY_MS = 100.0
MAX_RETRY_PAUSE_MS = 2_000.0
#: Pause before a server is asked whether anything follows after a run. It is not doubled, as
#: ``ItemEnd`` needs few such runs.
CONFIRM_PAUSE_MS = 100.0
#: Interval at which a blocked item is checked again for whether it may be sent.
BLOCKED_PAUSE_MS = 1_000.0
#: Instances know the store's clock late by the time of a call, and wall clocks, which count where
#: that clock is not known, differ by some seconds: an item is abandoned this much later than its
#: job allows, so that it is never abandoned too early.
ABANDON_MARGIN_MS = 5_000.0
#: Items in one commit, and bytes of their encoded texts, which compression may leave as they are. A
#: transaction holds 1 MB, with values in base64.
COMMIT_ITEMS = 40
COMMIT_BYTES = 400_000


def give_up_epoch_ms(head: JobHead) -> float:
    """Return when the open items of a job are given up."""
    return head.abandon_epoch_ms + ABANDON_MARGIN_MS


class RunResult(Enum):
    """Result of one run of an item on a server."""

    COMPLETED = 'completed'
    #: The server reported that the item can never be completed.
    IMPOSSIBLE = 'impossible'
    #: The server ran the item and reported a failure.
    FAILED = 'failed'
    #: The run was aborted, rejected or stopped to free capacity; it resumes after its last event.
    INTERRUPTED = 'broken'
    #: The run ended in order, but nothing proves that the item is whole; another server is asked
    #: whether anything follows. It is no failure of its server.
    UNCONFIRMED = 'unconfirmed'
    #: The run was stopped to give its capacity to online requests.
    PREEMPTED = 'gave_way'
    #: The item was not sent, because servers exited while they ran it.
    BLOCKED = 'stopped'


class ItemProgress(msgspec.Struct):
    """Progress of an open item."""

    item: JobItem
    texts: list[str] = []
    last_event_id: int | None = None
    #: Origin of the events received so far; ``None`` before the first, or if it is not known.
    origin: StreamOrigin | None = None
    failures_count: int = 0
    consecutive_breaks: int = 0
    is_running: bool = False
    not_before_ms: float = 0.0
    #: When the current run produced its first event; ``None`` before that.
    first_event_ms: float | None = None
    #: Runs that ended with their connection, also those of earlier connections to one server.
    interrupted_count: int = 0
    #: Id of the last event saved in the store.
    saved_event_id: int | None = None
    text_chars: int = 0
    #: What is known about the end of the item. It is not saved: the next owner asks anew.
    end: ItemEnd = msgspec.field(default_factory=ItemEnd)

    def add_event(self, text: str, event_id: int | None, origin: StreamOrigin) -> None:
        """Add an event of the current run."""
        self.texts.append(text)
        self.text_chars += len(text)
        self.last_event_id = event_id
        self.origin = origin
        self.consecutive_breaks = 0

    def drop_events(self) -> None:
        """Begin anew: the next run generates the text from its first event."""
        self.texts = []
        self.text_chars = 0
        self.last_event_id = None
        self.saved_event_id = None
        self.origin = None
        self.end.begin_anew()

    @property
    def text(self) -> str:
        """Return the text of the events received so far."""
        return '\n'.join(self.texts)

    @property
    def events_count(self) -> int:
        """Return the number of events received so far."""
        return self.last_event_id or 0


class OwnedJob:
    """One job and the progress of its items, kept by the job's owner.

    An item is open until its whole output is known, a server reports that it is impossible, as many
    runs as allowed have failed, its job ends or its route is removed, or its job gives it up. The
    end of a run alone does not end it: ``ItemEnd`` decides whether its output is whole. From every
    other state a run starts again after a bounded pause, or as soon as a server has capacity.
    """

    def __init__(
        self,
        head: JobHead,
        version: int,
        items: Iterable[JobItem],
        results: Iterable[ItemResult] = (),
    ) -> None:
        """Start from the durable state.

        :param version: version of the head's row; a commit fails if it has changed.
        """
        self.head = head
        self.version = version
        #: Durable results by position; callers see only these.
        self.results: list[ItemResult] = list(results)
        items = list(items)
        done = {result.id for result in self.results}
        #: Of the items that are not listed yet.
        self._bodies = {item.id: item.body for item in items if item.id not in done}
        self.open: dict[str, ItemProgress] = {
            item.id: ItemProgress(item) for item in items if item.id not in done
        }
        #: Finished results that are not durable yet, in the order of their positions.
        self.finished: list[ItemResult] = []
        self._in_commit: list[ItemResult] = []
        self.is_lost = False

    @property
    def is_closed(self) -> bool:
        """Return whether this owner has no more work on the job."""
        return self.is_lost or self.head.is_ended or self.head.is_done

    @property
    def backlog_tokens(self) -> int:
        """Return the tokens of all items that no server has finished."""
        return sum(progress.item.tokens for progress in self.open.values())

    @property
    def held_bytes(self) -> int:
        """Return the size of the bodies that are kept in memory."""
        return sum(map(len, self._bodies.values()))

    def body(self, item_id: str) -> bytes | None:
        """Return an item's body; ``None`` if the job has no such item that is not listed."""
        return self._bodies.get(item_id)

    def waiting_items(self, now_ms: float) -> list[ItemProgress]:
        """List the items that may start, in the order of submission."""
        if self.is_closed:
            return []
        return [
            progress
            for progress in self.open.values()
            if not progress.is_running and progress.not_before_ms <= now_ms
        ]

    def next_item(
        self, now_ms: float, without: Collection[StreamOrigin] = ()
    ) -> ItemProgress | None:
        """Return the next item to start: interrupted items first, then by order of submission.

        :param without: origins whose servers have no capacity; their items are left out.
        """
        waiting = [each for each in self.waiting_items(now_ms) if each.origin not in without]
        if not waiting:
            return None
        return next((each for each in waiting if each.last_event_id is not None), waiting[0])

    def end_run(
        self, progress: ItemProgress, end: RunResult, now_ms: float, epoch_ms: float
    ) -> None:
        """Apply the result of a run.

        :param epoch_ms: time by the job's clock.
        """
        progress.is_running = False
        if end is RunResult.COMPLETED:
            self._finish(progress, ItemState.COMPLETED)
            return
        if end is RunResult.IMPOSSIBLE:
            self._finish(progress, ItemState.ERRORED)
            return
        if end is RunResult.PREEMPTED:
            progress.not_before_ms = now_ms
            return
        if end is RunResult.UNCONFIRMED:
            progress.not_before_ms = now_ms + CONFIRM_PAUSE_MS
            return
        if end is RunResult.BLOCKED:
            # It stays open until its probe, the end of its job or its abandonment.
            progress.not_before_ms = now_ms + BLOCKED_PAUSE_MS
            return
        if end is RunResult.FAILED:
            progress.failures_count += 1
            if progress.failures_count >= self.head.attempts_limit:
                self._finish(progress, ItemState.ERRORED)
                return
        progress.consecutive_breaks += 1
        if epoch_ms >= give_up_epoch_ms(self.head):
            self._finish(progress, ItemState.ERRORED)
            return
        pause_ms = min(MAX_RETRY_PAUSE_MS, RETRY_MS * 2.0 ** (progress.consecutive_breaks - 1))
        progress.not_before_ms = now_ms + pause_ms

    def postpone_confirmation(self, progress: ItemProgress, now_ms: float) -> None:
        """Let an item wait for a server that has not stated its end; other items may start."""
        progress.not_before_ms = now_ms + CONFIRM_PAUSE_MS

    def abandon_overdue(self, epoch_ms: float) -> None:
        """Fail the waiting items whose time to be abandoned has come.

        :param epoch_ms: time by the job's clock.
        """
        if epoch_ms < give_up_epoch_ms(self.head):
            return
        for progress in list(self.open.values()):
            if not progress.is_running:
                self._finish(progress, ItemState.ERRORED)

    def next_commit(self) -> list[ItemResult]:
        """Return the results of the next commit; the same ones until its outcome is known.

        A commit with an uncertain outcome is retried unchanged: with other results at the same
        positions, a reader could see two results at one position.
        """
        if self._in_commit:
            return self._in_commit
        chosen = self._in_commit
        size = 0
        for result in self.finished[:COMMIT_ITEMS]:
            size += len(result.text.encode())
            if chosen and size > COMMIT_BYTES:
                break
            chosen.append(result)
        return chosen

    def record_committed(self, results: list[ItemResult], version: int | None) -> None:
        """Record that results are durable.

        :param version: new version of the head's row; ``None`` if the commit did not write it.
        """
        self.results.extend(results)
        for result in results:
            self._bodies.pop(result.id, None)
        del self.finished[: len(results)]
        self._in_commit = []
        if version is not None:
            self.version = version
            self.head = msgspec.structs.replace(self.head, is_done=True)

    def restore(
        self,
        item_id: str,
        last_event_id: int | None,
        text: str,
        failures_count: int,
        origin: StreamOrigin | None,
    ) -> None:
        """Restore the progress that an earlier owner made on an item.

        :param origin: origin of the text; ``None`` if it was saved without one. Then any version
            may have written it, and the item begins anew.
        """
        progress = self.open.get(item_id)
        if progress is None:
            return
        progress.failures_count = failures_count
        if last_event_id is not None and origin is not None:
            progress.texts = [text]
            progress.text_chars = len(text)
            progress.last_event_id = last_event_id
            progress.origin = origin

    def completes_job(self, results: list[ItemResult]) -> bool:
        """Return whether a commit of these results completes the job."""
        return len(self.results) + len(results) >= self.head.items_count

    def _finish(self, progress: ItemProgress, state: ItemState) -> None:
        item_id = progress.item.id
        if self.open.pop(item_id, None) is None:
            return
        text = progress.text if state is ItemState.COMPLETED else ''
        self.finished.append(ItemResult(item_id, state, text))
