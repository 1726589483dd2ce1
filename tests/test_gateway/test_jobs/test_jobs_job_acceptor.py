"""Acceptance of jobs while the store is unavailable."""

from __future__ import annotations

import gevent

from citrondyke.gateway.callers.caller_request import CallerRequest
from citrondyke.gateway.dialect import RequestMetadata
from citrondyke.ids import RequestId
from tests.support.gateway import GatewayFleet


def test_job_is_accepted_if_the_store_recovers_within_the_deadline(fleet: GatewayFleet) -> None:
    # The store rejects all calls for longer than one attempt takes. The caller has 5 s and must get
    # 202 instead of being redirected to an instance that can do no better.
    fleet.store.faults.refused_ips = {'*'}
    gevent.spawn_later(2.5, fleet.store.faults.refused_ips.clear)
    assert fleet.submit('job-1', Deadline_Ms='5000').status == 202
    fleet.wait_done('job-1')


def test_stopping_instance_answers_held_callers(fleet: GatewayFleet) -> None:
    # An instance that stops while a caller waits for the store must respond before it is killed.
    fleet.store.faults.refused_ips = {'*'}
    stopping = fleet.instances[0].batch.owned
    gevent.spawn_later(0.3, setattr, stopping, 'is_stopping', True)
    reply = fleet.submit('job-1', at=0, Deadline_Ms='5000')
    assert reply.status == 503
    assert float(reply.headers['retry-after']) > 0


def test_caller_without_a_deadline_is_not_held(fleet: GatewayFleet) -> None:
    # The route allows 5 s, but the caller disconnects after 2 s. If it were held for longer, it
    # would try another instance without a response, and its last attempt would get none either.
    instance = fleet.instances[0]
    (route,) = (
        each for each in instance.replicated.config.table.routes if each.name == 'batch-stream'
    )
    request = CallerRequest(b'POST', b'/batch-stream/job', [], b'', instance.clock.now_ms())
    for within_ms, is_held in ((None, False), (5_000.0, True)):
        metadata = RequestMetadata(request_id=RequestId('job-1'), within_ms=within_ms)
        deadline = instance.batch.acceptor._begin_deadline(request, metadata, route)
        assert (deadline.latest_answer_ms > deadline.redirect_at_ms) is is_held
