"""Tests that a probe of a suspect is granted wherever its requests arrive, and once at a time."""

from __future__ import annotations

import pytest

from citrondyke.decisions.core.server_call import ReplyKind, ServerReply
from citrondyke.decisions.crashes.engine_crash_guard import PROBE_TURN_MS, EngineCrashGuard
from citrondyke.decisions.crashes.probe_policy import FIRST_PROBE_PAUSE_MS
from citrondyke.decisions.crashes.suspect_key import RequestKeys
from citrondyke.decisions.crashes.suspect_registry import SuspectStatus
from citrondyke.ids import InstanceId, ServerId
from tests.support.manual_clock import ManualClock, manual_context

NAMES = [InstanceId(f'instance-{number}') for number in range(5)]
CRASHES = 3


def guards(clock: ManualClock) -> list[EngineCrashGuard]:
    """The guards of five instances that know each other."""
    return [
        EngineCrashGuard(
            manual_context(clock, name),
            lambda name=name: [each for each in NAMES if each != name],  # type: ignore[misc]
        )
        for name in NAMES
    ]


def block(guard: EngineCrashGuard, keys: RequestKeys) -> None:
    for number in range(CRASHES):
        reply = ServerReply(kind=ReplyKind.CUT)
        guard.record_reply(keys, ServerId(f'engine-{number}'), reply, 10.0)


@pytest.mark.parametrize('number', range(20))
def test_probe_is_granted_where_requests_arrive(number: int) -> None:
    # All requests with the suspect come to one instance. A fixed instance that grants its probes
    # would be another one in most cases, and the suspect would stay blocked for ever.
    clock = ManualClock()
    only = guards(clock)[number % len(NAMES)]
    keys = RequestKeys(b'POST', 'h', b'/p/', b'request %d' % number)
    block(only, keys)
    clock.ms += FIRST_PROBE_PAUSE_MS
    turns = 0
    while only.verdict_on(keys).status is not SuspectStatus.PROBE_DUE:
        clock.ms += PROBE_TURN_MS
        turns += 1
        assert turns < 20 * len(NAMES), 'no probe is granted'


@pytest.mark.parametrize('number', range(20))
def test_one_instance_at_a_time_grants_a_probe(number: int) -> None:
    clock = ManualClock()
    fleet = guards(clock)
    keys = RequestKeys(b'POST', 'h', b'/p/', b'request %d' % number)
    for guard in fleet:
        block(guard, keys)
    clock.ms += FIRST_PROBE_PAUSE_MS
    verdicts = [guard.verdict_on(keys).status for guard in fleet]
    assert verdicts.count(SuspectStatus.PROBE_DUE) == 1
