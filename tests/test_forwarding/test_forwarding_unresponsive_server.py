"""One server goes silent without a word; its callers are served by the others in time."""

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
DARK = ServerId('s-0')
FIRST_EVENT_MS = 14.0
INSTANCES = 13
SERVERS = 6


class Instance:
    """One instance's view of the servers, with a mean of each one's first events."""

    def __init__(self, clock: ManualClock, *, keeps_connections: bool) -> None:
        self._clock = clock
        self._keeps_connections = keeps_connections
        self.book = ServerRegistry(manual_context(clock))
        self.book.replace(listed_server(f's-{number}', SERVICE, 8) for number in range(SERVERS))
        self.patience = FailoverTimeouts()
        for state in self.book.states():
            state.record_latency(FIRST_EVENT_MS)

    def serve(self, served_by: Route) -> float:
        """Serve one request; give the time until its first event."""
        course = SendHistory(served_by)
        self.patience.record_first_answer(served_by, FIRST_EVENT_MS)
        started_ms = self._clock.now_ms()
        while course.may_send:
            state = self.book.choose_server(SERVICE, course.excluded, '')
            assert state is not None
            if state.listed.id != DARK:
                self._clock.ms += FIRST_EVENT_MS
                state.record_success()
                return self._clock.now_ms() - started_ms
            course.record_send(state.incarnation, self._try_dark(served_by, state))
        return float('inf')

    def _try_dark(self, served_by: Route, state: ServerState) -> SendOutcome:
        if self._keeps_connections:
            self._clock.ms += self.patience.first_answer_timeout_ms(served_by, state, 0.0)
            state.record_failure(self._clock.now_ms())
            return SendOutcome.UNKNOWN
        self._clock.ms += CONNECT_TIMEOUT_MS
        state.record_unreachable(self._clock.now_ms())
        return SendOutcome.NOT_SENT


@pytest.mark.parametrize('keeps_connections', [True, False])
def test_no_caller_is_late_for_a_dark_server(keeps_connections: bool) -> None:
    # One of six servers is silent for 5 s: it answers nothing on open connections and takes no
    # new ones. Each of 13 instances finds out for itself, 23 callers a second. Whoever met the
    # silent server gets the first event from another one within the target of 300 ms.
    clock = ManualClock()
    random = Random(7)
    instances = [Instance(clock, keeps_connections=keeps_connections) for _ in range(INSTANCES)]
    stream = route(RouteKind.STREAM, attempts=3, is_resumable=True)
    waits = []
    for number in range(115):
        clock.ms = 1_000.0 + number * 43.0
        waits.append(random.choice(instances).serve(stream))
    met_count = sum(wait > FIRST_EVENT_MS for wait in waits)
    assert met_count > 0
    assert [wait for wait in waits if wait > stream.target_ms] == []
    if not keeps_connections:
        # Nothing takes connections there, so that one try is enough to know.
        assert met_count <= 2 * INSTANCES


def test_long_request_is_not_cut_since_others_are_short() -> None:
    # A service answers look-ups in 90 ms and trivial calls of another route in 2 ms. A look-up
    # that takes its time must not be cut while its server works, or it is cut everywhere.
    patience = FailoverTimeouts()
    clock = ManualClock()
    state = next(iter(Instance(clock, keeps_connections=True).book.states()))
    look_up = msgspec.structs.replace(route(RouteKind.IDEMPOTENT), target_ms=400.0)
    trivial = msgspec.structs.replace(look_up, name=RouteName('trivial'))
    for _ in range(20):
        patience.record_first_answer(look_up, 90.0)
        patience.record_first_answer(trivial, 2.0)
        state.record_latency(2.0)
    assert patience.first_answer_timeout_ms(look_up, state, 0.0) >= 5 * 90.0


def test_last_server_is_waited_for() -> None:
    # Two servers may run a request, and the first was given up as silent. The second takes its
    # time as well; to give it up too would fail a request that is being worked on.
    course = SendHistory(route(RouteKind.IDEMPOTENT, attempts=2))
    assert not course.is_last_attempt
    course.record_send(ServerIncarnation(DARK), SendOutcome.NOT_SENT)
    assert not course.is_last_attempt
    course.record_send(ServerIncarnation('s-1'), SendOutcome.UNKNOWN)
    assert course.may_send
    assert course.is_last_attempt
    assert SendHistory(route(RouteKind.ONCE, attempts=3)).is_last_attempt
