"""Stateful test: no sequence of faults and changes lets a window exceed its limit."""

from __future__ import annotations

import msgspec
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from citrondyke.decisions.accounts.account import Account
from citrondyke.decisions.accounts.steward_rate_limiter import StewardRateLimiter
from citrondyke.ids import InstanceId, TenantId
from tests.support.limit_world import PROPAGATION_MS, WINDOW_MS, LimitWorld, allowed_in_window

LARGE = Account(id=TenantId('large'), rate_per_s=40.0, burst=40.0)
SMALL = Account(id=TenantId('small'), rate_per_s=1.0, burst=1.0)
FIRST_COUNT = 7
indexes = st.integers(0, FIRST_COUNT - 1)


class LimitMachine(RuleBasedStateMachine):
    """Both accounts permanently send many times their limits."""

    @initialize(seed=st.integers(0, 2**16))
    def start(self, seed: int) -> None:
        """Start a fleet."""
        self.world = LimitWorld(StewardRateLimiter, FIRST_COUNT, [LARGE, SMALL], seed)
        self.world.lost_share = 0.02
        self.world.left_ms, self.world.may_wait_ms = 5_000.0, 240.0
        self.names = list(self.world.nodes)
        self.allowed = {each.id: allowed_in_window(each) for each in (LARGE, SMALL)}
        self.since_ms = {each.id: 0.0 for each in (LARGE, SMALL)}
        self.load(1_000.0)

    @rule(for_ms=st.sampled_from([50.0, 300.0, 1_000.0, 2_500.0, 6_000.0]))
    def load(self, for_ms: float) -> None:
        """Run under load."""
        self.world.load(LARGE.id, 300.0, for_ms)
        self.world.load(SMALL.id, 30.0, for_ms)
        self.world.run(for_ms)

    @rule(for_ms=st.sampled_from([1_500.0, 6_000.0]), then_ms=st.sampled_from([800.0, 5_000.0]))
    def refill(self, for_ms: float, then_ms: float) -> None:
        """Let the quotas refill and use them up at once."""
        self.world.run(for_ms)
        self.load(then_ms)

    @rule(partitioned=st.sets(indexes, min_size=1, max_size=FIRST_COUNT - 1))
    def cut(self, partitioned: set[int]) -> None:
        """Partition some instances from the rest."""
        inside = [self.names[index] for index in partitioned]
        outside = [name for name in self.world.nodes if name not in inside]
        self.world.cut_links = {frozenset((a, b)) for a in inside for b in outside}

    @rule(index=indexes, other=indexes)
    def cut_pair(self, index: int, other: int) -> None:
        """Cut one link."""
        if index != other:
            self.world.cut_links.add(frozenset((self.names[index], self.names[other])))

    @rule()
    def heal(self) -> None:
        """Restore all links."""
        self.world.cut_links = set()

    @rule(index=indexes, back_ms=st.sampled_from([100.0, 700.0, 3_000.0]))
    def kill(self, index: int, back_ms: float) -> None:
        """Crash an instance that restarts later."""
        if not self.world.nodes[self.names[index]].is_dead:
            self.world.kill(self.names[index], back_ms)

    @rule(back_ms=st.sampled_from([400.0, 900.0]))
    def kill_all(self, back_ms: float) -> None:
        """Crash all instances, which restart later."""
        for name in self.names:
            if not self.world.nodes[name].is_dead:
                self.world.kill(name, back_ms * self.world.random.uniform(0.5, 1))

    @rule(index=indexes, for_ms=st.sampled_from([500.0, 2_000.0, 7_000.0]), suspended=st.booleans())
    def pause(self, index: int, for_ms: float, suspended: bool) -> None:
        """Pause or suspend an instance."""
        if not self.world.nodes[self.names[index]].is_dead:
            self.world.pause(self.names[index], for_ms, suspended=suspended)

    @rule(partitioned=st.sets(indexes, max_size=FIRST_COUNT))
    def drop_floors(self, partitioned: set[int]) -> None:
        """Let some instances lose all floor messages."""
        self.world.loses_floors = {self.names[index] for index in partitioned}

    @rule(is_unresponsive=st.booleans())
    def set_store_unresponsive(self, is_unresponsive: bool) -> None:
        """Make the store unresponsive or responsive."""
        self.world.is_store_unresponsive = is_unresponsive

    @rule()
    def step_clocks(self) -> None:
        """Step the wall clock of all instances."""
        self.world.epoch_step_ms += self.world.random.uniform(-3e5, 3e5)

    @rule()
    def kill_steward(self) -> None:
        """Crash the steward of the large account, which restarts later."""
        for node in list(self.world.nodes.values()):
            is_steward = not node.is_dead and node.limits.steward_count(LARGE.id) is not None  # type: ignore[attr-defined]
            if is_steward and sum(not each.is_dead for each in self.world.nodes.values()) > 3:
                self.world.kill(node.id, 900.0)

    @rule(factor=st.sampled_from([0.1, 0.5, 1.0]))
    def change(self, factor: float) -> None:
        """Change the large account's limit.

        A lower limit is enforced one window after all instances know it.
        """
        changed = msgspec.structs.replace(LARGE, rate_per_s=40 * factor, burst=40 * factor)
        before = self.world.accounts[LARGE.id]
        self.world.change(changed)
        self.check()
        if changed.rate_per_s < before.rate_per_s:
            self.load(PROPAGATION_MS + WINDOW_MS)
            self.since_ms[LARGE.id] = self.world.now_ms
        self.allowed[LARGE.id] = allowed_in_window(changed)

    @rule()
    def add(self) -> None:
        """Add an instance."""
        if len(self.world.nodes) < FIRST_COUNT + 3:
            self.world.add(InstanceId(f'added-{len(self.world.nodes)}'))

    @invariant()
    def check(self) -> None:
        """Check that no window has more uses than allowed."""
        if not hasattr(self, 'world'):
            return
        for account, allowed in self.allowed.items():
            largest = self.world.largest_window(account, self.since_ms[account])
            assert largest <= allowed, (account, largest, allowed)


LimitMachine.TestCase.settings = settings(max_examples=12, stateful_step_count=14, deadline=None)
test_machine = LimitMachine.TestCase


def test_instance_added_during_a_restart_of_all_is_no_second_steward() -> None:
    # All instances crash under load, and one is added before they restart. The restarted ones don't
    # know the new instance yet: in their replica set the first replica gets two of three votes, in
    # the new instance's replica set the new instance does.
    machine = LimitMachine()
    machine.start(seed=5927)
    machine.load(6_000.0)
    machine.kill_all(900.0)
    machine.kill_all(900.0)
    machine.add()
    machine.kill(3, 100.0)
    machine.kill(5, 100.0)
    machine.load(6_000.0)
    machine.check()
