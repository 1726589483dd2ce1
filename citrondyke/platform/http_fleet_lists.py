"""The lists over their HTTP protocol."""

from __future__ import annotations

import msgspec

from citrondyke.platform._http_call import PlatformHttp
from citrondyke.platform.failure import AMBIGUOUS, PlatformFailure
from citrondyke.platform.fleet_lists import FleetLists, FleetSnapshot

__all__ = ('HttpFleetLists', 'http_fleet_lists')


def http_fleet_lists(url: str, timeout_ms: float) -> HttpFleetLists:
    """Make a client.

    :param timeout_ms: time limit of each call.
    """
    return HttpFleetLists(PlatformHttp(url, timeout_ms))


class HttpFleetLists(FleetLists):
    """A client of the lists."""

    def __init__(self, http: PlatformHttp) -> None:
        """Use the connections of ``http``."""
        self._http = http

    def read(self) -> FleetSnapshot | PlatformFailure:
        """Read both lists."""
        answer = self._http.call('GET', '/lists')
        if isinstance(answer, PlatformFailure):
            return answer
        try:
            return msgspec.json.decode(answer[1], type=FleetSnapshot)
        except msgspec.DecodeError:
            return AMBIGUOUS
