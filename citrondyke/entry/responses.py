"""The body of every failure, the same at every door."""

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
    """A failure in the published shape, with what is known of the run."""

    type: str
    code: str
    message: str
    #: ``not_run``, ``unknown`` or ``ran``.
    run: str
    #: When to come back, from now; ``None`` where a resend cannot help.
    retry_in_ms: float | None = None
    param: str | None = None


class ErrorBody(msgspec.Struct, frozen=True):
    """Body of every answer that is a failure."""

    error: ErrorDetail


def error_body(error: CitrondykeError) -> ErrorBody:
    """Write a failure down."""
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
    """Answer with JSON."""
    bottle.response.status = status
    bottle.response.content_type = JSON
    return msgspec.json.encode(value)


def error_plugin(callback: Callable[..., Any]) -> Callable[..., Any]:
    """Turn every failure at a door into its answer."""

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
    """Answer with a failure."""
    if error.retry_in_ms is not None:
        bottle.response.set_header('Retry-After', str(math.ceil(error.retry_in_ms / 1e3)))
    return json_response(error_body(error), error.http_status)
