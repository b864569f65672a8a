"""Processor time of single processes and of the whole machine, read from /proc.

A measurement that saturates the machine measures the machine. So the measuring programs take the
processor time of each process that they started, and of everything together, and print it.
"""

from __future__ import annotations

import os
from pathlib import Path
from typing import Final

_TICKS_PER_S: Final = os.sysconf("SC_CLK_TCK")
# Places of the user and the system time in /proc/<pid>/stat, counted after the command's name.
_USER: Final = 11
_SYSTEM: Final = 12
# Places of the idle and the waiting time in the first line of /proc/stat.
_IDLE: Final = 3
_IO_WAIT: Final = 4


def process_cpu_s(pid: int) -> float:
    """Return the processor time that a process has used; 0 once it is gone."""
    try:
        text = Path(f"/proc/{pid}/stat").read_text(encoding="ascii", errors="replace")
    except FileNotFoundError:
        return 0.0
    # The name of the command stands in parentheses and may hold blanks.
    values = text.rpartition(")")[2].split()
    return (int(values[_USER]) + int(values[_SYSTEM])) / _TICKS_PER_S


def machine_busy_s() -> float:
    """Return the processor time that all processes of the machine have used."""
    first = Path("/proc/stat").read_text(encoding="ascii").partition("\n")[0]
    values = [int(value) for value in first.split()[1:]]
    # The guests' time, from the ninth on, is contained in the user time.
    busy = sum(values[:8]) - values[_IDLE] - values[_IO_WAIT]
    return busy / _TICKS_PER_S
