"""Tests that an odd item of a job costs no other item, and is run if it can be."""

from __future__ import annotations

import pytest

from tests.support.gateway import GatewayFleet


@pytest.mark.parametrize('name', ['Host', 'host', 'Attempt-Id'])
def test_item_that_names_a_host_or_an_id_is_run(fleet: GatewayFleet, name: str) -> None:
    # Its request had two of them: servers reject it, so the accepted item stayed open.
    assert fleet.submit('job-1', item_headers={name: 'other'}).status == 202
    assert {result['state'] for result in fleet.wait_done('job-1')} == {'completed'}
