"""One HTTP call to the platform, with its failure sorted by what may have happened."""

from __future__ import annotations

from typing import TYPE_CHECKING

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

#: Answers that say the platform refused before doing anything.
REJECTED_STATUSES = frozenset({429, 503})
NOT_MODIFIED_STATUS = 304
CONFLICT_STATUS = 409


class PlatformHttpClient:
    """A pool of connections to one service of the platform."""

    def __init__(self, url: str, timeout_ms: float, connections: int = 16) -> None:
        """Open nothing yet.

        :param timeout_ms: timeout of each call.
        """
        self._pool = urllib3.connection_from_url(
            url,
            maxsize=connections,
            block=False,
            timeout=urllib3.Timeout(connect=timeout_ms / 1e3, read=timeout_ms / 1e3),
            retries=False,
        )

    def get_if_changed(self, path: str, tag: str) -> tuple[str, bytes] | PlatformFailure | None:
        """Fetch what changed since the answer that carried ``tag``.

        :returns: the new tag and body, or ``None`` where nothing changed.
        """
        answer = self._answer('GET', path, None, {'If-None-Match': tag} if tag else {})
        if isinstance(answer, PlatformFailure):
            return answer
        if answer.status == NOT_MODIFIED_STATUS:
            return None
        return answer.headers.get('ETag', ''), answer.data

    def call(
        self, method: str, path: str, body: bytes | None = None
    ) -> tuple[int, bytes] | PlatformFailure:
        """Make one call, never repeated here.

        A reply that is lost after the write took effect looks the same as a write that
        never arrived. Only the caller can tell them apart, by its write id; so anything
        but a connection that was never made counts as ambiguous.
        """
        answer = self._answer(method, path, body, {})
        if isinstance(answer, PlatformFailure):
            return answer
        return answer.status, answer.data

    def _answer(
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
        return response
