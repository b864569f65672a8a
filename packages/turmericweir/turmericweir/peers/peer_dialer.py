"""Open connections to backend servers by way of a peer; the other end is `carrier`."""

from __future__ import annotations

import asyncio
from typing import Final

import anyio
import httpcore

from turmericweir.peers.carried_wire import (
    BROKEN,
    CLOSED,
    CarryResult,
    ChunkSplitter,
    read_result,
)
from turmericweir.peers.peer_codec import encode
from turmericweir.process.foreign_data import DECODE_ERRORS
from turmericweir.process.outgoing_socket import open_connection
from turmericweir.process.socket_buffers import fix_receive_buffer
from turmericweir.servers.backend_pool import Via
from turmericweir.servers.backend_stream import (
    CONNECT_TIMEOUT_S,
    BackendStream,
    ConnectionProtocol,
    set_options,
)
from turmericweir.servers.peer_refusal import PeerDeclinedError, PeerRefusedError
from turmericweir_core.base.ids import InstanceName
from turmericweir_core.messages.server_messages import CarryAsk

# Time limit for both connections: to the peer, and from the peer to the server.
_DIAL_TIMEOUT_S: Final = CONNECT_TIMEOUT_S + 0.25


class _CarriedProtocol(ConnectionProtocol):
    """The asking instance's end of a carried connection."""

    _splitter: ChunkSplitter
    # What the peer reported of its connection to the server.
    result: asyncio.Future[CarryResult]

    def __init__(self) -> None:
        super().__init__()
        self._splitter = ChunkSplitter()
        self.result = asyncio.get_running_loop().create_future()

    def data_received(self, data: bytes) -> None:
        """Split the chunks of the peer and store the server's bytes."""
        try:
            for chunk in self._splitter.split(data):
                self._handle_chunk(chunk)
        except ValueError as exc:
            self._end(ConnectionError(f"invalid data of the peer: {exc}"))
            self.transport.abort()

    def _handle_chunk(self, chunk: bytes | int) -> None:
        if isinstance(chunk, int):
            error = ConnectionResetError("the server broke the connection")
            self._end(error if chunk == BROKEN else None)
            assert chunk in (BROKEN, CLOSED)
        elif not self.result.done():
            self.result.set_result(read_result(chunk))
        else:
            super().data_received(chunk)

    def eof_received(self) -> bool:
        """Treat an end that the peer did not announce as a loss."""
        self._end(ConnectionResetError("the connection to the peer ended"))
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Record the loss, unless the server's end was announced before."""
        self._end(exc or ConnectionResetError("the connection to the peer was lost"))
        super().connection_lost(self.error)

    def _end(self, error: Exception | None) -> None:
        if self.has_ended:
            return
        self.has_ended = True
        self.error = error
        if not self.result.done():
            self.result.set_exception(error or ConnectionResetError("closed before the result"))
            # Marks the exception as retrieved, which nobody awaits if the dial was given up.
            self.result.exception()
        self._wake()


class PeerDialer:
    """Opens connections by way of peers."""

    _local_name: InstanceName
    # The local IP of the connections, which the peers' firewalls allow.
    _source_ip: str

    def __init__(self, local_name: InstanceName, address: str) -> None:
        self._local_name = local_name
        self._source_ip = address.rpartition(":")[0]

    async def dial(self, via: Via, address: str) -> BackendStream:
        """Open a connection to a server by way of a peer; raise httpcore's errors."""
        host, _, port = via.address.rpartition(":")
        protocol: _CarriedProtocol | None = None
        try:
            with anyio.fail_after(_DIAL_TIMEOUT_S):
                _, protocol = await open_connection(
                    _CarriedProtocol, host, int(port), source_ip=self._source_ip
                )
                set_options(protocol.transport.get_extra_info("socket"))
                fix_receive_buffer(protocol.transport.get_extra_info("socket"))
                ask = CarryAsk(via.server, address)
                protocol.transport.write(encode(self._local_name, ask))
                result = await protocol.result
        except TimeoutError:
            _abort(protocol)
            raise httpcore.ConnectTimeout(
                f"no connection by way of {via.address} within {_DIAL_TIMEOUT_S} s"
            ) from None
        except (OSError, *DECODE_ERRORS) as exc:
            _abort(protocol)
            raise httpcore.ConnectError(f"by way of {via.address}: {exc}") from exc
        except BaseException:
            _abort(protocol)
            raise
        if result.error:
            _abort(protocol)
            error_type = PeerDeclinedError if result.is_declined else PeerRefusedError
            raise error_type(f"{via.address} refused to connect: {result.error}")
        return BackendStream(protocol)


def _abort(protocol: _CarriedProtocol | None) -> None:
    if protocol is None:
        return
    if protocol.result.done() and not protocol.result.cancelled():
        # Marks an exception as retrieved.
        protocol.result.exception()
    protocol.transport.abort()
