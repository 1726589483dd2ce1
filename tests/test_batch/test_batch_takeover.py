"""Who claims a job, and when."""

from __future__ import annotations

import msgspec

from citrondyke.decisions.batch.job import JobHead
from citrondyke.decisions.batch.takeover import (
    HEARTBEAT_TIMEOUT_MS,
    OWN_CLAIM_DELAY_MS,
    ROTATION_MS,
    SETTLE_MS,
    InstanceLiveness,
    TakeoverSchedule,
)
from citrondyke.ids import InstanceId
from tests.support.manual_clock import ManualClock, manual_context
from tests.test_batch.test_batch_machine import new_head


class Watcher:
    """One instance that watches instance-0, the owner."""

    def __init__(self, clock: ManualClock, name: str = 'instance-1') -> None:
        context = manual_context(clock, name)
        self.clock = clock
        self.live = InstanceLiveness(context)
        self.takeover = TakeoverSchedule(context, f'life of {name}', self.live)

    def look(self, **lives: tuple[str, int]) -> None:
        """Read the table of heartbeats: life and row version by instance."""
        for name, (life, version) in lives.items():
            self.live.record_row(InstanceId(name.replace('_', '-')), life, version)
        self.live.record_poll()
        self.live.record_own_heartbeat()

    def settle(self, **lives: tuple[str, int]) -> None:
        self.look(**lives)
        self.clock.ms += SETTLE_MS
        self.look(**lives)


def owned_by(name: str, life: str) -> JobHead:
    return msgspec.structs.replace(new_head(0), owner=InstanceId(name), owner_life=life)


def test_silent_owner_is_followed_after_three_heartbeats() -> None:
    watcher = Watcher(ManualClock())
    head = owned_by('instance-0', 'a')
    watcher.settle(instance_0=('a', 5))
    assert not watcher.takeover.is_due(head, 4)
    for _ in range(3):
        watcher.clock.ms += HEARTBEAT_TIMEOUT_MS / 3
        watcher.look(instance_0=('a', 5))
    assert watcher.takeover.is_due(head, 4)


def test_heartbeats_that_cannot_be_written_make_nobody_silent() -> None:
    # The store refuses the part that holds the heartbeats for 5 s and still shows its rows. All
    # look silent to all; nobody claims, neither then nor when it takes them again.
    watcher = Watcher(ManualClock())
    head = owned_by('instance-0', 'a')
    watcher.settle(instance_0=('a', 5))
    for _ in range(10):
        watcher.clock.ms += 500.0
        watcher.live.record_row(InstanceId('instance-0'), 'a', 5)
        watcher.live.record_poll()
        assert not watcher.takeover.is_due(head, 4)
    watcher.look(instance_0=('a', 5))
    assert not watcher.takeover.is_due(head, 4)


def test_head_written_a_moment_ago_shows_a_living_owner() -> None:
    watcher = Watcher(ManualClock())
    watcher.settle(instance_0=('a', 5))
    for _ in range(4):
        watcher.clock.ms += 900.0
        watcher.look(instance_0=('a', 5))
    assert not watcher.takeover.is_due(owned_by('instance-0', 'a'), 12)


def test_owner_that_beats_keeps_its_job() -> None:
    watcher = Watcher(ManualClock())
    head = owned_by('instance-0', 'a')
    for version in range(5, 25):
        watcher.clock.ms += 900.0
        watcher.look(instance_0=('a', version))
        assert not watcher.takeover.is_due(head, 4)


def test_outage_of_the_store_makes_nobody_silent() -> None:
    # The store is down for 8 s and nobody can renew anything. If that counted as silence, all
    # instances would take over from all others when it returns.
    watcher = Watcher(ManualClock())
    head = owned_by('instance-0', 'a')
    watcher.settle(instance_0=('a', 5))
    watcher.clock.ms += 8_000.0
    watcher.look(instance_0=('a', 5))
    assert not watcher.takeover.is_due(head, 4)


def test_owner_that_began_anew_is_followed_at_once() -> None:
    watcher = Watcher(ManualClock())
    head = owned_by('instance-0', 'a')
    watcher.settle(instance_0=('b', 9))
    assert watcher.takeover.is_due(head, 4)


