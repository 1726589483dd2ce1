"""The official OpenAI client works without changes."""

from __future__ import annotations

import openai
import pytest

from citrondyke.cmd.embedded import DEMO_TENANT_KEY
from citrondyke.standin.engine_text import expected_text
from tests.support.fleet import Fleet
from tests.support.job_lines import chat_lines
from tests.support.waiting import wait_until


@pytest.fixture
def client(fleet: Fleet) -> openai.OpenAI:
    return openai.OpenAI(
        base_url=f'http://127.0.0.1:{fleet.port("instance-0")}/v1',
        api_key=DEMO_TENANT_KEY,
        max_retries=0,
    )


@pytest.mark.fleet(instances=1, engines=1)
def test_client_calls_and_streams(client: openai.OpenAI) -> None:
    assert [model.id for model in client.models.list()] == ['demo-model']
    plain = client.chat.completions.create(
        model='demo-model', messages=[{'role': 'user', 'content': 'hello'}], max_tokens=6
    )
    assert plain.choices[0].message.content == expected_text('user: hello', 6)
    stream = client.chat.completions.create(
        model='demo-model',
        messages=[{'role': 'user', 'content': 'hello'}],
        max_tokens=6,
        stream=True,
    )
    parts = [chunk.choices[0].delta.content or '' for chunk in stream]
    assert ''.join(parts) == expected_text('user: hello', 6)
    completion = client.completions.create(model='demo-model', prompt='hello', max_tokens=4)
    assert completion.choices[0].text == expected_text('hello', 4)
    with pytest.raises(openai.NotFoundError):
        client.chat.completions.create(
            model='no-such-model', messages=[{'role': 'user', 'content': 'hello'}]
        )


@pytest.mark.fleet(instances=2, engines=2)
def test_client_runs_a_job(client: openai.OpenAI) -> None:
    file = client.files.create(file=('job.jsonl', chat_lines(120)), purpose='batch')
    assert client.files.content(file.id).read() == chat_lines(120)
    batch = client.batches.create(
        input_file_id=file.id, endpoint='/v1/chat/completions', completion_window='24h'
    )
    batch = wait_until(
        lambda: (
            found if (found := client.batches.retrieve(batch.id)).status == 'completed' else None
        ),
        'the job to end',
    )
    assert batch.request_counts is not None
    assert batch.request_counts.completed == 120
    assert batch.output_file_id is not None
    assert len(client.files.content(batch.output_file_id).read().splitlines()) == 120
    assert [each.id for each in client.batches.list()] == [batch.id]
