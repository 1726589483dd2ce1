"""Which instance claims a job, and when."""

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
    """One instance that observes instance-0, the owner."""

    def __init__(self, clock: ManualClock, name: str = 'instance-1') -> None:
        context = manual_context(clock, name)
        self.clock = clock
        self.live = InstanceLiveness(context)
        self.takeover = TakeoverSchedule(context, f'life of {name}', self.live)

    def poll(self, **lives: tuple[str, int]) -> None:
        """Poll the heartbeats: incarnation and row version by instance."""
        for name, (life, version) in lives.items():
            self.live.record_row(InstanceId(name.replace('_', '-')), life, version)
        self.live.record_poll()
        self.live.record_own_heartbeat()

    def settle(self, **lives: tuple[str, int]) -> None:
        self.poll(**lives)
        self.clock.ms += SETTLE_MS
        self.poll(**lives)


def owned_by(name: str, life: str) -> JobHead:
    return msgspec.structs.replace(new_head(0), owner=InstanceId(name), owner_life=life)


def test_job_is_claimed_after_three_missed_heartbeats() -> None:
    watcher = Watcher(ManualClock())
    head = owned_by('instance-0', 'a')
    watcher.settle(instance_0=('a', 5))
    assert not watcher.takeover.is_due(head, 4)
    for _ in range(3):
        watcher.clock.ms += HEARTBEAT_TIMEOUT_MS / 3
        watcher.poll(instance_0=('a', 5))
    assert watcher.takeover.is_due(head, 4)


def test_rejected_heartbeat_writes_cause_no_takeover() -> None:
    # For 5 s the store rejects writes to the part that holds the heartbeats and still serves reads.
    # Every instance looks dead to every other. None claims a job, neither then nor afterwards.
    watcher = Watcher(ManualClock())
    head = owned_by('instance-0', 'a')
    watcher.settle(instance_0=('a', 5))
    for _ in range(10):
        watcher.clock.ms += 500.0
        watcher.live.record_row(InstanceId('instance-0'), 'a', 5)
        watcher.live.record_poll()
        assert not watcher.takeover.is_due(head, 4)
    watcher.poll(instance_0=('a', 5))
    assert not watcher.takeover.is_due(head, 4)


def test_recently_written_head_proves_its_owner_alive() -> None:
    watcher = Watcher(ManualClock())
    watcher.settle(instance_0=('a', 5))
    for _ in range(4):
        watcher.clock.ms += 900.0
        watcher.poll(instance_0=('a', 5))
    assert not watcher.takeover.is_due(owned_by('instance-0', 'a'), 12)


def test_owner_with_heartbeats_keeps_its_job() -> None:
    watcher = Watcher(ManualClock())
    head = owned_by('instance-0', 'a')
    for version in range(5, 25):
        watcher.clock.ms += 900.0
        watcher.poll(instance_0=('a', version))
        assert not watcher.takeover.is_due(head, 4)


def test_store_outage_causes_no_takeover() -> None:
    # The store is down for 8 s and no instance can renew its heartbeat. If the timeouts ran on, all
    # instances would take over each other's jobs when it recovers.
    watcher = Watcher(ManualClock())
    head = owned_by('instance-0', 'a')
    watcher.settle(instance_0=('a', 5))
    watcher.clock.ms += 8_000.0
    watcher.poll(instance_0=('a', 5))
    assert not watcher.takeover.is_due(head, 4)


def test_job_of_a_restarted_owner_is_claimed_at_once() -> None:
    watcher = Watcher(ManualClock())
    head = owned_by('instance-0', 'a')
    watcher.settle(instance_0=('b', 9))
    assert watcher.takeover.is_due(head, 4)


def test_claim_by_a_newly_started_instance_is_respected() -> None:
    # All instances restart. One claims a job before the others have polled its first heartbeat; if
    # they considered it dead, each would claim the job from the one before, and every item would
    # run several times.
    watcher = Watcher(ManualClock())
    head = owned_by('instance-2', 'new')
    watcher.settle(instance_2=('old', 5))
    assert not watcher.takeover.is_due(head, 12)
    watcher.clock.ms += 900.0
    watcher.poll(instance_2=('new', 13))
    assert not watcher.takeover.is_due(head, 12)


def test_no_claim_before_the_instances_have_settled() -> None:
    watcher = Watcher(ManualClock())
    head = owned_by('', '')
    assert not watcher.takeover.is_due(head, 4)
    watcher.poll()
    assert not watcher.takeover.is_due(head, 4)
    watcher.clock.ms += SETTLE_MS
    watcher.poll()
    assert watcher.takeover.is_due(head, 4)


def test_instances_may_claim_one_after_another() -> None:
    clock = ManualClock()
    names = [f'instance-{n}' for n in range(1, 5)]
    watchers = [Watcher(clock, name) for name in names]
    lives = {name.replace('-', '_'): ('x', 5) for name in names}
    for watcher in watchers:
        watcher.poll(**lives)
    clock.ms += SETTLE_MS
    head = owned_by('', '')
    claimed = []
    for _ in range(4):
        for watcher in watchers:
            watcher.poll(**{name: ('x', int(clock.ms)) for name in lives})
        claimed.append(sum(watcher.takeover.is_due(head, 4) for watcher in watchers))
        clock.ms += ROTATION_MS
    assert claimed == [1, 2, 3, 4]


def test_own_uncertain_acceptance_is_claimed_by_its_instance() -> None:
    # An acceptance took effect but its reply was lost, so the instance does not run the job. Other
    # instances see a live owner; only the owner itself can claim the job.
    watcher = Watcher(ManualClock())
    head = owned_by('instance-1', 'life of instance-1')
    watcher.settle()
    assert not watcher.takeover.is_due(head, 4)
    watcher.clock.ms += OWN_CLAIM_DELAY_MS
    assert watcher.takeover.is_due(head, 4)


def test_longer_heartbeat_interval_of_a_large_fleet_causes_no_takeover() -> None:
    # In a fleet of 90 instances heartbeats are written every 1.8 s and polled every 2 s. The job of
    # a live owner must not be taken over because of that; a dead owner loses it later.
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


def test_stopped_instance_is_dead_since_its_row_was_removed() -> None:
    # An instance writes a row, runs on for a long time and stops as planned. Its last writes may
    # take effect within seconds of the stop, not of the time at which the row was first seen.
    watcher = Watcher(ManualClock())
    watcher.settle(instance_0=('a', 5))
    row_seen_ms = watcher.clock.ms
    for beat in range(20):
        watcher.clock.ms += 900.0
        watcher.poll(instance_0=('a', 6 + beat))
    watcher.live.record_removed(InstanceId('instance-0'))
    watcher.clock.ms += 100.0
    assert watcher.live.dead_for_ms(InstanceId('instance-0'), 'a', 4, row_seen_ms) == 100.0


def test_removal_of_an_expired_row_keeps_the_time_of_death() -> None:
    watcher = Watcher(ManualClock())
    watcher.settle(instance_0=('a', 5))
    row_seen_ms = 0.0
    for _ in range(20):
        watcher.clock.ms += 900.0
        watcher.poll(instance_0=('a', 5))
    before = watcher.live.dead_for_ms(InstanceId('instance-0'), 'a', 4, row_seen_ms)
    watcher.live.record_removed(InstanceId('instance-0'))
    assert watcher.live.dead_for_ms(InstanceId('instance-0'), 'a', 4, row_seen_ms) == before
