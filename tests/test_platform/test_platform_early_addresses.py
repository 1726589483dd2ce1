"""Tests that the addresses in the environment are read, or left to the settings file."""

from __future__ import annotations

import pytest

from citrondyke.platform.early_addresses import LISTEN_VARIABLE, early_addresses


def test_addresses_are_read() -> None:
    environment = {LISTEN_VARIABLE: '10.0.0.1:8080 10.0.0.1:8081'}
    assert early_addresses(environment) == [('10.0.0.1', 8080), ('10.0.0.1', 8081)]
    assert early_addresses({}) == []


@pytest.mark.parametrize('port', ['', '-1', '65536', '\u00b2', '\u0661', '9' * 4_301, '0' * 4_301])
def test_invalid_port_leaves_the_addresses_to_the_settings_file(port: str) -> None:
    # An error at this point would end the process before it has read its settings.
    assert early_addresses({LISTEN_VARIABLE: f'10.0.0.1:8080 10.0.0.1:{port}'}) == []
