"""Routing and admission in isolation."""

from __future__ import annotations

from random import Random

import msgspec
import pytest

from citrondyke.decisions.core.context import Context
from citrondyke.decisions.core.ops import CallServer
from citrondyke.decisions.core.server_call import ReplyKind, ServerReply
from citrondyke.decisions.core.signal import Signal
from citrondyke.decisions.membership.peer_messages import ServerState
from citrondyke.decisions.online.admission import Admission, Permit, QueuedRequest
from citrondyke.decisions.online.fleet import Fleet
from citrondyke.decisions.online.online_dispatcher import OnlineDispatcher
from citrondyke.decisions.online.rejection import Rejection, RejectionReason
from citrondyke.decisions.online.request import OnlineRequest, OnlineResult, OnlineResultKind
from citrondyke.decisions.online.retry_budget import RetryBudget
from citrondyke.decisions.online.router import Router
from citrondyke.decisions.online.server_view import ServerView
from citrondyke.driver.virtual.virtual_time import VirtualTime
from citrondyke.ids import (
    AvailabilityZone,
    ClassName,
    InstanceId,
    RequestId,
    ServerId,
    SoftwareVersion,
    TargetName,
    TenantId,
)
from citrondyke.storage.fleet_lists import ListedServer

MODEL = TargetName('model')
LATER = 1e9


class Parts:
    """A fleet of servers with limits of 10, and its clock."""

    def __init__(self, servers: int, seed: int = 1) -> None:
        self.time = VirtualTime()
        context = Context(InstanceId('i'), AvailabilityZone('z0'), self.time, Random(seed))
        self.fleet = Fleet(first_online_limit=10)
        self.fleet.update_list(
            ListedServer(ServerId(f's{n}'), 'x', 1, AvailabilityZone('z0'), MODEL)
            for n in range(servers)
        )
        self.router = Router(context, self.fleet)
        self.admission = Admission(context, self.fleet, waiting_limit=5)
        self.dispatcher = OnlineDispatcher(
            context, self.router, self.admission, on_load_change=lambda _: None
        )

    def view(self, number: int) -> ServerView:
        found = self.fleet.view(ServerId(f's{number}'))
        assert found is not None
        return found

    def acquire(self, tenant: str) -> Permit | Rejection | QueuedRequest:
        return self.admission.acquire(MODEL, TenantId(tenant), 100.0, LATER)


@pytest.fixture
def parts() -> Parts:
    return Parts(servers=2)


def test_server_reported_as_full_is_not_avoided_forever(parts: Parts) -> None:
    # A steward reported a server as full. No requests are sent there, so no further reports arrive;
    # after a while the old report must expire.
    full = ServerState(ServerId('s0'), 9, 10, 10, False)
    parts.view(0).apply_report(full, parts.time.now_ms())
    assert {parts.router.choose(MODEL, None) for _ in range(20)} == {parts.view(1)}
    parts.time.run_until(2500.0)
    chosen = [parts.router.choose(MODEL, None) for _ in range(40)]
    assert parts.view(0) in chosen


def test_failing_server_is_ejected_and_probed_back(parts: Parts) -> None:
    for _ in range(3):
        parts.router.record_failure(parts.view(0))
    assert {parts.router.choose(MODEL, None) for _ in range(20)} == {parts.view(1)}
    parts.time.run_until(5000.0)
    chosen = [parts.router.choose(MODEL, None) for _ in range(40)]
    assert parts.view(0) in chosen
    parts.router.record_success(parts.view(0), 10.0)
    assert not parts.view(0).is_on_probation


def eject(parts: Parts, number: int) -> None:
    view = parts.view(number)
    while view.ejected_until_ms <= parts.time.now_ms():
        parts.router.record_failure(view)


def test_probed_and_ejected_servers_are_used_if_no_other_is_left(parts: Parts) -> None:
    # One server is probed by a single request when the other one fails. Both respond, so every
    # other request must reach one of them instead of being rejected.
    eject(parts, 0)
    parts.time.run_until(5000.0)
    while (probe := parts.router.choose(MODEL, None)) is not parts.view(0):
        assert isinstance(probe, ServerView)
    parts.router.record_start(probe)
    for _ in range(3):
        parts.router.record_failure(parts.view(1))
    chosen = [parts.router.choose(MODEL, None) for _ in range(20)]
    assert all(isinstance(each, ServerView) for each in chosen)


def test_ejected_server_is_used_if_the_other_is_leaving(parts: Parts) -> None:
    # An ejected server still responds; a rejection would be worse for the caller.
    eject(parts, 0)
    parts.fleet.mark_leaving(ServerId('s1'))
    assert parts.router.choose(MODEL, None) is parts.view(0)


