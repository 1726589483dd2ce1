"""Where the time of one item of a batch job went."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from citrondyke.operator.loss_report import LossCause

if TYPE_CHECKING:
    from citrondyke.operator.log_events import LogEvent

__all__ = ('item_loss_cause',)

#: What follows a run that ended so, until the next one begins.
WAIT_CAUSES = {
    'gave_way': LossCause.ITEM_PREEMPTED,
    'broken': LossCause.ITEM_FAILED,
    'stopped': LossCause.ITEM_FAILED,
    'failed': LossCause.ITEM_FAILED,
}


class _TimeByCause(msgspec.Struct):
    """Seconds by what they went to."""

    spent_s: dict[LossCause, float]
    is_finished: bool = False
    #: When the result was durable, if it was.
    durable_s: float | None = None


def item_loss_cause(
    item_id: str, accepted: LogEvent, course: list[LogEvent], target_ms: float
) -> LossCause | None:
    """Name what took most of an item's time; ``None`` where it was durable in time.

    :param accepted: the line of its job's acceptance.
    :param course: the lines of its job, in order.
    """
    where = _measure_time(item_id, accepted, course)
    if where.durable_s is not None and (where.durable_s - accepted.time_s) * 1e3 <= target_ms:
        return None
    if where.durable_s is None and where.is_finished and target_ms == float('inf'):
        # Made durable in a commit whose line is not there; without a target it is no loss.
        return None
    return max(where.spent_s, key=lambda cause: where.spent_s[cause])


def _measure_time(item_id: str, accepted: LogEvent, course: list[LogEvent]) -> _TimeByCause:
    where = _TimeByCause({LossCause.ITEM_FOR_CAPACITY: 0.0})
    spent = where.spent_s
    at_s = accepted.time_s
    waiting = LossCause.ITEM_FOR_CAPACITY
    finished_s = None
    for event in course:
        if event.event == 'job.taken_over' and finished_s is None:
            # From the last that is known of the owner before on.
            _add(spent, LossCause.ITEM_OWNER_LOST, event.time_s - at_s)
            at_s, waiting = event.time_s, LossCause.ITEM_FOR_CAPACITY
        elif event.event == 'item.run' and event.get('item_id') == item_id:
            began_s = event.time_s - float(event.get('took_ms') or 0.0) / 1e3
            _add(spent, waiting, began_s - at_s)
            _add(spent, LossCause.ITEM_RUNNING, event.time_s - max(at_s, began_s))
            at_s = event.time_s
            end = str(event.get('end'))
            waiting = WAIT_CAUSES.get(end, LossCause.ITEM_FOR_CAPACITY)
            if end in ('completed', 'impossible'):
                finished_s = at_s
                where.is_finished = True
        elif _is_commit(event) and finished_s is not None:
            _add(spent, LossCause.ITEM_COMMIT, event.time_s - finished_s)
            where.durable_s = event.time_s
            return where
    if finished_s is None and course:
        _add(spent, waiting, course[-1].time_s - at_s)
    return where


def _is_commit(event: LogEvent) -> bool:
    return event.event == 'job.commit' and event.get('verdict') == 'done'


def _add(spent: dict[LossCause, float], cause: LossCause, seconds: float) -> None:
    spent[cause] = spent.get(cause, 0.0) + max(0.0, seconds)
