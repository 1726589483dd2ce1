"""Requests to a server that stops responding are served by the others in time."""

from __future__ import annotations

from random import Random

import msgspec
import pytest

from citrondyke.decisions.forwarding.failover_timeouts import CONNECT_TIMEOUT_MS, FailoverTimeouts
from citrondyke.decisions.forwarding.route import Route, RouteKind
from citrondyke.decisions.forwarding.send_history import SendHistory, SendOutcome
from citrondyke.decisions.forwarding.server_registry import ServerRegistry
from citrondyke.decisions.forwarding.server_state import ServerState
from citrondyke.ids import RouteName, ServerId, ServerIncarnation, ServiceName
from tests.support.manual_clock import ManualClock, manual_context
from tests.support.peers import listed_server
from tests.test_forwarding.test_forwarding_send_history import route

SERVICE = ServiceName('s')
UNRESPONSIVE = ServerId('s-0')
FIRST_EVENT_MS = 14.0
INSTANCES = 13
SERVERS = 6


class Instance:
    """One instance's view of the servers, with the mean latency of each one's first events."""

    def __init__(self, clock: ManualClock, *, keeps_connections: bool) -> None:
        self._clock = clock
        self._keeps_connections = keeps_connections
        self.registry = ServerRegistry(manual_context(clock))
        self.registry.replace(listed_server(f's-{number}', SERVICE, 8) for number in range(SERVERS))
        self.timeouts = FailoverTimeouts()
        for state in self.registry.states():
            state.record_latency(FIRST_EVENT_MS)

    def serve(self, served_by: Route) -> float:
        """Serve one request; return the time until its first event."""
        history = SendHistory(served_by)
        self.timeouts.record_first_answer(served_by, FIRST_EVENT_MS)
        started_ms = self._clock.now_ms()
        while history.may_send:
            state = self.registry.choose_server(SERVICE, history.excluded, '')
            assert state is not None
            if state.listed.id != UNRESPONSIVE:
                self._clock.ms += FIRST_EVENT_MS
                state.record_success()
                return self._clock.now_ms() - started_ms
            history.record_send(state.incarnation, self._try_unresponsive(served_by, state))
        return float('inf')

    def _try_unresponsive(self, served_by: Route, state: ServerState) -> SendOutcome:
        if self._keeps_connections:
            self._clock.ms += self.timeouts.first_answer_timeout_ms(served_by, state, 0.0)
            state.record_failure(self._clock.now_ms())
            return SendOutcome.UNKNOWN
        self._clock.ms += CONNECT_TIMEOUT_MS
        state.record_unreachable(self._clock.now_ms())
        return SendOutcome.NOT_SENT


@pytest.mark.parametrize('keeps_connections', [True, False])
def test_unresponsive_server_makes_no_caller_miss_its_target(keeps_connections: bool) -> None:
    # One of six servers is unresponsive for 5 s: it answers nothing on open connections and accepts
    # no new ones. Each of 13 instances finds out for itself, at 23 requests a second. A request
    # that met this server gets its first event from another one within the target of 300 ms.
    clock = ManualClock()
    random = Random(7)
    instances = [Instance(clock, keeps_connections=keeps_connections) for _ in range(INSTANCES)]
    stream = route(RouteKind.STREAM, attempts=3, is_resumable=True)
    waits = []
    for number in range(115):
        clock.ms = 1_000.0 + number * 43.0
        waits.append(random.choice(instances).serve(stream))
    affected_count = sum(wait > FIRST_EVENT_MS for wait in waits)
    assert affected_count > 0
    assert [wait for wait in waits if wait > stream.target_ms] == []
    if not keeps_connections:
        # No connection is accepted, so that one attempt is enough to know.
        assert affected_count <= 2 * INSTANCES


def test_long_request_of_a_route_is_not_aborted_because_others_are_short() -> None:
    # A service answers look-ups in 90 ms and trivial calls of another route in 2 ms. A slow look-up
    # must not be aborted while its server works on it, or it would be aborted at every server.
    timeouts = FailoverTimeouts()
    clock = ManualClock()
    state = next(iter(Instance(clock, keeps_connections=True).registry.states()))
    look_up = msgspec.structs.replace(route(RouteKind.IDEMPOTENT), target_ms=400.0)
    trivial = msgspec.structs.replace(look_up, name=RouteName('trivial'))
    for _ in range(20):
        timeouts.record_first_answer(look_up, 90.0)
        timeouts.record_first_answer(trivial, 2.0)
        state.record_latency(2.0)
    assert timeouts.first_answer_timeout_ms(look_up, state, 0.0) >= 5 * 90.0


def test_last_attempt_may_take_the_whole_time() -> None:
    # Two servers may run a request, and the first was given up as unresponsive. The second is slow
    # as well; to give it up too would fail a request that is being processed.
    history = SendHistory(route(RouteKind.IDEMPOTENT, attempts=2))
    assert not history.is_last_attempt
    history.record_send(ServerIncarnation(UNRESPONSIVE), SendOutcome.NOT_SENT)
    assert not history.is_last_attempt
    history.record_send(ServerIncarnation('s-1'), SendOutcome.UNKNOWN)
    assert history.may_send
    assert history.is_last_attempt
    assert SendHistory(route(RouteKind.ONCE, attempts=3)).is_last_attempt
