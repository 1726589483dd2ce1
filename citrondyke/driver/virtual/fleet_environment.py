"""What an instance in virtual time needs of the fleet around it."""

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
    """Time, servers, the platform and the other instances."""

    time: VirtualTime
    one_way_ms: float
    platform: VirtualPlatform
    new_share: Any
    #: Called before each effect of an instance, so that a test can end it there.
    crash_point: Callable[[Any, Effect], None] | None

    @property
    def servers(self) -> Mapping[ServerId, VirtualServer]:
        """Give the backend servers."""

    def send_peer(self, sender: Any, instance_id: InstanceId, message: Any) -> None:
        """Send a message to another instance."""

    def pull_config(
        self,
        instance_id: InstanceId,
        after_version: ConfigVersion,
        answer: Callable[[Any], None],
    ) -> None:
        """Ask another instance for configuration changes."""

    def on_frame(self, call: ServerCall, now_ms: float) -> None:
        """Take note of a token that arrived."""
