"""Full servers: who asks for many times more than the others does not crowd them out."""

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

STAY_MS = 200.0
SLOTS = 8
LENGTH_MS = 30_000.0
SERVICE = ServiceName('s')


class Play:
    """One server at one instance; places are taken for the stay, and then for the next."""

    def __init__(self, seed: int) -> None:
        self.clock = ManualClock()
        self.book = ServerRegistry(manual_context(self.clock, seed=seed))
        self.book.replace([listed_server('a', SERVICE, SLOTS)])
        self.rule = AdmissionRule(manual_context(self.clock, seed=seed), self.book)
        self.random = random.Random(seed)
        self.route = route(RouteKind.STREAM)
        self.rule.record_service_time(self.route, STAY_MS)
        self.served: Counter[TenantId] = Counter()
        self.asked: Counter[TenantId] = Counter()

    def run(self, rates: dict[Account, float]) -> None:
        """Have accounts ask at their rates a second."""
        arrivals = []
        for account, rate_per_s in rates.items():
            at_ms = 0.0
            while (at_ms := at_ms + self.random.expovariate(rate_per_s) * 1e3) < LENGTH_MS:
                arrivals.append((at_ms, account))
        (state,) = self.book.states()
        free_ms = [0.0] * SLOTS
        ends: list[float] = []
        began_ms = self.clock.ms
        for at_ms, account in sorted(arrivals, key=lambda each: each[0]):
            while ends and ends[0] <= at_ms:
                heapq.heappop(ends)
            self.clock.ms = began_ms + at_ms
            state.own.online = len(ends)
            self.asked[account.id] += 1
            if isinstance(self.rule.decide(self.route, state, 5_000.0, account), Admitted):
                self.served[account.id] += 1
                end_ms = max(at_ms, heapq.heappop(free_ms)) + STAY_MS
                heapq.heappush(free_ms, end_ms)
                heapq.heappush(ends, end_ms)

    def share(self, account: Account) -> float:
        return self.served[account.id] / self.asked[account.id]


def account(name: str, priority: int | None = None) -> Account:
    return Account(id=TenantId(name), priority=priority)


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_account_at_nine_times_the_others_leaves_them_their_part(seed: int) -> None:
    # A customer sends nine times what each of the others does, within its limit; together they ask
    # for almost twice what the servers do. First come first served turns everybody's away alike.
    heavy = account('heavy')
    light = [account(f'light-{n}') for n in range(8)]
    play = Play(seed)
    play.run({heavy: 36.0, **dict.fromkeys(light, 4.0)})
    alike = SLOTS / STAY_MS * 1e3 / 68.0
    light_share = sum(map(play.share, light)) / len(light)
    assert light_share >= alike + 0.15
    total = sum(play.served.values()) / sum(play.asked.values())
    assert play.share(heavy) >= total / 4
    assert total >= 0.95 * alike


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_urgent_account_goes_first_and_the_others_are_not_starved(seed: int) -> None:
    urgent = [account(f'urgent-{n}', 0) for n in range(4)]
    patient = [account(f'patient-{n}', 2) for n in range(4)]
    play = Play(seed)
    play.run(dict.fromkeys([*urgent, *patient], 8.0))
    first = sum(map(play.share, urgent)) / 4
    rest = sum(map(play.share, patient)) / 4
    assert first >= rest + 0.15
    assert rest >= (first + rest) / 2 / 4


def test_priority_of_the_account_goes_before_the_routes() -> None:
    assert account('a', 1).priority_on(0) == 1
    assert account('a').priority_on(2) == 2
