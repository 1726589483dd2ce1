"""Choice among servers of different speed on machines that slow down, with stale counts."""

from __future__ import annotations

from collections import Counter
from heapq import heappop, heappush
from random import Random
from statistics import fmean

import msgspec
import pytest

from citrondyke.decisions.forwarding import server_registry
from citrondyke.decisions.forwarding.server_registry import ServerRegistry
from citrondyke.decisions.forwarding.server_state import ServerState
from citrondyke.decisions.servers.candidate_sampling import (
    DRAWN_CANDIDATES_COUNT,
    sample_candidates,
)
from citrondyke.ids import InstanceId, ServerId, ServiceName
from tests.support.manual_clock import ManualClock, manual_context
from tests.support.peers import listed_server

SERVICE = ServiceName('s')
INSTANCES = 10
SERVERS = 12
SLOTS = 8
#: Time until the first event and until the end at an empty average server.
FIRST_MS, SERVICE_TIME_MS = 40.0, 160.0
#: Delay of a peer's counts.
COUNT_DELAY_MS = 25.0
SEEDS = range(3)


class Result(msgspec.Struct):
    """Latencies and servers of the requests of some seconds."""

    first_ms: list[float] = []
    by_server: Counter[int] = msgspec.field(default_factory=Counter)

    @property
    def mean_ms(self) -> float:
        return fmean(self.first_ms)

    @property
    def slowest_ms(self) -> float:
        """The latency of the 99th of 100 requests."""
        return sorted(self.first_ms)[int(0.99 * len(self.first_ms))]

    @property
    def unevenness(self) -> float:
        return max(self.by_server.values()) / (sum(self.by_server.values()) / SERVERS)


class Simulation:
    """Instances that exchange counts with a delay, and servers with their running requests."""

    def __init__(self, seed: int, speeds: list[float], *, reports_slowdown: bool) -> None:
        self.clock = ManualClock()
        self.random = Random(seed)
        self.speeds = speeds
        self.reports_slowdown = reports_slowdown
        self.running = [0] * SERVERS
        self.books = []
        self._events: list[tuple[float, int, tuple[int, int, int]]] = []
        self._number = 0
        for n in range(INSTANCES):
            registry = ServerRegistry(manual_context(self.clock, f'i-{n}', seed=100 * seed + n))
            registry.replace(listed_server(f's-{m}', SERVICE, SLOTS) for m in range(SERVERS))
            self.books.append(registry)

    def slowdown(self, server: int) -> float:
        """For a seventh of the time, 600 ms at a time, work takes 2.5 times as long."""
        return 2.5 if Random(server * 7_919 + int(self.clock.ms / 600)).random() < 0.15 else 1.0

    def run(self, for_ms: float, per_s: float) -> Result:
        result = Result()
        until_ms = self.clock.ms + for_ms
        while True:
            next_ms = self.clock.ms + self.random.expovariate(per_s / 1e3)
            while self._events and self._events[0][0] <= next_ms:
                at_ms, _, event = heappop(self._events)
                self.clock.ms = max(self.clock.ms, at_ms)
                self._handle(*event)
            if next_ms > until_ms:
                return result
            self.clock.ms = next_ms
            self._request(result)

    def _request(self, result: Result) -> None:
        at = self.random.randrange(INSTANCES)
        state = self.books[at].choose_server(SERVICE, (), '')
        assert state is not None
        server = int(state.listed.id[2:])
        slowness = self.speeds[server] * self.slowdown(server) * (1 + 0.08 * self.running[server])
        ahead = max(0, self.running[server] - SLOTS + 1)
        wait_ms = ahead * SERVICE_TIME_MS * slowness / SLOTS
        spread = self.random.uniform(0.7, 1.3)
        first_ms = wait_ms + FIRST_MS * slowness * spread
        self.running[server] += 1
        if self.reports_slowdown:
            state.reported_slowdown.record(self.slowdown(server), self.clock.ms)
        state.record_latency_ratio(first_ms, FIRST_MS * 1.2, self.clock.ms)
        state.record_latency(first_ms)
        result.first_ms.append(first_ms)
        result.by_server[server] += 1
        self._count(at, state, 1)
        self._schedule(wait_ms + SERVICE_TIME_MS * slowness * spread, (at, server, -1))

    def _count(self, at: int, state: ServerState, change: int) -> None:
        state.own.online += change
        self._schedule(COUNT_DELAY_MS, (at, int(state.listed.id[2:]), state.own.online))

    def _schedule(self, in_ms: float, event: tuple[int, int, int]) -> None:
        self._number += 1
        heappush(self._events, (self.clock.ms + in_ms, self._number, event))

    def _handle(self, at: int, server: int, online: int) -> None:
        name = ServerId(f's-{server}')
        if online < 0:
            self.running[server] -= 1
            state = self.books[at].state(name)
            assert state is not None
            self._count(at, state, -1)
            return
        for number, registry in enumerate(self.books):
            state = registry.state(name)
            if number != at and state is not None:
                state.record_peer_counts(InstanceId(f'i-{at}'), online, 0, self.clock.ms)


