"""Replay of traces reproduces their expected outcomes exactly."""

from __future__ import annotations

from pathlib import Path

import msgspec
import pytest

from citrondyke.decisions.audit.record import OutcomeRecord, RecordKind
from citrondyke.driver.virtual.replay import replay
from citrondyke.driver.virtual.trace import TraceEventKind, events_from_records, read_trace
from citrondyke.driver.virtual.trace_outcome import TraceOutcome
from citrondyke.ids import ClassName, TargetName, TenantId

TRACES = Path(__file__).parents[2] / 'traces'
NAMES = ('march_morning', 'clerks_counter', 'outage_in_a_burst', 'rolling_replacement')


@pytest.mark.parametrize('name', NAMES)
def test_replay_reproduces_the_expected_outcome(name: str) -> None:
    expected = msgspec.json.decode(
        (TRACES / f'{name}.outcome.json').read_bytes(), type=TraceOutcome
    )
    assert replay(read_trace(TRACES / f'{name}.jsonl')) == expected


def test_events_from_records_are_timed_from_the_first_arrival() -> None:
    def record(kind: RecordKind, at_ms: float, total_ms: float) -> OutcomeRecord:
        return OutcomeRecord(
            at_epoch_ms=at_ms,
            kind=kind,
            tenant_id=TenantId('coastal'),
            class_name=ClassName('calls'),
            target=TargetName('m'),
            request_id='r',
            outcome='ok',
            total_ms=total_ms,
            items_count=5,
        )

    events = events_from_records(
        [
            record(RecordKind.JOB_ENDED, 9000.0, 8000.0),
            record(RecordKind.ONLINE, 5000.0, 2000.0),
            record(RecordKind.JOB_ACCEPTED, 3500.0, 0.0),
        ]
    )
    assert [(event.at_ms, event.do) for event in events] == [
        (0.0, TraceEventKind.CHAT),
        (500.0, TraceEventKind.JOB),
    ]
