"""Carry connections of peers to backend servers that they cannot connect to themselves.

A peer asks with its first frame (`peer_listener`). This end connects to the server and then passes
bytes on in both directions without reading them: the request, its deadline, its retries and its
account stay with the peer that asked. When either connection ends, so does the other, so a server
sees at once that a caller has left. `carried_wire` defines what is on the wire.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import suppress
from typing import Final, cast

import anyio

from turmericweir.peers.carried_wire import (
    BROKEN,
    CLOSED,
    CarryResult,
    pack_chunk,
    pack_end,
    pack_result,
)
from turmericweir.process import logs
from turmericweir.process.foreign_data import DECODE_ERRORS
from turmericweir.process.node import Node
from turmericweir.process.outgoing_socket import open_connection
from turmericweir.process.socket_buffers import fix_receive_buffer, limit_send_buffer
from turmericweir.servers.backend_stream import CONNECT_TIMEOUT_S, address_of, set_options
from turmericweir_core.base.ids import ServerName
from turmericweir_core.messages.events import CarriedChanged
from turmericweir_core.messages.server_messages import CarryAsk
from turmericweir_core.trust import server_paths

# Limit of connections that are carried at a time.
CARRIED_MAX: Final = 128
# Reading from one side pauses while more bytes than this wait to be written to the other.
_WRITE_BUFFER_MAX_BYTES: Final = 32_768
# Which end of a carried connection ended first, in the logs.
_BY_PEER: Final = "peer"
_BY_SERVER: Final = "server"
_BY_SERVER_LOSS: Final = "server_lost"


class Carrier:
    """Carries connections for all peers of this instance."""

    _node: Node
    _connections: set[CarriedConnection]

    def __init__(self, node: Node) -> None:
        self._node = node
        self._connections = set()
        node.memory.sources.append(self._held_bytes)

    def _held_bytes(self) -> int:
        return sum(connection.held_bytes for connection in self._connections)

    def start(
        self,
        transport: asyncio.Transport,
        origin: str,
        ask: CarryAsk,
        on_lost: Callable[[], None] = lambda: None,
    ) -> None:
        """Take over a peer's connection and connect it to a server."""
        connection = CarriedConnection(self._node, self, transport, ask, on_lost)
        transport.set_protocol(connection)
        refusal = self._refusal_of(ask)
        if refusal is not None:
            self.log_refused(origin, ask, refusal.error)
            transport.write(pack_result(refusal))
            transport.close()
            return
        self._connections.add(connection)
        self._report_count()
        self._node.run_in_background(connection.open, origin)

    def _refusal_of(self, ask: CarryAsk) -> CarryResult | None:
        """Return the refusal of a connection, or None if it can be tried."""
        reason = self._reason_to_decline(ask)
        if reason:
            return CarryResult(reason, is_declined=True)
        if server_paths.is_lost(self._node.state, ServerName(ask.server)):
            return CarryResult("this instance has no path to the server")
        return None

    def _reason_to_decline(self, ask: CarryAsk) -> str:
        state = self._node.state
        server = state.servers.by_name.get(ServerName(ask.server))
        if server is None or server.entry.address != ask.address:
            return f"no server {ask.server} at {ask.address} is known"
        if server.leaving:
            return "the server is leaving"
        if self._node.is_stopping:
            return "this instance is stopping"
        if len(self._connections) >= CARRIED_MAX:
            return f"{CARRIED_MAX} connections are carried already"
        if self._node.memory.is_short:
            return "this instance has no memory left"
        return ""

    def log_refused(self, origin: str, ask: CarryAsk, error: str) -> None:
        """Log and count a request to connect that was refused, or that failed at the server."""
        self._node.count("carry.refused")
        logs.write("carry_refused", peer=origin, server=ask.server, error=error)

    def log_opened(self, origin: str, ask: CarryAsk, address: str) -> None:
        """Log and count a connection that is open, by the address of the peer's end."""
        self._node.count("carry.opened")
        logs.write(
            "carry_opened",
            peer=origin,
            server=ask.server,
            connection=address,
            carried=len(self._connections),
        )

    def forget(self, connection: CarriedConnection) -> None:
        """Forget a connection that has ended."""
        if connection in self._connections:
            self._connections.discard(connection)
            self._report_count()

    def _report_count(self) -> None:
        self._node.handle(CarriedChanged(len(self._connections)))


