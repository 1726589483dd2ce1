"""Lines of job files."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

__all__ = ('chat_line', 'chat_lines', 'service_lines')


def chat_line(custom_id: str, prompt: str, tokens: int = 8, before: Sequence[str] = ()) -> bytes:
    messages = [{'role': 'system', 'content': content} for content in before]
    line = {
        'custom_id': custom_id,
        'method': 'POST',
        'url': '/v1/chat/completions',
        'body': {
            'model': 'demo-model',
            'messages': [*messages, {'role': 'user', 'content': prompt}],
            'max_tokens': tokens,
        },
    }
    return msgspec.json.encode(line) + b'\n'


def chat_lines(count: int, tokens: int = 8, name: str = 'item') -> bytes:
    return b''.join(chat_line(f'{name}-{n}', f'{name} {n}', tokens) for n in range(count))


def service_lines(count: int, service: str = 'orders') -> bytes:
    lines = [
        {
            'custom_id': f'order-{n}',
            'method': 'POST',
            'url': f'/services/{service}/place',
            'body': {'order': n},
        }
        for n in range(count)
    ]
    return b''.join(msgspec.json.encode(line) + b'\n' for line in lines)
