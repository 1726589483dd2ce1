"""Tests that instances of a large fleet share observed server exits at a bounded cost."""

from __future__ import annotations

import random

import pytest

from citrondyke.decisions.core.context import Context
from citrondyke.decisions.crashes.suspect_key import (
    RequestKeys,
)
from citrondyke.decisions.crashes.suspect_registry import (
    EXCUSED_MS,
    SuspectRegistry,
    SuspectStatus,
)
from citrondyke.decisions.forwarding.server_registry import ServerRegistry
from citrondyke.errors.broken_reply import BrokenReplyError, ReplyFailureKind
from citrondyke.gateway.metrics import Metrics
from citrondyke.gateway.replication.dependency import Dependency
from citrondyke.gateway.servers.poison_request_guard import PoisonRequestGuard
from citrondyke.gateway.servers.suspect_store import SuspectStore
from citrondyke.gateway.tasks import Tasks
from citrondyke.ids import AvailabilityZone, InstanceId, PromptPart, ServerId
from citrondyke.standin.part_table import PartTable
from tests.support.manual_clock import ManualClock, manual_context
from tests.support.peers import listed_server

SERVERS = 20
CULPRIT_WORK = RequestKeys(b'POST', 'h', b'/p/', b'culprit')
CULPRIT = CULPRIT_WORK.content
PART = PromptPart('bad0')


class Member:
    """An instance without sockets."""

    def __init__(self, context: Context, table: PartTable) -> None:
        self.book = ServerRegistry(context)
        self.book.replace(listed_server(f's-{n}', 's') for n in range(SERVERS))
        self.suspects = SuspectRegistry(context)
        dependency = Dependency(context.clock, 'store')
        store = SuspectStore(context, table, dependency, self.suspects, lambda: 1.0)
        self.guard = PoisonRequestGuard(
            context, self.book, self.suspects, store, Metrics(), Tasks()
        )

    def see_end(self, server: int, *works: RequestKeys) -> None:
        """Interrupt requests at a server that then refuses connections."""
        state = self.book.state(ServerId(f's-{server}'))
        assert state is not None
        for work in works:
            self.guard.record_interrupted(state, work, ReplyFailureKind.SILENT, None)
        refused = BrokenReplyError(ReplyFailureKind.NO_CONNECTION)
        refused.__cause__ = ConnectionRefusedError()
        self.guard.record_connect_failure(state, refused)


class LargeFleet:
    """Instances in six zones, with a network that loses some datagrams."""

    def __init__(self, instances_count: int, lost_share: float = 0.0) -> None:
        self.clock = ManualClock()
        self.sent_count = 0
        self._lost_share = lost_share
        self._random = random.Random(instances_count)
        zones = {
            InstanceId(f'i-{n}'): AvailabilityZone(f'zone-{n % 6}') for n in range(instances_count)
        }
        table = PartTable()
        self.members = {
            name: Member(manual_context(self.clock, name, zone), table)
            for name, zone in zones.items()
        }
        for name, member in self.members.items():
            member.book.topology.replace({n: z for n, z in zones.items() if n != name})

    def some(self, count: int) -> list[Member]:
        return self._random.sample(list(self.members.values()), count)

    def deliver(self) -> None:
        """Deliver datagrams until no instance has anything left to publish."""
        while pauses := [
            pause_ms
            for member in self.members.values()
            if (pause_ms := member.guard.publisher.next_pause_ms()) is not None
        ]:
            self.clock.ms += min(pauses)
            for name, member in self.members.items():
                for news, receivers in member.guard.publisher.take_due():
                    self.sent_count += len(receivers)
                    for receiver in receivers:
                        is_lost = self._random.random() < self._lost_share
                        if receiver in self.members and not is_lost:
                            self.members[receiver].guard.on_message(name, news)


@pytest.mark.parametrize(('instances_count', 'lost_share'), [(10, 0.1), (60, 0.1), (195, 0.0)])
def test_exits_seen_by_different_instances_stop_a_request_everywhere(
    instances_count: int, lost_share: float
) -> None:
    # Each attempt reaches another instance, so that no instance sees two of the exits; one datagram
    # in ten is lost.
    fleet = LargeFleet(instances_count, lost_share)
    for server, member in enumerate(fleet.some(3)):
        member.see_end(server, CULPRIT_WORK)
        fleet.deliver()
    standings = [member.suspects.status_of(CULPRIT) for member in fleet.members.values()]
    assert standings.count(SuspectStatus.STOPPED) >= 0.99 * instances_count


