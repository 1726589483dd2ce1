"""Tests that news of suspects are published at once, also while earlier ones wait to be resent."""

from __future__ import annotations

import gevent

from citrondyke.decisions.crashes.suspect_key import SuspectKey, content_key
from citrondyke.decisions.crashes.suspect_registry import SuspectRegistry
from citrondyke.decisions.crashes.suspect_update_queue import MESSAGE_GAP_MS, RESEND_AFTER_MS
from citrondyke.decisions.forwarding.peer_topology import PeerTopology
from citrondyke.gateway.peers.peer_codec import CrashNews, PeerText
from citrondyke.gateway.peers.suspect_publisher import SuspectPublisher
from citrondyke.gateway.tasks import Tasks
from citrondyke.ids import InstanceId
from tests.support.gateway import wait_until_seen
from tests.support.manual_clock import ManualClock, manual_context


def key(name: bytes) -> SuspectKey:
    return content_key(b'POST', b'h', b'/p/', name)


def test_new_update_does_not_wait_for_the_resend_of_an_earlier_one() -> None:
    # A server exits while the news of another exit waits to be sent a third time. Until the peers
    # know of it, they send the request on or tell its callers to come back.
    clock = ManualClock()
    context = manual_context(clock)
    topology = PeerTopology(context)
    topology.replace({InstanceId('i-1'): context.zone})
    publisher = SuspectPublisher(context, topology, SuspectRegistry(context))
    events: list[SuspectKey | str] = []

    def send(text: PeerText, _: list[InstanceId]) -> None:
        assert isinstance(text, CrashNews)
        events.extend(each.key for each in text.news)
        clock.ms += MESSAGE_GAP_MS

    tasks = Tasks()
    publisher.start(tasks, send)
    first, second = key(b'first'), key(b'second')
    publisher.notify_end(1, first, is_fresh=True)
    wait_until_seen(lambda: events == [first], 'the first update')
    clock.ms += RESEND_AFTER_MS[0]
    wait_until_seen(lambda: events == [first, first], 'its first resend')
    # Lets the publisher begin to wait for the second one.
    gevent.sleep(0.05)
    gevent.spawn_later(RESEND_AFTER_MS[1] / 2e3, events.append, 'half of the wait')
    publisher.notify_end(2, second, is_fresh=True)
    wait_until_seen(lambda: second in events, 'the second update')
    tasks.end()
    assert events == [first, first, second]
