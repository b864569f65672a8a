"""A UDP route of the proxy: datagrams go to the target and its replies go back.

Each sender gets a socket of its own towards the target, as behind an address translator, so that
replies find their way. Datagrams can be lost, delayed, swallowed or held back.
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

MAX_DATAGRAM: Final = 65_536
# Datagrams held back beyond this number are lost, as those beyond a socket's buffer are.
MAX_HELD: Final = 1000

Address = tuple[str, int]


class UdpRoute(asyncio.DatagramProtocol):
    """Listen on one address and pass datagrams on to the target."""

    # The address on which the route listens; the port in use, also when 0 was asked for.
    listen: Address
    target: Address
    controls: Controls[RouteBehaviour]
    # The socket towards the target for each sender.
    # TODO: drop idle ones when a test makes more senders than there are file descriptors.
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
        self._pass(Direction.FORWARD, cast(Address, addr), partial(_send, upstream, data))

    def _upstream(self, sender: Address) -> socket.socket:
        upstream = self._upstreams.get(sender)
        if upstream is None:
            upstream = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            upstream.setblocking(False)
            upstream.connect(self.target)
            self._upstreams[sender] = upstream
            loop = asyncio.get_running_loop()
            loop.add_reader(upstream, self._take_reply, upstream, sender)
        return upstream

    def _take_reply(self, upstream: socket.socket, sender: Address) -> None:
        try:
            data = upstream.recv(MAX_DATAGRAM)
        except OSError:
            # Nobody listens at the target; a datagram's sender is not told so.
            return
        self._pass(Direction.BACKWARD, sender, partial(self._send_back, data, sender))

    def _send_back(self, data: bytes, sender: Address) -> None:
        if self._transport is not None:
            self._transport.sendto(data, sender)

    def _pass(self, direction: Direction, sender: Address, action: partial[None]) -> None:
        table = self.controls.table
        if table.cuts(direction, sender[0]):
            return
        if self._random.random() < table.drop:
            self._record("dropped", direction)
            return
        line = self._lines[direction]
        if table.freeze and len(line) >= MAX_HELD:
            return
        line.push(table.delay_s, action)

    def _on_change(self, table: RouteBehaviour) -> None:
        # These two are about connections; here they have nothing to act on.
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
        # Lost, as datagrams are: nobody listens, the buffer is full, or the route was closed.
        return
