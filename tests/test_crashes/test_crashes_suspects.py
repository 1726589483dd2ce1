"""Who is suspected after servers have ended, who is stopped, and who is cleared."""

from __future__ import annotations

import random

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from citrondyke.decisions.crashes.request_fingerprint import RequestFingerprint, fingerprint_of
from citrondyke.decisions.crashes.suspect import Suspect, SuspectRow
from citrondyke.decisions.crashes.suspect_registry import (
    FIRST_PROBE_PAUSE_MS,
    PROBE_PAUSE_MS,
    PROBE_TIMEOUT_MS,
    PROBES_LIMIT,
    SuspectRegistry,
    SuspectStatus,
)
from tests.support.manual_clock import ManualClock, manual_context

CULPRIT = fingerprint_of(b'POST', b'h', b'/p/', b'culprit')
SENT = (SuspectStatus.FREE, SuspectStatus.SUSPECTED)


def other(number: int) -> RequestFingerprint:
    return fingerprint_of(b'POST', b'h', b'/p/', b'other %d' % number)


class RegistrySetup:
    """A book and its clock."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.registry = SuspectRegistry(manual_context(self.clock))

    def record_exits(
        self, server: int, *contents: RequestFingerprint, is_fresh: bool = True
    ) -> None:
        for content in contents:
            self.registry.record_server_exit(content, server, is_fresh=is_fresh)

    def stop(self, content: RequestFingerprint = CULPRIT) -> None:
        for server in (1, 2, 3):
            self.record_exits(server, content)

    def claim_probe(self) -> bool:
        """Have a trial given out, as the store does."""
        if self.registry.status_of(CULPRIT) is not SuspectStatus.PROBE_DUE:
            return False
        return self.registry.merge(self.registry.probe_row(CULPRIT))


def test_third_end_stops_a_request() -> None:
    setup = RegistrySetup()
    for server in (1, 2):
        setup.record_exits(server, CULPRIT)
        assert setup.registry.status_of(CULPRIT) is SuspectStatus.SUSPECTED
    setup.record_exits(3, CULPRIT)
    assert setup.registry.status_of(CULPRIT) is SuspectStatus.STOPPED
    assert setup.registry.has_suspects_for(CULPRIT.target)
    assert setup.registry.status_of(other(1)) is SuspectStatus.FREE


def test_one_servers_end_counts_once_whoever_tells_of_it() -> None:
    # Ten of one kind are on a server that loses power; all instances tell of it, some twice.
    setup = RegistrySetup()
    for _ in range(30):
        setup.record_exits(1, CULPRIT)
    assert setup.registry.score(CULPRIT) == 1.0


def test_many_ends_of_another_cause_stop_nobody() -> None:
    # A rack with six servers is lost with eight requests on each; those that are sent again meet
    # the next loss once more at the most.
    setup = RegistrySetup()
    for server in range(6):
        setup.record_exits(server, *(other(server * 8 + place) for place in range(8)))
        setup.record_exits(server + 100, *(other(server * 8 + place) for place in range(8)))
    assert all(setup.registry.status_of(other(number)) in SENT for number in range(48))


def test_whole_answer_clears_and_late_reports_do_not_count() -> None:
    # A request that is asked often was under way at three ends of another cause. It is answered
    # well; then a report of one of the three comes once more, delayed.
    setup = RegistrySetup()
    setup.stop()
    assert setup.registry.record_survived(CULPRIT)
    assert not setup.registry.record_survived(CULPRIT)
    setup.record_exits(2, CULPRIT)
    assert setup.registry.status_of(CULPRIT) is SuspectStatus.FREE
    for server in (4, 5, 6):
        setup.record_exits(server, CULPRIT)
    assert setup.registry.status_of(CULPRIT) is SuspectStatus.STOPPED


def test_answer_that_has_long_begun_is_weak_evidence() -> None:
    # A long answer is cut off by one crash after the other, each time after seconds.
    setup = RegistrySetup()
    for server in range(11):
        setup.record_exits(server, CULPRIT, is_fresh=False)
        assert setup.registry.status_of(CULPRIT) is SuspectStatus.SUSPECTED
    setup.record_exits(11, CULPRIT, is_fresh=False)
    assert setup.registry.status_of(CULPRIT) is SuspectStatus.STOPPED


def test_trials_are_few_and_far_between() -> None:
    # A request that ends its servers is asked all the time for three hours.
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


def test_trial_that_a_full_server_turned_away_is_made_up_for_twice() -> None:
    setup = RegistrySetup()
    setup.stop()
    probes_count = 0
    for _ in range(100):
        setup.clock.ms += PROBE_TIMEOUT_MS
        if setup.claim_probe():
            probes_count += 1
            setup.registry.record_probe_refused(CULPRIT)
    assert probes_count == 2


def test_trial_without_a_word_is_over_in_time() -> None:
    setup = RegistrySetup()
    setup.stop()
    setup.clock.ms += FIRST_PROBE_PAUSE_MS
    assert setup.claim_probe()
    setup.clock.ms += PROBE_TIMEOUT_MS
    assert setup.registry.status_of(CULPRIT) is SuspectStatus.STOPPED


def test_item_gets_its_trials_within_its_jobs_time() -> None:
    setup = RegistrySetup()
    setup.stop()
    probes_count = 0
    for _ in range(40):
        setup.clock.ms += 1_000.0
        if setup.registry.status_of(CULPRIT, is_item=True) is SuspectStatus.PROBE_DUE:
            setup.registry.merge(setup.registry.probe_row(CULPRIT))
            probes_count += 1
            setup.record_exits(100 + probes_count, CULPRIT)
    assert probes_count == PROBES_LIMIT


def test_book_is_bounded_and_keeps_the_most_suspected() -> None:
    setup = RegistrySetup()
    setup.stop()
    for number in range(3_000):
        setup.record_exits(number + 10, other(number))
    assert len(setup.registry) <= 1_000
    assert setup.registry.status_of(CULPRIT) is SuspectStatus.STOPPED


def test_suspect_of_yesterday_is_forgotten() -> None:
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


def joined(wanted: list[SuspectRow]) -> tuple[object, ...]:
    suspect = Suspect(CULPRIT, {}, [])
    for row in wanted:
        suspect.merge(row)
    return suspect.era, suspect.lives, suspect.trials, suspect.changed_epoch_ms


@given(st.lists(rows, max_size=5), st.integers(0, 1_000))
def test_reports_may_come_in_any_order_and_more_than_once(
    found: list[SuspectRow], seed: int
) -> None:
    # Lives of a later era are other servers' than those of an earlier one.
    apart = [
        msgspec.structs.replace(
            row, lives={server + 10 * row.era: weight for server, weight in row.lives.items()}
        )
        for row in found
    ]
    shuffled = apart + apart[:2]
    random.Random(seed).shuffle(shuffled)
    assert joined(apart) == joined(shuffled)


@pytest.mark.parametrize('seed', range(20))
def test_culprit_among_others_is_stopped_and_the_others_go_on(seed: int) -> None:
    # Five servers of eight places; each crash takes all along who are there. Who was on the server
    # and has a try left moves to a server of its own; the culprit comes again and again.
    rng = random.Random(seed)
    setup = RegistrySetup()
    exits_count = 0
    answered = set()
    crowd: list[RequestFingerprint] = []
    for turn in range(200):
        setup.clock.ms += 10.0
        crowd = [*[each for each in crowd if each not in answered][-8:], other(turn)]
        if turn % 5 == 0 and setup.registry.status_of(CULPRIT) in SENT:
            exits_count += 1
            place = rng.randrange(5)
            beside = [each for index, each in enumerate(crowd) if index % 5 == place]
            setup.record_exits(1_000 + exits_count, CULPRIT, *beside)
        for each in crowd[:4]:
            if setup.registry.status_of(each) in SENT:
                setup.registry.record_survived(each)
                answered.add(each)
    assert exits_count == 3
    assert all(setup.registry.status_of(other(turn)) in SENT for turn in range(200))
