"""Outcomes of items, in the public format of a result line."""

from __future__ import annotations

from enum import Enum
from typing import Any

import msgspec

__all__ = ('FailureCode', 'ItemOutcome', 'failed_outcome', 'result_line', 'success_outcome')


class FailureCode(Enum):
    """Why an item has no answer; the values are a stable public interface."""

    #: The backend server rejected the request itself.
    REJECTED = 'request_rejected'
    ATTEMPTS_EXHAUSTED = 'attempts_exhausted'
    #: Servers crash under a part of its prompt that other requests share.
    BLOCKED = 'request_blocked'
    #: Several instances died while they ran this item alone.
    KILLED_HOLDER = 'item_killed_holder'
    #: The item may have run and may not be repeated.
    OUTCOME_UNKNOWN = 'outcome_unknown'
    CANCELLED = 'batch_cancelled'
    EXPIRED = 'batch_expired'


class ItemOutcome(msgspec.Struct, frozen=True):
    """Outcome of one item as an encoded result line."""

    is_success: bool
    line: bytes


class _Response(msgspec.Struct, frozen=True, omit_defaults=True):
    status_code: int
    request_id: str
    body: Any
    #: Whether the end of the body was that of the connection, which may have come early.
    ended_with_connection: bool = False


class _Error(msgspec.Struct, frozen=True):
    code: str
    message: str
    #: Whether a backend server has run it: ``not_run``, ``unknown`` or ``ran``.
    run: str


class _Line(msgspec.Struct, frozen=True):
    id: str
    custom_id: str
    response: _Response | None
    error: _Error | None


def success_outcome(
    request_id: str,
    custom_id: str,
    status: int,
    body: bytes,
    *,
    ended_with_connection: bool = False,
) -> ItemOutcome:
    """Return the outcome of an answered item.

    :param ended_with_connection: whether the end of the body was that of the connection.
    """
    response = _Response(status, request_id, _as_json(body), ended_with_connection)
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
    """Return the outcome of an item without an answer.

    :param run: ``not_run``, ``unknown`` or ``ran``.
    :param status: status of the backend server's answer; 0 if there was none.
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
    """Encode the result line of a failed item."""
    response = _Response(status, request_id, _as_json(body)) if status else None
    error = _Error(code.value, f'the item failed: {code.value}', run)
    return msgspec.json.encode(_Line(request_id, custom_id, response, error))


def _as_json(body: bytes) -> Any:
    """Return a JSON body unchanged and any other body as a string."""
    try:
        msgspec.json.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return body.decode(errors='replace')
    return msgspec.Raw(body)
