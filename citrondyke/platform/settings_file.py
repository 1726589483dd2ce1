"""Decodes the platform's settings file into the settings of the gateway."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING, Annotated, Any, TypeVar

import msgspec

from citrondyke.decisions.accounts.overshoot_budget import OvershootBudget
from citrondyke.errors import SettingsInvalidError
from citrondyke.gateway.settings import Address, GatewaySettings, StoreSettings
from citrondyke.ids import AvailabilityZone, InstanceId
from citrondyke.util.numbers import read_count, shortened

if TYPE_CHECKING:
    from pathlib import Path

__all__ = (
    'FILE_VARIABLE',
    'PlatformFile',
    'is_platform_file',
    'load_platform_settings',
    'platform_settings',
)

T = TypeVar('T')

FILE_VARIABLE = 'CITRONDYKE_NODE_FILE'
MAX_PORT = 65_535
#: Ranges of numbers. The upper limits also exclude values that are infinite or not a number.
Port = Annotated[int, msgspec.Meta(ge=0, le=MAX_PORT)]
Count = Annotated[int, msgspec.Meta(ge=1, le=2**40)]
NonNegative = Annotated[float, msgspec.Meta(ge=0, le=1e12)]
Positive = Annotated[float, msgspec.Meta(gt=0, le=1e12)]
#: File descriptors that the platform reserves for files.
RESERVED_FDS = 200
#: Each request uses a connection to its caller and one to a backend server; the third descriptor
#: is for peers, the store and idle connections.
FDS_PER_CALLER = 3


class _Listen(msgspec.Struct, frozen=True):
    """Addresses that the instance listens on, ``IP:PORT``."""

    #: Address for callers.
    frontend: str
    #: Address for the health checks of the load balancer.
    ready: str


class _Limits(msgspec.Struct, frozen=True):
    """Resource limits of the process."""

    #: Memory in MB, beyond which the process is killed.
    memory_mb: Count = 128
    #: Limit on open file descriptors; 200 of them are not used for connections.
    max_fds: Count = 4_096


class _Bounds(msgspec.Struct, frozen=True):
    """Timeouts and quotas that the platform enforces."""

    #: Time from SIGTERM until the process is killed, in s.
    grace_s: NonNegative = 8.0
    #: How long a batch job can be read after its submission, in s.
    status_s: NonNegative = 120.0
    #: Share by which accepted tokens may exceed the backlog limit of a batch route, and the
    #: requests of an account in a window may exceed its limit.
    quota_overshoot: NonNegative = 0.1
    #: Number of requests by which an account may exceed that limit in a window in addition.
    quota_slack: NonNegative = 0.0
    #: Length of this window, in s.
    quota_window_s: Positive = 5.0


class _Platform(msgspec.Struct, frozen=True):
    """The platform's store."""

    #: Address of the store, the only service of the platform.
    address: str
    #: Maximum size of a row value, in bytes.
    row_bytes: Count = 65_536
    #: Read calls per second that the store accepts from all instances together.
    reads_per_s: Positive = 2_000.0


class PlatformFile(msgspec.Struct, frozen=True):
    """The file named by ``CITRONDYKE_NODE_FILE``; unknown keys are ignored."""

    #: Id of the instance.
    node_name: str
    #: IP address of the instance for its peers.
    ip: str
    #: Availability zone of the instance.
    zone: str
    #: First and last port that the instance may use, both inclusive.
    internal_ports: tuple[Port, Port]
    #: Table of addresses to listen on.
    listen: _Listen
    #: Table of the store.
    platform: _Platform
    #: Table of resource limits.
    limits: _Limits = _Limits()
    #: Table of timeouts and quotas.
    bounds: _Bounds = _Bounds()
    #: Addresses of the operator interface of some instances; only their IPs are used.
    seeds: tuple[str, ...] = ()


def load_platform_settings(metrics_port: int) -> GatewaySettings:
    """Read the settings file named in the environment.

    :param metrics_port: port on which metrics are served.
    :raises SettingsInvalidError: naming the file, the key and the problem.
    """
    file_name = os.environ.get(FILE_VARIABLE, '')
    if not file_name:
        raise SettingsInvalidError(FILE_VARIABLE, '', file_name, 'the path of a settings file')
    try:
        with open(file_name, encoding='utf-8') as stream:
            text = stream.read()
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsInvalidError(file_name, '', str(error), 'a readable text file') from error
    return platform_settings(text, file_name, metrics_port)


def is_platform_file(file: Path) -> bool:
    """Return whether the platform wrote a file; false for a file that cannot be read."""
    try:
        return 'node_name' in _decode(file.read_text(), dict[str, Any])
    except (OSError, ValueError, RecursionError):
        return False


def platform_settings(text: str, name: str, metrics_port: int) -> GatewaySettings:
    """Decode the text of a settings file; unknown fields are ignored.

    :param name: name of the file, for error messages.
    :param metrics_port: port on which metrics are served.
    :raises SettingsInvalidError: naming the file, the key and the problem.
    """
    try:
        file = _decode(text, PlatformFile)
        first_port, last_port = file.internal_ports
        if last_port <= first_port:
            raise SettingsInvalidError(
                name, 'internal_ports', str(file.internal_ports), 'a range of at least two ports'
            )
        seed_ips = tuple(_address(seed).ip for seed in file.seeds)
        return GatewaySettings(
            instance_id=InstanceId(file.node_name),
            zone=AvailabilityZone(file.zone),
            ip=file.ip,
            callers=_address(file.listen.frontend),
            health=_address(file.listen.ready),
            peer_port=file.internal_ports[0],
            metrics_port=metrics_port,
            seed_ips=tuple(ip for ip in seed_ips if ip != file.ip),
            store=StoreSettings(
                address=_address(file.platform.address),
                row_bytes=file.platform.row_bytes,
                reads_per_s=file.platform.reads_per_s,
            ),
            memory_bytes=file.limits.memory_mb * 1024 * 1024,
            connections_limit=(file.limits.max_fds - RESERVED_FDS) // FDS_PER_CALLER,
            stop_within_ms=file.bounds.grace_s * 1e3,
            lapsed_grace_ms=2_200.0,
            job_kept_ms=file.bounds.status_s * 1e3,
            tokens_overshoot=file.bounds.quota_overshoot,
            limit_tolerance=OvershootBudget(
                window_ms=file.bounds.quota_window_s * 1e3,
                overshoot=file.bounds.quota_overshoot,
                slack=file.bounds.quota_slack,
            ),
        )
    except (ValueError, RecursionError) as error:
        raise SettingsInvalidError(name, '', str(error), 'the fields of the platform') from error


def _decode(text: str, kind: type[T]) -> T:
    """Decode the TOML of the platform, or the JSON that the deploy template produces from it.

    JSON shortens the start: importing the TOML parser takes longer than reading the settings.
    """
    if text.lstrip().startswith('{'):
        return msgspec.json.decode(text, type=kind, strict=False)
    return msgspec.toml.decode(text, type=kind, strict=False)


def _address(text: str) -> Address:
    ip, _, port = text.rpartition(':')
    return Address(ip, read_count(port, f'port of {shortened(ip)}', MAX_PORT))