def test_probed_server_does_not_let_the_other_be_ejected(parts: Parts) -> None:
    # A probed server gets one request at a time and can't carry the load of the other one.
    eject(parts, 0)
    parts.time.run_until(5000.0)
    while parts.router.choose(MODEL, None) is not parts.view(0):
        pass
    assert parts.view(0).is_on_probation
    for _ in range(5):
        parts.router.record_failure(parts.view(1))
    assert parts.view(1).ejected_until_ms == 0.0


def test_only_server_of_a_target_is_used_although_it_is_ejected() -> None:
    parts = Parts(servers=1)
    eject(parts, 0)
    assert parts.router.choose(MODEL, None) is parts.view(0)


def test_ejected_server_without_connections_is_no_last_resort(parts: Parts) -> None:
    # What can't be served is rejected at once instead of waiting for another failed connection.
    for _ in range(3):
        parts.router.record_failure(parts.view(0), was_unreachable=True)
    parts.fleet.mark_leaving(ServerId('s1'))
    assert isinstance(parts.router.choose(MODEL, None), Rejection)


def test_request_that_its_only_server_interrupted_does_not_use_it_while_ejected() -> None:
    # The request may be the cause of the interruptions.
    parts = Parts(servers=1)
    eject(parts, 0)
    assert isinstance(parts.router.choose(MODEL, None, may_use_ejected=False), Rejection)


def streamed_request(parts: Parts) -> OnlineRequest:
    """Make a request with a deadline of 30 ms."""
    return OnlineRequest(
        request_id=RequestId('r'),
        tenant_id=TenantId('t'),
        class_name=ClassName('calls'),
        target=MODEL,
        method='POST',
        path='/v1/completions',
        body=b'{}',
        is_streamed=True,
        is_model=True,
        is_repeatable=True,
        first_token_target_ms=100.0,
        deadline_ms=parts.time.now_ms() + 30.0,
        cancel=Signal(),
    )


def dispatch(parts: Parts, reply: ServerReply, ended_ms: float) -> OnlineResult:
    """Carry out a request whose only attempt ends with a reply."""
    workflow = parts.dispatcher.serve(streamed_request(parts))
    next(workflow)
    parts.time.run_until(ended_ms)
    with pytest.raises(StopIteration) as ended:
        workflow.send(reply)
    result: OnlineResult = ended.value.value
    return result


def test_deadline_while_connecting_is_reported_as_not_run() -> None:
    # Nothing was sent when the deadline passed, and nothing shows that the server has failed.
    parts = Parts(servers=1)
    result = dispatch(parts, ServerReply(kind=ReplyKind.EXPIRED), ended_ms=30.0)
    assert result.rejection is not None
    assert result.rejection.reason is RejectionReason.DEADLINE
    assert (parts.view(0).failures_in_row, parts.view(0).is_reachable) == (0, True)


def test_own_delay_after_a_deadline_does_not_make_a_server_slow() -> None:
    # The loop was late and ended the attempt 270 ms after the deadline.
    parts = Parts(servers=1)
    dispatch(parts, ServerReply(kind=ReplyKind.LATE), ended_ms=300.0)
    assert parts.view(0).first_frame_ms == 30.0


def test_response_that_is_cut_goes_on_at_its_software_version() -> None:
    # Another version would write a text that does not fit to what the caller has.
    went_on = 0
    for seed in range(20):
        parts = Parts(servers=4, seed=seed)
        listed = [
            msgspec.structs.replace(
                parts.view(n).listed, software_version=SoftwareVersion(f'v{n % 2}')
            )
            for n in range(4)
        ]
        parts.fleet.update_list(listed)
        workflow = parts.dispatcher.serve(streamed_request(parts))
        first = next(workflow)
        assert isinstance(first, CallServer)
        cut = ServerReply(kind=ReplyKind.CUT, frames_count=2)
        second = workflow.send(cut)
        assert isinstance(second, CallServer)
        versions = {
            entry.software_version
            for entry in listed
            if entry.id in (first.call.server_id, second.call.server_id)
        }
        assert len(versions) == 1
        assert second.call.resume_from_frame == 2
        went_on += first.call.server_id != second.call.server_id
    assert went_on == 20


def test_leaving_server_gets_no_requests_despite_a_stale_list(parts: Parts) -> None:
    parts.fleet.mark_leaving(ServerId('s0'))
    parts.fleet.update_list([parts.view(0).listed, parts.view(1).listed])
    assert {parts.router.choose(MODEL, None) for _ in range(20)} == {parts.view(1)}
    parts.fleet.mark_leaving(ServerId('s1'))
    rejected = parts.router.choose(MODEL, None)
    assert isinstance(rejected, Rejection)
    assert rejected.reason is RejectionReason.NO_SERVER


