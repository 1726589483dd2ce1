"""Answers of the engine stand-in in the format of the OpenAI API."""

from __future__ import annotations

import time
from collections.abc import Iterator
from typing import Any

import msgspec

from citrondyke.standin.engine_model import EngineToken
from citrondyke.standin.engine_text import prompt_seed, token_text

__all__ = ('CHARS_PER_TOKEN', 'EngineAnswer')

CHARS_PER_TOKEN = 4


class EngineAnswer:
    """Encodes one answer in the format of the OpenAI API."""

    def __init__(self, model_name: str, prompt: str, request_id: str, *, chat: bool) -> None:
        self._model_name = model_name
        self._prompt = prompt
        self._seed = prompt_seed(prompt)
        self._chat = chat
        self._id = ('chatcmpl-' if chat else 'cmpl-') + request_id
        self._created = int(time.time())

    def complete_body(self, tokens: Iterator[EngineToken]) -> bytes:
        """Return the body of an answer that is not streamed."""
        text = ''.join(token_text(self._seed, token.index) for token in tokens)
        choice: dict[str, Any] = {'index': 0, 'finish_reason': 'length', 'logprobs': None}
        if self._chat:
            choice['message'] = {'role': 'assistant', 'content': text}
        else:
            choice['text'] = text
        body = self._head('chat.completion' if self._chat else 'text_completion')
        body['choices'] = [choice]
        body['usage'] = self._usage(len(text.split()))
        return msgspec.json.encode(body)

    def frames(self, tokens: Iterator[EngineToken]) -> Iterator[bytes]:
        """Yield the frames of a streamed answer, one for each token and an end marker."""
        for token in tokens:
            yield self._frame(token)
        yield b'data: [DONE]\n\n'

    def _frame(self, token: EngineToken) -> bytes:
        text = token_text(self._seed, token.index)
        choice: dict[str, Any] = {
            'index': 0,
            'finish_reason': 'length' if token.last else None,
            'logprobs': None,
        }
        if self._chat:
            delta = {'content': text}
            if token.index == 0:
                delta['role'] = 'assistant'
            choice['delta'] = delta
        else:
            choice['text'] = text
        body = self._head('chat.completion.chunk' if self._chat else 'text_completion')
        body['choices'] = [choice]
        if token.last:
            body['usage'] = self._usage(token.index + 1)
        return b'data: ' + msgspec.json.encode(body) + b'\n\n'

    def _head(self, kind: str) -> dict[str, Any]:
        return {
            'id': self._id,
            'object': kind,
            'created': self._created,
            'model': self._model_name,
        }

    def _usage(self, completion_tokens: int) -> dict[str, int]:
        prompt_tokens = max(1, len(self._prompt) // CHARS_PER_TOKEN)
        return {
            'prompt_tokens': prompt_tokens,
            'completion_tokens': completion_tokens,
            'total_tokens': prompt_tokens + completion_tokens,
        }
