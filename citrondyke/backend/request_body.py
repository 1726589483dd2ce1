"""Adapts a request body for the engine."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from citrondyke.decisions.core.server_call import ServerCall

__all__ = ('engine_body',)


def engine_body(call: ServerCall) -> bytes:
    """Return the request body, with streaming and the resume position set for streamed requests."""
    if not call.is_streamed:
        return call.body
    fields = msgspec.json.decode(call.body, type=dict[str, msgspec.Raw])
    fields['stream'] = msgspec.Raw(b'true')
    if call.resume_from_frame:
        fields['resume_from_token'] = msgspec.Raw(str(call.resume_from_frame).encode())
    return msgspec.json.encode(fields)
