"""A demonstration against a running instance; exits with 0 only if all checks pass."""

from __future__ import annotations

import sys
import time
import uuid
from typing import Any

import msgspec
import urllib3
from cyclopts import App
from rich.console import Console

from citrondyke.cmd.embedded import DEMO_OPERATOR_KEY, DEMO_TENANT_KEY
from citrondyke.operator.histogram import SparseHistogram
from citrondyke.operator.request_metrics import MetricsReport
from citrondyke.operator.terminal import histogram_table
from citrondyke.standin.engine_text import expected_text

__all__ = ('main',)

app = App(name='citrondyke-demo', help='Run the demonstration against an instance.')
console = Console(soft_wrap=True)

ITEMS = 2000
#: Numbers of items that the engine can never answer.
IMPOSSIBLE = (411, 1042, 1733)
READY_WITHIN_S = 30.0
JOB_WITHIN_S = 120.0


class Demo:
    """One run of the demonstration."""

    def __init__(self, port: int) -> None:
        """Use the instance on a loopback port."""
        self._http = urllib3.HTTPConnectionPool('127.0.0.1', port, timeout=30, retries=False)
        self._failures = 0

    def run(self) -> int:
        """Run all steps and return the exit code."""
        self._wait_until_ready()
        self._streamed_call()
        self._service_call_twice()
        self._job()
        self._histograms()
        verdict = 'all checks passed' if not self._failures else f'{self._failures} checks failed'
        console.print(f'\n[bold]{verdict}[/bold]')
        return 1 if self._failures else 0

    def _streamed_call(self) -> None:
        body = {
            'model': 'demo-model',
            'messages': [{'role': 'user', 'content': 'Which stops come before noon?'}],
            'max_tokens': 12,
            'stream': True,
        }
        answer = self._call('POST', '/v1/chat/completions', body)
        frames = [line[6:] for line in answer.data.split(b'\n') if line.startswith(b'data: {')]
        deltas = [msgspec.json.decode(frame)['choices'][0]['delta'] for frame in frames]
        text = ''.join(delta.get('content', '') for delta in deltas)
        self._check(
            'streamed call: complete answer with its end marker',
            answer.data.endswith(b'data: [DONE]\n\n')
            and text == expected_text('user: Which stops come before noon?', 12),
        )
        console.print(f'  answer: {text}')

    def _service_call_twice(self) -> None:
        key = f'demo-{uuid.uuid4().hex}'
        answers = [
            self._call('POST', '/services/orders/place', {'jugs': 2}, {'Idempotency-Key': key})
            for _ in range(2)
        ]
        runs = [msgspec.json.decode(answer.data).get('run') for answer in answers]
        replayed = answers[1].headers.get('Idempotent-Replayed')
        self._check('order sent twice with the same key: the service ran it once', runs == [1, 1])
        self._check('the second answer is the stored one', replayed == 'true')

    def _job(self) -> None:
        lines = b''.join(_job_line(number) for number in range(ITEMS))
        upload = self._http.request(
            'POST',
            '/v1/files',
            fields={'purpose': 'batch', 'file': ('stops.jsonl', lines)},
            headers=_headers(),
        )
        file_id = msgspec.json.decode(upload.data)['id']
        job_request = {
            'input_file_id': file_id,
            'endpoint': '/v1/chat/completions',
            'completion_window': '24h',
        }
        batch = self._json('POST', '/v1/batches', job_request)
        batch = self._wait_for_job(batch['id'])
        counts = batch['request_counts']
        console.print(f'  job: {batch["status"]}, {counts}')
        self._check('the job is completed', batch['status'] == 'completed')
        self._check_outcomes(batch)

    def _check_outcomes(self, batch: dict[str, Any]) -> None:
        output_lines = self._lines(batch['output_file_id'])
        error_lines = self._lines(batch['error_file_id'])
        ids = [line['custom_id'] for line in output_lines + error_lines]
        expected_ids = [f'stop-{number}' for number in range(ITEMS)]
        self._check('every item has exactly one outcome', sorted(ids) == sorted(expected_ids))
        impossible = sorted(f'stop-{number}' for number in IMPOSSIBLE)
        self._check(
            'the three items that can never be answered have errors',
            sorted(line['custom_id'] for line in error_lines) == impossible,
        )
        for line in error_lines:
            console.print(f'  {line["custom_id"]}: {line["error"]["code"]}')
        whole = all(
            line['response']['body']['choices'][0]['message']['content']
            == expected_text(f'user: Stop {line["custom_id"][5:]}', 8)
            for line in output_lines
        )
        self._check('every answer is complete and belongs to its item', whole)

    def _histograms(self) -> None:
        answer = self._http.request(
            'GET',
            '/operator/v1/histograms',
            headers={'Authorization': f'Bearer {DEMO_OPERATOR_KEY}'},
        )
        report = msgspec.json.decode(answer.data, type=MetricsReport)
        for name, quantities in report.by_class.items():
            for quantity, data in quantities.items():
                histogram = SparseHistogram()
                histogram.merge(data)
                console.print(histogram_table(f'class {name}: {quantity}', histogram))
        self._check('histograms of the class exist', 'calls' in report.by_class)

    def _wait_until_ready(self) -> None:
        until = time.monotonic() + READY_WITHIN_S
        while time.monotonic() < until:
            try:
                if self._http.request('GET', '/health/ready').status == 200:  # noqa: PLR2004
                    return
            except urllib3.exceptions.HTTPError:
                pass
            time.sleep(0.1)
        self._check('the instance is ready', False)

    def _wait_for_job(self, job_id: str) -> dict[str, Any]:
        until = time.monotonic() + JOB_WITHIN_S
        while True:
            batch = self._json('GET', f'/v1/batches/{job_id}')
            if batch['status'] == 'completed' or time.monotonic() > until:
                return batch
            time.sleep(0.2)

    def _lines(self, file_id: str) -> list[dict[str, Any]]:
        content = self._call('GET', f'/v1/files/{file_id}/content').data
        return [msgspec.json.decode(line) for line in content.splitlines()]

    def _json(self, method: str, path: str, body: Any = None) -> dict[str, Any]:
        decoded: dict[str, Any] = msgspec.json.decode(self._call(method, path, body).data)
        return decoded

    def _call(
        self, method: str, path: str, body: Any = None, headers: dict[str, str] | None = None
    ) -> urllib3.BaseHTTPResponse:
        encoded = None if body is None else msgspec.json.encode(body)
        return self._http.request(
            method, path, body=encoded, headers={**_headers(), **(headers or {})}
        )

    def _check(self, what: str, has_passed: bool) -> None:
        mark = '[green]passed[/green]' if has_passed else '[red]FAILED[/red]'
        console.print(f'{mark}  {what}')
        self._failures += not has_passed


def _headers() -> dict[str, str]:
    return {'Authorization': f'Bearer {DEMO_TENANT_KEY}'}


def _job_line(number: int) -> bytes:
    mark = ' [[never]]' if number in IMPOSSIBLE else ''
    line = {
        'custom_id': f'stop-{number}',
        'method': 'POST',
        'url': '/v1/chat/completions',
        'body': {
            'model': 'demo-model',
            'messages': [{'role': 'user', 'content': f'Stop {number}{mark}'}],
            'max_tokens': 8,
        },
    }
    return msgspec.json.encode(line) + b'\n'


@app.default
def demo(*, port: int = 8080) -> int:
    """Run the demonstration."""
    return Demo(port).run()


def main() -> None:
    """Run the program."""
    sys.exit(app())


if __name__ == '__main__':
    main()
