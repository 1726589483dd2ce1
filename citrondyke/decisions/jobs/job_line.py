"""One line of a job file."""

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


class LineFault(msgspec.Struct, frozen=True):
    """Stands in the place of a target: why the line cannot be accepted."""

    why: str

    def __bool__(self) -> bool:
        """Count as no target."""
        return False


class _ModelBody(msgspec.Struct, frozen=True):
    model: str


def target_of_line(line: _RawLine) -> TargetName | LineFault:
    """Find which target a line is for."""
    if not line.custom_id:
        return LineFault('custom_id is empty')
    if line.method not in METHODS:
        return LineFault(f'method {line.method!r} is none of {", ".join(METHODS)}')
    if line.url.startswith(SERVICE_URL_PREFIX):
        service = line.url[len(SERVICE_URL_PREFIX) :].partition('/')[0]
        if not service:
            return LineFault('url names no service')
        return TargetName(f'service:{service}')
    if line.url not in MODEL_URLS:
        return LineFault(f'url {line.url!r} is none of {", ".join(MODEL_URLS)}, /services/...')
    try:
        body = msgspec.json.decode(line.body, type=_ModelBody)
    except msgspec.ValidationError:
        return LineFault('body.model is missing')
    return TargetName(body.model)


def read_line(text: bytes) -> _RawLine | LineFault:
    """Read one line."""
    try:
        return msgspec.json.decode(text, type=_RawLine)
    except msgspec.ValidationError as error:
        return LineFault(str(error))
    except (msgspec.DecodeError, UnicodeDecodeError):
        return LineFault('not JSON')
