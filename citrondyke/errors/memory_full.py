"""The failure ``memory_full``."""

from __future__ import annotations

from typing import TYPE_CHECKING

from citrondyke.errors.base import CitrondykeError

if TYPE_CHECKING:
    from citrondyke.gateway.callers.caller_request import CallerRequest

__all__ = ('MemoryFullError',)


class MemoryFullError(CitrondykeError):
    """The instance holds as many bytes for others as it may."""

    code = 'memory_full'
    kind = 'overloaded_error'
    http_status = 503

    def __init__(self, request: CallerRequest) -> None:
        """Name the request that was not read whole.

        :param request: without its body.
        """
        super().__init__('no room for the body of a request')
        self.request = request
