"""Fixtures that tests of all packages share."""

from __future__ import annotations

import gc
import threading
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from hypothesis import settings

from tests.support.fleet import Fleet
from tests.support.gateway import wait_until_seen

# How long an example takes says nothing of the code where the machine is busy.
settings.register_profile('untimed', deadline=None)
settings.load_profile('untimed')


def pytest_configure(config: pytest.Config) -> None:
    config.addinivalue_line(
        'markers', 'fleet(instances=2, engines=2, services=...): the fleet that a test wants'
    )


@pytest.fixture(autouse=True)
def no_thread_goes_on() -> Iterator[None]:
    """Wait until the threads of the test have ended.

    A busy one takes the interpreter from the servers that later tests play in this process: on a
    busy machine they stand still for most of a second, and callers give them up as silent.
    """
    before = set(threading.enumerate())

    def left() -> list[threading.Thread]:
        return [thread for thread in threading.enumerate() if thread not in before]

    yield
    if left():
        # Threads that wait for the end of a connection see it once the connection is collected.
        gc.collect()
        wait_until_seen(lambda: not left(), 'the end of all threads of the test')


@pytest.fixture
def fleet(request: pytest.FixtureRequest, tmp_path: Path) -> Iterator[Fleet]:
    """A fleet of real processes, of the sizes that the test's marker names."""
    marker = request.node.get_closest_marker('fleet')
    wanted: dict[str, Any] = {
        'instances': 2,
        'engines': 2,
        'services': ('orders',),
        'intent_pace': 400,
    }
    wanted.update(marker.kwargs if marker else {})
    made = Fleet(tmp_path, wanted.pop('intent_pace'))
    try:
        made.start(**wanted)
        yield made
    finally:
        made.end()


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Pass over the tests that KNOWN-RED.txt names, and print them."""
    file = Path(__file__).parent.parent / 'KNOWN-RED.txt'
    lines = file.read_text().splitlines() if file.exists() else []
    known = {line.partition(' | ')[0]: line for line in lines if line}
    for item in items:
        if item.nodeid in known:
            print(f'known red: {known[item.nodeid]}')
            item.add_marker(pytest.mark.xfail(reason=known[item.nodeid], strict=False))
