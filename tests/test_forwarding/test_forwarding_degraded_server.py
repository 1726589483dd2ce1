"""A server that fails part of its requests while its health check is good."""

from __future__ import annotations

import random

import pytest

from citrondyke.decisions.forwarding.server_registry import ServerRegistry
from citrondyke.decisions.forwarding.server_state import ServerState
from citrondyke.ids import ServerId, ServiceName
from tests.support.manual_clock import ManualClock, manual_context
from tests.support.peers import listed_server

SERVICE = ServiceName('s')
DEGRADED = ServerId('s-0')
REQUESTS = 400
GAP_MS = 25.0
#: Concurrent requests on a server with a capacity of eight.
RUNNING = 2


class LoadedServers:
    """Five servers under even load; a request lasts as long as four gaps."""

    def __init__(self, seed: int) -> None:
        self.clock = ManualClock()
        self.registry = ServerRegistry(manual_context(self.clock, seed=seed))
        self.registry.replace(listed_server(f's-{number}', SERVICE, 8) for number in range(5))
        self.running: list[ServerState] = []
        self.degraded_count = 0
        self.failed_count = 0
        self._random = random.Random(seed)

    def request(self, *, fails: bool) -> None:
        self.clock.ms += GAP_MS
        if len(self.running) >= RUNNING * 5:
            self.running.pop(0).own.online -= 1
        state = self.registry.choose_server(SERVICE, (), '', is_once=True)
        assert state is not None
        if state.listed.id == DEGRADED:
            self.degraded_count += 1
            if fails and self._random.random() < 0.5:
                self.failed_count += 1
                state.record_failure(self.clock.ms)
                return
        state.record_answered(self.clock.ms)
        state.record_success()
        state.own.online += 1
        self.running.append(state)


@pytest.mark.parametrize('seed', range(5))
def test_server_that_fails_every_second_request_gets_few(seed: int) -> None:
    # One engine of five answers every second request with 500, and callers may not repeat them. It
    # seldom fails two requests in a row, so that it is not ejected, and its health check is good.
    load = LoadedServers(seed)
    for _ in range(REQUESTS):
        load.request(fails=True)
    assert load.failed_count <= 10


@pytest.mark.parametrize('seed', range(5))
def test_server_that_has_recovered_gets_its_share_again(seed: int) -> None:
    load = LoadedServers(seed)
    for _ in range(REQUESTS):
        load.request(fails=True)
    load.clock.ms += 10_000.0
    load.degraded_count = 0
    for _ in range(REQUESTS):
        load.request(fails=False)
    assert load.degraded_count >= 50


def test_failures_of_all_servers_leave_all_in_use() -> None:
    load = LoadedServers(1)
    for state in load.registry.states():
        state.record_failure(load.clock.ms)
    chosen = {load.registry.choose_server(SERVICE, (), '') for _ in range(100)}
    assert len(chosen) == 5
