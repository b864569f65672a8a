"""The callers' connections and a simple load balancer over entry addresses.

Each entry has a small pool of idle connections; busy connections are not shared, and surplus ones
are closed after their call. A call uses another entry only if its connection could not be opened,
since nothing of it was sent then.
"""

from __future__ import annotations

import enum
import random
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from typing import Final

import httpcore

from turmericweir_standins.callers_net import CallerBackend

# Shorter than the keep-alive time of servers: the callers close idle connections first.
IDLE_EXPIRY_S: Final = 2.0
IDLE_MAX: Final = 16
_BACKEND: Final = CallerBackend()


class Balance(enum.StrEnum):
    """How the balancer selects an entry for a call."""

    ROUND_ROBIN = "round-robin"
    RANDOM = "random"


class Entry:
    """One entry address with its idle connections."""

    # `ip:port`.
    address: str
    _origin: httpcore.Origin
    # Idle connections, the most recently used last; surplus ones expire.
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
        """Provide a connection for one call: an idle one, or a new one if `fresh` is set."""
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
    """Select an entry for each call."""

    _entries: list[Entry]
    _balance: Balance
    _random: random.Random
    # Number of calls, for round robin.
    _call_count: int
    _idle_max: int

    def __init__(
        self, addresses: Sequence[str], balance: Balance, seed: int, idle_max: int = IDLE_MAX
    ) -> None:
        self._idle_max = idle_max
        self._entries = [Entry(address, idle_max) for address in addresses]
        self._balance = balance
        self._random = random.Random(f"{seed}/balancer")
        self._call_count = 0

    @property
    def addresses(self) -> list[str]:
        """The entry addresses in use."""
        return [entry.address for entry in self._entries]

    async def set_addresses(self, addresses: Sequence[str]) -> None:
        """Use these addresses for new calls."""
        removed = [entry for entry in self._entries if entry.address not in addresses]
        entries_by_address = {entry.address: entry for entry in self._entries}
        self._entries = [
            entries_by_address.get(address) or Entry(address, self._idle_max)
            for address in addresses
        ]
        for entry in removed:
            await entry.close()

    def pick(self) -> list[Entry]:
        """Return all entries in the order in which a call tries them."""
        count = len(self._entries)
        if self._balance is Balance.RANDOM:
            first = self._random.randrange(count)
        else:
            first = self._call_count % count
            self._call_count += 1
        return self._entries[first:] + self._entries[:first]

    async def close(self) -> None:
        """Close the idle connections of all entries."""
        for entry in self._entries:
            await entry.close()
