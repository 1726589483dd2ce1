"""Each lost or late request and item is reported with one cause."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import msgspec
import pytest

from citrondyke.cmd.citrondykectl import app
from citrondyke.cmd.ctl.exit_code import ExitCode
from citrondyke.cmd.ctl.failure import CtlError
from citrondyke.operator.log_events import LogEvent, LogEvents
from citrondyke.operator.loss_causes import find_losses
from citrondyke.operator.loss_report import LossCause, LossReport

TARGETS = {'calls': 300.0, 'letters': 10_000.0}


def line(time_s: float, event: str, **fields: Any) -> LogEvent:
    return LogEvent(time_s, 'instance-1', event, {'event': event, **fields})


def causes(*events: LogEvent) -> dict[LossCause, int]:
    report = find_losses(LogEvents(list(events)), TARGETS, 2.0)
    return {loss.cause: loss.count for loss in report.losses}


def ended(end: str, sends: int = 1, first_ms: float = 20.0) -> LogEvent:
    fields = {'route': 'calls', 'end': end, 'sends': sends, 'first_ms': first_ms}
    return line(1.0, 'request.end', request_id='a', **fields)


def sent(expected_wait_ms: float = 0.0) -> LogEvent:
    fields = {'route': 'calls', 'expected_wait_ms': expected_wait_ms}
    return line(0.5, 'request.sent', request_id='a', **fields)


def run_ended(verdict: str) -> LogEvent:
    return line(0.9, 'stream.ended', request_id='a', verdict=verdict)


@pytest.mark.parametrize(
    ('events', 'cause'),
    [
        ([run_ended('unconfirmed'), ended('cut_midway')], LossCause.END_UNCONFIRMED),
        ([run_ended('unconfirmed'), ended('caller_gone')], LossCause.CALLER_DISCONNECTED),
        ([run_ended('unconfirmed')], LossCause.INSTANCE_LOST),
        ([ended('turned_away')], LossCause.REJECTED),
        ([sent(), ended('broken')], LossCause.ABORTED),
        ([ended('stopped')], LossCause.STOPPED),
        ([ended('origin_unknown')], LossCause.ORIGIN_LOST),
        ([ended('origin_gone')], LossCause.ORIGIN_LOST),
        ([sent()], LossCause.INSTANCE_LOST),
        ([sent(200.0), ended('done', first_ms=400.0)], LossCause.LATE_FOR_CAPACITY),
        ([sent(), ended('done', first_ms=400.0)], LossCause.LATE_AT_SERVER),
        ([sent(), ended('done', sends=2, first_ms=400.0)], LossCause.LATE_RESENT),
        ([line(1.0, 'request.no_route', request_id='a')], LossCause.NOT_ACCEPTED),
        ([line(1.0, 'job.refused', job_id='j')], LossCause.JOB_REJECTED),
    ],
)
def test_lost_request_has_one_cause(events: list[LogEvent], cause: LossCause) -> None:
    assert causes(*events) == {cause: 1}


def test_request_within_its_target_is_not_a_loss() -> None:
    assert causes(sent(), ended('done', first_ms=299.0)) == {}


def accepted(items: int = 1) -> LogEvent:
    return line(0.0, 'job.accepted', job_id='j', route='letters', items=items)


def run(time_s: float, end: str, took_ms: float) -> LogEvent:
    return line(time_s, 'item.run', job_id='j', item_id='i', end=end, took_ms=took_ms)


def item_ended(time_s: float) -> LogEvent:
    return line(time_s, 'item.ended', job_id='j', item_id='i', verdict='unconfirmed')


def commit(time_s: float) -> LogEvent:
    return line(time_s, 'job.commit', job_id='j', verdict='done')


@pytest.mark.parametrize(
    ('events', 'cause'),
    [
        ([run(9.0, 'completed', 1_000.0), commit(10.5)], LossCause.ITEM_FOR_CAPACITY),
        ([run(8.0, 'completed', 7_900.0), commit(10.5)], LossCause.ITEM_RUNNING),
        ([run(1.0, 'completed', 900.0), commit(10.5)], LossCause.ITEM_COMMIT),
        (
            [run(1.0, 'gave_way', 900.0), run(10.0, 'completed', 500.0), commit(10.5)],
            LossCause.ITEM_PREEMPTED,
        ),
        (
            [run(1.0, 'unconfirmed', 900.0), run(10.0, 'completed', 50.0), commit(10.5)],
            LossCause.ITEM_UNCONFIRMED,
        ),
        (
            [
                run(1.0, 'gave_way', 900.0),
                line(9.0, 'job.taken_over', job_id='j'),
                run(10.2, 'completed', 500.0),
                commit(10.5),
            ],
            LossCause.ITEM_OWNER_LOST,
        ),
        (
            [item_ended(1.0), run(1.0, 'broken', 900.0), run(10.2, 'completed', 500.0)],
            LossCause.ITEM_UNCONFIRMED,
        ),
        (
            [run(1.0, 'broken', 900.0), item_ended(9.9), run(10.2, 'completed', 500.0)],
            LossCause.ITEM_FAILED,
        ),
        ([], LossCause.ITEM_NEVER_RAN),
    ],
)
def test_cause_of_a_late_item_is_what_took_most_of_its_time(
    events: list[LogEvent], cause: LossCause
) -> None:
    assert causes(accepted(), *events) == {cause: 1}


def test_stream_that_was_answered_is_not_lost_for_a_doubt() -> None:
    assert causes(run_ended('unconfirmed'), run_ended('agreement'), ended('done')) == {}


def test_items_in_time_or_of_an_ended_job_are_not_losses() -> None:
    assert causes(accepted(), run(9.0, 'completed', 8_000.0), commit(9.9)) == {}
    assert causes(accepted(3), line(2.0, 'job.ended', job_id='j')) == {}


def test_two_runs_are_compared(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    # An operator stores the record of one version and compares it with that of the next.
    log = tmp_path / 'i.log'
    fields = {'request_id': 'a', 'route': 'calls', 'end': 'turned_away'}
    log.write_bytes(msgspec.json.encode({'time': '1.0', 'event': 'request.end', **fields}))
    app(['losses', str(log), '--json'], result_action='return_value')
    record = capsys.readouterr().out
    assert msgspec.json.decode(record, type=LossReport).requests_count == 1
    before = tmp_path / 'before.json'
    before.write_text(record)
    app(['losses', str(log), '--before', str(before)], result_action='return_value')
    assert 'turned away' in capsys.readouterr().out


@pytest.mark.parametrize(
    'arguments', [[], ['no.log'], ['a.log', '--target', 'x'], ['a.log', '--before', 'a.log']]
)
def test_invalid_arguments_are_reported(tmp_path: Path, arguments: list[str]) -> None:
    (tmp_path / 'a.log').write_text('{"time": "1", "event": "x"}\n')
    paths = [
        str(tmp_path / argument) if argument.endswith('.log') else argument
        for argument in arguments
    ]
    with pytest.raises(CtlError) as failure:
        app(['losses', *paths], result_action='return_value')
    assert failure.value.exit_code is ExitCode.WRONG_CALL
