"""Signals in series, sent to a process until it is gone."""

from __future__ import annotations

import contextlib
import os
import signal
import time
from random import Random
from typing import Final

from turmericweir_standins.procs import Process

SIGNALS: Final = (signal.SIGTERM, signal.SIGHUP, signal.SIGINT)
# Without pauses the process would have no time for anything else.
_PAUSE_MIN_S: Final = 0.001


def signal_until_gone(process: Process, rng: Random, pause_max_s: float) -> None:
    """Send signals in random order, with pauses, until the process is gone."""
    # Another thread may wait for the process, whose number the system then uses again.
    with contextlib.suppress(ProcessLookupError):
        descriptor = os.pidfd_open(process.pid)
        try:
            while process.is_running:
                signal.pidfd_send_signal(descriptor, rng.choice(SIGNALS))
                time.sleep(rng.uniform(_PAUSE_MIN_S, pause_max_s))
        finally:
            os.close(descriptor)