class CarriedConnection(asyncio.Protocol):
    """The connection of the peer that asked, with the connection to the server."""

    _node: Node
    _carrier: Carrier
    _transport: asyncio.Transport
    _ask: CarryAsk
    # The connection to the server; None until it is open.
    _server: asyncio.Transport | None
    _is_lost: bool
    # The address of the peer's end.
    _address: str
    # Bytes passed on in each direction, and which end was the first to end; empty while none has.
    _to_server_bytes: int
    _from_server_bytes: int
    _ended_by: str
    # Called when the peer's connection is lost.
    _on_lost: Callable[[], None]

    def __init__(
        self,
        node: Node,
        carrier: Carrier,
        transport: asyncio.Transport,
        ask: CarryAsk,
        on_lost: Callable[[], None],
    ) -> None:
        self._node = node
        self._carrier = carrier
        self._transport = transport
        self._ask = ask
        self._server = None
        self._is_lost = False
        self._address = address_of(transport.get_extra_info("peername"))
        self._to_server_bytes = 0
        self._from_server_bytes = 0
        self._ended_by = ""
        self._on_lost = on_lost

    @property
    def held_bytes(self) -> int:
        """The number of bytes that wait to be read by the peer or the server."""
        to_server_bytes = 0 if self._server is None else self._server.get_write_buffer_size()
        return self._transport.get_write_buffer_size() + to_server_bytes

    async def open(self, origin: str) -> None:
        """Connect to the server and send the result to the peer."""
        host, _, port = self._ask.address.rpartition(":")
        try:
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                transport, _ = await open_connection(lambda: _ServerSide(self), host, int(port))
        except (OSError, TimeoutError, *DECODE_ERRORS) as exc:
            error = str(exc) or f"no connection within {CONNECT_TIMEOUT_S} s"
            self._carrier.log_refused(origin, self._ask, error)
            self._transport.write(pack_result(CarryResult(error)))
            self._transport.close()
            return
        if self._is_lost:
            transport.abort()
            return
        self._server = transport
        with suppress(OSError):
            set_options(transport.get_extra_info("socket"))
        fix_receive_buffer(transport.get_extra_info("socket"))
        for each in (transport, self._transport):
            each.set_write_buffer_limits(high=_WRITE_BUFFER_MAX_BYTES)
            limit_send_buffer(each.get_extra_info("socket"))
        self._carrier.log_opened(origin, self._ask, self._address)
        self._transport.write(pack_result(CarryResult("")))

    # Called by the event loop, for the connection of the peer.

    def data_received(self, data: bytes) -> None:
        """Pass bytes of the peer on to the server."""
        if self._server is None:
            # It must wait for the result first.
            self._transport.abort()
            return
        self._node.traffic.carried.received.add(len(data))
        self._node.memory.add(len(data))
        self._to_server_bytes += len(data)
        self._server.write(data)

    def pause_writing(self) -> None:
        """Stop reading from the server while the peer is slow."""
        if self._server is not None:
            self._server.pause_reading()

    def resume_writing(self) -> None:
        """Continue reading from the server."""
        if self._server is not None and not self._server.is_closing():
            self._server.resume_reading()

    def eof_received(self) -> bool:
        """End both connections; a peer closes only when it has no more use for them."""
        self._transport.abort()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """End the connection to the server, which cancels the request there."""
        self._is_lost = True
        self._on_lost()
        if self._server is not None:
            self._server.abort()
            self._log_ended()
        self._carrier.forget(self)

    def _log_ended(self) -> None:
        logs.write(
            "carry_ended",
            server=self._ask.server,
            connection=self._address,
            ended_by=self._ended_by or _BY_PEER,
            to_server_bytes=self._to_server_bytes,
            from_server_bytes=self._from_server_bytes,
        )

    # Called by the connection to the server.

    def pass_on(self, data: bytes) -> None:
        """Pass bytes of the server on to the peer."""
        self._node.traffic.carried.sent.add(len(data))
        self._node.memory.add(len(data))
        self._from_server_bytes += len(data)
        self._transport.write(pack_chunk(data))

    def end(self, *, is_broken: bool) -> None:
        """Report to the peer how the connection to the server ended, and close the peer's."""
        if not self._transport.is_closing():
            self._ended_by = _BY_SERVER_LOSS if is_broken else _BY_SERVER
            self._transport.write(pack_end(BROKEN if is_broken else CLOSED))
            self._transport.close()

    def set_peer_reading(self, is_reading: bool) -> None:
        """Stop or continue reading from the peer while the server is slow."""
        if self._transport.is_closing():
            return
        if is_reading:
            self._transport.resume_reading()
        else:
            self._transport.pause_reading()


class _ServerSide(asyncio.Protocol):
    """The connection to the server."""

    _peer: CarriedConnection
    _transport: asyncio.Transport

    def __init__(self, peer: CarriedConnection) -> None:
        self._peer = peer

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        self._peer.pass_on(data)

    def eof_received(self) -> bool:
        self._peer.end(is_broken=False)
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        self._peer.end(is_broken=exc is not None)

    def pause_writing(self) -> None:
        self._peer.set_peer_reading(False)

    def resume_writing(self) -> None:
        self._peer.set_peer_reading(True)
