"""Which tables an instance follows, and who takes in what they show."""

from __future__ import annotations

from typing import TYPE_CHECKING

from citrondyke.gateway.peers.membership import INSTANCES_TABLE
from citrondyke.gateway.replication.table_follower import TableFollower

if TYPE_CHECKING:
    from collections.abc import Callable

    from citrondyke.decisions.core.context import Context
    from citrondyke.gateway.peers.membership import Membership
    from citrondyke.gateway.platform_adapters import PlatformAdapters
    from citrondyke.gateway.replication.dependency import Dependency
    from citrondyke.gateway.replication.read_delegation import ReadDelegation
    from citrondyke.gateway.replication.replicated_state import ReplicatedState
    from citrondyke.gateway.tasks import Tasks
    from citrondyke.storage.partitioned_table import PartitionedTable

__all__ = ('follow_instances', 'follow_replicated_state')


def follow_replicated_state(
    context: Context,
    adapters: PlatformAdapters,
    replicated: ReplicatedState,
    store: Dependency,
    interval_factor: Callable[[], float],
    config_delegation: ReadDelegation,
    servers_delegation: ReadDelegation,
) -> tuple[TableFollower, TableFollower]:
    """Follow the configuration and the list of servers.

    :param store: told whether the store answers.
    :param pace: gives the factor by which calls are rarer than in a small fleet.
    :param config_delegation: tells whether others read the configuration for this instance.
    :param servers_delegation: the same for the list of servers.
    :returns: what follows the configuration, and what the list of servers.
    """
    config = TableFollower(
        context,
        adapters.table,
        adapters.config_table,
        store,
        replicated.on_config_changes,
        replicated.on_config_listing,
        interval_factor,
        replicated.on_config_current,
        delegation=config_delegation,
    )
    servers = TableFollower(
        context,
        adapters.table,
        adapters.servers_table,
        store,
        replicated.on_server_rows,
        replicated.on_server_listing,
        interval_factor,
        replicated.on_servers_current,
        delegation=servers_delegation,
    )
    return config, servers


def follow_instances(
    context: Context,
    table: PartitionedTable,
    membership: Membership,
    interval_factor: Callable[[], float],
    tasks: Tasks,
) -> None:
    """Follow the heartbeats, without a feed.

    They change all the time, and silences are judged by the second.

    :param table: by way of peers where the store does not answer.
    """
    TableFollower(
        context,
        table,
        INSTANCES_TABLE,
        None,
        membership.on_rows,
        membership.on_listing,
        interval_factor,
        with_feed=False,
    ).start(tasks)