def test_successful_response_clears_a_suspect_at_all_instances() -> None:
    fleet = LargeFleet(60)
    for server, member in enumerate(fleet.some(2)):
        member.see_end(server, CULPRIT_WORK)
        fleet.deliver()
    assert all(member.suspects.score(CULPRIT) == 2.0 for member in fleet.members.values())
    fleet.some(1)[0].guard.record_survived(CULPRIT_WORK)
    fleet.deliver()
    assert not any(member.suspects.score(CULPRIT) for member in fleet.members.values())


def test_crash_with_innocent_requests_costs_few_datagrams() -> None:
    # In a fleet of 195 a server exits with eight requests of eight instances on it; all of them
    # succeed elsewhere. If every instance published each of them to all, it would take 9,312
    # datagrams.
    fleet = LargeFleet(195)
    witnesses = fleet.some(8)
    works = [RequestKeys(b'POST', 'h', b'/p/', b'%d' % n) for n in range(8)]
    contents = [work.content for work in works]
    for member, work in zip(witnesses, works, strict=True):
        member.see_end(0, work)
    fleet.deliver()
    for member, work in zip(witnesses, works, strict=True):
        member.guard.record_survived(work)
    fleet.deliver()
    assert fleet.sent_count <= 8 * 2 * 3 * 3
    assert not any(
        member.suspects.score(content) for member in fleet.members.values() for content in contents
    )


def with_part(number: int, *parts: PromptPart) -> RequestKeys:
    return RequestKeys(b'POST', 'h', b'/p/', b'%d' % number, parts)


@pytest.mark.parametrize(('instances_count', 'lost_share'), [(10, 0.1), (60, 0.1), (195, 0.0)])
def test_part_of_different_requests_is_stopped_everywhere(
    instances_count: int, lost_share: float
) -> None:
    # No two requests are alike, and no instance sees two of the exits.
    fleet = LargeFleet(instances_count, lost_share)
    for server, member in enumerate(fleet.some(3)):
        member.see_end(server, with_part(server, PART))
        fleet.deliver()
    stopped = [
        member.guard.verdict_on(with_part(99, PART)).status is SuspectStatus.STOPPED
        for member in fleet.members.values()
    ]
    assert stopped.count(True) >= 0.99 * instances_count


def test_popular_part_is_cleared_at_an_instance_that_has_no_answers_yet() -> None:
    # An instance has just started, and three servers crash by chance under its requests.
    fleet = LargeFleet(60)
    newcomer, *others = fleet.members.values()
    for server in range(3):
        for number, member in enumerate(others):
            member.guard.record_survived(with_part(100 * server + number, PART))
        newcomer.see_end(server, with_part(1_000 + server, PART))
        fleet.deliver()
    for member in fleet.members.values():
        assert member.guard.verdict_on(with_part(2_000, PART)).status is SuspectStatus.FREE


@pytest.mark.parametrize('instances_count', [10, 60])
def test_part_that_turns_harmful_is_stopped_everywhere(instances_count: int) -> None:
    # It was answered everywhere, so that the first exits are excused and published to nobody.
    fleet = LargeFleet(instances_count)
    for number, member in enumerate(fleet.members.values()):
        member.guard.record_survived(with_part(number, PART))
    first, second = fleet.some(2)
    first.see_end(0, with_part(1_000, PART))
    second.see_end(1, with_part(1_001, PART))
    assert first.guard.verdict_on(with_part(1_002, PART)).status is SuspectStatus.FREE
    fleet.clock.ms += EXCUSED_MS + 1.0
    first.see_end(2, with_part(1_003, PART))
    fleet.deliver()
    second.see_end(3, with_part(1_004, PART))
    fleet.deliver()
    for member in fleet.members.values():
        assert member.guard.verdict_on(with_part(2_000, PART)).is_blocked
