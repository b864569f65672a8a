"""An event loop whose clock goes on while the machine is suspended.

Failure: a machine sleeps for some seconds. The usual clock does not count them, so on waking every
lease, deadline and proof still looks as young as before, and a key that was taken away meanwhile is
served on. With this clock all ages are true at the first event after waking.
"""

from __future__ import annotations

import asyncio
import time


class BootClockLoop(asyncio.SelectorEventLoop):
    """The usual loop by another clock."""

    def time(self) -> float:
        """Give the time since the machine was started, seconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
