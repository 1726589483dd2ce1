"""One trial for the whole fleet, whatever the store does."""

from __future__ import annotations

import pytest

from citrondyke.decisions.crashes.request_fingerprint import LazyRequestFingerprint, fingerprint_of
from citrondyke.decisions.crashes.suspect_registry import (
    FIRST_PROBE_PAUSE_MS,
    SuspectRegistry,
    SuspectStatus,
)
from citrondyke.gateway.replication.dependency import Dependency
from citrondyke.gateway.servers.suspect_store import ATTEMPTS_LIMIT, UNRESPONSIVE_MS, SuspectStore
from citrondyke.storage.partitioned_table import PartTransaction, RowPut
from tests.support.flaky_table import FlakyTable, Trouble
from tests.support.gateway import HOST, GatewayFleet, wait_until_seen
from tests.support.manual_clock import ManualClock, manual_context

CULPRIT = fingerprint_of(b'POST', b'h', b'/p/', b'culprit')


class Member:
    """One instance's book and store."""

    def __init__(self, clock: ManualClock, table: FlakyTable, name: str) -> None:
        context = manual_context(clock, name)
        self.book = SuspectRegistry(context)
        self.dependency = Dependency(clock, 'store')
        self.store = SuspectStore(context, table, self.dependency, self.book, lambda: 1.0)
        for server in (1, 2, 3):
            self.book.record_server_exit(CULPRIT, server, is_fresh=True)

    def claim(self) -> bool:
        return self.store.claim_probe(CULPRIT, is_item=False)


class Floor:
    """Three instances that know of the same ends."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.table = FlakyTable()
        self.members = [Member(self.clock, self.table, f'instance-{n}') for n in range(3)]
        self.clock.ms += FIRST_PROBE_PAUSE_MS


@pytest.fixture
def floor() -> Floor:
    return Floor()


def test_one_of_all_gets_the_trial(floor: Floor) -> None:
    assert [member.claim() for member in floor.members] == [True, False, False]
    for member in floor.members:
        assert member.book.status_of(CULPRIT) is SuspectStatus.PROBE_RUNNING


@pytest.mark.parametrize('trouble', [Trouble.REFUSED, Trouble.LATE, Trouble.REPLY_LOST])
def test_trial_in_doubt_is_nobodys(floor: Floor, trouble: Trouble) -> None:
    # The reply to the claim is lost, or it is done late. Who does not know that it has the trial
    # does not send; who asks next gets it only if it was not given out.
    first, second, third = floor.members
    floor.table.trouble = trouble
    assert not first.claim()
    granted = [second.claim()]
    floor.table.apply_late()
    granted.append(third.claim())
    assert sum(granted) == (0 if trouble is Trouble.REPLY_LOST else 1)


def test_call_that_reached_the_store_twice_counts_once(floor: Floor) -> None:
    # The call went by two ways; the answer that comes back is the second one's conflict.
    member = floor.members[0]
    floor.table.trouble = Trouble.TWICE
    assert member.claim()


def test_no_trial_while_the_store_is_silent(floor: Floor) -> None:
    member = floor.members[0]
    member.dependency.record_call()
    floor.clock.ms += UNRESPONSIVE_MS + 1.0
    assert not member.claim()


def test_row_of_another_writer_names_nobody(floor: Floor) -> None:
    member = floor.members[0]
    for value in (b'nothing', b'{"digest": 1}'):
        put = RowPut('suspects', str(CULPRIT.digest), value)
        floor.table.transact(PartTransaction('', puts=(put,)))
        assert member.claim()
        floor.members[0] = member = Member(floor.clock, floor.table, 'again')
        floor.clock.ms += FIRST_PROBE_PAUSE_MS


def test_instance_that_missed_all_news_learns_it_from_the_row(floor: Floor) -> None:
    # It was cut off while others saw three servers end, and hangs on a dead feed. At the first
    # end that it sees itself it looks for the row, instead of ending three servers more.
    first, missed = floor.members[0], SuspectRegistry(manual_context(floor.clock, 'missed'))
    assert first.claim()
    store = SuspectStore(
        manual_context(floor.clock, 'missed'),
        floor.table,
        Dependency(floor.clock, 'store'),
        missed,
        lambda: 1.0,
    )
    missed.record_server_exit(CULPRIT, 4, is_fresh=True)
    store.read_row(other := fingerprint_of(b'POST', b'h', b'/p/', b'other'))
    assert missed.score(other) == 0.0
    assert missed.score(CULPRIT) == 1.0
    store.read_row(CULPRIT)
    assert missed.score(CULPRIT) == 4.0


def test_row_seen_after_the_success_is_cleared_too(fleet: GatewayFleet) -> None:
    # A request is answered well at an instance that has not seen its row yet. Left as it is, the
    # row would stop the request once all instances have started anew.
    work = LazyRequestFingerprint(b'POST', HOST, b'/fetch/a', b'well')
    content = work.fingerprint
    first, second = fleet.instances
    second.peers.stop()
    second.suspects.record_server_exit(content, 1, is_fresh=True)
    second.guard.record_survived(work)
    for server in (1, 2, 3):
        first.suspects.record_server_exit(content, server, is_fresh=True)
    first.suspect_store.save(content)
    wait_until_seen(lambda: not first.suspects.score(content), 'the row to be cleared')


def test_row_is_written_once_the_store_is_back(fleet: GatewayFleet) -> None:
    # Three servers end while the store refuses everybody. Once it is back the row must be there,
    # or a loss of all power would make the request free again.
    content = fingerprint_of(b'POST', HOST.encode(), b'/fetch/a', b'deadly')
    (first, other), faults = fleet.instances, fleet.store.faults
    faults.refused_ips = {'*'}
    for server in (1, 2, 3):
        first.suspects.record_server_exit(content, server, is_fresh=True)
    first.suspect_store.save(content)
    wait_until_seen(lambda: first.suspect_store.failed_count > ATTEMPTS_LIMIT, 'tries in vain')
    faults.refused_ips = set()
    other.peers.stop()
    wait_until_seen(lambda: other.suspects.score(content) == 3.0, 'the row')
