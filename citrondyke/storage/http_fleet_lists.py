"""HTTP client for the lists of instances and backend servers."""

from __future__ import annotations

import msgspec

from citrondyke.storage._platform_http import PlatformHttpClient
from citrondyke.storage.failure import AMBIGUOUS, PlatformFailure
from citrondyke.storage.fleet_lists import FleetLists, FleetSnapshot

__all__ = ('HttpFleetLists', 'http_fleet_lists')


def http_fleet_lists(url: str, timeout_ms: float) -> HttpFleetLists:
    """Create a client.

    :param url: base URL of the service.
    :param timeout_ms: timeout of each call.
    """
    return HttpFleetLists(PlatformHttpClient(url, timeout_ms))


class HttpFleetLists(FleetLists):
    """Reads the lists over HTTP."""

    def __init__(self, http: PlatformHttpClient) -> None:
        """Initialize the client."""
        self._http = http
        self._etag = ''
        self._last_snapshot = FleetSnapshot()

    def read(self) -> FleetSnapshot | PlatformFailure:
        """Read both lists.

        With 970 entries the lists exceed 100 KB, and they seldom change. Conditional requests
        avoid transferring them again while they are unchanged.
        """
        response = self._http.get_if_changed('/lists', self._etag)
        if isinstance(response, PlatformFailure):
            return response
        if response is None:
            return self._last_snapshot
        etag, body = response
        try:
            self._last_snapshot = msgspec.json.decode(body, type=FleetSnapshot)
        except msgspec.DecodeError:
            return AMBIGUOUS
        self._etag = etag
        return self._last_snapshot
