"""Tests that an odd item of a job costs no other item, and is run if it can be."""

from __future__ import annotations

from typing import Any

import pytest

from citrondyke.decisions.batch.job import JobItem
from tests.support.gateway import GatewayFleet


@pytest.mark.parametrize('name', ['Host', 'host', 'Attempt-Id'])
def test_item_that_names_a_host_or_an_id_is_run(fleet: GatewayFleet, name: str) -> None:
    # Its request had two of them: servers reject it, so the accepted item stayed open.
    assert fleet.submit('job-1', item_headers={name: 'other'}).status == 202
    assert {result['state'] for result in fleet.wait_done('job-1')} == {'completed'}


def test_item_that_cannot_start_leaves_the_others_alone(
    fleet: GatewayFleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    # One exception ended the start of all items of the instance, each time anew.
    dialect = fleet.instances[0]._adapters.dialect
    prompt_parts = dialect.item_prompt_parts

    def fail_for_one(item: JobItem) -> Any:
        if item.id == 'odd-0':
            raise LookupError
        return prompt_parts(item)

    monkeypatch.setattr(dialect, 'item_prompt_parts', fail_for_one)
    assert fleet.submit('odd', count=2).status == 202
    assert fleet.submit('sound').status == 202
    assert {result['state'] for result in fleet.wait_done('sound')} == {'completed'}
    listed = [result['id'] for result in fleet.results('odd')['results']]
    assert 'odd-0' not in listed
    monkeypatch.undo()
    assert {result['state'] for result in fleet.wait_done('odd')} == {'completed'}
