"""A segment while an instance holds it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec

from citrondyke.decisions.core.signal import Signal
from citrondyke.decisions.jobs.batch_item import BatchItem
from citrondyke.decisions.jobs.item_set import ItemSet
from citrondyke.decisions.jobs.job_line import SERVICE_URL_PREFIX
from citrondyke.decisions.jobs.outcome import FailureCode, ItemOutcome, failed_outcome
from citrondyke.decisions.jobs.rows import JobRow, TodoRow, todo_row_key
from citrondyke.ids import JobId, RequestId

if TYPE_CHECKING:
    from collections.abc import Iterable

    from citrondyke.ids import RowKey

__all__ = ('HeldSegment',)

#: Items at work at once in a segment whose holder died, or that may not be repeated.
CAUTIOUS_WINDOW = 16
#: Items at work at once of those that ran when a second holder died.
SUSPECT_WINDOW = 1
#: Deaths after which an item that was alone at work is held to be the cause.
DEATHS_BEFORE_FAILURE = 3


class _Line(msgspec.Struct, frozen=True):
    custom_id: str
    url: str
    method: str = 'POST'
    body: msgspec.Raw = msgspec.Raw(b'{}')


class HeldSegment:
    """The items of a segment, what was learned of them, and what is not committed yet."""

    def __init__(
        self,
        job_id: JobId,
        job: JobRow,
        job_version: int,
        segment: int,
        row: TodoRow,
        row_version: int,
        *,
        is_repeatable: bool,
    ) -> None:
        """Hold a segment as its row says."""
        self.job_id = job_id
        self.job = job
        self.job_version = job_version
        self.segment = segment
        self.row = row
        self.row_version = row_version
        self.is_repeatable = is_repeatable
        self.items: dict[int, BatchItem] = {}
        #: Outcomes that are not visible yet.
        self.outcomes: dict[int, ItemOutcome] = {}
        #: Items whose attempts changed since the last commit.
        self.attempts: dict[int, int] = dict(row.attempts)
        #: Set when the segment is not this instance's any more; nothing of it counts then.
        self.is_lost = False
        #: Set when it is to be handed back.
        self.is_releasing = False
        #: Fires when there is something for its tender to do.
        self.wake: Signal[None] = Signal()
        self._queued = ItemSet()

    @property
    def key(self) -> RowKey:
        """Give the key of its row."""
        return todo_row_key(self.job_id, self.segment)

    @property
    def remaining(self) -> ItemSet:
        """Give the items without a visible outcome."""
        return ItemSet.parse(self.row.remaining)

    @property
    def unfinished(self) -> ItemSet:
        """Give the items without any outcome."""
        return self.remaining - ItemSet.of(self.outcomes)

    @property
    def is_queued(self) -> bool:
        """Tell whether its first items were handed out."""
        return bool(self._queued) or not self.unfinished

    @property
    def running_count(self) -> int:
        """Count the items that are at a backend server."""
        return sum(1 for item in self.items.values() if item.is_running)

    @property
    def records_starts(self) -> bool:
        """Tell whether items are marked as started before they are dispatched."""
        return not self.is_repeatable or self.row.deaths > 0

    def load(self, body: bytes, *, is_after_death: bool) -> None:
        """Read the items out of the segment's input.

        :param is_after_death: whether the holder before this one died with it.
        """
        lines = body.split(b'\n')
        for position in self.remaining:
            line = msgspec.json.decode(lines[position], type=_Line)
            self.items[position] = BatchItem(
                position=position,
                request_id=self.request_id(position),
                custom_id=line.custom_id,
                method=line.method,
                url=line.url,
                body=bytes(line.body),
                is_model=not line.url.startswith(SERVICE_URL_PREFIX),
                attempts=self.attempts.get(position, 0),
            )
        self._close_lost_items(is_after_death=is_after_death)

    def request_id(self, position: int) -> RequestId:
        """Name an item; the same for every attempt by any holder."""
        return RequestId(f'{self.job_id}-{self.segment}-{position}')

    def next_window(self) -> list[BatchItem]:
        """Give the items that may be dispatched now and were not before.

        In a careful segment they must be marked as started first.
        """
        waiting = self.unfinished - self._queued
        if not self.records_starts:
            self._queued = self._queued | waiting
            return [self.items[position] for position in waiting]
        in_flight = self._queued & self.unfinished
        suspects = ItemSet.parse(self.row.suspects)
        unsuspected = waiting - suspects
        if unsuspected:
            room = CAUTIOUS_WINDOW - len(in_flight)
            if room < CAUTIOUS_WINDOW // 2:
                return []
            chosen = list(unsuspected)[:room]
        else:
            chosen = [] if in_flight else list(waiting)[:SUSPECT_WINDOW]
        self._queued = self._queued | ItemSet.of(chosen)
        return [self.items[position] for position in chosen]

    def started_after_commit(self, positions: ItemSet) -> ItemSet:
        """Give the items that a commit of some outcomes must leave marked as started.

        What may not be repeated stays marked until its outcome is durable: one that ends while
        the commit is under way is not part of it, and the next holder would send it again. What
        may be repeated is marked only while it is at a server, since what ended did not kill its
        holder.

        :param positions: whose outcomes the commit makes durable.
        """
        if self.is_repeatable:
            return self._queued & self.unfinished
        return self._queued & (self.remaining - positions)

    @property
    def is_unowned(self) -> bool:
        """Tell whether its row names no holder any more."""
        return not self.row.owner

    def record_outcome(self, position: int, outcome: ItemOutcome) -> None:
        """Take in an item's outcome; the first one stands."""
        if position not in self.remaining or position in self.outcomes:
            return
        self.outcomes[position] = outcome
        if not self.unfinished or self.records_starts:
            self.wake_up()

    def record_attempt(self, item: BatchItem) -> None:
        """Take in that an attempt failed."""
        item.attempts += 1
        self.attempts[item.position] = item.attempts

    def record_committed(self, row: TodoRow, row_version: int, positions: Iterable[int]) -> None:
        """Take in that outcomes became visible."""
        self.row = row
        self.row_version = row_version
        for position in positions:
            self.outcomes.pop(position, None)
            self.items.pop(position, None)

    def mark_lost(self) -> None:
        """Stop everything: the segment belongs to another instance, or its job is over."""
        self.is_lost = True
        self.cancel_all()
        self.wake_up()

    def cancel_all(self) -> None:
        """Cut every attempt that is running."""
        for item in self.items.values():
            item.cancel.fire(None)

    def wake_up(self) -> None:
        """Let the tender look again."""
        self.wake.fire(None)

    def next_wake(self) -> Signal[Any]:
        """Give the signal to wait for."""
        if self.wake.is_fired:
            self.wake = Signal()
        return self.wake

    def _close_lost_items(self, *, is_after_death: bool) -> None:
        """Decide the items that were started by a holder that died.

        What may not be repeated may have run: its outcome is unknown, for good. An item that
        was alone at work when yet another holder died is what kills them, and is set aside so
        that the rest of the job goes on.
        """
        lost = ItemSet.parse(self.row.started) & self.remaining
        if not lost:
            return
        if not self.is_repeatable:
            self._close(lost, FailureCode.OUTCOME_UNKNOWN)
        elif is_after_death and self.row.deaths >= DEATHS_BEFORE_FAILURE and len(lost) == 1:
            self._close(lost, FailureCode.KILLED_HOLDER)

    def _close(self, positions: ItemSet, code: FailureCode) -> None:
        for position in positions:
            item = self.items[position]
            outcome = failed_outcome(item.request_id, item.custom_id, code, 'unknown')
            self.outcomes[position] = outcome
