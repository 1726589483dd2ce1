"""Sealing of audit records with concurrent seals and lost replies."""

from __future__ import annotations

from typing import Any

from citrondyke.decisions.audit.record import OutcomeRecord, RecordKind
from citrondyke.decisions.audit.report import build_report, read_records
from citrondyke.driver.virtual.virtual_fleet import VirtualFleet
from citrondyke.driver.virtual.virtual_instance import VirtualInstance
from citrondyke.ids import ClassName, TargetName, TenantId
from citrondyke.standin.faults import FaultMode
from tests.support.virtual import make_fleet

RECORDS = 5
FOREVER_MS = 1e15


def with_records(seed: int) -> tuple[VirtualFleet, VirtualInstance]:
    """Return an instance whose journal holds some records."""
    fleet = make_fleet(seed, instances=1)
    host = next(iter(fleet.instances.values()))
    for number in range(RECORDS):
        host.instance.journal.add(
            OutcomeRecord(
                at_epoch_ms=1.0,
                kind=RecordKind.ONLINE,
                tenant_id=TenantId('coastal'),
                class_name=ClassName('calls'),
                target=TargetName('demo-model'),
                request_id=f'r{number}',
                outcome='ok',
            )
        )
    return fleet, host


def check_sealed_once(fleet: VirtualFleet, host: VirtualInstance) -> None:
    assert len([key for key in fleet.platform.objects if key.startswith('evidence/')]) == 1
    report = fleet.complete(host, build_report(None, 0.0, FOREVER_MS))
    assert report.faults == []
    assert report.classes['calls'].requests_count == RECORDS
    records = fleet.complete(host, read_records(0.0, FOREVER_MS, 1000))
    assert len(records) == RECORDS


def test_two_seals_at_once_store_the_records_once() -> None:
    # A graceful shutdown seals while a periodic seal is being stored. Without a guard both write
    # the same records under the same number, and the second one fails on an empty journal.
    fleet, host = with_records(seed=1)
    results: list[Any] = []
    for _ in range(2):
        host.start(host.instance.journal.seal(), results.append)
    fleet.time.run_until(fleet.time.now_ms() + 5000.0)
    assert True in results
    check_sealed_once(fleet, host)


def test_lost_reply_stores_the_records_once() -> None:
    # The object is stored and the reply is lost. The retry must write the same object again; the
    # same records under another key would be counted twice.
    fleet, host = with_records(seed=2)
    fleet.platform.objects_fault.mode = FaultMode.LOST_REPLY
    fleet.platform.objects_fault.calls_left = 1
    assert not fleet.complete(host, host.instance.journal.seal())
    assert fleet.complete(host, host.instance.journal.seal())
    check_sealed_once(fleet, host)
