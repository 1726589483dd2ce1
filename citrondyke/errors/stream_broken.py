"""The ``stream_broken`` error."""

from __future__ import annotations

from citrondyke.errors.base import CitrondykeError, RunState

__all__ = ('StreamBrokenError',)


class StreamBrokenError(CitrondykeError):
    """The response stream was interrupted and could not be resumed."""

    code = 'stream_broken'
    kind = 'server_error'
    http_status = 502
    default_run = RunState.UNKNOWN
