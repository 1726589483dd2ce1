"""Fixtures of the gateway's tests."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from tests.support.gateway import GatewayFleet


@pytest.fixture
def fleet() -> Iterator[GatewayFleet]:
    """A store, two servers of each service, and two instances."""
    made = GatewayFleet()
    try:
        made.configure()
        for name, service in (('app-1', 'app'), ('app-2', 'app'), ('lm-1', 'lm'), ('lm-2', 'lm')):
            made.add_server(name, service)
        for _ in range(2):
            made.start_instance()
        made.wait_ready()
        yield made
    finally:
        made.end()
