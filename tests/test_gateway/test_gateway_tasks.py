"""Tasks that fail again and again must be seen without filling the log."""

from __future__ import annotations

from collections.abc import Iterator

import gevent
import logbook
import pytest

from citrondyke.decisions.core.failure_series import LOG_EVERY_MS, QUIET_MS, FailureSeries
from citrondyke.gateway import tasks as tasks_module
from citrondyke.gateway.failure_log import FailureLog
from citrondyke.gateway.tasks import Tasks
from tests.support.gateway import GatewayFleet, wait_until_seen
from tests.support.manual_clock import ManualClock

FAILURES = 20


class FailingTask:
    """Fails a number of times and then runs."""

    def __init__(self) -> None:
        self.starts_count = 0

    def run(self) -> None:
        self.starts_count += 1
        if self.starts_count <= FAILURES:
            raise ZeroDivisionError
        gevent.sleep(30.0)


@pytest.fixture
def lines() -> Iterator[logbook.TestHandler]:
    handler = logbook.TestHandler(level=logbook.INFO)
    with handler.applicationbound():
        yield handler


def test_task_that_fails_again_and_again_is_logged_once_and_counted(
    lines: logbook.TestHandler, monkeypatch: pytest.MonkeyPatch
) -> None:
    # A task that fails at each start would write a stack three times a second for hours, and
    # nothing would tell when it runs again.
    monkeypatch.setattr(tasks_module, 'RESTART_S', 0.001)
    monkeypatch.setattr(tasks_module, 'LONGEST_RESTART_S', 0.002)
    monkeypatch.setattr(tasks_module, 'QUIET_MS', 50.0)
    clock, task = ManualClock(), FailingTask()
    tasks = Tasks(clock)
    tasks.supervise(task.run)
    wait_until_seen(lambda: task.starts_count > FAILURES, 'the task to run')
    clock.ms += QUIET_MS
    wait_until_seen(lambda: len(lines.records) == 2, 'the recovery')
    tasks.end()
    assert [record.message for record in lines.records] == ['task.failed', 'task.recovered']
    assert 'ZeroDivisionError' in str(lines.records[0].exc_info)
    assert lines.records[1].extra['task'] == 'FailingTask.run'
    assert lines.records[1].extra['failures'] == FAILURES
    assert tasks.failures.count == FAILURES


def test_failure_that_lasts_is_logged_again() -> None:
    # Who looks at the log of the last minute must see that the task still fails.
    series = FailureSeries()
    logged = [series.record_failure(now_ms) for now_ms in range(0, 30_001, 300)]
    counts = [each.count for each in logged if each is not None]
    assert len(counts) == 1 + 30_000 // (LOG_EVERY_MS + 200)
    assert counts[-1] > counts[0] == 1


def test_operation_that_fails_now_and_then_logs_no_recovery_in_between(
    lines: logbook.TestHandler,
) -> None:
    clock = ManualClock()
    failures = FailureLog(clock, 'list')
    for number in range(9):
        failures.attempt('apply', lambda number=number: 1 // (number % 2))
        clock.ms += 300.0
    clock.ms += QUIET_MS
    assert failures.attempt('apply', lambda: None)
    assert [record.message for record in lines.records] == ['list.failed', 'list.recovered']
    assert failures.count == 5


def test_metrics_tell_of_tasks_that_fail(fleet: GatewayFleet) -> None:
    instance = fleet.instances[0]
    assert 'citrondyke_task_failures_total 0\n' in instance.metrics.text()
    failing = FailingTask()
    instance._tasks.supervise(failing.run)
    wait_until_seen(lambda: 'task_failures_total 1\n' in instance.metrics.text(), 'the count')


def test_task_that_runs_once_logs_its_exception(lines: logbook.TestHandler) -> None:
    # The stack would go to standard error alone, where no line names the instance or the time.
    tasks = Tasks(ManualClock())
    task = tasks.spawn(FailingTask().run)
    task.join()
    assert task.value is None
    assert [record.message for record in lines.records] == ['task.failed']
    assert tasks.failures.count == 1
