"""Jobs that come while the store takes none."""

from __future__ import annotations

import gevent

from tests.support.gateway import GatewayFleet


def test_job_is_accepted_if_the_store_is_back_while_its_caller_waits(fleet: GatewayFleet) -> None:
    # The store turns everybody away for longer than one try takes. The caller has 5 s, and hears
    # of its job's acceptance instead of being sent to an instance that cannot do more.
    fleet.store.faults.refused_ips = {'*'}
    gevent.spawn_later(2.5, fleet.store.faults.refused_ips.clear)
    assert fleet.submit('job-1').status == 202
    fleet.wait_done('job-1')


def test_stopping_instance_holds_no_caller(fleet: GatewayFleet) -> None:
    # An instance that stops while a caller waits for the store answers before it is killed.
    fleet.store.faults.refused_ips = {'*'}
    stopping = fleet.instances[0].batch.owned
    gevent.spawn_later(0.3, setattr, stopping, 'is_stopping', True)
    reply = fleet.submit('job-1', at=0)
    assert reply.status == 503
    assert float(reply.headers['retry-after']) > 0
