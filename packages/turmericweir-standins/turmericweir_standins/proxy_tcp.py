"""A TCP route of the proxy: each connection is forwarded to the target, with the route's faults.

After bytes of a direction were discarded, this direction of the connection stays silent, also after
the fault has ended: a byte stream with a gap would be a fault that no network produces. The end of
a connection is discarded like bytes. `freeze` holds bytes back without loss.

The module uses the event loop's protocols, since anyio's streams cost several times as much
processor time for each chunk.
"""

from __future__ import annotations

import asyncio
import random
import socket
import struct
from collections.abc import Callable
from functools import partial
from typing import Final, cast

import anyio
from anyio.abc import TaskGroup

from turmericweir_standins.behaviour import Controls
from turmericweir_standins.proxy_fault import DelayLine, Direction, RouteBehaviour
from turmericweir_standins.record import Recorder

BACKLOG: Final = 1024
# Receive buffer of all sockets; its content is copied before the loop reads again.
_RECEIVED: Final = memoryview(bytearray(262_144))
# SO_LINGER with a time of 0: closing sends a reset.
_RESET_ON_CLOSE: Final = struct.pack("ii", 1, 0)


class _End(asyncio.BufferedProtocol):
    """The proxy's socket to the client or to the target.

    It is a buffered protocol, since the loop allocates a large buffer for each read of a plain one.
    """

    # The connection to which the socket belongs.
    connection: _Connection
    # The direction of the bytes that this socket receives.
    direction: Direction
    # None before the socket is connected.
    transport: asyncio.Transport | None
    # Whether the socket was open and is now closed.
    lost: bool
    # Whether the write buffer is full; reading from the other end then pauses.
    full: bool

    def __init__(self, connection: _Connection, direction: Direction) -> None:
        self.connection = connection
        self.direction = direction
        self.transport = None
        self.lost = False
        self.full = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.connection.on_open(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        return _RECEIVED

    def buffer_updated(self, nbytes: int) -> None:
        self.connection.on_data(self.direction, bytes(_RECEIVED[:nbytes]))

    def eof_received(self) -> bool:
        self.connection.on_eof(self.direction)
        # The socket stays open for the bytes of the other direction.
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        self.lost = True
        self.connection.on_lost(self.direction, reset=exc is not None)

    def pause_writing(self) -> None:
        self.full = True
        self.connection.update_reading()

    def resume_writing(self) -> None:
        self.full = False
        self.connection.update_reading()

    @property
    def writable(self) -> bool:
        """Whether bytes can still be written."""
        return self.transport is not None and not self.transport.is_closing()

    def write(self, data: bytes) -> None:
        """Write the bytes, unless the socket is closed."""
        if self.transport is not None and self.writable:
            self.transport.write(data)

    def write_eof(self) -> None:
        """Close the writing direction of the socket."""
        if self.transport is not None and self.writable:
            self.transport.write_eof()

    def close(self, reset: bool) -> None:
        """Close the socket, with a reset or after the buffered bytes were written."""
        if self.transport is None or self.transport.is_closing():
            return
        if reset:
            _reset_on_close(self.transport)
            self.transport.abort()
        else:
            self.transport.close()


class _Connection:
    """One connection through the route."""

    _route: TcpRoute
    # The ends by the direction of the bytes that they receive.
    _ends: dict[Direction, _End]
    # Delayed bytes, by direction.
    _lines: dict[Direction, DelayLine]
    # The directions in which all bytes are discarded permanently.
    _silent_directions: set[Direction]
    # The directions whose end was forwarded.
    _ended_directions: set[Direction]
    # Whether bytes were forwarded to the target and none were returned since.
    _awaits_response: bool
    # The IP address of the client.
    _source: str

    def __init__(self, route: TcpRoute) -> None:
        self._route = route
        frozen = route.controls.table.freeze
        self._ends = {direction: _End(self, direction) for direction in Direction}
        self._lines = {direction: DelayLine(frozen) for direction in Direction}
        self._silent_directions = set()
        self._ended_directions = set()
        self._awaits_response = False
        self._source = ""

    @property
    def client_end(self) -> _End:
        """The socket to the client."""
        return self._ends[Direction.FORWARD]

    # Events of the sockets.

    def on_open(self, end: _End) -> None:
        """Handle a newly connected socket."""
        self.update_reading()
        if end is self.client_end:
            assert end.transport is not None
            self._source = end.transport.get_extra_info("peername")[0]
            self._route.on_connection(self)

    def on_data(self, direction: Direction, data: bytes) -> None:
        """Forward the bytes, or discard them."""
        if self._is_discarded(direction):
            return
        if direction is Direction.FORWARD:
            self._awaits_response = True
        elif self._awaits_response:
            self._awaits_response = False
            if self._route.loses_response():
                self.close(reset=False)
                return
        self._forward(direction, partial(self._receiver(direction).write, data))

    def on_eof(self, direction: Direction) -> None:
        """Forward the end of a direction, or discard it."""
        if not self._is_discarded(direction):
            self._forward(direction, partial(self._forward_eof, direction))
        elif len(self._silent_directions) == len(Direction):
            # Both directions are silent: nothing will be written to this socket.
            self._ends[direction].close(reset=False)

    def _forward_eof(self, direction: Direction) -> None:
        self._receiver(direction).write_eof()
        self._ended_directions.add(direction)
        if len(self._ended_directions) == len(Direction):
            # Both directions have ended; prevents sockets that stay open.
            for end in self._ends.values():
                end.close(reset=False)

    def on_lost(self, direction: Direction, reset: bool) -> None:
        """Close the other end as well, unless the direction is silent."""
        if not self._is_discarded(direction):
            self._forward(direction, partial(self._receiver(direction).close, reset))
        if all(end.lost or end.transport is None for end in self._ends.values()):
            self._route.on_closed(self)

    # Actions of the route.

    async def connect(self) -> None:
        """Connect to the target after the delay of a handshake."""
        await anyio.sleep(2 * self._route.controls.table.delay_s)
        await self._route.wait_unfrozen()
        if all(self._has_cut(direction) for direction in Direction) or self._silent_directions:
            self.silence()
            return
        server_end = self._ends[Direction.BACKWARD]
        loop = asyncio.get_running_loop()
        try:
            await loop.create_connection(lambda: server_end, *self._route.target)
        except OSError:
            self.client_end.close(reset=True)
            return
        if self.client_end.lost:
            server_end.close(reset=True)

    def silence(self) -> None:
        """Discard all delayed and later bytes without closing either end."""
        self._silent_directions.update(Direction)
        for line in self._lines.values():
            line.clear()
        self.update_reading()

    def close(self, reset: bool) -> None:
        """Close both ends; delayed bytes are lost."""
        self.silence()
        for end in self._ends.values():
            end.close(reset)

    def set_frozen(self, frozen: bool) -> None:
        """Hold all bytes back, or resume them."""
        for line in self._lines.values():
            line.set_frozen(frozen)
        self.update_reading()

    def update_reading(self) -> None:
        """Read from each end only while its bytes can be forwarded or discarded."""
        for direction, end in self._ends.items():
            if end.transport is None or end.transport.is_closing():
                continue
            if self._may_read(direction):
                end.transport.resume_reading()
            else:
                end.transport.pause_reading()

    def _may_read(self, direction: Direction) -> bool:
        if self._route.controls.table.freeze:
            return False
        if direction in self._silent_directions:
            return True
        receiver = self._receiver(direction)
        return receiver.transport is not None and not receiver.full

    # Internals.

    def _receiver(self, direction: Direction) -> _End:
        return self._ends[direction.opposite]

    def _is_discarded(self, direction: Direction) -> bool:
        if self._has_cut(direction):
            self._silent_directions.add(direction)
        return direction in self._silent_directions

    def _has_cut(self, direction: Direction) -> bool:
        return self._route.controls.table.discards(direction, self._source)

    def _forward(self, direction: Direction, action: Callable[[], None]) -> None:
        self._lines[direction].push(self._route.controls.table.delay_s, action)


class TcpRoute:
    """Listen on one address and forward each connection to the target."""

    # The address on which the route listens, with the port in use.
    listen: tuple[str, int]
    target: tuple[str, int]
    controls: Controls[RouteBehaviour]
    _connections: set[_Connection]
    # None while the route refuses to connect.
    _server: asyncio.Server | None
    # Set while the route is not frozen.
    _unfrozen: anyio.Event
    _tasks: TaskGroup
    _random: random.Random
    _recorder: Recorder

    def __init__(
        self,
        listen: tuple[str, int],
        target: tuple[str, int],
        tasks: TaskGroup,
        seed: str,
        recorder: Recorder,
    ) -> None:
        self.listen = listen
        self.target = target
        self.controls = Controls(RouteBehaviour(), self._on_change)
        self._connections = set()
        self._server = None
        self._unfrozen = anyio.Event()
        self._unfrozen.set()
        self._tasks = tasks
        self._random = random.Random(seed)
        self._recorder = recorder

    async def settle(self) -> None:
        """Listen or stop listening, as the faults in force require."""
        is_refusing = self.controls.table.drop >= 1
        if is_refusing and self._server is not None:
            self._server.close()
            self._server = None
        elif not is_refusing and self._server is None:
            await self._listen()

    def close(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for connection in list(self._connections):
            connection.close(reset=True)

    def on_connection(self, connection: _Connection) -> None:
        """Forward a new connection to the target, or reset it."""
        if self._random.random() < self.controls.table.drop:
            self._record("refused")
            connection.client_end.close(reset=True)
            return
        self._record("opened")
        self._connections.add(connection)
        self._tasks.start_soon(connection.connect)

    def on_closed(self, connection: _Connection) -> None:
        """Remove a connection that has no open socket."""
        if connection in self._connections:
            self._connections.remove(connection)
            self._record("closed")

    def loses_response(self) -> bool:
        """Return whether the answer that begins is to be lost, and count it."""
        count = self.controls.table.lose_response
        if count <= 0:
            return False
        self.controls.merge({"lose_response": count - 1})
        self._record("response_lost")
        return True

    async def wait_unfrozen(self) -> None:
        """Wait until the route is not frozen."""
        while not self._unfrozen.is_set():
            await self._unfrozen.wait()

    async def _listen(self) -> None:
        loop = asyncio.get_running_loop()
        host, port = self.listen
        self._server = await loop.create_server(
            lambda: _Connection(self).client_end, host, port, reuse_address=True, backlog=BACKLOG
        )
        self.listen = (host, self._server.sockets[0].getsockname()[1])

    def _on_change(self, table: RouteBehaviour) -> None:
        if table.silence_existing:
            for connection in self._connections:
                connection.silence()
        if table.close_existing:
            for connection in list(self._connections):
                connection.close(reset=False)
        # These two faults act once and are then reset.
        self.controls.table = table.model_copy(
            update={"silence_existing": False, "close_existing": False}
        )
        self._set_frozen(table.freeze)

    def _set_frozen(self, frozen: bool) -> None:
        if frozen and self._unfrozen.is_set():
            self._unfrozen = anyio.Event()
        elif not frozen:
            self._unfrozen.set()
        for connection in list(self._connections):
            connection.set_frozen(frozen)

    def _record(self, event: str) -> None:
        self._recorder.write(event, kind="tcp", route=f"{self.listen[0]}:{self.listen[1]}")


def _reset_on_close(transport: asyncio.Transport) -> None:
    sock = transport.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
