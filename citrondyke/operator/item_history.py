"""Attributes the time of a batch item to causes, from the log lines of its job."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from citrondyke.operator.loss_report import LossCause
from citrondyke.operator.stream_ends import is_unconfirmed

if TYPE_CHECKING:
    from citrondyke.operator.log_events import LogEvent

__all__ = ('item_loss_cause',)

#: Cause of the wait between a run that ended in this way and the next one.
WAIT_CAUSES = {
    'gave_way': LossCause.ITEM_PREEMPTED,
    'broken': LossCause.ITEM_FAILED,
    'stopped': LossCause.ITEM_FAILED,
    'failed': LossCause.ITEM_FAILED,
    'unconfirmed': LossCause.ITEM_UNCONFIRMED,
}
#: The line about the end of a run may follow the one about the run within this time.
SAME_RUN_S = 0.1


class _TimeByCause(msgspec.Struct):
    """Seconds spent on each cause."""

    spent_s: dict[LossCause, float]
    is_finished: bool = False
    #: Time at which the result became durable; ``None`` if it did not.
    durable_s: float | None = None


def item_loss_cause(
    item_id: str, accepted: LogEvent, history: list[LogEvent], target_ms: float
) -> LossCause | None:
    """Return the cause that took most of an item's time; ``None`` if it was durable in time.

    :param accepted: log line of the acceptance of its job.
    :param history: log lines of its job, in order of time.
    """
    breakdown = _measure_time(item_id, accepted, history)
    if (
        breakdown.durable_s is not None
        and (breakdown.durable_s - accepted.time_s) * 1e3 <= target_ms
    ):
        return None
    if breakdown.durable_s is None and breakdown.is_finished and target_ms == float('inf'):
        # The line of the commit is missing. Without a target, a finished item is not a loss.
        return None
    return max(breakdown.spent_s, key=lambda cause: breakdown.spent_s[cause])


def _measure_time(item_id: str, accepted: LogEvent, history: list[LogEvent]) -> _TimeByCause:
    breakdown = _TimeByCause({LossCause.ITEM_FOR_CAPACITY: 0.0})
    spent = breakdown.spent_s
    last_s = accepted.time_s
    wait_cause = LossCause.ITEM_FOR_CAPACITY
    finished_s = None
    doubts_s = [
        event.time_s
        for event in history
        if is_unconfirmed(event) and event.get('item_id') == item_id
    ]
    for event in history:
        if event.event == 'job.taken_over' and finished_s is None:
            # The owner counts as lost since the last line about the item.
            _add(spent, LossCause.ITEM_OWNER_LOST, event.time_s - last_s)
            last_s, wait_cause = event.time_s, LossCause.ITEM_FOR_CAPACITY
        elif event.event == 'item.run' and event.get('item_id') == item_id:
            start_s = event.time_s - float(event.get('took_ms') or 0.0) / 1e3
            _add(spent, wait_cause, start_s - last_s)
            _add(spent, LossCause.ITEM_RUNNING, event.time_s - max(last_s, start_s))
            last_s = event.time_s
            run_end = str(event.get('end'))
            wait_cause = WAIT_CAUSES.get(run_end, LossCause.ITEM_FOR_CAPACITY)
            if any(start_s <= at_s <= last_s + SAME_RUN_S for at_s in doubts_s):
                wait_cause = LossCause.ITEM_UNCONFIRMED
            if run_end in ('completed', 'impossible'):
                finished_s = last_s
                breakdown.is_finished = True
        elif _is_commit(event) and finished_s is not None:
            _add(spent, LossCause.ITEM_COMMIT, event.time_s - finished_s)
            breakdown.durable_s = event.time_s
            return breakdown
    if finished_s is None and history:
        _add(spent, wait_cause, history[-1].time_s - last_s)
    return breakdown


def _is_commit(event: LogEvent) -> bool:
    return event.event == 'job.commit' and event.get('verdict') == 'done'


def _add(spent: dict[LossCause, float], cause: LossCause, seconds: float) -> None:
    spent[cause] = spent.get(cause, 0.0) + max(0.0, seconds)
