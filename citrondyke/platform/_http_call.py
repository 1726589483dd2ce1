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

from citrondyke.platform.failure import AMBIGUOUS, MISSING, UNAVAILABLE

if TYPE_CHECKING:
    from citrondyke.platform.failure import PlatformFailure

__all__ = ('PlatformHttp',)

#: Answers that say the platform refused before doing anything.
REFUSED_STATUSES = frozenset({429, 503})
CONFLICT_STATUS = 409


class PlatformHttp:
    """A pool of connections to one service of the platform."""

    def __init__(self, url: str, timeout_ms: float, connections: int = 16) -> None:
        """Open nothing yet.

        :param timeout_ms: time limit of each call.
        """
        self._pool = urllib3.connection_from_url(
            url,
            maxsize=connections,
            block=False,
            timeout=urllib3.Timeout(connect=timeout_ms / 1e3, read=timeout_ms / 1e3),
            retries=False,
        )

    def call(
        self, method: str, path: str, body: bytes | None = None
    ) -> tuple[int, bytes] | PlatformFailure:
        """Make one call, never repeated here.

        A reply that is lost after the write took effect looks the same as a write that
        never arrived. Only the caller can tell them apart, by its write id; so anything
        but a connection that was never made counts as ambiguous.
        """
        try:
            response = self._pool.urlopen(method, path, body=body, retries=False)
        except (ConnectTimeoutError, NewConnectionError):
            return UNAVAILABLE
        except MaxRetryError as error:
            return UNAVAILABLE if isinstance(error.reason, NewConnectionError) else AMBIGUOUS
        except (HTTPError, OSError):
            return AMBIGUOUS
        if response.status in REFUSED_STATUSES:
            return UNAVAILABLE
        if response.status == 404:  # noqa: PLR2004
            return MISSING
        if response.status >= 500:  # noqa: PLR2004
            return AMBIGUOUS
        return response.status, response.data
