"""The ``memory_full`` error."""

from __future__ import annotations

from typing import TYPE_CHECKING

from citrondyke.errors.base import CitrondykeError

if TYPE_CHECKING:
    from citrondyke.gateway.callers.caller_request import CallerRequest

__all__ = ('MemoryFullError',)


class MemoryFullError(CitrondykeError):
    """The instance has no free memory for the body of the request."""

    code = 'memory_full'
    kind = 'overloaded_error'
    http_status = 503

    def __init__(self, request: CallerRequest) -> None:
        """Initialize the error.

        :param request: the request, without its body.
        """
        super().__init__('no free memory for the body of a request')
        self.request = request
