"""The outcome of one item, in the published shape of a result line."""

from __future__ import annotations

from enum import Enum
from typing import Any

import msgspec

__all__ = ('FailureCode', 'ItemOutcome', 'failed_outcome', 'result_line', 'success_outcome')


class FailureCode(Enum):
    """Why an item has no answer; stable."""

    #: The backend server says that the request itself cannot be answered.
    REJECTED = 'request_rejected'
    ATTEMPTS_EXHAUSTED = 'attempts_exhausted'
    #: Instances died with it, alone, again and again.
    KILLED_HOLDER = 'item_killed_holder'
    #: It may have run and may not be repeated.
    OUTCOME_UNKNOWN = 'outcome_unknown'
    CANCELLED = 'batch_cancelled'
    EXPIRED = 'batch_expired'


class ItemOutcome(msgspec.Struct, frozen=True):
    """What became of one item."""

    is_success: bool
    line: bytes


class _Response(msgspec.Struct, frozen=True):
    status_code: int
    request_id: str
    body: Any


class _Error(msgspec.Struct, frozen=True):
    code: str
    message: str
    #: Whether a backend server may have run it.
    run: str


class _Line(msgspec.Struct, frozen=True):
    id: str
    custom_id: str
    response: _Response | None
    error: _Error | None


def success_outcome(request_id: str, custom_id: str, status: int, body: bytes) -> ItemOutcome:
    """Record an answer."""
    response = _Response(status, request_id, _as_json(body))
    return ItemOutcome(True, msgspec.json.encode(_Line(request_id, custom_id, response, None)))


def failed_outcome(
    request_id: str,
    custom_id: str,
    code: FailureCode,
    run: str,
    *,
    status: int = 0,
    body: bytes = b'',
) -> ItemOutcome:
    """Record that there will be no answer.

    :param run: ``not_run``, ``unknown`` or ``ran``.
    :param status: the backend server's answer, where there was one.
    """
    return ItemOutcome(False, result_line(request_id, custom_id, code, run, status, body))


def result_line(
    request_id: str,
    custom_id: str,
    code: FailureCode,
    run: str,
    status: int = 0,
    body: bytes = b'',
) -> bytes:
    """Write the line of an item that failed."""
    response = _Response(status, request_id, _as_json(body)) if status else None
    error = _Error(code.value, f'the item ended as {code.value}', run)
    return msgspec.json.encode(_Line(request_id, custom_id, response, error))


def _as_json(body: bytes) -> Any:
    """Keep a JSON body as it is; anything else becomes a string."""
    try:
        msgspec.json.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return body.decode(errors='replace')
    return msgspec.Raw(body)