UNEVEN_SPEEDS = [0.6, 1.0, 1.6] * (SERVERS // 3)


def simulated(
    monkeypatch: pytest.MonkeyPatch,
    seed: int,
    strategy: str,
    speeds: list[float] = UNEVEN_SPEEDS,
    per_s: float = 240.0,
) -> Result:
    """Simulate one strategy: by counts, the best of all, or the best of a few candidates."""
    if strategy == 'best':
        monkeypatch.setattr(
            server_registry,
            'sample_candidates',
            lambda states, random, now_ms: sample_candidates(states, random, now_ms, SERVERS),
        )
    simulation = Simulation(seed, speeds, reports_slowdown=strategy != 'counts')
    simulation.run(6_000.0, per_s)
    result = simulation.run(8_000.0, per_s)
    monkeypatch.undo()
    return result


@pytest.mark.parametrize('seed', SEEDS)
def test_expected_finish_is_sooner_than_by_counts(
    monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    # Speeds 0.6 to 1.6, machines that are slow for a seventh of the time, counts 25 ms old.
    counts = simulated(monkeypatch, seed, 'counts')
    few = simulated(monkeypatch, seed, 'few')
    assert few.mean_ms < counts.mean_ms
    assert few.slowest_ms < counts.slowest_ms


@pytest.mark.parametrize('seed', SEEDS)
def test_candidates_keep_instances_with_stale_counts_from_choosing_one_server(
    monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    # Counts are 100 ms old, in which time 24 requests are routed: the server that looks best to all
    # instances gets all of them, and they wait for each other.
    monkeypatch.setattr(f'{__name__}.COUNT_DELAY_MS', 100.0)
    best = simulated(monkeypatch, seed, 'best')
    monkeypatch.setattr(f'{__name__}.COUNT_DELAY_MS', 100.0)
    few = simulated(monkeypatch, seed, 'few')
    assert few.slowest_ms < 0.8 * best.slowest_ms


@pytest.mark.parametrize('seed', SEEDS)
def test_equal_servers_get_equal_shares(monkeypatch: pytest.MonkeyPatch, seed: int) -> None:
    few = simulated(monkeypatch, seed, 'few', [1.0] * SERVERS)
    assert few.unevenness < 1.3


def test_candidates_are_drawn_by_speed() -> None:
    registry = ServerRegistry(manual_context())
    registry.replace(listed_server(f's-{n}', SERVICE) for n in range(9))
    for state in registry.states():
        state.reported_slowdown.record(4.0 if state.listed.id == 's-0' else 1.0, 0.0)
    random = Random(1)
    drawn: Counter[ServerId] = Counter()
    for _ in range(2_000):
        few = sample_candidates(list(registry.states()), random, 0.0)
        assert len(few) == DRAWN_CANDIDATES_COUNT
        drawn.update(state.listed.id for state in few)
    assert drawn[ServerId('s-0')] < 0.6 * drawn[ServerId('s-1')]


def test_free_server_is_found_although_it_was_not_drawn() -> None:
    registry = ServerRegistry(manual_context())
    registry.replace(listed_server(f's-{n}', SERVICE) for n in range(30))
    for state in registry.states():
        state.reported_slowdown.record(1.0, 0.0)
        state.own.online = 0 if state.listed.id == 's-7' else SLOTS
    for _ in range(20):
        chosen = registry.choose_server(SERVICE, (), '')
        assert chosen is not None
        assert chosen.listed.id == 's-7'


def test_server_that_has_not_answered_here_yet_gets_requests_too() -> None:
    # In a large fleet an instance meets each server only once in some seconds; servers that it has
    # not met must not look worse for their load than those it has met.
    registry = ServerRegistry(manual_context())
    registry.replace(listed_server(f's-{n}', SERVICE) for n in range(8))
    for state in registry.states():
        state.own.online = 2
        if state.listed.id in ('s-0', 's-1'):
            state.reported_slowdown.record(1.0, 0.0)
    chosen = Counter(registry.choose_server(SERVICE, (), '') for _ in range(400))
    assert len(chosen) == 8
    assert max(chosen.values()) <= 2 * 400 / 8
