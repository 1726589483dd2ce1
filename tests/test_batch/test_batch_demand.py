"""Owners publish their batch demand and divide free capacity by it."""

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
from citrondyke.gateway.peers.demand_codec import pack_demand, unpack_demand
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
    """One owner and the demand that it knows of."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.table = BatchDemandTable(manual_context(self.clock))

    def demand(
        self, count: int, likelihood: CompletionLikelihood = DOABLE, start_in_ms: float = 9e3
    ) -> None:
        need = BatchDemand(SERVICE, likelihood, count, self.clock.ms + start_in_ms)
        self.table.record_own_demand([need])

    def receive(
        self,
        count: int,
        likelihood: CompletionLikelihood = DOABLE,
        start_in_ms: float = 9e3,
        peer: InstanceId = PEER,
    ) -> None:
        self.table.record_peer_demand(peer, [DemandNotice(SERVICE, likelihood, count, start_in_ms)])

    def share(self, free_count: int) -> float:
        return self.table.own_share_of_capacity(SERVICE, free_count)


def test_only_owners_with_waiting_items_share_capacity() -> None:
    owner = Owner()
    assert owner.share(10) == 0.0
    owner.demand(30)
    assert owner.share(10) == 10.0
    owner.receive(10)
    assert owner.share(8) == pytest.approx(6.0)


def test_most_urgent_items_get_the_free_capacity() -> None:
    owner = Owner()
    owner.demand(30, start_in_ms=9_000.0)
    owner.receive(6, start_in_ms=2_000.0)
    assert owner.share(10) == 4.0
    assert owner.share(6) == 0.0


@pytest.mark.parametrize('likelihood', [DOUBTFUL, LATE])
def test_doubtful_and_late_items_yield_to_doable_ones(
    likelihood: CompletionLikelihood,
) -> None:
    owner = Owner()
    owner.demand(30, likelihood, start_in_ms=-100.0)
    owner.receive(6, start_in_ms=60_000.0)
    assert owner.share(6) == 0.0
    assert owner.share(7) == 1.0


def test_demand_of_a_dead_owner_expires() -> None:
    owner = Owner()
    owner.demand(30)
    owner.receive(99, start_in_ms=1_000.0)
    assert owner.share(10) == 0.0
    owner.clock.ms += EXPIRY_MS
    assert owner.share(10) == 10.0


def test_ended_demand_is_published_and_lasting_demand_renewed() -> None:
    owner = Owner()
    assert owner.table.take_due_notices() is None
    owner.demand(30)
    notices = owner.table.take_due_notices()
    assert notices == [DemandNotice(SERVICE, DOABLE, 30, 9_000.0)]
    owner.clock.ms += PUBLISH_EVERY_MS
    assert owner.table.take_due_notices() is None
    owner.clock.ms += RENEW_MS
    assert owner.table.take_due_notices() is not None
    owner.table.record_own_demand([])
    owner.clock.ms += PUBLISH_EVERY_MS
    assert owner.table.take_due_notices() == []
    owner.clock.ms += RENEW_MS
    assert owner.table.take_due_notices() is None


def test_peer_demand_is_unknown_until_peers_could_publish() -> None:
    owner = Owner()
    owner.demand(5)
    assert not owner.table.is_peer_demand_known(SERVICE)
    owner.clock.ms += RENEW_MS
    assert owner.table.is_peer_demand_known(SERVICE)


def test_doable_items_start_by_due_time_and_doubtful_ones_by_slack() -> None:
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


def test_headroom_follows_the_rises_of_online_load() -> None:
    clock = ManualClock()
    headroom = OnlineHeadroom(manual_context(clock))
    assert headroom.headroom_by_rises(SERVICE, 12, 96) == 12
    headroom.observe(SERVICE, 32, is_online=True)
    assert headroom.headroom_by_rises(SERVICE, 12, 96) == 32 * WARMUP_RISE_PART
    for _ in range(int(WARMUP_MS / 25.0) + 80):
        clock.ms += 25.0
        headroom.observe(SERVICE, 32, is_online=True)
    assert headroom.headroom_by_rises(SERVICE, 12, 96) == 1
    for step in range(80):
        clock.ms += 25.0
        headroom.observe(SERVICE, 32 + 3 * step, is_online=True)
    assert 5 <= headroom.headroom_by_rises(SERVICE, 12, 96) <= 7
    for step in range(80):
        clock.ms += 25.0
        headroom.observe(SERVICE, 400 + 50 * step, is_online=True)
    assert headroom.headroom_by_rises(SERVICE, 12, 96) == 12


def test_demand_survives_encoding() -> None:
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
        pack_demand([DemandNotice(SERVICE, DOABLE, 1, math.nan)]),
        pack_demand([DemandNotice(SERVICE, DOABLE, 1, math.inf)]),
    ],
)
def test_invalid_demand_is_rejected(data: bytes) -> None:
    with pytest.raises(ValueError, match=r'.'):
        unpack_demand(data)
