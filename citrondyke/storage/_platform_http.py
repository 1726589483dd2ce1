"""HTTP calls to the platform, with failures classified by whether they had an effect."""

from __future__ import annotations

from typing import TYPE_CHECKING

import logbook
import urllib3
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    MaxRetryError,
    NewConnectionError,
)

from citrondyke.storage.failure import AMBIGUOUS, MISSING, UNAVAILABLE, PlatformFailure

if TYPE_CHECKING:
    from urllib3 import BaseHTTPResponse

__all__ = ('PlatformHttpClient',)

log = logbook.Logger(__name__)

#: Status codes with which the platform rejects a call before it has any effect.
REJECTED_STATUSES = frozenset({429, 503})
NOT_MODIFIED_STATUS = 304
CONFLICT_STATUS = 409
#: Statuses of responses that have no body.
EMPTY_STATUSES = frozenset({204, NOT_MODIFIED_STATUS})


class PlatformHttpClient:
    """A connection pool for one service of the platform."""

    def __init__(self, url: str, timeout_ms: float, connections: int = 16) -> None:
        """Initialize the pool without opening a connection.

        :param timeout_ms: timeout of each call.
        :param connections: maximum number of idle connections.
        """
        self._pool = urllib3.connection_from_url(
            url,
            maxsize=connections,
            block=False,
            timeout=urllib3.Timeout(connect=timeout_ms / 1e3, read=timeout_ms / 1e3),
            retries=False,
        )

    def get_if_changed(self, path: str, etag: str) -> tuple[str, bytes] | PlatformFailure | None:
        """Fetch a resource unless it still has the given ETag.

        :param etag: ETag of the last response; empty to fetch in any case.
        :returns: the new ETag and body; ``None`` if the resource has not changed.
        """
        response = self._send('GET', path, None, {'If-None-Match': etag} if etag else {})
        if isinstance(response, PlatformFailure):
            return response
        if response.status == NOT_MODIFIED_STATUS:
            return None
        return response.headers.get('ETag', ''), response.data

    def call(
        self, method: str, path: str, body: bytes | None = None
    ) -> tuple[int, bytes] | PlatformFailure:
        """Make a call once, without retries.

        A lost reply to a write that took effect cannot be distinguished from a write that never
        arrived, except by the caller with its write id. Any failure after a connection was
        established is therefore ambiguous, unless the platform rejected the call.
        """
        response = self._send(method, path, body, {})
        if isinstance(response, PlatformFailure):
            return response
        return response.status, response.data

    def _send(
        self, method: str, path: str, body: bytes | None, headers: dict[str, str]
    ) -> BaseHTTPResponse | PlatformFailure:
        try:
            response = self._pool.urlopen(method, path, body=body, headers=headers, retries=False)
        except (ConnectTimeoutError, NewConnectionError):
            return UNAVAILABLE
        except MaxRetryError as error:
            return UNAVAILABLE if isinstance(error.reason, NewConnectionError) else AMBIGUOUS
        except (HTTPError, OSError):
            return AMBIGUOUS
        if response.status in REJECTED_STATUSES:
            return UNAVAILABLE
        if response.status == 404:  # noqa: PLR2004
            return MISSING
        if response.status >= 500:  # noqa: PLR2004
            return AMBIGUOUS
        if response.status not in EMPTY_STATUSES and not _is_framed(response):
            # The end of the connection doesn't tell a part of an object from the whole one.
            log.warning('response without a length', extra={'path': path, 'method': method})
            return AMBIGUOUS
        return response


def _is_framed(response: BaseHTTPResponse) -> bool:
    return 'Content-Length' in response.headers or 'Transfer-Encoding' in response.headers
