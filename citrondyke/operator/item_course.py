"""Where the time of one item of a batch job went."""

from __future__ import annotations

from typing import TYPE_CHECKING

from citrondyke.operator.loss_report import LossCause

if TYPE_CHECKING:
    from citrondyke.operator.log_events import LogEvent

__all__ = ('item_cause',)

#: What follows a run that ended so, until the next one begins.
AFTER = {
    'gave_way': LossCause.ITEM_CUT,
    'broken': LossCause.ITEM_FAILED,
    'failed': LossCause.ITEM_FAILED,
}


def item_cause(
    item_id: str, accepted: LogEvent, course: list[LogEvent], target_ms: float
) -> LossCause | None:
    """Name what took most of an item's time; ``None`` where it was durable in time.

    :param accepted: the line of its job's acceptance.
    :param course: the lines of its job, in order.
    """
    spent_s, durable_s = _spent(item_id, accepted, course)
    if durable_s is not None and (durable_s - accepted.time_s) * 1e3 <= target_ms:
        return None
    if durable_s is None and target_ms == float('inf') and _is_finished(item_id, course):
        # Made durable in a commit whose line is not there; without a target it is no loss.
        return None
    return max(spent_s, key=lambda cause: spent_s[cause])


def _spent(
    item_id: str, accepted: LogEvent, course: list[LogEvent]
) -> tuple[dict[LossCause, float], float | None]:
    """Give the seconds by what they went to, and when the result was durable, if it was."""
    spent: dict[LossCause, float] = {LossCause.ITEM_FOR_PLACE: 0.0}
    at_s = accepted.time_s
    waiting = LossCause.ITEM_FOR_PLACE
    finished_s = None
    for event in course:
        if event.event == 'job.taken_over' and finished_s is None:
            # From the last that is known of the owner before on.
            _add(spent, LossCause.ITEM_OWNER_LOST, event.time_s - at_s)
            at_s, waiting = event.time_s, LossCause.ITEM_FOR_PLACE
        elif event.event == 'item.run' and event.get('item_id') == item_id:
            began_s = event.time_s - float(event.get('took_ms') or 0.0) / 1e3
            _add(spent, waiting, began_s - at_s)
            _add(spent, LossCause.ITEM_RUNNING, event.time_s - max(at_s, began_s))
            at_s = event.time_s
            end = str(event.get('end'))
            waiting = AFTER.get(end, LossCause.ITEM_FOR_PLACE)
            if end in ('completed', 'impossible'):
                finished_s = at_s
        elif _is_commit(event) and finished_s is not None:
            _add(spent, LossCause.ITEM_COMMIT, event.time_s - finished_s)
            return spent, event.time_s
    if finished_s is None and course:
        _add(spent, waiting, course[-1].time_s - at_s)
    return spent, None


def _is_finished(item_id: str, course: list[LogEvent]) -> bool:
    return any(
        event.get('item_id') == item_id and event.get('end') in ('completed', 'impossible')
        for event in course
        if event.event == 'item.run'
    )


def _is_commit(event: LogEvent) -> bool:
    return event.event == 'job.commit' and event.get('verdict') == 'done'


def _add(spent: dict[LossCause, float], cause: LossCause, seconds: float) -> None:
    spent[cause] = spent.get(cause, 0.0) + max(0.0, seconds)
