"""The Python stacks of a process that a library in C ends.

Switched on by the program before the daemon is imported, so this imports nothing of it.
"""

from __future__ import annotations

import contextlib
import faulthandler
import sys
from typing import TextIO


def enable_fatal_traces() -> None:
    """Write the stacks of all threads to standard error at a fatal signal."""
    # Python sets none if the file is closed at the start.
    stderr: TextIO | None = sys.stderr
    if stderr is None:
        return
    # A stream without a file, or that was closed since.
    with contextlib.suppress(OSError, ValueError):
        faulthandler.enable(stderr, all_threads=True)
