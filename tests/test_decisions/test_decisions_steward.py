"""Stewards' counts of other instances' requests."""

from __future__ import annotations

from typing import Any

import msgspec

from citrondyke.decisions.core.signal import Signal
from citrondyke.decisions.online.request import OnlineRequest
from citrondyke.driver.virtual.virtual_instance import VirtualInstance
from citrondyke.ids import ClassName, RequestId, ServerId, TargetName, TenantId
from tests.support.virtual import make_fleet

ENGINE = ServerId('e0')


def ask(host: VirtualInstance, number: int, ends: list[Any]) -> None:
    """Start an online request of many tokens."""
    request = OnlineRequest(
        request_id=RequestId(f'r{number}'),
        tenant_id=TenantId('coastal'),
        class_name=ClassName('calls'),
        target=TargetName('demo-model'),
        method='POST',
        path='/v1/completions',
        body=msgspec.json.encode({'max_tokens': 100_000}),
        is_streamed=True,
        is_model=True,
        is_repeatable=True,
        first_token_target_ms=5000.0,
        deadline_ms=1e9,
        cancel=Signal(),
    )
    host.start(host.instance.online.serve(request), ends.append)


def test_requests_of_a_dead_instance_do_not_block_batch_work() -> None:
    # An entry instance dies with requests on an engine, so it never reports that they ended. The
    # engine's steward stops counting them once the instance does not reply to pings.
    fleet = make_fleet(seed=3, instances=3)
    hosts = list(fleet.instances.values())
    steward = next(host for host in hosts if host.instance.steward.is_steward_for(ENGINE))
    entry = next(host for host in hosts if host is not steward)
    share = steward.instance.steward.share(ENGINE)
    assert share is not None
    for number in range(5):
        ask(entry, number, [])
    fleet.time.run_until(fleet.time.now_ms() + 50.0)
    assert share.online_count == 5
    entry.kill()
    is_cleared = fleet.time.run_while(
        lambda: share.online_count > 0, fleet.time.now_ms() + 60_000.0
    )
    assert is_cleared
