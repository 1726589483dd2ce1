"""JSON responses, with one error format for all endpoints."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any

import bottle
import logbook
import msgspec

from citrondyke.errors import CitrondykeError, RunState

__all__ = ('ErrorBody', 'ErrorDetail', 'error_body', 'error_plugin', 'json_response')

log = logbook.Logger(__name__)

JSON = 'application/json'


class ErrorDetail(msgspec.Struct, frozen=True):
    """The published error fields and whether the request may have run."""

    type: str
    code: str
    message: str
    #: ``not_run``, ``unknown`` or ``ran``.
    run: str
    #: Time after the response when the caller may retry; ``None`` if a retry cannot succeed.
    retry_in_ms: float | None = None
    param: str | None = None


class ErrorBody(msgspec.Struct, frozen=True):
    """Body of every error response."""

    error: ErrorDetail


def error_body(error: CitrondykeError) -> ErrorBody:
    """Return the response body for an error."""
    return ErrorBody(
        ErrorDetail(
            type=error.kind,
            code=error.code,
            message=error.message,
            run=error.run.value,
            retry_in_ms=error.retry_in_ms,
        )
    )


def json_response(value: Any, status: int = 200) -> bytes:
    """Encode a JSON body and set the status and content type of the response."""
    bottle.response.status = status
    bottle.response.content_type = JSON
    return msgspec.json.encode(value)


def error_plugin(callback: Callable[..., Any]) -> Callable[..., Any]:
    """Convert errors raised by an endpoint into error responses."""

    def guarded(*args: Any, **kwargs: Any) -> Any:
        try:
            return callback(*args, **kwargs)
        except CitrondykeError as error:
            return error_response(error)
        except bottle.HTTPResponse:
            raise
        except Exception:
            log.exception('request failed')
            return error_response(CitrondykeError('internal error', run=RunState.UNKNOWN))

    return guarded


def error_response(error: CitrondykeError) -> bytes:
    """Return the response for an error, with ``Retry-After`` if a retry can succeed."""
    if error.retry_in_ms is not None:
        bottle.response.set_header('Retry-After', str(math.ceil(error.retry_in_ms / 1e3)))
    return json_response(error_body(error), error.http_status)
