"""gRPC server and client channels for calls between daemons."""

from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from hmac import compare_digest
from random import uniform
from time import monotonic
from typing import TYPE_CHECKING, NewType, Protocol

import grpc
from gevent import spawn
from gevent.queue import Queue
from msgspec import MsgspecError

from bergamotwood_core.errors import BergamotwoodError, Code, ReplicationError
from bergamotwood_core.ids import InstanceId
from bergamotwood_core.messages import Address
from bergamotwood_core.states import Run
from bergamotwood_daemon.log import log_failure
from bergamotwood_daemon.peer_pb2 import Frame
from bergamotwood_daemon.peer_pb2_grpc import (
    PeerServicer,
    PeerStub,
    add_PeerServicer_to_server,
)
from bergamotwood_daemon.wire import (
    ENCODER,
    Envelope,
    ReplicateBatch,
)

if TYPE_CHECKING:
    # Only for type checks: loads TLS, which daemons without it need not hold in memory.
    from bergamotwood_daemon.encryption import PeerEncryption

MAX_MESSAGE_BYTES = 64_000_000
MAX_WORKERS = 1_024
MAX_QUEUED_MESSAGES = 1_024
REPLICATE_TIMEOUT_SECONDS = 1.0
# Bounds of the delay before an unreachable peer is dialled again.
MIN_REDIAL_SECONDS = 0.05
MAX_REDIAL_SECONDS = 1.0
KEY_HEADER = "bergamotwood-instance-key"

# A new channel must open its own connection, to replace one that became unresponsive.
CHANNEL_OPTIONS = (
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 1_000),
    ("grpc.enable_retries", 0),
    ("grpc.enable_http_proxy", 0),
)
# Keepalive closes the connection of an unreachable client after 15 s.
SERVER_OPTIONS = (
    ("grpc.keepalive_time_ms", 10_000),
    ("grpc.keepalive_timeout_ms", 5_000),
    ("grpc.keepalive_permit_without_calls", 1),
    ("grpc.http2.max_pings_without_data", 0),
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    ("grpc.so_reuseport", 0),
)

Method = NewType("Method", str)
REPLICATE = Method("Replicate")
PROPOSE = Method("Propose")
POLL = Method("Poll")
QUERY = Method("Query")


class PeerHandler(Protocol):
    """Handles the calls that a daemon receives from its peers."""

    def handle_replicate(self, body: bytes) -> bytes:
        """Handle replication messages."""

    def handle_propose(self, body: bytes) -> bytes:
        """Submit a command."""

    def handle_poll(self, body: bytes) -> bytes:
        """Answer a poll."""

    def handle_query(self, body: bytes) -> bytes:
        """Answer a query."""


class PeerServer(PeerServicer):
    """The gRPC server of a daemon.

    Parameters
    ----------
    handler : PeerHandler
        Handles the calls.
    key : str
        Instance key that every caller must present.
    encryption : PeerEncryption or None
        TLS of the server; None for plaintext.
    """

    def __init__(
        self, handler: PeerHandler, key: str, encryption: "PeerEncryption | None" = None
    ) -> None:
        self._handler = handler
        self._key = key
        self._encryption = encryption
        self._server = grpc.server(
            ThreadPoolExecutor(max_workers=MAX_WORKERS), options=SERVER_OPTIONS
        )
        add_PeerServicer_to_server(self, self._server)

    def start(self, address: Address) -> int:
        """Listen on `address` and return the port; port 0 selects a free one.

        Raises
        ------
        OSError, RuntimeError
            When it cannot listen on the address; gRPC raises the latter.
        """
        port = self._bind(str(address))
        if port == 0:
            raise OSError(f"peer_listen: cannot listen on {address}")
        self._server.start()
        return port

    def stop(self, grace_seconds: float) -> None:
        """Reject new calls and wait for running ones."""
        self._server.stop(grace_seconds).wait(grace_seconds + 1.0)

    def Replicate(self, request: Frame, context: grpc.ServicerContext) -> Frame:  # noqa: N802
        """Handle replication messages."""
        return self._handle(self._handler.handle_replicate, request, context)

    def Propose(self, request: Frame, context: grpc.ServicerContext) -> Frame:  # noqa: N802
        """Submit a command."""
        return self._handle(self._handler.handle_propose, request, context)

    def Poll(self, request: Frame, context: grpc.ServicerContext) -> Frame:  # noqa: N802
        """Answer a poll."""
        return self._handle(self._handler.handle_poll, request, context)

    def Query(self, request: Frame, context: grpc.ServicerContext) -> Frame:  # noqa: N802
        """Answer a query."""
        return self._handle(self._handler.handle_query, request, context)

    def _bind(self, address: str) -> int:
        if self._encryption is None:
            return self._server.add_insecure_port(address)
        credentials = self._encryption.make_server_credentials()
        return self._server.add_secure_port(address, credentials)

    def _handle(
        self,
        handle: Callable[[bytes], bytes],
        request: Frame,
        context: grpc.ServicerContext,
    ) -> Frame:
        metadata = dict(context.invocation_metadata())
        presented_key = str(metadata.get(KEY_HEADER, ""))
        if not compare_digest(presented_key.encode(), self._key.encode()):
            context.abort(grpc.StatusCode.UNAUTHENTICATED, "wrong instance key")
        try:
            return Frame(body=handle(request.body))
        except BergamotwoodError as error:
            context.abort(grpc.StatusCode.FAILED_PRECONDITION, error.detail)
            raise
        except MsgspecError as error:
            # The caller would take any other status for a broken connection.
            detail = f"unreadable message: {error}"
            context.abort(grpc.StatusCode.FAILED_PRECONDITION, detail)
            raise
        except Exception as error:
            log_failure("peer", "Call failed.", reason=repr(error))
            detail = f"call failed: {error!r:.200}"
            context.abort(grpc.StatusCode.FAILED_PRECONDITION, detail)
            raise


