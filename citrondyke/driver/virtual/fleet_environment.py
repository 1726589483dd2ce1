"""The interface of the simulated fleet that an instance in virtual time runs in."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING, Any, Protocol

if TYPE_CHECKING:
    from citrondyke.decisions.core.runner import Effect
    from citrondyke.decisions.core.server_call import ServerCall
    from citrondyke.driver.virtual.virtual_platform import VirtualPlatform
    from citrondyke.driver.virtual.virtual_server import VirtualServer
    from citrondyke.driver.virtual.virtual_time import VirtualTime
    from citrondyke.ids import ConfigVersion, InstanceId, ServerId

__all__ = ('FleetEnvironment',)


class FleetEnvironment(Protocol):
    """Clock, backend servers, platform and peers of an instance in virtual time."""

    time: VirtualTime
    one_way_ms: float
    platform: VirtualPlatform
    new_share: Any
    #: Called before each effect of an instance, so that a test can kill it at that point.
    crash_point: Callable[[Any, Effect], None] | None

    @property
    def servers(self) -> Mapping[ServerId, VirtualServer]:
        """Return the backend servers by id."""

    def send_peer(self, sender: Any, instance_id: InstanceId, message: Any) -> None:
        """Send a message to a peer."""

    def pull_config(
        self,
        instance_id: InstanceId,
        after_version: ConfigVersion,
        answer: Callable[[Any], None],
    ) -> None:
        """Request the configuration changes after a version from a peer."""

    def on_frame(self, call: ServerCall, now_ms: float) -> None:
        """Notify the listener of a request that one of its tokens arrived."""
