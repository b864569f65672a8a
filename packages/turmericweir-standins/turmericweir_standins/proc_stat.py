"""Processor time of single processes and of the whole machine, read from /proc.

The measuring programs print it with their results: a run that saturates the machine does not
measure the software.
"""

from __future__ import annotations

import os
from pathlib import Path
from typing import Final

_TICKS_PER_S: Final = os.sysconf("SC_CLK_TCK")
# Indexes of the user and the system time in /proc/<pid>/stat, counted after the command's name.
_USER_INDEX: Final = 11
_SYSTEM_INDEX: Final = 12
# Indexes of the idle time and the I/O wait in the first line of /proc/stat.
_IDLE_INDEX: Final = 3
_IO_WAIT_INDEX: Final = 4


def process_cpu_s(pid: int) -> float:
    """Return the processor time that a process has used; 0 after its end."""
    try:
        text = Path(f"/proc/{pid}/stat").read_text(encoding="ascii", errors="replace")
    except FileNotFoundError:
        return 0.0
    # The name of the command is in parentheses and may contain blanks.
    values = text.rpartition(")")[2].split()
    return (int(values[_USER_INDEX]) + int(values[_SYSTEM_INDEX])) / _TICKS_PER_S


def machine_busy_s() -> float:
    """Return the processor time that all processes of the machine have used."""
    first = Path("/proc/stat").read_text(encoding="ascii").partition("\n")[0]
    values = [int(value) for value in first.split()[1:]]
    # The guest time, from the ninth value on, is included in the user time.
    busy = sum(values[:8]) - values[_IDLE_INDEX] - values[_IO_WAIT_INDEX]
    return busy / _TICKS_PER_S
