"""Full servers: an account that sends many times more doesn't displace the others."""

from __future__ import annotations

import heapq
import random
from collections import Counter

import pytest

from citrondyke.decisions.accounts.account import Account
from citrondyke.decisions.forwarding.admission_rule import AdmissionRule, Admitted
from citrondyke.decisions.forwarding.route import RouteKind
from citrondyke.decisions.forwarding.server_registry import ServerRegistry
from citrondyke.ids import ServiceName, TenantId
from tests.support.manual_clock import ManualClock, manual_context
from tests.support.peers import listed_server
from tests.test_forwarding.test_forwarding_send_history import route

SERVICE_MS = 200.0
SLOTS = 8
RUN_MS = 30_000.0
SERVICE = ServiceName('s')


class ServerSimulation:
    """One server at one instance; a request holds its capacity for the service time."""

    def __init__(self, seed: int) -> None:
        self.clock = ManualClock()
        self.registry = ServerRegistry(manual_context(self.clock, seed=seed))
        self.registry.replace([listed_server('a', SERVICE, SLOTS)])
        self.rule = AdmissionRule(manual_context(self.clock, seed=seed), self.registry)
        self.random = random.Random(seed)
        self.route = route(RouteKind.STREAM)
        self.rule.record_service_time(self.route, SERVICE_MS)
        self.served: Counter[TenantId] = Counter()
        self.requested: Counter[TenantId] = Counter()

    def run(self, rates: dict[Account, float]) -> None:
        """Send requests of accounts at their rates per second."""
        arrivals = []
        for account, rate_per_s in rates.items():
            at_ms = 0.0
            while (at_ms := at_ms + self.random.expovariate(rate_per_s) * 1e3) < RUN_MS:
                arrivals.append((at_ms, account))
        (state,) = self.registry.states()
        free_ms = [0.0] * SLOTS
        ends: list[float] = []
        began_ms = self.clock.ms
        for at_ms, account in sorted(arrivals, key=lambda each: each[0]):
            while ends and ends[0] <= at_ms:
                heapq.heappop(ends)
            self.clock.ms = began_ms + at_ms
            state.own.online = len(ends)
            self.requested[account.id] += 1
            if isinstance(self.rule.decide(self.route, state, 5_000.0, account), Admitted):
                self.served[account.id] += 1
                end_ms = max(at_ms, heapq.heappop(free_ms)) + SERVICE_MS
                heapq.heappush(free_ms, end_ms)
                heapq.heappush(ends, end_ms)

    def share(self, account: Account) -> float:
        return self.served[account.id] / self.requested[account.id]


def account(name: str, priority: int | None = None) -> Account:
    return Account(id=TenantId(name), priority=priority)


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_account_at_nine_times_the_others_leaves_them_their_share(seed: int) -> None:
    # An account sends nine times as much as each of the others, within its limit; in total almost
    # twice the capacity. First come, first served would reject the requests of all accounts alike.
    heavy = account('heavy')
    light = [account(f'light-{n}') for n in range(8)]
    simulation = ServerSimulation(seed)
    simulation.run({heavy: 36.0, **dict.fromkeys(light, 4.0)})
    equal_share = SLOTS / SERVICE_MS * 1e3 / 68.0
    light_share = sum(map(simulation.share, light)) / len(light)
    assert light_share >= equal_share + 0.15
    total = sum(simulation.served.values()) / sum(simulation.requested.values())
    assert simulation.share(heavy) >= total / 4
    assert total >= 0.95 * equal_share


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_urgent_accounts_are_preferred_without_starving_others(seed: int) -> None:
    urgent = [account(f'urgent-{n}', 0) for n in range(4)]
    patient = [account(f'patient-{n}', 2) for n in range(4)]
    simulation = ServerSimulation(seed)
    simulation.run(dict.fromkeys([*urgent, *patient], 8.0))
    first = sum(map(simulation.share, urgent)) / 4
    rest = sum(map(simulation.share, patient)) / 4
    assert first >= rest + 0.15
    assert rest >= (first + rest) / 2 / 4


def test_account_priority_overrides_the_route_priority() -> None:
    assert account('a', 1).priority_on(0) == 1
    assert account('a').priority_on(2) == 2
