"""The settings of a daemon, one class for each table of the file."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec

from citrondyke.decisions.instance_limits import InstanceLimits

__all__ = (
    'DaemonSettings',
    'InstanceSettings',
    'LimitSettings',
    'LogSettings',
    'OperatorSettings',
    'PeerSettings',
    'PlatformSettings',
    'StatsdSettings',
    'StopSettings',
    'TlsSettings',
)

Port = Annotated[int, msgspec.Meta(ge=1, le=65_535)]
Positive = Annotated[int, msgspec.Meta(ge=1)]
PositiveMs = Annotated[float, msgspec.Meta(gt=0)]
Name = Annotated[str, msgspec.Meta(pattern=r'^[A-Za-z0-9._-]{1,64}$')]
Url = Annotated[str, msgspec.Meta(pattern=r'^https?://[^/\s]+')]
KeyText = Annotated[str, msgspec.Meta(min_length=16, max_length=64)]
HashText = Annotated[str, msgspec.Meta(pattern=r'^[0-9a-f]{64}$')]


class InstanceSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Who and where this instance is."""

    #: Unique among all instances; stays the same over restarts.
    id: Name
    #: Its availability zone.
    zone: Name
    #: Address that callers and peers use.
    ip: str = '127.0.0.1'
    #: Port for callers and operators.
    http_port: Port = 8080
    #: UDP and TCP port for other instances.
    peer_port: Port = 8081


class PlatformSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Where the platform's services are."""

    #: The table service.
    table_url: Url
    #: The object store.
    objects_url: Url
    #: The lists of instances and backend servers.
    lists_url: Url
    #: Timeout of one call.
    timeout_ms: PositiveMs = 1500.0


class PeerSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """What instances share to know each other's messages."""

    #: The first signs, all are accepted; two while a key is rotated.
    keys: Annotated[tuple[KeyText, ...], msgspec.Meta(min_length=1, max_length=4)]


class OperatorSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """How the first operator gets in."""

    #: SHA-256 of a key that always may change the configuration; empty for none.
    bootstrap_key_sha256: HashText | str = ''


class LimitSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Bounds on what callers may ask of one instance."""

    #: Open connections of callers.
    connections: Positive = 2000
    #: Body of an online request.
    body_bytes: Positive = 4 * 1024 * 1024
    #: Longest answer kept in memory.
    answer_bytes: Positive = 16 * 1024 * 1024
    #: Time in which a body must arrive.
    body_within_ms: PositiveMs = 10_000.0
    #: Time in which a job file must arrive.
    upload_within_ms: PositiveMs = 600_000.0
    #: Job files that arrive at the same time.
    uploads: Positive = 4
    #: Longest line of a job file.
    job_line_bytes: Positive = 1024 * 1024
    #: Items in one job file.
    job_items: Positive = 320_000
    #: Deadline of an online request that states none.
    online_within_ms: PositiveMs = 120_000.0
    #: Idle connections kept to each backend server.
    idle_connections: Positive = 64
    #: Tenants with a histogram of their own; the one used longest ago is dropped.
    tenant_histograms: Positive = 2000


class StopSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """How a planned stop goes."""

    #: Time in which the balancer notices that this instance is leaving; calls are served still.
    balancer_delay_ms: Annotated[float, msgspec.Meta(ge=0)] = 5000.0
    #: Time that running calls and items may take after that.
    finish_within_ms: PositiveMs = 60_000.0


class LogSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """What is logged; JSON lines on standard error."""

    #: ``DEBUG``, ``INFO``, ``WARNING`` or ``ERROR``.
    level: Literal['DEBUG', 'INFO', 'WARNING', 'ERROR'] = 'INFO'
    #: Whether each request gets a line.
    requests: bool = True


class StatsdSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Where metrics go; an empty address for nowhere."""

    #: Address of the statsd server; empty for none.
    ip: str = ''
    #: Its UDP port.
    port: Port = 8125
    #: What every name begins with.
    prefix: str = 'citrondyke'
    #: Pause between two reports.
    every_ms: PositiveMs = 1000.0


class TlsSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Certificate towards callers and operators; empty for plain HTTP behind the balancer."""

    #: PEM file of the certificate and its chain.
    certificate_file: str = ''
    #: PEM file of its key.
    key_file: str = ''


class DaemonSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A whole settings file."""

    instance: InstanceSettings
    platform: PlatformSettings
    peers: PeerSettings
    operators: OperatorSettings = OperatorSettings()
    limits: LimitSettings = LimitSettings()
    stop: StopSettings = StopSettings()
    logs: LogSettings = LogSettings()
    statsd: StatsdSettings = StatsdSettings()
    tls: TlsSettings = TlsSettings()
    decisions: InstanceLimits = InstanceLimits()
