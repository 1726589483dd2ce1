"""Admission of online requests: admitted, rejected, and retry times."""

from __future__ import annotations

from citrondyke.decisions.forwarding.admission_rule import (
    MAX_RETRY_MS,
    WAIT_SHARE,
    AdmissionRule,
    Admitted,
    Rejected,
)
from citrondyke.decisions.forwarding.route import RouteKind
from citrondyke.decisions.forwarding.server_registry import ServerRegistry
from citrondyke.decisions.forwarding.server_state import ServerState
from citrondyke.ids import ServiceName
from tests.support.manual_clock import ManualClock, manual_context
from tests.support.peers import listed_server, other_instances
from tests.test_forwarding.test_forwarding_send_history import route

SERVICE_TIME_MS = 800.0
SLOTS = 8


class AdmissionSetup:
    """One instance of ten in front of two servers with a capacity of eight."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        context = manual_context(self.clock)
        self.registry = ServerRegistry(context)
        self.registry.replace(listed_server(name, 's', SLOTS) for name in ('a', 'b'))
        self.rule = AdmissionRule(context, self.registry)
        self.registry.topology.replace(other_instances(9))
        self.route = route(RouteKind.STREAM)
        self.rule.record_service_time(self.route, SERVICE_TIME_MS)

    def best_server(self) -> ServerState:
        state = self.registry.choose_server(ServiceName('s'), (), '')
        assert state is not None
        return state

    def decide(self, left_ms: float = 5_000.0) -> Admitted | Rejected:
        return self.rule.decide(self.route, self.best_server(), left_ms)


def fill_servers(setup: AdmissionSetup, count: int) -> None:
    for state in setup.registry.states():
        state.own.online = count


def test_free_capacity_and_short_queue_are_used() -> None:
    setup = AdmissionSetup()
    assert setup.decide() == Admitted(0.0)
    fill_servers(setup, SLOTS)
    answer = setup.decide()
    assert isinstance(answer, Admitted)
    assert answer.expected_wait_ms == SERVICE_TIME_MS / SLOTS


def test_request_that_would_miss_its_target_is_rejected_at_once() -> None:
    # Both servers are full of online requests and have a queue. One more request would miss its
    # target, and so would all queued behind it. It is rejected at once, so that its caller has time
    # for a retry.
    setup = AdmissionSetup()
    fill_servers(setup, SLOTS + 2)
    answer = setup.decide()
    assert isinstance(answer, Rejected)
    assert answer.expected_wait_ms > WAIT_SHARE * setup.route.target_ms


def test_batch_items_are_preempted_and_cause_no_rejection() -> None:
    setup = AdmissionSetup()
    for state in setup.registry.states():
        state.own.batch = SLOTS
    assert isinstance(setup.decide(), Admitted)


def test_request_whose_deadline_is_before_its_start_is_rejected() -> None:
    setup = AdmissionSetup()
    fill_servers(setup, SLOTS + 1)
    assert isinstance(setup.decide(left_ms=150.0), Rejected)


def test_retry_times_cover_the_time_needed_for_all_rejected_requests() -> None:
    # A burst of 1.9 times what the servers can serve lasts for 2.4 s. If all callers retried after
    # 80 ms, they would meet the same burst again; retries spread over the time that the servers
    # need for them are mostly served.
    setup = AdmissionSetup()
    fill_servers(setup, SLOTS + 2)
    times = []
    for _ in range(6):
        answer = setup.decide()
        assert isinstance(answer, Rejected)
        times.append(answer.retry_in_ms)
        setup.clock.ms += 100.0
    assert times[0] < 300.0
    assert times[-1] > 1_000.0
    assert max(times) <= MAX_RETRY_MS * 1.25
    setup.clock.ms += 10_000.0
    later = setup.decide()
    assert isinstance(later, Rejected)
    assert later.retry_in_ms < 300.0
