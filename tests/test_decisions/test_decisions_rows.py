"""Rows written by another version of the software, and unreadable rows."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from citrondyke.decisions.at_most_once.intent_row import IntentRow
from citrondyke.decisions.jobs.job_file_reader import JobFileReader
from citrondyke.decisions.jobs.job_request import JobRequest
from citrondyke.decisions.jobs.rows import (
    JobRow,
    OpenRow,
    TodoRow,
    input_object_key,
    open_row_key,
)
from citrondyke.decisions.membership.session_row import SessionRow, SessionState
from citrondyke.ids import ClassName, JobId, RowKey, TargetName, TenantId, WriteId
from citrondyke.storage.table_service import Transaction, Write
from tests.support.virtual import LIMITS, job_outcomes, make_fleet, model_lines, wait_for_job

ROWS: list[tuple[type, dict[str, Any]]] = [
    (SessionRow, {'epoch': 1, 'counter': 2, 'state': 'held'}),
    (TodoRow, {'items_count': 3, 'remaining': '7'}),
    (
        OpenRow,
        {
            'tenant_id': 't',
            'segments_count': 1,
            'materialized_count': 1,
            'expires_epoch_ms': 1.0,
        },
    ),
    (
        IntentRow,
        {
            'digest': 'd',
            'state': 'intent',
            'owner': 'a#1',
            'claim_id': 'c',
            'changed_at_epoch_ms': 1.0,
        },
    ),
]


@pytest.mark.parametrize(('kind', 'fields'), ROWS, ids=lambda value: getattr(value, '__name__', ''))
def test_older_and_newer_rows_are_read(kind: type, fields: dict[str, Any]) -> None:
    older: object = msgspec.json.decode(msgspec.json.encode(fields), type=kind)
    newer: object = msgspec.json.decode(
        msgspec.json.encode({**fields, 'added_later': [1]}), type=kind
    )
    assert newer == older


def test_older_lease_rows_have_sealed_nothing() -> None:
    row = msgspec.json.decode(b'{"epoch": 3, "counter": 9, "state": "released"}', type=SessionRow)
    assert row == SessionRow(3, 9, SessionState.RELEASED, 0, '')


@pytest.mark.parametrize('value', [b'{"tenant_id": 7}', b'[]', b'"x"', b'{"segments_count": {}}'])
def test_unreadable_row_does_not_stop_the_jobs_behind_it(value: bytes) -> None:
    # An unreadable row comes first in deadline order. It is skipped, and the job after it is
    # completed.
    fleet = make_fleet(seed=2)
    key = open_row_key(TargetName('demo-model'), 1.0, JobId('nonsense'))
    write = Write(RowKey(key), msgspec.Raw(value))
    fleet.platform.table.transact(Transaction(WriteId('foreign'), (), (write,)))
    host = next(iter(fleet.instances.values()))
    job = fleet.accept_job(host, 'coastal', 'nightly', model_lines(12))
    wait_for_job(fleet, job)
    assert len(job_outcomes(fleet, job)) == 12
    assert isinstance(job.row, JobRow)


def test_change_of_a_newer_version_stops_no_instance() -> None:
    # A newer instance accepts a change with an entry type that this version does not know. Running
    # instances stay at the previous configuration and continue to serve; a starting one is not
    # ready, as it cannot apply all accepted changes.
    fleet = make_fleet(seed=6)
    value = b'{"version":2,"edits":[{"name":"x/y","before":null,"after":{"entry":"x"}}],"who":"o"}'
    write = Write(RowKey('config/log/000000000002'), msgspec.Raw(value))
    fleet.platform.table.transact(Transaction(WriteId('newer'), (), (write,)))
    fleet.time.run_until(fleet.time.now_ms() + 2000.0)
    for host in fleet.live_instances():
        assert host.instance.is_ready
        assert host.instance.config_replica.current.version == 1
    started = fleet.add_instance('i9', 'z', LIMITS)
    fleet.time.run_until(fleet.time.now_ms() + 2000.0)
    assert not started.instance.is_ready


def test_job_keeps_its_segmentation_after_a_settings_change() -> None:
    # An instance split a file into segments of 8 items; the job is accepted and run by an instance
    # with another segment size. Each item must still be processed exactly once.
    fleet = make_fleet(seed=9, instances=1)
    old = next(iter(fleet.instances.values()))
    lines = model_lines(30)
    reader = JobFileReader(LIMITS.segment_items, 1_000_000, 1000)
    first, last = reader.feed(lines), reader.finish()
    assert isinstance(first, list)
    assert isinstance(last, tuple)
    for number, segment in enumerate([*first, *last[0]]):
        fleet.platform.objects[input_object_key('u', number)] = segment
    tenant = TenantId('coastal')
    recorded = fleet.complete(old, old.instance.acceptance.record_file(tenant, 'u', 'f', last[1]))
    old.kill()
    changed = msgspec.structs.replace(LIMITS, segment_items=13)
    new = fleet.add_instance('i7', 'z', changed)
    fleet.time.run_until(fleet.time.now_ms() + 500.0)
    request = JobRequest(
        tenant_id=tenant,
        file_id=recorded[0],
        endpoint='/v1/completions',
        class_name=ClassName('nightly'),
    )
    job = fleet.complete(new, new.instance.acceptance.accept(request))
    wait_for_job(fleet, job)
    assert job_outcomes(fleet, job) == {f'item-{n}': 'ok' for n in range(30)}
