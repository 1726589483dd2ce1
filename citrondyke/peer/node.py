"""Sockets for the messages between instances."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

import logbook
import msgspec
from gevent.server import DatagramServer, StreamServer

from citrondyke.decisions.membership.peer_messages import ConfigPush
from citrondyke.errors import PeerAuthenticationError
from citrondyke.ids import ConfigVersion, InstanceId
from citrondyke.peer.codec import ConfigChanges, ConfigPull, Envelope
from citrondyke.peer.replay_window import ReplayWindow
from citrondyke.util.frames import read_frame, write_frame

if TYPE_CHECKING:
    from citrondyke.decisions.configuration.change import ConfigChange
    from citrondyke.decisions.instance import Instance
    from citrondyke.peer.codec import PeerCodec

__all__ = ('PeerNode', 'TrafficCounts')

log = logbook.Logger(__name__)

#: Larger messages do not fit into one packet of a typical network; recipients fetch their content
#: over a stream instead.
DATAGRAM_LIMIT_BYTES = 1200
STREAM_LIMIT_BYTES = 16 * 1024 * 1024
STREAM_TIMEOUT_S = 2.0
STREAMS_LIMIT = 32


class TrafficCounts(msgspec.Struct):
    """Totals of messages and bytes, of datagrams and streams together."""

    sent_count: int = 0
    sent_bytes: int = 0
    received_count: int = 0
    received_bytes: int = 0
    rejected_count: int = 0


class PeerNode:
    """Sends and receives datagrams for updates, and streams for requested configuration."""

    def __init__(self, codec: PeerCodec, ip: str, port: int) -> None:
        """Open no sockets; ``start`` does."""
        self.traffic = TrafficCounts()
        self._codec = codec
        self._ip = ip
        self._port = port
        self._window = ReplayWindow()
        self._number = 0
        self._instance: Instance | None = None
        self._datagrams: DatagramServer | None = None
        self._streams: StreamServer | None = None

    def start(self, instance: Instance) -> None:
        """Listen, and pass received messages to the instance."""
        self._instance = instance
        self._datagrams = DatagramServer((self._ip, self._port), self._on_datagram)
        self._datagrams.start()
        self._streams = StreamServer((self._ip, self._port), self._on_stream, spawn=STREAMS_LIMIT)
        self._streams.start()

    def stop(self) -> None:
        """Stop listening."""
        if self._datagrams is not None:
            self._datagrams.stop()
        if self._streams is not None:
            self._streams.stop()

    def send(self, instance_id: InstanceId, message: msgspec.Struct) -> None:
        """Send a message; drop it if it is too large or the recipient's address is not known."""
        instance = self._instance
        if instance is None or self._datagrams is None:
            return
        member = instance.members.address(instance_id)
        if member is None:
            return
        data = self._codec.encode(self._envelope(message))
        if len(data) > DATAGRAM_LIMIT_BYTES:
            # The header of every message has the configuration version, from which recipients
            # recognize that there are changes to fetch.
            if isinstance(message, ConfigPush):
                return
            log.warning('datagram of {} bytes exceeds the limit, not sent', len(data))
            return
        self._send_bytes(data, (member.ip, member.peer_port))

    def pull_config(
        self, instance_id: InstanceId, after_version: ConfigVersion
    ) -> list[ConfigChange]:
        """Request configuration changes from a peer; return none if that fails."""
        instance = self._instance
        member = None if instance is None else instance.members.address(instance_id)
        if member is None:
            return []
        address = (member.ip, member.peer_port)
        try:
            with socket.create_connection(address, timeout=STREAM_TIMEOUT_S) as sock:
                self._write_frame(sock, ConfigPull(after_version))
                reply = self._read_frame(sock)
        except (OSError, PeerAuthenticationError):
            return []
        return list(reply.message.changes) if isinstance(reply.message, ConfigChanges) else []

    def _envelope(self, message: msgspec.Struct) -> Envelope:
        instance = self._instance
        assert instance is not None
        self._number += 1
        return Envelope(
            instance.context.instance_id,
            instance.session.epoch,
            self._number,
            instance.config_replica.current.version,
            message,
        )

    def _on_datagram(self, data: bytes, address: tuple[str, int]) -> None:
        instance = self._instance
        if instance is None:
            return
        self.traffic.received_count += 1
        self.traffic.received_bytes += len(data)
        envelope = self._accept(data)
        if envelope is None:
            return
        instance.on_peer_version(envelope.sender, envelope.config_version)
        answer = instance.on_peer_message(envelope.sender, envelope.message)  # type: ignore[arg-type]
        if answer is not None:
            self._send_bytes(self._codec.encode(self._envelope(answer)), address)

    def _accept(self, data: bytes) -> Envelope | None:
        try:
            envelope = self._codec.decode(data)
        except PeerAuthenticationError:
            self.traffic.rejected_count += 1
            return None
        # An instance has no epoch before it has a lease, so its numbers cannot reveal a replay.
        if envelope.epoch and not self._window.accept(
            envelope.sender, envelope.epoch, envelope.number
        ):
            self.traffic.rejected_count += 1
            return None
        return envelope

    def _on_stream(self, sock: socket.socket, _: tuple[str, int]) -> None:
        instance = self._instance
        sock.settimeout(STREAM_TIMEOUT_S)
        try:
            request = self._read_frame(sock)
            if instance is None or not isinstance(request.message, ConfigPull):
                return
            changes = instance.config_replica.changes_after(request.message.after_version)
            self._write_frame(sock, ConfigChanges(tuple(changes)))
        except (OSError, PeerAuthenticationError):
            return
        finally:
            sock.close()

    def _send_bytes(self, data: bytes, address: tuple[str, int]) -> None:
        if self._datagrams is None:
            return
        self.traffic.sent_count += 1
        self.traffic.sent_bytes += len(data)
        try:
            self._datagrams.sendto(data, address)
        except OSError:
            # The peer has probably just stopped; failure detection by pings notices that.
            return

    def _write_frame(self, sock: socket.socket, message: msgspec.Struct) -> None:
        data = self._codec.encode(self._envelope(message))
        self.traffic.sent_bytes += len(data)
        write_frame(sock, data)

    def _read_frame(self, sock: socket.socket) -> Envelope:
        try:
            data = read_frame(sock, STREAM_LIMIT_BYTES)
        except ValueError as error:
            raise PeerAuthenticationError from error
        self.traffic.received_bytes += len(data)
        return self._codec.decode(data)
