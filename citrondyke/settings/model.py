"""Settings of the daemon, one class for each table of the file."""

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
    """Identity and addresses of this instance."""

    #: Unique among all instances; does not change at a restart.
    id: Name
    #: Availability zone of the instance.
    zone: Name
    #: IP address for callers and peers.
    ip: str = '127.0.0.1'
    #: Port for callers and operators.
    http_port: Port = 8080
    #: UDP and TCP port for other instances.
    peer_port: Port = 8081


class PlatformSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Addresses of the platform's services."""

    #: URL of the table service.
    table_url: Url
    #: URL of the object store.
    objects_url: Url
    #: URL of the lists of instances and backend servers.
    lists_url: Url
    #: Timeout of one call.
    timeout_ms: PositiveMs = 1500.0


class PeerSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Authentication of messages between instances."""

    #: The first key signs messages; all are accepted, so that there can be two keys during a
    #: rotation.
    keys: Annotated[tuple[KeyText, ...], msgspec.Meta(min_length=1, max_length=4)]


class OperatorSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Access of the first operator."""

    #: SHA-256 of a key that may always change the configuration; empty for none.
    bootstrap_key_sha256: HashText | str = ''


class LimitSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Limits on the requests of callers to one instance."""

    #: Maximum number of open connections of callers.
    connections: Positive = 2000
    #: Maximum size of the body of an online request.
    body_bytes: Positive = 4 * 1024 * 1024
    #: Maximum size of an answer kept in memory.
    answer_bytes: Positive = 16 * 1024 * 1024
    #: Time within which a body must arrive.
    body_within_ms: PositiveMs = 10_000.0
    #: Time within which a job file must arrive.
    upload_within_ms: PositiveMs = 600_000.0
    #: Maximum number of concurrent uploads of job files.
    uploads: Positive = 4
    #: Maximum length of a line of a job file.
    job_line_bytes: Positive = 1024 * 1024
    #: Maximum number of items in a job file.
    job_items: Positive = 320_000
    #: Timeout of an online request without a deadline of its own.
    online_within_ms: PositiveMs = 120_000.0
    #: Maximum number of idle connections kept open to each backend server.
    idle_connections: Positive = 64
    #: Maximum number of tenants with histograms of their own; the least recently used one is
    #: dropped.
    tenant_histograms: Positive = 2000


class StopSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Timeouts of a planned stop."""

    #: Time for the load balancer to notice that this instance is leaving; requests are still
    #: served meanwhile.
    balancer_delay_ms: Annotated[float, msgspec.Meta(ge=0)] = 5000.0
    #: Time for running requests and items to finish after that.
    finish_within_ms: PositiveMs = 60_000.0


class LogSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Logging, as JSON lines on standard error."""

    #: Lowest level that is logged: ``DEBUG``, ``INFO``, ``WARNING`` or ``ERROR``.
    level: Literal['DEBUG', 'INFO', 'WARNING', 'ERROR'] = 'INFO'
    #: Whether a line is logged for each request.
    requests: bool = True


class StatsdSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Reports of metrics to a statsd server."""

    #: IP address of the statsd server; empty to report no metrics.
    ip: str = ''
    #: UDP port of the statsd server.
    port: Port = 8125
    #: Prefix of all metric names.
    prefix: str = 'citrondyke'
    #: Interval between two reports.
    every_ms: PositiveMs = 1000.0


class TlsSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Certificate for callers and operators; empty for plain HTTP behind the load balancer."""

    #: PEM file of the certificate and its chain.
    certificate_file: str = ''
    #: PEM file of the private key.
    key_file: str = ''


class DaemonSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """All tables of a settings file."""

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
