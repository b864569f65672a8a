"""Standard streams of a process that was started with some of them closed.

The system gives the lowest free descriptor to the next file or socket. Without a placeholder a
socket can get the descriptor of standard output, and log lines would be sent to a peer.
"""

from __future__ import annotations

import os
import sys
from typing import Final

_STANDARD_FDS: Final = (0, 1, 2)


def reserve_standard_streams() -> None:
    """Open the null device in place of each standard stream that is closed."""
    for fd in _STANDARD_FDS:
        if not _is_open(fd):
            # Gets the lowest free descriptor, which is this one.
            os.open(os.devnull, os.O_RDWR)
    # None if the descriptor was closed when the interpreter started.
    if sys.stdin is None:
        sys.stdin = open(0, closefd=False, encoding="utf-8")  # noqa: SIM115
    if sys.stdout is None:
        sys.stdout = open(1, "w", closefd=False, encoding="utf-8")  # noqa: SIM115
    if sys.stderr is None:
        sys.stderr = open(  # noqa: SIM115
            2, "w", closefd=False, encoding="utf-8", errors="backslashreplace"
        )


def _is_open(fd: int) -> bool:
    try:
        os.fstat(fd)
    except OSError:
        return False
    return True
