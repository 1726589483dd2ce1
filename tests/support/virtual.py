"""Small fleets in virtual time."""

from __future__ import annotations

from typing import Any

import msgspec

from citrondyke.decisions.core.signal import Signal
from citrondyke.decisions.instance_limits import InstanceLimits
from citrondyke.decisions.jobs.item_set import ItemSet
from citrondyke.decisions.jobs.job_request import AcceptedJob
from citrondyke.decisions.jobs.rows import (
    JobRow,
    JobState,
    PartKind,
    PartRow,
    job_row_key,
    part_prefix,
    segment_of_part,
)
from citrondyke.decisions.online.request import OnlineRequest
from citrondyke.driver.virtual.virtual_fleet import VirtualFleet
from citrondyke.driver.virtual.virtual_instance import VirtualInstance
from citrondyke.driver.virtual.virtual_server import VirtualEngine, VirtualService
from citrondyke.ids import AvailabilityZone, ClassName, RequestId, ServerId, TargetName, TenantId
from citrondyke.standin.engine_curve import EngineCurve
from citrondyke.storage.fleet_lists import ListedServer
from tests.support.fleet import entries

__all__ = (
    'LIMITS',
    'job_outcomes',
    'make_fleet',
    'model_lines',
    'order',
    'order_lines',
    'wait_for_job',
)

LIMITS = InstanceLimits(
    lease_ms=600.0,
    lease_renew_every_ms=150.0,
    config_poll_every_ms=200.0,
    lists_poll_every_ms=200.0,
    gossip_every_ms=100.0,
    load_poll_every_ms=100.0,
    load_poll_timeout_ms=50.0,
    segment_items=8,
    part_every_ms=40.0,
    shortest_look_ms=20.0,
)
LONGEST_MS = 120_000.0


def make_fleet(
    seed: int, instances: int = 2, engines: int = 1, run_ms: float = 10.0
) -> VirtualFleet:
    """Build a fleet with the configuration that all test fleets have, and let it get ready."""
    fleet = VirtualFleet(seed)
    fleet.configure(entries())
    for number in range(engines):
        listed = ListedServer(
            ServerId(f'e{number}'), 'x', 1, AvailabilityZone('z'), TargetName('demo-model')
        )
        fleet.add_server(VirtualEngine(listed, fleet.time, EngineCurve(), 20.0))
    orders = ListedServer(
        ServerId('orders'), 'x', 1, AvailabilityZone('z'), TargetName('service:orders')
    )
    fleet.add_server(VirtualService(orders, fleet.time, run_ms))
    for number in range(instances):
        fleet.add_instance(f'i{number}', 'z', LIMITS)
    fleet.time.run_until(400.0)
    return fleet


def model_lines(count: int, tokens: int = 4, **special: dict[str, Any]) -> bytes:
    """Write the lines of a job; ``special`` adds fields to the bodies of some items."""
    lines = []
    for n in range(count):
        body = {'model': 'demo-model', 'max_tokens': tokens, **special.get(f'item_{n}', {})}
        line = {'custom_id': f'item-{n}', 'url': '/v1/completions', 'body': body}
        lines.append(msgspec.json.encode(line))
    return b'\n'.join(lines)


def order_lines(count: int) -> bytes:
    """Write the lines of a job of orders."""
    lines = [
        {'custom_id': f'item-{n}', 'url': '/services/orders/place', 'body': {'n': n}}
        for n in range(count)
    ]
    return b'\n'.join(msgspec.json.encode(line) for line in lines)


def wait_for_job(fleet: VirtualFleet, job: AcceptedJob) -> JobState:
    """Let time pass until a job is over."""

    def state() -> JobState:
        row = fleet.platform.table.read([job_row_key(job.job_id)])[0]
        return msgspec.json.decode(row.value, type=JobRow).state

    until_ms = fleet.time.now_ms() + LONGEST_MS
    ended = fleet.time.run_while(lambda: not state().is_final, until_ms)
    assert ended, f'job is {state()}'
    return state()


def job_outcomes(fleet: VirtualFleet, job: AcceptedJob) -> dict[str, str]:
    """Read each item's outcome as whoever asks would see it; fail where one has two."""
    found: dict[str, str] = {}
    for row in fleet.platform.table.scan(part_prefix(job.job_id), '', 10_000):
        part = msgspec.json.decode(row.value, type=PartRow)
        if part.kind is not PartKind.RESULTS:
            for position in ItemSet.parse(part.items):
                number = segment_of_part(row.key) * LIMITS.segment_items + position
                _put(found, f'item-{number}', part.kind.value)
            continue
        for key in (part.output_key, part.error_key):
            if not key:
                continue
            for line in fleet.platform.objects[key].splitlines():
                decoded = msgspec.json.decode(line)
                error = decoded['error']
                _put(found, decoded['custom_id'], error['code'] if error else 'ok')
    return found


def order(host: VirtualInstance, fleet: VirtualFleet, key: str, ends: list[Any]) -> None:
    """Send an order with a key; its end is added to ``ends``."""
    request = OnlineRequest(
        request_id=RequestId(f'r{fleet.random.getrandbits(40)}'),
        tenant_id=TenantId('coastal'),
        class_name=ClassName('calls'),
        target=TargetName('service:orders'),
        method='POST',
        path='/place',
        headers=(('Idempotency-Key', key),),
        body=b'{}',
        is_streamed=False,
        is_model=False,
        is_repeatable=False,
        first_token_target_ms=5000.0,
        deadline_ms=fleet.time.now_ms() + 20_000.0,
        cancel=Signal(),
    )
    host.start(host.instance.once.serve(request, key), ends.append)


def _put(found: dict[str, str], name: str, outcome: str) -> None:
    assert name not in found, f'{name} has two outcomes'
    found[name] = outcome
