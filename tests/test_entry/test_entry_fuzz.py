"""Arbitrary bytes sent to any endpoint get a typed error, and the instance keeps serving."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from citrondyke.cmd.embedded import DEMO_OPERATOR_KEY, DEMO_TENANT_KEY
from tests.support.caller import Caller
from tests.support.fleet import Fleet

JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=8), inner),
    max_leaves=6,
)
FIELDS = st.sampled_from(
    ['model', 'messages', 'prompt', 'stream', 'n', 'input_file_id', 'endpoint', 'edits']
)
BODIES = st.binary(max_size=60) | st.dictionaries(FIELDS, JSON_VALUES, max_size=4)
ENDPOINTS = st.sampled_from(
    [
        ('POST', '/v1/chat/completions'),
        ('POST', '/v1/completions'),
        ('POST', '/v1/batches'),
        ('POST', '/v1/files'),
        ('POST', '/operator/v1/config'),
        ('GET', '/v1/files/file-out-x/content'),
        ('POST', '/v1/batches/x/cancel'),
        ('PUT', '/v1/nowhere'),
    ]
)


@pytest.mark.fleet(instances=1, engines=1)
def test_arbitrary_bytes_get_a_typed_error(fleet: Fleet) -> None:
    port = fleet.port('instance-0')
    callers = [Caller(port, key) for key in (DEMO_TENANT_KEY, DEMO_OPERATOR_KEY, 'nobody')]

    @settings(max_examples=250, deadline=None, derandomize=True)
    @given(ENDPOINTS, BODIES, st.sampled_from([0, 1, 2]))
    def send(endpoint: tuple[str, str], body: object, caller_index: int) -> None:
        answer = callers[caller_index].call(*endpoint, body)
        assert 400 <= answer.status < 500
        assert answer.error['code'] not in ('', 'internal_error')
        assert answer.error['run'] == 'not_run'

    send()
    assert callers[0].chat('still here').status == 200
    assert len(fleet.runs('engine-0')) == 1


NUMBERS = ('9' * 400, '9' * 4_301, '%B2', '-1', '1.5', 'nan', 'inf', '1e400', '')
DEEPLY_NESTED = b'{"x":' + b'[' * 5_000 + b']' * 5_000 + b'}'


@pytest.mark.fleet(instances=1, engines=1)
def test_odd_numbers_and_nesting_get_a_typed_error(fleet: Fleet) -> None:
    # An error that the endpoint doesn't expect is answered with a 500, as if the instance had
    # failed.
    port = fleet.port('instance-0')
    operator, tenant = Caller(port, DEMO_OPERATOR_KEY), Caller(port, DEMO_TENANT_KEY)
    for number in NUMBERS:
        for path in (
            f'/operator/v1/config/history?after={number}',
            f'/operator/v1/records?from={number}',
            f'/operator/v1/report?from=0&to={number}',
        ):
            answer = operator.get(path)
            assert answer.status in (200, 400), (number, path)
            assert answer.status == 200 or answer.error['code'] == 'invalid_field'
        for header in ('Citrondyke-Within-Ms', 'Citrondyke-Deadline-Epoch-Ms'):
            if number == '1.5':
                continue
            answer = tenant.chat('x', headers={header: number})
            assert (answer.status, answer.error['code']) == (400, 'invalid_field'), (number, header)
    for path in ('/v1/chat/completions', '/v1/batches'):
        answer = tenant.call('POST', path, DEEPLY_NESTED)
        assert 400 <= answer.status < 500
        assert answer.error['code'] == 'malformed_json'