def test_claim_is_not_taken_for_ownerless_before_its_owner_is_known() -> None:
    # All instances start anew. One claims a job before its first heartbeat was read by the
    # others; if they took it for gone, each would claim from the one before, and every item
    # would run several times.
    watcher = Watcher(ManualClock())
    head = owned_by('instance-2', 'new')
    watcher.settle(instance_2=('old', 5))
    assert not watcher.takeover.is_due(head, 12)
    watcher.clock.ms += 900.0
    watcher.look(instance_2=('new', 13))
    assert not watcher.takeover.is_due(head, 12)


def test_nobody_claims_before_the_others_had_time_to_show() -> None:
    watcher = Watcher(ManualClock())
    head = owned_by('', '')
    assert not watcher.takeover.is_due(head, 4)
    watcher.look()
    assert not watcher.takeover.is_due(head, 4)
    watcher.clock.ms += SETTLE_MS
    watcher.look()
    assert watcher.takeover.is_due(head, 4)


def test_instances_take_turns() -> None:
    clock = ManualClock()
    names = [f'instance-{n}' for n in range(1, 5)]
    watchers = [Watcher(clock, name) for name in names]
    lives = {name.replace('-', '_'): ('x', 5) for name in names}
    for watcher in watchers:
        watcher.look(**lives)
    clock.ms += SETTLE_MS
    head = owned_by('', '')
    claimed = []
    for _ in range(4):
        for watcher in watchers:
            watcher.look(**{name: ('x', int(clock.ms)) for name in lives})
        claimed.append(sum(watcher.takeover.is_due(head, 4) for watcher in watchers))
        clock.ms += ROTATION_MS
    assert claimed == [1, 2, 3, 4]


def test_own_acceptance_in_doubt_is_claimed_by_its_instance() -> None:
    # An acceptance took effect without its reply, and the instance does not run the job. Others
    # see a living owner, so only that instance itself can find it.
    watcher = Watcher(ManualClock())
    head = owned_by('instance-1', 'life of instance-1')
    watcher.settle()
    assert not watcher.takeover.is_due(head, 4)
    watcher.clock.ms += OWN_CLAIM_DELAY_MS
    assert watcher.takeover.is_due(head, 4)


def test_rarer_heartbeats_of_a_large_fleet_are_no_silence() -> None:
    # In a fleet of 90 instances heartbeats are written every 1.8 s and read every 2 s. The job of
    # an owner that lives must not be taken over for that; one that is gone loses it later.
    clock = ManualClock()
    live = InstanceLiveness(manual_context(clock))
    live.timeout_factor = 2.0
    owner = InstanceId('instance-0')
    since_ms = clock.ms
    for version in range(1, 6):
        live.record_own_heartbeat()
        live.record_row(owner, 'life', version)
        live.record_poll()
        clock.ms += 3_300.0
        assert live.is_own_heartbeat_fresh
        assert live.is_settled
        assert not live.is_dead(owner, 'life', 0, since_ms)
    clock.ms += 2_700.0
    assert live.is_dead(owner, 'life', 0, since_ms)


def test_instance_that_left_is_gone_since_it_left() -> None:
    # An instance writes a row, runs on for a long time and stops as planned. What it sent to the
    # store last may come for seconds from then on, not from when the row was first seen.
    watcher = Watcher(ManualClock())
    watcher.settle(instance_0=('a', 5))
    row_seen_ms = watcher.clock.ms
    for beat in range(20):
        watcher.clock.ms += 900.0
        watcher.look(instance_0=('a', 6 + beat))
    watcher.live.record_removed(InstanceId('instance-0'))
    watcher.clock.ms += 100.0
    assert watcher.live.dead_for_ms(InstanceId('instance-0'), 'a', 4, row_seen_ms) == 100.0


def test_instance_whose_row_is_taken_away_was_gone_since_its_silence() -> None:
    watcher = Watcher(ManualClock())
    watcher.settle(instance_0=('a', 5))
    row_seen_ms = 0.0
    for _ in range(20):
        watcher.clock.ms += 900.0
        watcher.look(instance_0=('a', 5))
    before = watcher.live.dead_for_ms(InstanceId('instance-0'), 'a', 4, row_seen_ms)
    watcher.live.record_removed(InstanceId('instance-0'))
    assert watcher.live.dead_for_ms(InstanceId('instance-0'), 'a', 4, row_seen_ms) == before
