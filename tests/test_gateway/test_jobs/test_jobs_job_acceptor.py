"""Jobs that come while the store takes none."""

from __future__ import annotations

import gevent

from citrondyke.gateway.callers.caller_request import CallerRequest
from citrondyke.gateway.dialect import RequestMetadata
from citrondyke.ids import RequestId
from tests.support.gateway import GatewayFleet


def test_job_is_accepted_if_the_store_is_back_while_its_caller_waits(fleet: GatewayFleet) -> None:
    # The store turns everybody away for longer than one try takes. The caller has 5 s, and hears
    # of its job's acceptance instead of being sent to an instance that cannot do more.
    fleet.store.faults.refused_ips = {'*'}
    gevent.spawn_later(2.5, fleet.store.faults.refused_ips.clear)
    assert fleet.submit('job-1', Deadline_Ms='5000').status == 202
    fleet.wait_done('job-1')


def test_stopping_instance_holds_no_caller(fleet: GatewayFleet) -> None:
    # An instance that stops while a caller waits for the store answers before it is killed.
    fleet.store.faults.refused_ips = {'*'}
    stopping = fleet.instances[0].batch.owned
    gevent.spawn_later(0.3, setattr, stopping, 'is_stopping', True)
    reply = fleet.submit('job-1', at=0, Deadline_Ms='5000')
    assert reply.status == 503
    assert float(reply.headers['retry-after']) > 0


def test_caller_that_states_no_deadline_is_not_held(fleet: GatewayFleet) -> None:
    # The route would allow 5 s, and the caller leaves after two. Held for longer it asks another
    # instance without having heard anything, and its last try ends without an answer.
    instance = fleet.instances[0]
    (route,) = (
        each for each in instance.replicated.config.table.routes if each.name == 'batch-stream'
    )
    request = CallerRequest(b'POST', b'/batch-stream/job', [], b'', instance.clock.now_ms())
    for within_ms, is_held in ((None, False), (5_000.0, True)):
        metadata = RequestMetadata(request_id=RequestId('job-1'), within_ms=within_ms)
        wait = instance.batch.acceptor._begin_deadline(request, metadata, route)
        assert (wait.latest_answer_ms > wait.redirect_at_ms) is is_held
