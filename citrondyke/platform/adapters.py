"""Creates the adapters between an instance and the platform."""

from __future__ import annotations

from typing import TYPE_CHECKING

from citrondyke.gateway.http_client import HttpClient
from citrondyke.gateway.platform_adapters import PlatformAdapters
from citrondyke.gateway.replication.replicated_state import RowDecoder
from citrondyke.gateway.store_traffic import StoreTraffic
from citrondyke.platform.dialect import PlatformDialect
from citrondyke.platform.rows import (
    CONFIG_KEY,
    CONFIG_TABLE,
    SERVERS_TABLE,
    decode_config,
    decode_server,
)
from citrondyke.platform.store_client import PlatformObjectStore, PlatformTable

if TYPE_CHECKING:
    from citrondyke.gateway.settings import GatewaySettings
    from citrondyke.util.clock import Clock

__all__ = ('create_platform_adapters',)


def create_platform_adapters(
    clock: Clock, settings: GatewaySettings, source_ip: str = ''
) -> PlatformAdapters:
    """Create the clients, decoders and dialect of the platform.

    :param source_ip: local address of connections to the store; empty for any.
    """
    address = settings.store.address
    http = HttpClient(clock, address.ip, address.port, source_ip)
    traffic = StoreTraffic()
    return PlatformAdapters(
        PlatformTable(http, settings.store.call_timeout_ms, traffic),
        PlatformObjectStore(http, settings.store.call_timeout_ms),
        CONFIG_TABLE,
        SERVERS_TABLE,
        RowDecoder(CONFIG_KEY, decode_config, decode_server),
        PlatformDialect(),
        lambda new_address: http.move(new_address.ip, new_address.port),
        traffic,
    )
