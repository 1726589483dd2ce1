"""Owners tell each other what waits, and share free places by it."""

from __future__ import annotations

import math

import msgspec
import pytest

from citrondyke.decisions.batch.batch_demand import BatchDemand, CompletionLikelihood, DemandNotice
from citrondyke.decisions.batch.batch_demand_table import (
    EXPIRY_MS,
    PUBLISH_EVERY_MS,
    RENEW_MS,
    BatchDemandTable,
)
from citrondyke.decisions.batch.item_priority import LATE_SLACK_MS, batch_demand_of, priority_of
from citrondyke.decisions.batch.online_headroom import WARMUP_MS, WARMUP_RISE_PART, OnlineHeadroom
from citrondyke.gateway.peers.need_codec import pack_needs, unpack_needs
from citrondyke.gateway.peers.peer_codec import (
    BatchNeeds,
    PeerMessage,
    decode_message,
    encode_message,
)
from citrondyke.ids import ConfigVersion, InstanceId, ServiceName
from tests.support.manual_clock import ManualClock, manual_context

SERVICE = ServiceName('lm')
PEER = InstanceId('peer')
DOABLE, DOUBTFUL, LATE = (
    CompletionLikelihood.DOABLE,
    CompletionLikelihood.DOUBTFUL,
    CompletionLikelihood.LATE,
)


class Owner:
    """One owner and what it has heard."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.book = BatchDemandTable(manual_context(self.clock))

    def wait_for(
        self, count: int, prospect: CompletionLikelihood = DOABLE, start_in_ms: float = 9e3
    ) -> None:
        need = BatchDemand(SERVICE, prospect, count, self.clock.ms + start_in_ms)
        self.book.record_own_demand([need])

    def hear(
        self,
        count: int,
        prospect: CompletionLikelihood = DOABLE,
        start_in_ms: float = 9e3,
        peer: InstanceId = PEER,
    ) -> None:
        self.book.record_peer_demand(peer, [DemandNotice(SERVICE, prospect, count, start_in_ms)])

    def part(self, free_count: int) -> float:
        return self.book.own_share_of_capacity(SERVICE, free_count)


def test_only_those_who_have_items_waiting_share_free_places() -> None:
    owner = Owner()
    assert owner.part(10) == 0.0
    owner.wait_for(30)
    assert owner.part(10) == 10.0
    owner.hear(10)
    assert owner.part(8) == pytest.approx(6.0)


def test_most_urgent_items_get_the_free_places() -> None:
    owner = Owner()
    owner.wait_for(30, start_in_ms=9_000.0)
    owner.hear(6, start_in_ms=2_000.0)
    assert owner.part(10) == 4.0
    assert owner.part(6) == 0.0


@pytest.mark.parametrize('prospect', [DOUBTFUL, LATE])
def test_items_that_may_be_late_leave_the_places_to_those_in_time(
    prospect: CompletionLikelihood,
) -> None:
    owner = Owner()
    owner.wait_for(30, prospect, start_in_ms=-100.0)
    owner.hear(6, start_in_ms=60_000.0)
    assert owner.part(6) == 0.0
    assert owner.part(7) == 1.0


def test_need_of_a_dead_owner_lapses() -> None:
    owner = Owner()
    owner.wait_for(30)
    owner.hear(99, start_in_ms=1_000.0)
    assert owner.part(10) == 0.0
    owner.clock.ms += EXPIRY_MS
    assert owner.part(10) == 10.0


def test_need_that_is_over_is_told_at_once_and_one_that_lasts_again() -> None:
    owner = Owner()
    assert owner.book.take_due_notices() is None
    owner.wait_for(30)
    told = owner.book.take_due_notices()
    assert told == [DemandNotice(SERVICE, DOABLE, 30, 9_000.0)]
    owner.clock.ms += PUBLISH_EVERY_MS
    assert owner.book.take_due_notices() is None
    owner.clock.ms += RENEW_MS
    assert owner.book.take_due_notices() is not None
    owner.book.record_own_demand([])
    owner.clock.ms += PUBLISH_EVERY_MS
    assert owner.book.take_due_notices() == []
    owner.clock.ms += RENEW_MS
    assert owner.book.take_due_notices() is None


def test_owner_shares_with_all_until_others_had_the_time_to_tell() -> None:
    owner = Owner()
    owner.wait_for(5)
    assert not owner.book.is_peer_demand_known(SERVICE)
    owner.clock.ms += RENEW_MS
    assert owner.book.is_peer_demand_known(SERVICE)


def test_items_start_by_due_time_and_doubtful_ones_by_their_chance() -> None:
    margin_ms = 1_000.0
    slacks_ms = [5_000.0, 900.0, 1_500.0, 100.0, LATE_SLACK_MS - 1.0]
    priorities = sorted(
        (priority_of(each, margin_ms) for each in slacks_ms), key=lambda each: each.order
    )
    assert [each.slack_ms for each in priorities] == [
        1_500.0,
        5_000.0,
        900.0,
        100.0,
        LATE_SLACK_MS - 1.0,
    ]
    assert batch_demand_of(SERVICE, priorities, 0.0) == BatchDemand(SERVICE, DOABLE, 2, 1_500.0)
    cut = priority_of(5_000.0, margin_ms, has_begun=True)
    assert cut.order < priorities[0].order


def test_places_kept_follow_the_rises_of_online_requests() -> None:
    clock = ManualClock()
    headroom = OnlineHeadroom(manual_context(clock))
    assert headroom.headroom_for(SERVICE, 12) == 12
    headroom.observe(SERVICE, 32)
    assert headroom.headroom_for(SERVICE, 12) == 32 * WARMUP_RISE_PART
    for _ in range(int(WARMUP_MS / 25.0) + 80):
        clock.ms += 25.0
        headroom.observe(SERVICE, 32)
    assert headroom.headroom_for(SERVICE, 12) == 1
    for step in range(80):
        clock.ms += 25.0
        headroom.observe(SERVICE, 32 + 3 * step)
    assert 5 <= headroom.headroom_for(SERVICE, 12) <= 7
    for step in range(80):
        clock.ms += 25.0
        headroom.observe(SERVICE, 400 + 50 * step)
    assert headroom.headroom_for(SERVICE, 12) == 12


def test_needs_pass_between_instances() -> None:
    needs = [DemandNotice(SERVICE, LATE, 7, -1_200.0)]
    message = PeerMessage(PEER, ConfigVersion(3), BatchNeeds(needs))
    assert decode_message(encode_message(message)) == message
    empty = PeerMessage(PEER, ConfigVersion(3), BatchNeeds([]))
    assert decode_message(encode_message(empty)) == empty


@pytest.mark.parametrize(
    'data',
    [
        b'\xc1',
        msgspec.msgpack.encode([['lm', 3, 1, 0.0]]),
        msgspec.msgpack.encode([['lm', 0, -1, 0.0]]),
        msgspec.msgpack.encode([['lm', 0, 10**9, 0.0]]),
        pack_needs([DemandNotice(SERVICE, DOABLE, 1, math.nan)]),
        pack_needs([DemandNotice(SERVICE, DOABLE, 1, math.inf)]),
    ],
)
def test_needs_that_cannot_be_are_no_message(data: bytes) -> None:
    with pytest.raises(ValueError, match=r'.'):
        unpack_needs(data)
