"""Parts of the prompts of chats and completions that other requests may share."""

from __future__ import annotations

import msgspec

from citrondyke.ids import PromptPart
from citrondyke.util.hashing import digest_hex

__all__ = ('body_prompt_parts', 'prompt_parts')

#: Length from which the start of a text counts as a part. Shorter texts belong to one request.
TEXT_PART_BYTES = 512
DIGEST_DIGITS = 20


class _Body(msgspec.Struct, frozen=True):
    messages: msgspec.Raw = msgspec.Raw()
    prompt: msgspec.Raw = msgspec.Raw()


def prompt_parts(prompt: bytes) -> tuple[PromptPart, ...]:
    """Return the parts of a prompt: each message of a chat but the last, or the start of a text.

    :param prompt: the JSON of the messages or of the text.
    """
    try:
        messages = msgspec.json.decode(prompt, type=list[msgspec.Raw])
    except msgspec.DecodeError:
        is_long = len(prompt) >= TEXT_PART_BYTES
        return (_part(prompt[:TEXT_PART_BYTES]),) if is_long else ()
    shared = [bytes(message) for message in messages[:-1]]
    return tuple(_part(message) for message in shared if message.startswith(b'{'))


def body_prompt_parts(body: bytes) -> tuple[PromptPart, ...]:
    """Return the parts of the prompt in the body of a request to a model."""
    try:
        decoded = msgspec.json.decode(body, type=_Body)
    except msgspec.DecodeError:
        return ()
    return prompt_parts(bytes(decoded.messages) or bytes(decoded.prompt))


def _part(data: bytes) -> PromptPart:
    return PromptPart(digest_hex(data)[:DIGEST_DIGITS])
