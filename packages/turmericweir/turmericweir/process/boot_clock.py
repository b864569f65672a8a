"""An event loop whose clock includes the time in which the machine was suspended.

Prevents leases, deadlines and freshness proofs from appearing fresh after a suspension, and keys
that were revoked meanwhile from being accepted.
"""

from __future__ import annotations

import asyncio
import time


class BootClockLoop(asyncio.SelectorEventLoop):
    """The selector event loop with the boot-time clock."""

    def time(self) -> float:
        """Return the time since the machine was started, in seconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
