"""Open a new connection to a server without sending anything on it."""

from __future__ import annotations

from typing import Final

import anyio
import httpcore

from turmericweir.servers.backend_pool import BackendConnection, BackendPool, Via
from turmericweir_core.messages.effects import ProbeServer, StartAttempt

# Time limit for a connection attempt, if the server is not known to be slow: some round trips
# between data centres.
CONNECT_PROBE_S: Final = 0.3
# The same by way of a peer.
CARRIED_PROBE_S: Final = 0.5


def via_of(effect: StartAttempt | ProbeServer) -> Via | None:
    """Return the peer by way of which to connect, or None to connect directly."""
    return Via(effect.via_address, effect.server) if effect.via_address else None


async def check_connection(pool: BackendPool, address: str, via: Via | None = None) -> None:
    """Open a new connection to a server and add it to the pool; raise TRANSPORT_ERRORS."""
    if via is None:
        conn = await pool.acquire(address, idle_max_s=0.0, quick_limit_s=CONNECT_PROBE_S)
    else:
        conn = await _acquire_carried(pool, address, via)
    await pool.release(address, conn)


async def _acquire_carried(pool: BackendPool, address: str, via: Via) -> BackendConnection:
    try:
        with anyio.fail_after(CARRIED_PROBE_S):
            return await pool.acquire(address, idle_max_s=0.0, via=via)
    except TimeoutError:
        raise httpcore.ConnectTimeout(f"no connection within {CARRIED_PROBE_S} s") from None
