"""Who is suspected after servers have ended, who is stopped, and who is cleared."""

from __future__ import annotations

import random

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from citrondyke.decisions.crashes.content import RequestContent, content_of
from citrondyke.decisions.crashes.suspect import Suspect, SuspectRow
from citrondyke.decisions.crashes.suspect_registry import (
    FIRST_PROBE_PAUSE_MS,
    PROBE_PAUSE_MS,
    PROBE_TIMEOUT_MS,
    PROBES_LIMIT,
    SuspectRegistry,
    SuspectVerdict,
)
from tests.support.manual_clock import ManualClock, manual_context

CULPRIT = content_of(b'POST', b'h', b'/p/', b'culprit')
SENT = (SuspectVerdict.FREE, SuspectVerdict.SUSPECTED)


def other(number: int) -> RequestContent:
    return content_of(b'POST', b'h', b'/p/', b'other %d' % number)


class Desk:
    """A book and its clock."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.book = SuspectRegistry(manual_context(self.clock))

    def end(self, server: int, *contents: RequestContent, is_fresh: bool = True) -> None:
        for content in contents:
            self.book.record_server_exit(content, server, is_fresh=is_fresh)

    def stop(self, content: RequestContent = CULPRIT) -> None:
        for server in (1, 2, 3):
            self.end(server, content)

    def try_it(self) -> bool:
        """Have a trial given out, as the store does."""
        if self.book.standing(CULPRIT) is not SuspectVerdict.TRIAL_DUE:
            return False
        return self.book.join(self.book.probe_row(CULPRIT))


def test_third_end_stops_a_request() -> None:
    desk = Desk()
    for server in (1, 2):
        desk.end(server, CULPRIT)
        assert desk.book.standing(CULPRIT) is SuspectVerdict.SUSPECTED
    desk.end(3, CULPRIT)
    assert desk.book.standing(CULPRIT) is SuspectVerdict.STOPPED
    assert desk.book.concerns(CULPRIT.target)
    assert desk.book.standing(other(1)) is SuspectVerdict.FREE


def test_one_servers_end_counts_once_whoever_tells_of_it() -> None:
    # Ten of one kind are on a server that loses power; all instances tell of it, some twice.
    desk = Desk()
    for _ in range(30):
        desk.end(1, CULPRIT)
    assert desk.book.score(CULPRIT) == 1.0


def test_many_ends_of_another_cause_stop_nobody() -> None:
    # A rack with six servers is lost with eight requests on each; those that are sent again meet
    # the next loss once more at the most.
    desk = Desk()
    for server in range(6):
        desk.end(server, *(other(server * 8 + place) for place in range(8)))
        desk.end(server + 100, *(other(server * 8 + place) for place in range(8)))
    assert all(desk.book.standing(other(number)) in SENT for number in range(48))


def test_whole_answer_clears_and_late_reports_do_not_count() -> None:
    # A request that is asked often was under way at three ends of another cause. It is answered
    # well; then a report of one of the three comes once more, delayed.
    desk = Desk()
    desk.stop()
    assert desk.book.record_survived(CULPRIT)
    assert not desk.book.record_survived(CULPRIT)
    desk.end(2, CULPRIT)
    assert desk.book.standing(CULPRIT) is SuspectVerdict.FREE
    for server in (4, 5, 6):
        desk.end(server, CULPRIT)
    assert desk.book.standing(CULPRIT) is SuspectVerdict.STOPPED


def test_answer_that_has_long_begun_is_weak_evidence() -> None:
    # A long answer is cut off by one crash after the other, each time after seconds.
    desk = Desk()
    for server in range(11):
        desk.end(server, CULPRIT, is_fresh=False)
        assert desk.book.standing(CULPRIT) is SuspectVerdict.SUSPECTED
    desk.end(11, CULPRIT, is_fresh=False)
    assert desk.book.standing(CULPRIT) is SuspectVerdict.STOPPED


def test_trials_are_few_and_far_between() -> None:
    # A request that ends its servers is asked all the time for three hours.
    desk = Desk()
    desk.stop()
    tried_ms = []
    stopped_ms = desk.clock.ms
    for _ in range(3 * 3_600):
        desk.clock.ms += 1_000.0
        if desk.try_it():
            tried_ms.append(desk.clock.ms - stopped_ms)
            assert desk.book.standing(CULPRIT) is SuspectVerdict.ON_TRIAL
            desk.end(100 + len(tried_ms), CULPRIT)
        assert desk.book.standing(CULPRIT) is not SuspectVerdict.FREE
    assert len(tried_ms) == PROBES_LIMIT
    assert tried_ms[0] >= FIRST_PROBE_PAUSE_MS
    assert tried_ms[1] - tried_ms[0] >= PROBE_PAUSE_MS
    assert tried_ms[2] - tried_ms[1] >= 2 * PROBE_PAUSE_MS


def test_trial_that_a_full_server_turned_away_is_made_up_for_twice() -> None:
    desk = Desk()
    desk.stop()
    tried_count = 0
    for _ in range(100):
        desk.clock.ms += PROBE_TIMEOUT_MS
        if desk.try_it():
            tried_count += 1
            desk.book.record_probe_refused(CULPRIT)
    assert tried_count == 2


def test_trial_without_a_word_is_over_in_time() -> None:
    desk = Desk()
    desk.stop()
    desk.clock.ms += FIRST_PROBE_PAUSE_MS
    assert desk.try_it()
    desk.clock.ms += PROBE_TIMEOUT_MS
    assert desk.book.standing(CULPRIT) is SuspectVerdict.STOPPED


def test_item_gets_its_trials_within_its_jobs_time() -> None:
    desk = Desk()
    desk.stop()
    tried_count = 0
    for _ in range(40):
        desk.clock.ms += 1_000.0
        if desk.book.standing(CULPRIT, is_item=True) is SuspectVerdict.TRIAL_DUE:
            desk.book.join(desk.book.probe_row(CULPRIT))
            tried_count += 1
            desk.end(100 + tried_count, CULPRIT)
    assert tried_count == PROBES_LIMIT


def test_book_is_bounded_and_keeps_the_most_suspected() -> None:
    desk = Desk()
    desk.stop()
    for number in range(3_000):
        desk.end(number + 10, other(number))
    assert len(desk.book) <= 1_000
    assert desk.book.standing(CULPRIT) is SuspectVerdict.STOPPED


def test_suspect_of_yesterday_is_forgotten() -> None:
    desk = Desk()
    desk.stop()
    row = desk.book.row(CULPRIT)
    desk.clock.ms += 86_400_001.0
    assert list(desk.book.forget_old()) == [CULPRIT.digest]
    assert row is not None
    assert not desk.book.join(row)
    assert desk.book.standing(CULPRIT) is SuspectVerdict.FREE
    assert not desk.book.concerns(CULPRIT.target)


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
        suspect.join(row)
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
    desk = Desk()
    exits_count = 0
    answered = set()
    crowd: list[RequestContent] = []
    for turn in range(200):
        desk.clock.ms += 10.0
        crowd = [*[each for each in crowd if each not in answered][-8:], other(turn)]
        if turn % 5 == 0 and desk.book.standing(CULPRIT) in SENT:
            exits_count += 1
            place = rng.randrange(5)
            beside = [each for index, each in enumerate(crowd) if index % 5 == place]
            desk.end(1_000 + exits_count, CULPRIT, *beside)
        for each in crowd[:4]:
            if desk.book.standing(each) in SENT:
                desk.book.record_survived(each)
                answered.add(each)
    assert exits_count == 3
    assert all(desk.book.standing(other(turn)) in SENT for turn in range(200))
