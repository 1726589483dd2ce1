"""Tests that an accepted item is run again after any crashes, and that it costs few servers."""

from __future__ import annotations

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from citrondyke.decisions.crashes.item_probe_gate import MAX_FAILED_PAUSE_MS, ItemProbeGate
from citrondyke.decisions.crashes.probe_policy import (
    FIRST_PROBE_PAUSE_MS,
    MAX_OWED_PART_PAUSE_MS,
    MAX_OWED_PAUSE_MS,
    MIN_OWED_PAUSE_MS,
    OwedItemProbes,
    owed_item_probes,
)
from citrondyke.decisions.crashes.suspect_key import RequestKeys, SuspectKey
from citrondyke.decisions.crashes.suspect_registry import (
    PROBE_TIMEOUT_MS,
    SuspectRegistry,
    SuspectStatus,
)
from citrondyke.ids import PromptPart
from tests.support.manual_clock import ManualClock, manual_context

TARGET_MS = 18_000.0
ITEM = RequestKeys(b'POST', 'h', b'/p/', b'item', (PromptPart('a'), PromptPart('b')))
OTHER = RequestKeys(b'POST', 'h', b'/p/', b'other', (PromptPart('a'), PromptPart('b')))
POLL_MS = 250.0


class Owner:
    """Owner of an item, and the suspects that it knows."""

    def __init__(self, policy: OwedItemProbes) -> None:
        self.clock = ManualClock()
        self.suspects = SuspectRegistry(manual_context(self.clock))
        self.policy = policy
        self.gate = ItemProbeGate(manual_context(self.clock))
        self.servers_count = 0

    def try_send(self, keys: RequestKeys = ITEM, *, is_claimed: bool = True) -> bool:
        """Send the item if it may be sent; a due probe is claimed."""
        verdict = self.suspects.verdict_on(keys, self.policy)
        if verdict.status is SuspectStatus.PROBE_DUE and verdict.key is not None:
            if not self.gate.try_start(self):
                return False
            if is_claimed:
                self.suspects.merge(self.suspects.probe_row(verdict.key, self.policy))
            else:
                self.gate.end(self)
            return is_claimed
        return not verdict.is_blocked

    def record_exit(self, *keys: SuspectKey) -> None:
        self.servers_count += 1
        self.gate.record_failed(self)
        for key in keys:
            self.suspects.record_server_exit(key, self.servers_count, is_fresh=True)

    def wait_for_send(self, longest_ms: float, keys: RequestKeys = ITEM) -> float:
        """Poll until the item may be sent; return how long that took."""
        began_ms = self.clock.ms
        while not self.try_send(keys):
            self.clock.ms += POLL_MS
            assert self.clock.ms - began_ms <= longest_ms, 'the item is never sent'
        return self.clock.ms - began_ms


@pytest.mark.parametrize('crashes_count', [3, 5, 8, 50])
def test_item_under_which_servers_crashed_is_soon_sent_again(crashes_count: int) -> None:
    # The crashes have another cause; afterwards all is calm.
    owner = Owner(owed_item_probes(TARGET_MS))
    for _ in range(crashes_count):
        owner.wait_for_send(TARGET_MS / 4)
        owner.record_exit(ITEM.content)
    assert owner.wait_for_send(TARGET_MS / 4) >= FIRST_PROBE_PAUSE_MS


def test_item_whose_probes_are_rejected_is_sent_again() -> None:
    owner = Owner(owed_item_probes(TARGET_MS))
    for _ in range(3):
        owner.record_exit(ITEM.content)
    for _ in range(10):
        owner.wait_for_send(TARGET_MS / 4)
        owner.gate.end(owner)


def test_probes_of_items_leave_online_requests_theirs() -> None:
    # Items and online requests share a prompt part; the items' probes were rejected or failed.
    owner = Owner(owed_item_probes(TARGET_MS))
    keys = RequestKeys(b'POST', 'h', b'/q/', b'online', (PromptPart('a'),))
    part = keys.parts[0]
    for _ in range(3):
        owner.record_exit(part)
    for number in range(10):
        owner.wait_for_send(MAX_OWED_PART_PAUSE_MS + POLL_MS, keys)
        if number % 2:
            owner.record_exit(part)
        owner.gate.end(owner)
    owner.clock.ms += FIRST_PROBE_PAUSE_MS
    assert owner.suspects.verdict_on(keys).status is SuspectStatus.PROBE_DUE
    owner.suspects.merge(owner.suspects.probe_row(part))
    assert owner.suspects.probes_count(part) == 1


