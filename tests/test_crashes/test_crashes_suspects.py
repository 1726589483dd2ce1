"""Which requests are suspected, blocked and cleared after server exits."""

from __future__ import annotations

import random

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from citrondyke.decisions.crashes.probe_policy import (
    FIRST_PROBE_PAUSE_MS,
    ITEM_PROBES,
    PROBE_PAUSE_MS,
    PROBES_LIMIT,
)
from citrondyke.decisions.crashes.suspect import Suspect, SuspectRow
from citrondyke.decisions.crashes.suspect_key import SuspectKey, content_key
from citrondyke.decisions.crashes.suspect_registry import (
    PROBE_TIMEOUT_MS,
    SuspectRegistry,
    SuspectStatus,
)
from tests.support.manual_clock import ManualClock, manual_context

CULPRIT = content_key(b'POST', b'h', b'/p/', b'culprit')
SENT = (SuspectStatus.FREE, SuspectStatus.SUSPECTED)


def other(number: int) -> SuspectKey:
    return content_key(b'POST', b'h', b'/p/', b'other %d' % number)


class RegistrySetup:
    """A registry and its clock."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.registry = SuspectRegistry(manual_context(self.clock))

    def record_exits(self, server: int, *contents: SuspectKey, is_fresh: bool = True) -> None:
        for content in contents:
            self.registry.record_server_exit(content, server, is_fresh=is_fresh)

    def stop(self, content: SuspectKey = CULPRIT) -> None:
        for server in (1, 2, 3):
            self.record_exits(server, content)

    def claim_probe(self) -> bool:
        """Claim a probe, as the store does."""
        if self.registry.status_of(CULPRIT) is not SuspectStatus.PROBE_DUE:
            return False
        return self.registry.merge(self.registry.probe_row(CULPRIT))


def test_third_exit_blocks_a_request() -> None:
    setup = RegistrySetup()
    for server in (1, 2):
        setup.record_exits(server, CULPRIT)
        assert setup.registry.status_of(CULPRIT) is SuspectStatus.SUSPECTED
    setup.record_exits(3, CULPRIT)
    assert setup.registry.status_of(CULPRIT) is SuspectStatus.STOPPED
    assert setup.registry.has_suspects_for(CULPRIT.target)
    assert setup.registry.status_of(other(1)) is SuspectStatus.FREE


def test_exit_counts_once_however_often_it_is_reported() -> None:
    # Ten identical requests are on a server that loses power; every instance reports the exit, some
    # twice.
    setup = RegistrySetup()
    for _ in range(30):
        setup.record_exits(1, CULPRIT)
    assert setup.registry.score(CULPRIT) == 1.0


def test_exits_of_another_cause_block_no_request() -> None:
    # A rack with six servers is lost with eight requests on each; a retried request is interrupted
    # by at most one more loss.
    setup = RegistrySetup()
    for server in range(6):
        setup.record_exits(server, *(other(server * 8 + index) for index in range(8)))
        setup.record_exits(server + 100, *(other(server * 8 + index) for index in range(8)))
    assert all(setup.registry.status_of(other(number)) in SENT for number in range(48))


def test_success_clears_and_late_reports_do_not_count() -> None:
    # A frequent request was in flight at three exits of another cause. It succeeds; then a delayed
    # report of one of the three exits arrives.
    setup = RegistrySetup()
    setup.stop()
    assert setup.registry.record_survived(CULPRIT)
    assert not setup.registry.record_survived(CULPRIT)
    setup.record_exits(2, CULPRIT)
    assert setup.registry.status_of(CULPRIT) is SuspectStatus.FREE
    for server in (4, 5, 6):
        setup.record_exits(server, CULPRIT)
    assert setup.registry.status_of(CULPRIT) is SuspectStatus.STOPPED


def test_streaming_response_is_weak_evidence() -> None:
    # A long response is interrupted by one crash after another, each time after seconds.
    setup = RegistrySetup()
    for server in range(11):
        setup.record_exits(server, CULPRIT, is_fresh=False)
        assert setup.registry.status_of(CULPRIT) is SuspectStatus.SUSPECTED
    setup.record_exits(11, CULPRIT, is_fresh=False)
    assert setup.registry.status_of(CULPRIT) is SuspectStatus.STOPPED


def test_probes_are_few_and_far_apart() -> None:
    # A poison request is sent continuously for three hours.
    setup = RegistrySetup()
    setup.stop()
    probed_ms = []
    stopped_ms = setup.clock.ms
    for _ in range(3 * 3_600):
        setup.clock.ms += 1_000.0
        if setup.claim_probe():
            probed_ms.append(setup.clock.ms - stopped_ms)
            assert setup.registry.status_of(CULPRIT) is SuspectStatus.PROBE_RUNNING
            setup.record_exits(100 + len(probed_ms), CULPRIT)
        assert setup.registry.status_of(CULPRIT) is not SuspectStatus.FREE
    assert len(probed_ms) == PROBES_LIMIT
    assert probed_ms[0] >= FIRST_PROBE_PAUSE_MS
    assert probed_ms[1] - probed_ms[0] >= PROBE_PAUSE_MS
    assert probed_ms[2] - probed_ms[1] >= 2 * PROBE_PAUSE_MS


def test_probe_rejected_by_a_full_server_is_repeated_twice() -> None:
    setup = RegistrySetup()
    setup.stop()
    probes_count = 0
    for _ in range(100):
        setup.clock.ms += PROBE_TIMEOUT_MS
        if setup.claim_probe():
            probes_count += 1
            setup.registry.record_probe_refused(CULPRIT)
    assert probes_count == 2


def test_probe_without_result_times_out() -> None:
    setup = RegistrySetup()
    setup.stop()
    setup.clock.ms += FIRST_PROBE_PAUSE_MS
    assert setup.claim_probe()
    setup.clock.ms += PROBE_TIMEOUT_MS
    assert setup.registry.status_of(CULPRIT) is SuspectStatus.STOPPED


def test_item_is_probed_at_shorter_intervals() -> None:
    setup = RegistrySetup()
    setup.stop()
    probes_count = 0
    for _ in range(40):
        setup.clock.ms += 1_000.0
        if setup.registry.status_of(CULPRIT, ITEM_PROBES) is SuspectStatus.PROBE_DUE:
            setup.registry.merge(setup.registry.probe_row(CULPRIT))
            probes_count += 1
            setup.record_exits(100 + probes_count, CULPRIT)
    assert probes_count == PROBES_LIMIT


def test_registry_is_bounded_and_keeps_the_highest_score() -> None:
    setup = RegistrySetup()
    setup.stop()
    for number in range(3_000):
        setup.record_exits(number + 10, other(number))
    assert len(setup.registry) <= 1_000
    assert setup.registry.status_of(CULPRIT) is SuspectStatus.STOPPED


def test_suspect_expires_after_a_day() -> None:
    setup = RegistrySetup()
    setup.stop()
    row = setup.registry.row(CULPRIT)
    setup.clock.ms += 86_400_001.0
    assert list(setup.registry.forget_old()) == [CULPRIT.digest]
    assert row is not None
    assert not setup.registry.merge(row)
    assert setup.registry.status_of(CULPRIT) is SuspectStatus.FREE
    assert not setup.registry.has_suspects_for(CULPRIT.target)


rows = st.builds(
    SuspectRow,
    digest=st.just(str(CULPRIT.digest)),
    target=st.just(CULPRIT.target),
    lives=st.dictionaries(st.integers(1, 5), st.sampled_from([0.25, 1.0])),
    cleared=st.just([]),
    era=st.integers(0, 2),
    trials=st.integers(0, 3),
    changed_epoch_ms=st.floats(0, 1e6),
)


def merged(wanted: list[SuspectRow]) -> tuple[object, ...]:
    suspect = Suspect(CULPRIT, {}, [])
    for row in wanted:
        suspect.merge(row)
    return suspect.era, suspect.lives, suspect.trials, suspect.changed_epoch_ms


@given(st.lists(rows, max_size=5), st.integers(0, 1_000))
def test_merge_is_commutative_and_idempotent(found: list[SuspectRow], seed: int) -> None:
    # Incarnations of different eras belong to different servers.
    apart = [
        msgspec.structs.replace(
            row, lives={server + 10 * row.era: weight for server, weight in row.lives.items()}
        )
        for row in found
    ]
    shuffled = apart + apart[:2]
    random.Random(seed).shuffle(shuffled)
    assert merged(apart) == merged(shuffled)


@pytest.mark.parametrize('seed', range(20))
def test_poison_request_is_blocked_and_others_are_not(seed: int) -> None:
    # Five servers with a capacity of eight each; a crash interrupts all requests on the server.
    # Interrupted requests with a retry left move to another server; the poison request is retried
    # again and again.
    rng = random.Random(seed)
    setup = RegistrySetup()
    exits_count = 0
    answered = set()
    crowd: list[SuspectKey] = []
    for turn in range(200):
        setup.clock.ms += 10.0
        crowd = [*[each for each in crowd if each not in answered][-8:], other(turn)]
        if turn % 5 == 0 and setup.registry.status_of(CULPRIT) in SENT:
            exits_count += 1
            server = rng.randrange(5)
            beside = [each for index, each in enumerate(crowd) if index % 5 == server]
            setup.record_exits(1_000 + exits_count, CULPRIT, *beside)
        for each in crowd[:4]:
            if setup.registry.status_of(each) in SENT:
                setup.registry.record_survived(each)
                answered.add(each)
    assert exits_count == 3
    assert all(setup.registry.status_of(other(turn)) in SENT for turn in range(200))
