"""Connection probes of servers, for platforms that charge for each call.

A probe opens a connection and sends nothing.
"""

from __future__ import annotations

from collections import Counter
from typing import Final

from turmericweir.process.errors import describe_error
from turmericweir.process.node import Node
from turmericweir.servers.backend_call import TRANSPORT_ERRORS
from turmericweir.servers.backend_pool import BackendPool
from turmericweir.servers.new_connection import check_connection, via_of
from turmericweir.servers.peer_refusal import PeerDeclinedError
from turmericweir_core.base.ids import InstanceName, ServerName
from turmericweir_core.messages.effects import ProbeServer, RetireConnections, SendOrder
from turmericweir_core.messages.events import ServerAnswered, ServerUnreachable

# Allows a second probe while the first waits for a lost packet.
_MAX_CONCURRENT_PROBES: Final = 2


class ConnectionProbes:
    """Checks whether a server that failed accepts connections again."""

    _node: Node
    _pool: BackendPool
    # Number of running probes by server and peer.
    _probe_counts: Counter[tuple[ServerName, InstanceName]]

    def __init__(self, pool: BackendPool) -> None:
        self._pool = pool
        self._probe_counts = Counter()
        pool.note_late_connect = self._note_late_connect

    def attach(self, node: Node) -> None:
        """Set the node, which is created after its adapters."""
        self._node = node

    def probe(self, effect: ProbeServer) -> None:
        """Start a connection probe in the background."""
        path = (effect.server, effect.via)
        if self._probe_counts[path] < _MAX_CONCURRENT_PROBES:
            self._probe_counts[path] += 1
            self._node.run_in_background(self._run_probe, effect)

    async def _run_probe(self, effect: ProbeServer) -> None:
        path = (effect.server, effect.via)
        error = ""
        is_declined = False
        try:
            await check_connection(self._pool, effect.address, via_of(effect))
        except TRANSPORT_ERRORS as exc:
            error = describe_error(exc)
            is_declined = isinstance(exc, PeerDeclinedError)
        finally:
            self._probe_counts[path] -= 1
            if not self._probe_counts[path]:
                del self._probe_counts[path]
        if error:
            self._node.handle(ServerUnreachable(effect.server, error, effect.via, is_declined))
        else:
            self._node.handle(ServerAnswered(effect.server, effect.via))

    def _note_late_connect(self, address: str) -> None:
        """Report the server at an address as reached, though later than a time limit."""
        for server in list(self._node.state.servers.by_name.values()):
            if server.entry.address == address:
                self._node.handle(ServerAnswered(server.entry.name))

    def retire_connections(self, effect: RetireConnections) -> None:
        """Stop reusing the connections that are open to a server now."""
        self._pool.retire_connections(effect.address)

    def order(self, effect: SendOrder) -> None:
        """Raise an error, since on this platform instances send no orders to servers."""
        raise RuntimeError(f"cannot send an order to {effect.server}: this platform has none")
