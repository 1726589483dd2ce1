"""Rows and messages that an earlier build wrote keep their bytes.

A field that is renamed without its outer name would be missing from what the other build reads,
during an upgrade and after it. Decoding alone doesn't show that where the field has a default, so
each value is encoded again as well.
"""

from __future__ import annotations

import json
from pathlib import Path

import msgspec
import pytest

from citrondyke.decisions.at_most_once.intent_row import IntentRow
from citrondyke.decisions.audit.record import OutcomeRecord, SealHeader
from citrondyke.decisions.batch.backlog_limit import TokenShare
from citrondyke.decisions.batch.job import JobHead, JobItem
from citrondyke.decisions.configuration.change import ConfigChange
from citrondyke.decisions.configuration.config_replica import SnapshotRow
from citrondyke.decisions.crashes.suspect import SuspectRow
from citrondyke.decisions.jobs.rows import FileRow, JobRow, OpenRow, PartRow, TodoRow
from citrondyke.decisions.membership.session_row import SessionRow
from citrondyke.gateway.jobs.job_rows import SavedProgress, StoredResult
from citrondyke.gateway.peers.membership import Heartbeat
from citrondyke.gateway.peers.peer_codec import decode_message, encode_message

RECORDED = json.loads((Path(__file__).parents[1] / 'support' / 'recorded_bytes.json').read_text())
ROW_KINDS: dict[str, type[msgspec.Struct]] = {
    'job': JobRow,
    'file': FileRow,
    'open job': OpenRow,
    'segment': TodoRow,
    'part': PartRow,
    'session': SessionRow,
    'intent': IntentRow,
    'change': ConfigChange,
    'snapshot': SnapshotRow,
    'token share': TokenShare,
    'batch job': JobHead,
    'item': JobItem,
    'suspect': SuspectRow,
    'heartbeat': Heartbeat,
    'progress': SavedProgress,
    'result': StoredResult,
    'outcome': OutcomeRecord,
    'seal': SealHeader,
}


@pytest.mark.parametrize('name', RECORDED['rows'])
def test_row_of_an_earlier_build_keeps_its_bytes(name: str) -> None:
    recorded = RECORDED['rows'][name].encode()
    row = msgspec.json.decode(recorded, type=ROW_KINDS[name])
    assert msgspec.json.encode(row) == recorded


@pytest.mark.parametrize('recorded', RECORDED['messages'])
def test_message_of_an_earlier_build_keeps_its_bytes(recorded: str) -> None:
    data = bytes.fromhex(recorded)
    assert encode_message(decode_message(data)) == data
