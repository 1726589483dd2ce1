"""The platform's settings file, decoded into the gateway's settings."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING, Annotated, Any, TypeVar

import msgspec

from citrondyke.decisions.accounts.overshoot_budget import OvershootBudget
from citrondyke.errors import SettingsInvalidError
from citrondyke.gateway.settings import Address, GatewaySettings, StoreSettings
from citrondyke.ids import AvailabilityZone, InstanceId

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
#: Descriptors that the platform reserves for files.
RESERVED_FDS = 200
#: A call of a caller holds its own connection and one to a backend server; the rest is for peers,
#: the store and idle connections.
FDS_PER_CALLER = 3


class _Listen(msgspec.Struct, frozen=True):
    """Addresses that the instance listens on, ``IP:PORT``."""

    #: For callers.
    frontend: str
    #: For the balancer's health check.
    ready: str


class _Limits(msgspec.Struct, frozen=True):
    """What the process may use."""

    #: Beyond it the process is killed, in MB.
    memory_mb: int = 128
    #: Descriptors; 200 of them are not for connections.
    max_fds: int = 4_096


class _Bounds(msgspec.Struct, frozen=True):
    """Times and parts that the platform holds the instance to."""

    #: From SIGTERM until the process is killed, in s.
    grace_s: float = 8.0
    #: How long a batch job stays readable after it was submitted, in s.
    status_s: float = 120.0
    #: Part by which accepted tokens may pass a batch route's bound, and an account's requests in
    #: a window its limit.
    quota_overshoot: Annotated[float, msgspec.Meta(ge=0)] = 0.1
    #: Requests of an account that may come on top of that in a window.
    quota_slack: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    #: Length of the window, in s.
    quota_window_s: Annotated[float, msgspec.Meta(gt=0)] = 5.0


class _Platform(msgspec.Struct, frozen=True):
    """The platform's store."""

    #: Of the store; nothing else of the platform has an address.
    address: str
    #: Largest value of a row, in bytes.
    row_bytes: int = 65_536
    #: Read calls a second that the store takes from all instances together.
    reads_per_s: Annotated[float, msgspec.Meta(gt=0)] = 2_000.0


class PlatformFile(msgspec.Struct, frozen=True):
    """The file that ``CITRONDYKE_NODE_FILE`` names; other keys are passed over."""

    #: The instance's id.
    node_name: str
    #: Its address, for peers.
    ip: str
    #: Its availability zone.
    zone: str
    #: First and last port that is free, both included.
    internal_ports: tuple[int, int]
    #: Table of addresses to listen on.
    listen: _Listen
    #: Table of the store.
    platform: _Platform
    #: Table of what the process may use.
    limits: _Limits = _Limits()
    #: Table of bounds.
    bounds: _Bounds = _Bounds()
    #: Addresses of the operators' interface of some instances; only the IPs are of use here.
    seeds: tuple[str, ...] = ()


def load_platform_settings(metrics_port: int) -> GatewaySettings:
    """Read the file that the platform names.

    :raises SettingsInvalidError: naming file, key and what is wrong.
    """
    name = os.environ.get(FILE_VARIABLE, '')
    if not name:
        raise SettingsInvalidError(FILE_VARIABLE, '', name, 'the path of a settings file')
    try:
        with open(name, encoding='utf-8') as opened:
            text = opened.read()
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsInvalidError(name, '', str(error), 'a readable text file') from error
    return platform_settings(text, name, metrics_port)


def is_platform_file(file: Path) -> bool:
    """Tell whether a file is one that the platform writes; one that cannot be read is not."""
    try:
        return 'node_name' in _decode(file.read_text(), dict[str, Any])
    except (OSError, ValueError):
        return False


def platform_settings(text: str, name: str, metrics_port: int) -> GatewaySettings:
    """Decode the text of a settings file; unknown fields are passed over.

    :raises SettingsInvalidError: naming file, key and what is wrong.
    """
    try:
        file = _decode(text, PlatformFile)
        first_port, last_port = file.internal_ports
        if last_port <= first_port:
            raise SettingsInvalidError(
                name, 'internal_ports', str(file.internal_ports), 'two ports'
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
    except ValueError as error:
        raise SettingsInvalidError(name, '', str(error), 'the fields of the platform') from error


def _decode(text: str, kind: type[T]) -> T:
    """Decode the platform's own TOML, or JSON as the template of the deploy file makes it.

    The reader of TOML takes longer to import than the rest of the settings to be read.
    """
    if text.lstrip().startswith('{'):
        return msgspec.json.decode(text, type=kind, strict=False)
    return msgspec.toml.decode(text, type=kind, strict=False)


def _address(text: str) -> Address:
    ip, _, port = text.rpartition(':')
    return Address(ip, int(port))
