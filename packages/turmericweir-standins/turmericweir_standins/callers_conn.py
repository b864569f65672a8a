"""The callers' connections: a list of entry addresses as a balancer would use it.

Each entry has a small list of idle connections; a busy one is never shared, and connections beyond
the list are closed after their call. A call goes to another entry only when its connection could
not be made, which proves that nothing of it was sent; the callers never send a call twice.
"""

from __future__ import annotations

import enum
import random
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from typing import Final

import httpcore

from turmericweir_standins.callers_net import CallerBackend

# Shorter than a server keeps idle connections, so that the callers are the ones who close them.
IDLE_EXPIRY_S: Final = 2.0
IDLE_MAX: Final = 16
_BACKEND: Final = CallerBackend()


class Balance(enum.StrEnum):
    """How the balancer picks an entry for a call."""

    ROUND_ROBIN = "round-robin"
    RANDOM = "random"


class Entry:
    """One entry address with its idle connections."""

    # `ip:port`.
    address: str
    _origin: httpcore.Origin
    # The connection that was used last is last, so that surplus ones expire.
    _idle: list[httpcore.AsyncHTTPConnection]
    _idle_max: int

    def __init__(self, address: str, idle_max: int) -> None:
        host, _, port = address.rpartition(":")
        self.address = address
        self._origin = httpcore.Origin(b"http", host.encode("ascii"), int(port))
        self._idle = []
        self._idle_max = idle_max

    def url(self, path: str) -> httpcore.URL:
        """Return the URL of a path at this entry."""
        origin = self._origin
        return httpcore.URL(
            scheme=origin.scheme, host=origin.host, port=origin.port, target=path.encode("ascii")
        )

    @asynccontextmanager
    async def connection(self, fresh: bool) -> AsyncIterator[httpcore.AsyncHTTPConnection]:
        """Lend a connection, an idle one unless a fresh one is asked for."""
        conn = None if fresh else await self._take_idle()
        if conn is None:
            conn = httpcore.AsyncHTTPConnection(
                self._origin, keepalive_expiry=IDLE_EXPIRY_S, network_backend=_BACKEND
            )
        try:
            yield conn
        finally:
            if conn.is_idle() and len(self._idle) < self._idle_max:
                self._idle.append(conn)
            else:
                await conn.aclose()

    async def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            await self._idle.pop().aclose()

    async def _take_idle(self) -> httpcore.AsyncHTTPConnection | None:
        while self._idle:
            conn = self._idle.pop()
            if not conn.has_expired():
                return conn
            await conn.aclose()
        return None


class Balancer:
    """Pick an entry for each call."""

    _entries: list[Entry]
    _balance: Balance
    _random: random.Random
    # Counts the calls for round robin.
    _turn: int
    _idle_max: int

    def __init__(
        self, addresses: Sequence[str], balance: Balance, seed: int, idle_max: int = IDLE_MAX
    ) -> None:
        self._idle_max = idle_max
        self._entries = [Entry(address, idle_max) for address in addresses]
        self._balance = balance
        self._random = random.Random(f"{seed}/balancer")
        self._turn = 0

    @property
    def addresses(self) -> list[str]:
        """The entry addresses in use."""
        return [entry.address for entry in self._entries]

    async def set_addresses(self, addresses: Sequence[str]) -> None:
        """Use these addresses for new calls, as when the balancer notices a change."""
        removed = [entry for entry in self._entries if entry.address not in addresses]
        kept = {entry.address: entry for entry in self._entries}
        self._entries = [
            kept.get(address) or Entry(address, self._idle_max) for address in addresses
        ]
        for entry in removed:
            await entry.close()

    def pick(self) -> list[Entry]:
        """Return all entries in the order in which a call tries to connect to them."""
        count = len(self._entries)
        if self._balance is Balance.RANDOM:
            first = self._random.randrange(count)
        else:
            first = self._turn % count
            self._turn += 1
        return self._entries[first:] + self._entries[:first]

    async def close(self) -> None:
        """Close the idle connections of all entries."""
        for entry in self._entries:
            await entry.close()
