"""Which prompt parts are blamed for server exits, and which are not."""

from __future__ import annotations

import random

import pytest

from citrondyke.decisions.crashes.probe_policy import FIRST_PROBE_PAUSE_MS, PROBE_PAUSE_MS
from citrondyke.decisions.crashes.proven_parts import (
    PARTS_LIMIT,
    PARTS_PER_ANSWER,
    PROVEN_MS,
    ProvenParts,
)
from citrondyke.decisions.crashes.suspect_key import RequestKeys, part_key
from citrondyke.decisions.crashes.suspect_registry import (
    SHARED_PROBE_PAUSE_MS,
    SuspectRegistry,
    SuspectStatus,
    SuspectVerdict,
)
from citrondyke.ids import PromptPart
from tests.support.manual_clock import ManualClock, manual_context

SHARED, HARMFUL, COMPANION = PromptPart('5a'), PromptPart('bad0'), PromptPart('c0')


class PartsSetup:
    """A registry, its clock, and requests of which no two are alike."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.registry = SuspectRegistry(manual_context(self.clock))
        self._count = 0

    def request(self, *parts: PromptPart) -> RequestKeys:
        self._count += 1
        return RequestKeys(b'POST', 'h', b'/p/', b'%d' % self._count, parts)

    def crash(self, server: int, *requests: RequestKeys) -> None:
        for keys in requests:
            for key in (keys.content, *keys.parts):
                self.registry.record_server_exit(key, server, is_fresh=True)

    def answer(self, keys: RequestKeys) -> None:
        self.registry.record_answered(keys)
        for key in self.registry.suspected_keys(keys):
            self.registry.record_survived(key)

    def may_send(self, *parts: PromptPart) -> bool:
        """Tell whether a request is sent, claiming its probe where one is due."""
        verdict = self.verdict(*parts)
        if verdict.status is SuspectStatus.PROBE_DUE and verdict.key is not None:
            return self.registry.merge(self.registry.probe_row(verdict.key))
        return not verdict.is_blocked

    def verdict(self, *parts: PromptPart) -> SuspectVerdict:
        return self.registry.verdict_on(self.request(*parts))


def test_third_exit_blocks_a_part_whatever_else_the_prompt_holds() -> None:
    setup = PartsSetup()
    setup.answer(setup.request(SHARED))
    for server in (1, 2, 3):
        assert not setup.verdict(HARMFUL).is_blocked
        setup.crash(server, setup.request(SHARED, HARMFUL))
    for parts in ((HARMFUL,), (SHARED, HARMFUL), (HARMFUL, COMPANION)):
        assert setup.verdict(*parts).key == part_key(HARMFUL)
        assert setup.verdict(*parts).status is SuspectStatus.STOPPED
    assert setup.verdict(SHARED).status is SuspectStatus.FREE


def test_popular_part_is_not_blamed_for_crashes_of_another_cause() -> None:
    # A zone is lost: ten servers crash at once, each with requests of the popular part on it.
    setup = PartsSetup()
    setup.answer(setup.request(SHARED))
    setup.clock.ms += PROVEN_MS
    for server in range(10):
        setup.crash(server, *(setup.request(SHARED) for _ in range(8)))
    assert setup.verdict(SHARED).status is SuspectStatus.FREE
    # Long after its last answer nothing distinguishes it any more from a harmful part.
    setup.clock.ms += 1.0
    for server in range(10, 13):
        setup.crash(server, setup.request(SHARED))
    assert setup.verdict(SHARED).is_blocked


def test_part_without_answers_is_cleared_by_a_probe_with_no_other_blocked_part() -> None:
    # The fleet has just started: a sound part and a harmful one look the same after three exits.
    setup = PartsSetup()
    for server in (1, 2, 3):
        setup.crash(server, setup.request(SHARED, HARMFUL))
    setup.clock.ms += FIRST_PROBE_PAUSE_MS
    assert setup.verdict(SHARED).status is SuspectStatus.PROBE_DUE
    assert setup.verdict(SHARED, HARMFUL).status is SuspectStatus.STOPPED
    setup.answer(setup.request(SHARED))
    assert setup.verdict(SHARED).status is SuspectStatus.FREE
    assert setup.verdict(SHARED, HARMFUL).status is SuspectStatus.PROBE_DUE


def test_parts_that_always_come_together_are_probed_later() -> None:
    setup = PartsSetup()
    for server in (1, 2, 3):
        setup.crash(server, setup.request(COMPANION, HARMFUL))
    setup.clock.ms += SHARED_PROBE_PAUSE_MS - 1.0
    assert setup.verdict(COMPANION, HARMFUL).status is SuspectStatus.STOPPED
    setup.clock.ms += 1.0
    due = setup.verdict(COMPANION, HARMFUL)
    assert (due.status, due.key) == (SuspectStatus.PROBE_DUE, part_key(HARMFUL))
    # Who claimed it holds back requests with either part.
    setup.registry.merge(setup.registry.probe_row(part_key(HARMFUL)))
    assert setup.verdict(COMPANION, HARMFUL).status is SuspectStatus.PROBE_RUNNING
    setup.crash(4, setup.request(COMPANION, HARMFUL))
    setup.clock.ms += PROBE_PAUSE_MS - 1.0
    assert setup.verdict(COMPANION, HARMFUL).status is SuspectStatus.STOPPED


def test_invented_parts_push_out_no_popular_one() -> None:
    # A caller sends a hundred parts with each request, between two answers with the popular part.
    clock = ManualClock()
    proven = ProvenParts(manual_context(clock))
    proven.record_answer(RequestKeys(b'', 'h', b'', b'', (SHARED,)))
    for number in range(PARTS_LIMIT // PARTS_PER_ANSWER - 1):
        parts = [PromptPart(f'{number}-{index}') for index in range(100)]
        proven.record_answer(RequestKeys(b'', 'h', b'', b'', parts))
    assert proven.is_proven(part_key(SHARED))
    assert len(proven._by_part) <= PARTS_LIMIT


@pytest.mark.parametrize('seed', range(20))
@pytest.mark.parametrize('answered', [(SHARED,), (), (SHARED, HARMFUL)])
def test_harmful_part_is_blocked_and_the_others_are_not(
    seed: int, answered: tuple[PromptPart, ...]
) -> None:
    # Five servers take twenty sound requests a second, each for 0.9 s, and one harmful request
    # every 0.3 s. A crashed server is back after 3 s. Without answers before, or if the harmful
    # part was answered as well, the shared one may be blocked with it until its probe.
    rng = random.Random(seed)
    setup = PartsSetup()
    if answered:
        setup.answer(setup.request(*answered))
    running: dict[int, list[tuple[float, RequestKeys]]] = {server: [] for server in range(5)}
    down_until_ms = dict.fromkeys(running, 0.0)
    crashes_ms: list[float] = []
    refused_sound_ms: list[float] = []
    for turn in range(300):
        setup.clock.ms += 50.0
        now_ms = setup.clock.ms
        for server, waiting in running.items():
            for _, keys in [each for each in waiting if each[0] <= now_ms]:
                setup.answer(keys)
            running[server] = [each for each in waiting if each[0] > now_ms]
        up = [server for server in running if down_until_ms[server] <= now_ms]
        if not up:
            continue
        server = rng.choice(up)
        if setup.may_send(SHARED):
            running[server].append((now_ms + 900.0, setup.request(SHARED)))
        else:
            refused_sound_ms.append(now_ms)
        if turn % 6 == 0 and setup.may_send(SHARED, HARMFUL):
            crashes_ms.append(now_ms)
            lost = [keys for _, keys in running[server]]
            setup.crash(1_000 + len(crashes_ms), setup.request(SHARED, HARMFUL), *lost)
            running[server] = []
            down_until_ms[server] = now_ms + 3_000.0
    known_ms = crashes_ms[:5][-1]
    assert len([each for each in crashes_ms if each > known_ms + 3_000.0]) <= 3
    assert not [each for each in refused_sound_ms if each > known_ms + 6_000.0]
    if answered == (SHARED,):
        assert len(crashes_ms) <= 5
        assert not refused_sound_ms
