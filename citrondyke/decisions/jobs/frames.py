"""Assembles the SSE events of a streamed answer into a plain answer."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

import msgspec

__all__ = ('assemble_answer',)


class _Delta(msgspec.Struct):
    content: str | None = None


class _Choice(msgspec.Struct):
    finish_reason: str | None = None
    text: str = ''
    delta: _Delta | None = None


class _Frame(msgspec.Struct):
    id: str
    created: int
    model: str
    choices: list[_Choice]
    usage: dict[str, Any] | None = None


def assemble_answer(frames: Sequence[bytes]) -> bytes | None:
    """Assemble the plain answer from a stream's events; ``None`` if the stream is incomplete.

    :param frames: the data of each SSE event, without the final ``[DONE]``.
    """
    if not frames:
        return None
    try:
        decoded = [msgspec.json.decode(frame, type=_Frame) for frame in frames]
    except msgspec.DecodeError:
        return None
    texts: list[str] = []
    finish_reason: str | None = None
    is_chat = False
    for frame in decoded:
        for choice in frame.choices:
            is_chat = is_chat or choice.delta is not None
            texts.append(choice.delta.content or '' if choice.delta else choice.text)
            finish_reason = choice.finish_reason or finish_reason
    if finish_reason is None:
        return None
    return _encode(decoded, ''.join(texts), finish_reason, is_chat=is_chat)


def _encode(frames: list[_Frame], text: str, finish_reason: str, *, is_chat: bool) -> bytes:
    choice: dict[str, Any] = {'index': 0, 'finish_reason': finish_reason, 'logprobs': None}
    if is_chat:
        choice['message'] = {'role': 'assistant', 'content': text}
    else:
        choice['text'] = text
    first = frames[0]
    usage = next((frame.usage for frame in reversed(frames) if frame.usage), None)
    return msgspec.json.encode(
        {
            'id': first.id,
            'object': 'chat.completion' if is_chat else 'text_completion',
            'created': first.created,
            'model': first.model,
            'choices': [choice],
            'usage': usage,
        }
    )
