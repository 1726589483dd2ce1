"""A caller, an operator, and whoever switches the stand-ins' faults."""

from __future__ import annotations

import socket
from typing import Any

import msgspec
import urllib3

__all__ = ('Answer', 'Caller', 'receive_answer')


class Answer:
    """What came back."""

    def __init__(self, status: int, headers: Any, body: bytes) -> None:
        self.status = status
        self.headers = headers
        self.body = body

    @property
    def json(self) -> Any:
        return msgspec.json.decode(self.body)

    @property
    def error(self) -> Any:
        return self.json['error']


class Caller:
    """HTTP on one address, with one key; it never sends anything twice."""

    def __init__(self, port: int, key: str = '') -> None:
        self._http = urllib3.HTTPConnectionPool(
            '127.0.0.1', port, timeout=urllib3.Timeout(60), retries=False, maxsize=32
        )
        self._headers = {'Authorization': f'Bearer {key}'} if key else {}

    def call(
        self,
        method: str,
        path: str,
        body: Any = None,
        headers: dict[str, str] | None = None,
    ) -> Answer:
        data = body if isinstance(body, bytes | None) else msgspec.json.encode(body)
        response = self._http.request(
            method, path, body=data, headers={**self._headers, **(headers or {})}
        )
        return Answer(response.status, response.headers, response.data)

    def get(self, path: str) -> Answer:
        return self.call('GET', path)

    def try_call(
        self,
        method: str,
        path: str,
        body: Any = None,
        headers: dict[str, str] | None = None,
    ) -> Answer | None:
        """Call; ``None`` where no whole answer came."""
        try:
            return self.call(method, path, body, headers)
        except urllib3.exceptions.HTTPError:
            return None

    def chat(self, prompt: str, tokens: int = 8, **more: Any) -> Answer:
        headers = more.pop('headers', None)
        body = {
            'model': more.pop('model', 'demo-model'),
            'messages': [{'role': 'user', 'content': prompt}],
            'max_tokens': tokens,
            **more,
        }
        return self.call('POST', '/v1/chat/completions', body, headers)

    def upload(self, lines: bytes) -> Answer:
        response = self._http.request(
            'POST',
            '/v1/files',
            fields={'purpose': 'batch', 'file': ('job.jsonl', lines)},
            headers=self._headers,
        )
        return Answer(response.status, response.headers, response.data)

    def lines(self, file_id: str | None) -> list[Any]:
        if file_id is None:
            return []
        body = self.get(f'/v1/files/{file_id}/content').body
        return [msgspec.json.decode(line) for line in body.splitlines()]


def receive_answer(sock: socket.socket) -> bytes:
    """Read one whole answer with a stated length; its head may come before its body."""
    data = b''
    while b'\r\n\r\n' not in data:
        part = sock.recv(65_536)
        if not part:
            return data
        data += part
    head, _, body = data.partition(b'\r\n\r\n')
    stated = [line for line in head.split(b'\r\n') if line.lower().startswith(b'content-length:')]
    length = int(stated[0].partition(b':')[2]) if stated else 0
    while len(body) < length:
        part = sock.recv(65_536)
        if not part:
            break
        body += part
    return head + b'\r\n\r\n' + body
