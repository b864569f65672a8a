"""A UDP route of the proxy: datagrams go to the target and its replies go back.

Each sender gets its own socket to the target, as in network address translation, to which the
replies are sent. Datagrams can be lost, delayed, discarded or held back.
"""

from __future__ import annotations

import asyncio
import random
import socket
from functools import partial
from typing import Final, cast

from turmericweir_standins.behaviour import Controls
from turmericweir_standins.proxy_fault import DelayLine, Direction, RouteBehaviour
from turmericweir_standins.record import Recorder

DATAGRAM_MAX_BYTES: Final = 65_536
# Datagrams beyond this number are lost while the route is frozen, as with a full socket buffer.
HELD_DATAGRAMS_MAX: Final = 1000

Address = tuple[str, int]


class UdpRoute(asyncio.DatagramProtocol):
    """Listen on one address and forward datagrams to the target."""

    # The address on which the route listens, with the port in use.
    listen: Address
    target: Address
    controls: Controls[RouteBehaviour]
    # The socket to the target for each sender.
    # TODO: close idle ones when a test has more senders than there are file descriptors.
    _upstreams: dict[Address, socket.socket]
    _lines: dict[Direction, DelayLine]
    _transport: asyncio.DatagramTransport | None
    _random: random.Random
    _recorder: Recorder

    def __init__(self, listen: Address, target: Address, seed: str, recorder: Recorder) -> None:
        self.listen = listen
        self.target = target
        self.controls = Controls(RouteBehaviour(), self._on_change)
        self._upstreams = {}
        self._lines = {direction: DelayLine(frozen=False) for direction in Direction}
        self._transport = None
        self._random = random.Random(seed)
        self._recorder = recorder

    async def settle(self) -> None:
        """Open the socket if it is not open yet."""
        if self._transport is not None:
            return
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=self.listen)
        self._transport = transport
        self.listen = (self.listen[0], transport.get_extra_info("sockname")[1])

    def close(self) -> None:
        """Close all sockets."""
        if self._transport is not None:
            self._transport.close()
        loop = asyncio.get_running_loop()
        for upstream in self._upstreams.values():
            loop.remove_reader(upstream)
            upstream.close()
        self._upstreams.clear()

    def datagram_received(self, data: bytes, addr: tuple[str | object, int]) -> None:
        upstream = self._upstream(cast(Address, addr))
        self._forward(Direction.FORWARD, cast(Address, addr), partial(_send, upstream, data))

    def _upstream(self, sender: Address) -> socket.socket:
        upstream = self._upstreams.get(sender)
        if upstream is None:
            upstream = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            upstream.setblocking(False)
            upstream.connect(self.target)
            self._upstreams[sender] = upstream
            loop = asyncio.get_running_loop()
            loop.add_reader(upstream, self._receive_reply, upstream, sender)
        return upstream

    def _receive_reply(self, upstream: socket.socket, sender: Address) -> None:
        try:
            data = upstream.recv(DATAGRAM_MAX_BYTES)
        except OSError:
            # The target does not listen; the sender of a datagram gets no error.
            return
        self._forward(Direction.BACKWARD, sender, partial(self._send_back, data, sender))

    def _send_back(self, data: bytes, sender: Address) -> None:
        if self._transport is not None:
            self._transport.sendto(data, sender)

    def _forward(self, direction: Direction, sender: Address, action: partial[None]) -> None:
        table = self.controls.table
        if table.discards(direction, sender[0]):
            return
        if self._random.random() < table.drop:
            self._record("dropped", direction)
            return
        line = self._lines[direction]
        if table.freeze and len(line) >= HELD_DATAGRAMS_MAX:
            return
        line.push(table.delay_s, action)

    def _on_change(self, table: RouteBehaviour) -> None:
        # These two faults concern connections and have no effect on UDP.
        self.controls.table = table.model_copy(
            update={"silence_existing": False, "close_existing": False}
        )
        for line in self._lines.values():
            line.set_frozen(table.freeze)

    def _record(self, event: str, direction: Direction) -> None:
        route = f"{self.listen[0]}:{self.listen[1]}"
        self._recorder.write(event, kind="udp", route=route, direction=direction.value)


def _send(sock: socket.socket, data: bytes) -> None:
    try:
        sock.send(data)
    except OSError:
        # The datagram is lost: the target does not listen, the buffer is full, or the route closed.
        return