class PeerChannel:
    """Client of one peer; after a failed call the next one opens a new connection.

    Parameters
    ----------
    address : Address
        Address of the peer.
    key : str
        Instance key to present.
    encryption : PeerEncryption or None
        TLS of the connection; None for plaintext.

    Attributes
    ----------
    sent_bytes, received_bytes : int
        Total size of the bodies of calls and answers.
    """

    def __init__(
        self, address: Address, key: str, encryption: "PeerEncryption | None" = None
    ) -> None:
        self._address = address
        self._encryption = encryption
        self._metadata = ((KEY_HEADER, key),)
        self._channel: grpc.Channel | None = None
        self._backoff = 0.0
        self._redial_at = 0.0
        self.sent_bytes = 0
        self.received_bytes = 0

    def call(self, method: Method, body: bytes, timeout_seconds: float) -> bytes:
        """Call the peer and return its answer.

        Raises
        ------
        ReplicationError
            When the peer did not answer, or answered with an error; unless `run` is
            `NOT_RUN` it may have handled the call.
        """
        if monotonic() < self._redial_at:
            raise ReplicationError(
                f"{method} at {self._address}: not dialled again yet", run=Run.NOT_RUN
            )
        channel = self._get_channel()
        try:
            rpc = getattr(PeerStub(channel), method)
            frame = Frame(body=body)
            self.sent_bytes += len(body)
            reply = rpc(frame, timeout=timeout_seconds, metadata=self._metadata)
        except grpc.RpcError as error:
            if error.code() is not grpc.StatusCode.FAILED_PRECONDITION:
                self._back_off(channel)
            raise ReplicationError(
                f"{method} at {self._address}: {error.details()}", Code.NO_QUORUM
            ) from error
        self._backoff = 0.0
        self.received_bytes += len(reply.body)
        return reply.body

    def close(self) -> None:
        """Close the connection."""
        if self._channel is not None:
            self._discard(self._channel)

    def _get_channel(self) -> grpc.Channel:
        if self._channel is None:
            self._channel = self._dial()
        return self._channel

    def _dial(self) -> grpc.Channel:
        target = str(self._address)
        if self._encryption is None:
            return grpc.insecure_channel(target, options=CHANNEL_OPTIONS)
        credentials = self._encryption.make_channel_credentials()
        return grpc.secure_channel(target, credentials, options=CHANNEL_OPTIONS)

    def _back_off(self, channel: grpc.Channel) -> None:
        """Close a channel that failed and delay the next connection."""
        if self._channel is channel:
            doubled = max(2.0 * self._backoff, MIN_REDIAL_SECONDS)
            self._backoff = min(doubled, MAX_REDIAL_SECONDS)
            self._redial_at = monotonic() + self._backoff * uniform(0.5, 1.0)
        self._discard(channel)

    def _discard(self, channel: grpc.Channel) -> None:
        if self._channel is channel:
            self._channel = None
        channel.close()


class ReplicationSender:
    """Sends replication messages to one peer; batches those queued during a call.

    Parameters
    ----------
    channel : PeerChannel
        Channel to the peer.
    """

    def __init__(self, channel: PeerChannel) -> None:
        self._channel = channel
        self._queue: Queue[Envelope] = Queue()
        self._greenlet = spawn(self._run)

    def send(self, envelope: Envelope) -> None:
        """Queue a message, or drop it when the queue is full."""
        if self._queue.qsize() >= MAX_QUEUED_MESSAGES:
            return
        self._queue.put(envelope)

    def stop(self) -> None:
        """Stop sending and drop queued messages."""
        self._greenlet.kill(block=False)

    def _run(self) -> None:
        while True:
            batch = [self._queue.get()]
            while not self._queue.empty():
                batch.append(self._queue.get())
            body = ENCODER.encode(ReplicateBatch(tuple(batch)))
            try:
                self._channel.call(REPLICATE, body, REPLICATE_TIMEOUT_SECONDS)
            except ReplicationError:
                continue


class GroupTransport:
    """Transport of one log group, over senders that the groups share.

    Parameters
    ----------
    group : str
        Name of the log group.
    senders : dict of InstanceId to ReplicationSender
        Senders to the other replicas.
    """

    def __init__(self, group: str, senders: dict[InstanceId, ReplicationSender]):
        self._group = group
        self._senders = senders

    def send(self, target: InstanceId, body: bytes) -> None:
        """Queue a message without blocking; unknown targets are ignored."""
        sender = self._senders.get(target)
        if sender is not None:
            sender.send(Envelope(self._group, body))
