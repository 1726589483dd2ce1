"""Decoding of the platform's settings, rows and headers."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from citrondyke.decisions.accounts.overshoot_budget import OvershootBudget
from citrondyke.decisions.batch.job import ItemResult, ItemState
from citrondyke.decisions.forwarding.route import RouteKind
from citrondyke.decisions.forwarding.route_table import NoRoute
from citrondyke.errors import InvalidFieldError, SettingsInvalidError
from citrondyke.gateway.callers.caller_request import CallerRequest
from citrondyke.gateway.dialect import JobCallKind, JobPage, ReplyMetadata
from citrondyke.gateway.servers.reply_reader import ReplyHead
from citrondyke.ids import ServerId, TenantId
from citrondyke.platform.dialect import PlatformDialect
from citrondyke.platform.rows import decode_config, decode_server
from citrondyke.platform.settings_file import platform_settings
from tests.support.peers import server_row

SETTINGS = """
node_name = "edge-1"
ip = "10.1.0.35"
zone = "van-east"
internal_ports = [7660, 7675]
seeds = ["10.1.0.35:8146", "10.2.0.28:8146"]
unknown = "passed over"
[listen]
frontend = "10.1.0.35:8144"
ready = "10.1.0.35:8140"
[limits]
memory_mb = 320
max_fds = 8200
[bounds]
grace_s = 8
[platform]
address = "10.200.1.7:8142"
row_bytes = 65536
"""
CONFIG = {
    'version': 7,
    'routes': [
        {
            'name': 'r-1',
            'hostname': 'Calls.Example',
            'path_prefix': '/a/',
            'type': 'streaming',
            'timeout_ms': 5000,
            'slo_ms': 300,
            'split': [{'service': 's', 'weight': 90}, {'service': 't', 'weight': 10}],
            'max_attempts': 2,
            'resumable': True,
            'gap_slo_ms': 200,
        },
        {
            'name': 'r-2',
            'hostname': 'calls.example',
            'path_prefix': '/a/b/',
            'type': 'non_idempotent',
            'timeout_ms': 900,
            'service': 's',
        },
    ],
    'services': [{'name': 's', 'engine': {'slots': 8}}],
    'limits': {'max_header_bytes': 100},
}


def request(method: bytes, target: bytes, **headers: str) -> CallerRequest:
    pairs = [(name.replace('_', '-').encode(), value.encode()) for name, value in headers.items()]
    return CallerRequest(method, target, pairs, b'', 0.0)


def test_settings_are_decoded() -> None:
    settings = platform_settings(SETTINGS, 'boot.toml', 9000)
    assert (settings.instance_id, settings.zone, settings.peer_port) == ('edge-1', 'van-east', 7660)
    assert (settings.callers.port, settings.health.port) == (8144, 8140)
    assert settings.seed_ips == ('10.2.0.28',)
    assert settings.stop_within_ms == 8_000.0
    assert settings.memory_bytes == 320 * 1024 * 1024
    assert settings.limit_tolerance == OvershootBudget(overshoot=0.1)
    changed_text = SETTINGS.replace('grace_s = 8', 'quota_slack = 20\nquota_window_s = 7')
    tolerance = platform_settings(changed_text, 'boot.toml', 9000).limit_tolerance
    assert tolerance == OvershootBudget(window_ms=7_000.0, overshoot=0.1, slack=20.0)


def test_settings_in_json_equal_those_in_toml() -> None:
    # The deploy template passes the settings as JSON; the platform's own file is TOML.
    text = msgspec.json.encode(msgspec.toml.decode(SETTINGS)).decode()
    from_json = platform_settings(text, 'boot.toml', 9000)
    assert from_json == platform_settings(SETTINGS, 'boot.toml', 9000)
    with pytest.raises(SettingsInvalidError):
        platform_settings(text[:-1], 'boot.toml', 9000)


@pytest.mark.parametrize(
    'change',
    [
        ('ip = "10.1.0.35"', ''),
        ('"10.200.1.7:8142"', '"nowhere"'),
        *(('"10.200.1.7:8142"', f'"10.200.1.7:{port}"') for port in ('99999', '-1', '9' * 4_301)),
        ('grace_s = 8', 'grace_s = ' + '9' * 4_301),
        ('grace_s = 8', 'grace_s = ' + '[' * 5_000 + ']' * 5_000),
        ('grace_s = 8', 'grace_s = nan'),
        ('max_fds = 8200', 'max_fds = ' + '9' * 400),
        ('[7660, 7675]', '"x"'),
        ('[7660, 7675]', '[7660, 7660]'),
        ('grace_s = 8', 'quota_slack = -1'),
        ('grace_s = 8', 'quota_window_s = 0'),
    ],
)
def test_error_for_invalid_settings_names_the_file(change: tuple[str, str]) -> None:
    with pytest.raises(SettingsInvalidError) as caught:
        platform_settings(SETTINGS.replace(*change), 'boot.toml', 0)
    assert 'boot.toml' in caught.value.message


def test_route_with_the_longest_matching_prefix_is_found() -> None:
    table = decode_config(msgspec.json.encode(CONFIG))
    first = table.find('calls.example', '/a/x')
    second = table.find('calls.example', '/a/b/x')
    assert not isinstance(first, NoRoute)
    assert not isinstance(second, NoRoute)
    assert (first.name, first.kind, first.may_repeat) == ('r-1', RouteKind.STREAM, True)
    assert [(each.service, each.weight) for each in first.shares] == [('s', 90), ('t', 10)]
    assert (second.name, second.kind, second.may_repeat) == ('r-2', RouteKind.ONCE, False)
    assert isinstance(table.find('calls.example', '/b/'), NoRoute)
    assert isinstance(table.find('other.example', '/a/x'), NoRoute)
    assert table.limits.head_bytes == 100


def test_draining_server_is_leaving() -> None:
    row = server_row(state='draining')
    server = decode_server('i-1', msgspec.json.encode(row))
    assert (server.id, server.ip, server.port, server.slots_count) == ('i-1', '10.0.0.1', 80, 8)
    assert server.is_leaving
    assert not decode_server('i-1', msgspec.json.encode({**row, 'state': 'ready'})).is_leaving


def test_hop_by_hop_and_forged_headers_are_not_forwarded() -> None:
    headers = [
        (b'host', b'h'),
        (b'attempt-id', b'a'),
        (b'connection', b'close, x-mine'),
        (b'x-mine', b'1'),
        (b'keep-alive', b'timeout=5'),
        (b'transfer-encoding', b'chunked'),
        (b'deadline-ms', b'90000'),
        (b'expect-instance', b'forged'),
        (b'x-api-key', b'secret'),
        (b'tenant', b'forged'),
        (b'model', b'm'),
    ]
    forwarded = PlatformDialect().server_headers(
        headers, ServerId('i-1'), 1_200.7, 4, TenantId('acme')
    )
    assert forwarded == [
        (b'host', b'h'),
        (b'attempt-id', b'a'),
        (b'model', b'm'),
        (b'expect-instance', b'i-1'),
        (b'deadline-ms', b'1200'),
        (b'last-event-id', b'4'),
        (b'tenant', b'acme'),
    ]


def test_reply_metadata_is_read_from_headers_and_status() -> None:

    def metadata(head: ReplyHead) -> ReplyMetadata:
        return PlatformDialect().reply_metadata(head, [])

    seal = (b'response-seal', b'x')
    assert metadata(ReplyHead(200, [seal])).is_signed
    assert not metadata(ReplyHead(200, [seal, (b'content-encoding', b'gzip')])).is_signed
    assert metadata(ReplyHead(503, [(b'not-executed', b'1')])).was_not_run
    assert not metadata(ReplyHead(503, [seal])).was_not_run
    assert metadata(ReplyHead(421, [])).is_misplaced
    assert metadata(ReplyHead(200, [(b'instance-load', b'3,1,8')])).load == (3, 1)
    assert metadata(ReplyHead(200, [(b'instance-load', b'many')])).load is None


def test_job_calls_are_parsed() -> None:
    dialect = PlatformDialect()
    read = dialect.job_call(request(b'GET', b'/-/lots/j%2F1?after=12', wait_ms='1000'))
    assert read is not None
    assert (read.kind, read.job_id, read.after, read.wait_ms) == (
        JobCallKind.READ,
        'j/1',
        12,
        1000.0,
    )
    body = dialect.job_call(request(b'GET', b'/-/items/j?id=i'))
    assert body is not None
    assert (body.kind, body.item_id) == (JobCallKind.ITEM_BODY, 'i')
    end = dialect.job_call(request(b'DELETE', b'/-/lots/j'))
    assert end is not None
    assert end.kind is JobCallKind.END
    assert dialect.job_call(request(b'POST', b'/-/lots/j')) is None


def test_page_of_results_is_encoded() -> None:
    page = JobPage(40, 12, [ItemResult('i', ItemState.COMPLETED, 'a\nb')])
    assert msgspec.json.decode(PlatformDialect().job_page(page)) == {
        'total': 40,
        'next': 13,
        'results': [{'id': 'i', 'state': 'completed', 'text': 'a\nb'}],
    }


@given(st.binary(max_size=300))
def test_any_job_body_is_decoded_or_rejected(body: bytes) -> None:
    try:
        PlatformDialect().job_items(body)
    except InvalidFieldError as error:
        assert error.message


@given(st.binary(max_size=60), st.binary(max_size=60))
def test_any_headers_are_parsed_without_error(name: bytes, value: bytes) -> None:
    dialect = PlatformDialect()
    pairs = [(name.lower(), value), (b'deadline-ms', value), (b'last-event-id', value)]
    dialect.request_metadata(CallerRequest(b'GET', b'/', pairs, b'', 0.0))
    dialect.reply_metadata(ReplyHead(200, [(b'instance-load', value), (b'attempt-id', value)]), [])


def test_check_settings_accepts_both_kinds_of_files(tmp_path: Path) -> None:
    def check(name: str, text: str) -> tuple[int, str]:
        file = tmp_path / name
        file.write_text(text)
        command = [sys.executable, '-m', 'citrondyke.cmd.citrondyked', '--check-settings']
        completed = subprocess.run(
            [*command, '--settings', str(file)], check=False, capture_output=True, text=True
        )
        return completed.returncode, completed.stdout + completed.stderr

    code, output = check('boot.toml', SETTINGS)
    assert (code, 'valid platform settings file' in output) == (0, True)
    code, output = check('bad.toml', SETTINGS.replace('"10.200.1.7:8142"', '"nowhere"'))
    assert (code, 'bad.toml' in output) == (2, True)
    code, output = check('own.toml', '[instance]\n')
    assert (code, 'instance' in output) == (2, True)
