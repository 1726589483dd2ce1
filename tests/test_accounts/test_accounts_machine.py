"""Any series of cuts, ends, pauses, additions and changes: no window passes its bound."""

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
places = st.integers(0, FIRST_COUNT - 1)


class LimitMachine(RuleBasedStateMachine):
    """Both accounts ask for many times their limits all the time."""

    @initialize(seed=st.integers(0, 2**16))
    def start(self, seed: int) -> None:
        """Start a fleet."""
        self.world = LimitWorld(StewardRateLimiter, FIRST_COUNT, [LARGE, SMALL], seed)
        self.world.lost_share = 0.02
        self.world.left_ms, self.world.may_wait_ms = 5_000.0, 240.0
        self.names = list(self.world.nodes)
        self.allowed = {each.id: allowed_in_window(each) for each in (LARGE, SMALL)}
        self.since_ms = {each.id: 0.0 for each in (LARGE, SMALL)}
        self.let_pass(1_000.0)

    @rule(for_ms=st.sampled_from([50.0, 300.0, 1_000.0, 2_500.0, 6_000.0]))
    def let_pass(self, for_ms: float) -> None:
        """Let time pass under load."""
        self.world.load(LARGE.id, 300.0, for_ms)
        self.world.load(SMALL.id, 30.0, for_ms)
        self.world.run(for_ms)

    @rule(for_ms=st.sampled_from([1_500.0, 6_000.0]), then_ms=st.sampled_from([800.0, 5_000.0]))
    def rest(self, for_ms: float, then_ms: float) -> None:
        """Let accounts fill up and ask for all of it at once."""
        self.world.run(for_ms)
        self.let_pass(then_ms)

    @rule(parted=st.sets(places, min_size=1, max_size=FIRST_COUNT - 1))
    def cut(self, parted: set[int]) -> None:
        """Part some instances from the rest."""
        inside = [self.names[place] for place in parted]
        outside = [name for name in self.world.nodes if name not in inside]
        self.world.cut_links = {frozenset((a, b)) for a in inside for b in outside}

    @rule(place=places, other=places)
    def cut_pair(self, place: int, other: int) -> None:
        """Cut one link."""
        if place != other:
            self.world.cut_links.add(frozenset((self.names[place], self.names[other])))

    @rule()
    def heal(self) -> None:
        """Mend all links."""
        self.world.cut_links = set()

    @rule(place=places, back_ms=st.sampled_from([100.0, 700.0, 3_000.0]))
    def kill(self, place: int, back_ms: float) -> None:
        """End one instance; it comes back."""
        if not self.world.nodes[self.names[place]].is_dead:
            self.world.kill(self.names[place], back_ms)

    @rule(back_ms=st.sampled_from([400.0, 900.0]))
    def kill_all(self, back_ms: float) -> None:
        """End all; they come back."""
        for name in self.names:
            if not self.world.nodes[name].is_dead:
                self.world.kill(name, back_ms * self.world.random.uniform(0.5, 1))

    @rule(place=places, for_ms=st.sampled_from([500.0, 2_000.0, 7_000.0]), suspended=st.booleans())
    def pause(self, place: int, for_ms: float, suspended: bool) -> None:
        """Stop one instance for a while."""
        if not self.world.nodes[self.names[place]].is_dead:
            self.world.pause(self.names[place], for_ms, suspended=suspended)

    @rule(parted=st.sets(places, max_size=FIRST_COUNT))
    def deafen(self, parted: set[int]) -> None:
        """Have some instances hear nothing of floors."""
        self.world.loses_floors = {self.names[place] for place in parted}

    @rule(is_silent=st.booleans())
    def silence_store(self, is_silent: bool) -> None:
        """Have the store answer nobody, or all again."""
        self.world.is_store_unresponsive = is_silent

    @rule()
    def step_clocks(self) -> None:
        """Step the time of day everywhere."""
        self.world.epoch_step_ms += self.world.random.uniform(-3e5, 3e5)

    @rule()
    def kill_steward(self) -> None:
        """End the instance that counts the large account; it comes back."""
        for node in list(self.world.nodes.values()):
            is_steward = not node.is_dead and node.limits.window(LARGE.id) is not None  # type: ignore[attr-defined]
            if is_steward and sum(not each.is_dead for each in self.world.nodes.values()) > 3:
                self.world.kill(node.id, 900.0)

    @rule(factor=st.sampled_from([0.1, 0.5, 1.0]))
    def change(self, factor: float) -> None:
        """Change the large account's limit; a lower one binds a window after all know it."""
        changed = msgspec.structs.replace(LARGE, rate_per_s=40 * factor, burst=40 * factor)
        before = self.world.accounts[LARGE.id]
        self.world.change(changed)
        self.check()
        if changed.rate_per_s < before.rate_per_s:
            self.let_pass(PROPAGATION_MS + WINDOW_MS)
            self.since_ms[LARGE.id] = self.world.now_ms
        self.allowed[LARGE.id] = allowed_in_window(changed)

    @rule()
    def add(self) -> None:
        """Add an instance."""
        if len(self.world.nodes) < FIRST_COUNT + 3:
            self.world.add(InstanceId(f'added-{len(self.world.nodes)}'))

    @invariant()
    def check(self) -> None:
        """No span of the window has more uses than allowed."""
        if not hasattr(self, 'world'):
            return
        for account, allowed in self.allowed.items():
            largest = self.world.largest_window(account, self.since_ms[account])
            assert largest <= allowed, (account, largest, allowed)


LimitMachine.TestCase.settings = settings(max_examples=12, stateful_step_count=14, deadline=None)
test_machine = LimitMachine.TestCase


def test_newcomer_beside_a_restart_of_all_is_no_second_steward() -> None:
    # All instances lose power while an account asks for many times its limit, and one is added
    # before they are back. Who is back does not know the newcomer yet: by their keepers the first
    # one gets two words of three, by the newcomer's the newcomer does.
    machine = LimitMachine()
    machine.start(seed=5927)
    machine.let_pass(6_000.0)
    machine.kill_all(900.0)
    machine.kill_all(900.0)
    machine.add()
    machine.kill(3, 100.0)
    machine.kill(5, 100.0)
    machine.let_pass(6_000.0)
    machine.check()
