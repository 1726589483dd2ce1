"""The lists over their HTTP protocol."""

from __future__ import annotations

import msgspec

from citrondyke.storage._platform_http import PlatformHttpClient
from citrondyke.storage.failure import AMBIGUOUS, PlatformFailure
from citrondyke.storage.fleet_lists import FleetLists, FleetSnapshot

__all__ = ('HttpFleetLists', 'http_fleet_lists')


def http_fleet_lists(url: str, timeout_ms: float) -> HttpFleetLists:
    """Make a client.

    :param timeout_ms: timeout of each call.
    """
    return HttpFleetLists(PlatformHttpClient(url, timeout_ms))


class HttpFleetLists(FleetLists):
    """A client of the lists."""

    def __init__(self, http: PlatformHttpClient) -> None:
        """Use the connections of ``http``."""
        self._http = http
        self._tag = ''
        self._last = FleetSnapshot()

    def read(self) -> FleetSnapshot | PlatformFailure:
        """Read both lists.

        At 970 entries they are over 100 KB, and they seldom change; an unchanged one is not sent
        again.
        """
        answer = self._http.get_if_changed('/lists', self._tag)
        if isinstance(answer, PlatformFailure):
            return answer
        if answer is None:
            return self._last
        tag, body = answer
        try:
            self._last = msgspec.json.decode(body, type=FleetSnapshot)
        except msgspec.DecodeError:
            return AMBIGUOUS
        self._tag = tag
        return self._last