def test_probes_of_many_items_cost_few_servers() -> None:
    # Twenty items crash their servers, each by itself; their owner sends whichever may be sent.
    owner = Owner(owed_item_probes(TARGET_MS))
    items = [RequestKeys(b'POST', 'h', b'/p/', b'item %d' % number) for number in range(20)]
    for keys in items:
        for _ in range(3):
            owner.record_exit(keys.content)
    before, until_ms = owner.servers_count, owner.clock.ms + 60_000.0
    while owner.clock.ms < until_ms:
        for keys in items:
            if owner.try_send(keys):
                owner.record_exit(keys.content)
        owner.clock.ms += POLL_MS
    assert owner.servers_count - before <= 60_000 / MAX_FAILED_PAUSE_MS + 5
    # Once one of them is answered, the others follow without a pause.
    owner.wait_for_send(MAX_FAILED_PAUSE_MS + POLL_MS, items[0])
    owner.gate.record_answered(owner)
    owner.clock.ms += TARGET_MS
    for keys in items:
        assert owner.try_send(keys)
        owner.gate.record_answered(owner)


def test_item_that_crashes_servers_costs_few() -> None:
    # It is owed as long as its job allows; meanwhile the pauses grow to their bound.
    owner = Owner(owed_item_probes(3_600_000.0))
    sends = 0
    until_ms = owner.clock.ms + 60_000.0
    while owner.clock.ms < until_ms:
        if owner.try_send():
            sends += 1
            owner.record_exit(ITEM.content)
        owner.clock.ms += POLL_MS
    assert sends <= 3 + 60_000 // MAX_OWED_PAUSE_MS + 2


@pytest.mark.parametrize(
    ('target_ms', 'pause_ms'),
    [(100.0, MIN_OWED_PAUSE_MS), (18_000.0, 3_600.0), (1e7, MAX_OWED_PAUSE_MS)],
)
def test_pause_of_an_owed_item_follows_its_target(target_ms: float, pause_ms: float) -> None:
    owner = Owner(owed_item_probes(target_ms))
    for _ in range(20):
        owner.record_exit(ITEM.content)
        owner.suspects.merge(owner.suspects.probe_row(ITEM.content, owner.policy))
    assert pause_ms <= owner.wait_for_send(pause_ms + POLL_MS)


class OwedItem(RuleBasedStateMachine):
    """Whatever has happened, an open item is sent again once all is calm."""

    def __init__(self) -> None:
        super().__init__()
        self.owner = Owner(owed_item_probes(TARGET_MS))
        self.is_store_away = False
        self.is_running = False
        self.probed: SuspectKey | None = None

    @rule(pause_ms=st.sampled_from([50.0, 1_000.0, 5_000.0, 20_000.0]))
    def pass_time(self, pause_ms: float) -> None:
        self.owner.clock.ms += pause_ms

    @rule()
    def toggle_store(self) -> None:
        self.is_store_away = not self.is_store_away

    @precondition(lambda self: not self.is_running)
    @rule()
    def send(self) -> None:
        self.is_running = self.owner.try_send(is_claimed=not self.is_store_away)

    @precondition(lambda self: self.is_running)
    @rule()
    def crash(self) -> None:
        self.is_running = False
        self.owner.record_exit(ITEM.content, *ITEM.parts)

    @precondition(lambda self: self.is_running)
    @rule()
    def reject(self) -> None:
        self.is_running = False
        self.owner.gate.end(self.owner)
        for key in ITEM.parts:
            # An online request with the same part was rejected, too.
            self.owner.suspects.record_probe_refused(key)

    @precondition(lambda self: self.is_running)
    @rule()
    def preempt(self) -> None:
        self.is_running = False
        self.owner.gate.end(self.owner)

    @rule(count=st.integers(1, 4))
    def crash_under_another(self, count: int) -> None:
        for _ in range(count):
            self.owner.record_exit(OTHER.content, *OTHER.parts)

    @rule()
    def probe_another(self) -> None:
        """Another request with the same parts claims a probe and gives no result."""
        for key in OTHER.parts:
            if self.owner.suspects.score(key):
                self.owner.suspects.merge(self.owner.suspects.probe_row(key))

    def teardown(self) -> None:
        self.owner.gate.end(self.owner)
        # Each key that blocks the item may need a probe of its own.
        keys_count = 1 + len(ITEM.parts)
        self.owner.wait_for_send(keys_count * (MAX_OWED_PART_PAUSE_MS + PROBE_TIMEOUT_MS))


TestOwedItem = OwedItem.TestCase
TestOwedItem.settings = settings(max_examples=60, stateful_step_count=40, deadline=None)
