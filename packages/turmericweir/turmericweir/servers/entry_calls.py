"""Calls to servers that belong to no caller's request, where each is paid for: connecting alone."""

from __future__ import annotations

from collections import Counter
from typing import Final

from turmericweir.process.node import Node
from turmericweir.servers.backend_attempt import connects
from turmericweir.servers.backend_pool import BackendPool
from turmericweir_core.base.ids import ServerName
from turmericweir_core.messages.effects import DistrustConnections, ProbeServer, SendOrder
from turmericweir_core.messages.events import ServerAnswered, ServerUnreachable

# A second try begins before the first has failed: one packet may be lost, and two take as long.
_TRIES_AT_ONCE: Final = 2


class EntryCalls:
    """Finds out whether a server that failed can be connected to again."""

    _node: Node
    _pool: BackendPool
    # Tries under way, by server.
    _trying: Counter[ServerName]

    def __init__(self, pool: BackendPool) -> None:
        self._pool = pool
        self._trying = Counter()

    def attach(self, node: Node) -> None:
        """Take the node whose effects these are; it is made after its adapters."""
        self._node = node

    def probe(self, effect: ProbeServer) -> None:
        """Connect to a server in the background."""
        if self._trying[effect.server] < _TRIES_AT_ONCE:
            self._trying[effect.server] += 1
            self._node.in_background(self._try, effect)

    async def _try(self, effect: ProbeServer) -> None:
        try:
            works = await connects(self._pool, effect.address)
        finally:
            self._trying[effect.server] -= 1
            if not self._trying[effect.server]:
                del self._trying[effect.server]
        if works:
            self._node.handle(ServerAnswered(effect.server))
        else:
            self._node.handle(ServerUnreachable(effect.server, "no connection"))

    def distrust(self, effect: DistrustConnections) -> None:
        """Use no connection again that is open to a server now."""
        self._pool.distrust(effect.address)

    def order(self, effect: SendOrder) -> None:
        """Refuse: servers take their orders from elsewhere here."""
        raise RuntimeError(f"an order for {effect.server} arose where none are given")
