"""Parsing and validation of one line of a job file."""

from __future__ import annotations

import msgspec

from citrondyke.ids import TargetName

__all__ = ('SERVICE_URL_PREFIX', 'target_of_line')

SERVICE_URL_PREFIX = '/services/'
MODEL_URLS = ('/v1/chat/completions', '/v1/completions')
METHODS = ('POST', 'PUT', 'PATCH', 'GET', 'DELETE')


class _RawLine(msgspec.Struct, frozen=True):
    custom_id: str
    url: str
    body: msgspec.Raw
    method: str = 'POST'


class LineError(msgspec.Struct, frozen=True):
    """Result instead of a target: why the line cannot be accepted."""

    reason: str

    def __bool__(self) -> bool:
        """Evaluate as false, like a missing target."""
        return False


class _ModelBody(msgspec.Struct, frozen=True):
    model: str


def target_of_line(line: _RawLine) -> TargetName | LineError:
    """Return the target of a line."""
    if not line.custom_id:
        return LineError('custom_id is empty')
    if line.method not in METHODS:
        return LineError(f'method {line.method!r} is not one of {", ".join(METHODS)}')
    if line.url.startswith(SERVICE_URL_PREFIX):
        service = line.url[len(SERVICE_URL_PREFIX) :].partition('/')[0]
        if not service:
            return LineError('url does not name a service')
        return TargetName(f'service:{service}')
    if line.url not in MODEL_URLS:
        return LineError(f'url {line.url!r} is not one of {", ".join(MODEL_URLS)}, /services/...')
    try:
        body = msgspec.json.decode(line.body, type=_ModelBody)
    except msgspec.ValidationError:
        return LineError('body.model is missing')
    return TargetName(body.model)


def parse_line(text: bytes) -> _RawLine | LineError:
    """Parse one line."""
    try:
        return msgspec.json.decode(text, type=_RawLine)
    except msgspec.ValidationError as error:
        return LineError(str(error))
    except (msgspec.DecodeError, UnicodeDecodeError):
        return LineError('not JSON')