def test_burst_of_one_tenant_leaves_permits_for_others(parts: Parts) -> None:
    # One tenant requests all permits while another one has a single request in flight. Above the
    # fair-share threshold the first is limited to its share, and the other one's requests are
    # admitted.
    assert isinstance(parts.acquire('calm'), Permit)
    answers = [parts.acquire('flood') for _ in range(40)]
    assert sum(isinstance(answer, Permit) for answer in answers) < 20
    assert any(isinstance(answer, Rejection) for answer in answers)
    for _ in range(4):
        assert isinstance(parts.acquire('calm'), Permit)


def test_queue_is_bounded_and_served_round_robin(parts: Parts) -> None:
    permits = [parts.acquire('a') for _ in range(20)]
    assert all(isinstance(permit, Permit) for permit in permits)
    waiting = parts.acquire('b')
    assert isinstance(waiting, QueuedRequest)
    rejected = parts.acquire('a')
    assert isinstance(rejected, Rejection)
    assert rejected.retry_in_ms > 0
    parts.admission.release(permits[0])  # type: ignore[arg-type]
    assert waiting.outcome.is_fired
    assert isinstance(waiting.outcome.value, Permit)


def test_permit_granted_to_a_disconnected_caller_is_released(parts: Parts) -> None:
    # A queued caller disconnects just as it is granted a permit; the permit must not be lost.
    permits = [parts.acquire('a') for _ in range(20)]
    waiting = parts.acquire('b')
    assert isinstance(waiting, QueuedRequest)
    parts.admission.release(permits[0])  # type: ignore[arg-type]
    parts.admission.abandon(MODEL, waiting)
    assert isinstance(parts.acquire('b'), Permit)


def test_retries_cannot_double_an_overload() -> None:
    budget = RetryBudget(share=0.1, limit=5.0)
    assert sum(budget.withdraw() for _ in range(100)) == 5
    for _ in range(100):
        budget.deposit()
    assert sum(budget.withdraw() for _ in range(100)) == 5


EVENT_STREAM = 'text/event-stream'
CUT = ServerReply(kind=ReplyKind.CUT, frames_count=2)
NO_EVENT = ServerReply(kind=ReplyKind.COMPLETE, status=200, content_type=EVENT_STREAM)
REST = msgspec.structs.replace(NO_EVENT, frames_count=2)


def results_of(servers: int, *replies: ServerReply) -> list[OnlineResultKind | None]:
    """Carry out a streamed request; give the result after each reply, ``None`` if it goes on."""
    parts = Parts(servers)
    workflow = parts.dispatcher.serve(streamed_request(parts))
    asked = [next(workflow)]
    results: list[OnlineResultKind | None] = []
    for reply in replies:
        try:
            asked.append(workflow.send(reply))
        except StopIteration as ended:
            results.append(ended.value.kind)
            break
        assert isinstance(asked[-1], CallServer)
        results.append(None)
    return results


@pytest.mark.parametrize('status', [200, 204, 400, 500])
def test_answer_that_is_no_stream_does_not_end_a_stream(status: int) -> None:
    # The caller would get the final event after a part of its events.
    answer = ServerReply(kind=ReplyKind.COMPLETE, status=status, content_type='application/json')
    assert results_of(3, CUT, answer, REST) == [None, None, OnlineResultKind.ANSWERED]
    assert results_of(3, answer) == [OnlineResultKind.ANSWERED]


def test_final_event_alone_does_not_end_an_interrupted_stream() -> None:
    # The server may have lost the request; another one has to say that nothing follows.
    answered = OnlineResultKind.ANSWERED
    assert results_of(3, CUT, NO_EVENT, REST) == [None, None, answered]
    assert results_of(3, CUT, NO_EVENT, NO_EVENT) == [None, None, answered]
    assert results_of(1, CUT, NO_EVENT, NO_EVENT, NO_EVENT) == [None, None, None, answered]
    assert results_of(3, CUT, NO_EVENT, CUT, NO_EVENT) == [
        None,
        None,
        None,
        OnlineResultKind.BROKEN,
    ]
    assert results_of(3, NO_EVENT) == [answered]


def test_stream_that_was_cut_before_its_first_event_is_not_empty_by_one_word() -> None:
    # A server that has lost the request says the same as one whose stream is empty.
    answered = OnlineResultKind.ANSWERED
    cut = ServerReply(kind=ReplyKind.CUT)
    refused = ServerReply(kind=ReplyKind.REFUSED)
    assert results_of(3, cut, NO_EVENT, REST) == [None, None, answered]
    assert results_of(3, cut, NO_EVENT, NO_EVENT) == [None, None, answered]
    assert results_of(3, refused, NO_EVENT) == [None, answered]
