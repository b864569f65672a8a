"""How `turmericctl` tells its caller what came of a command."""

from __future__ import annotations

from enum import IntEnum


class ExitCode(IntEnum):
    """The status of the process; explained in the help."""

    OK = 0
    # A conflict, a missing right, nothing of that name; differences, for `diff`.
    REFUSED = 1
    # Wrong usage or an invalid value; click uses the same number.
    INVALID = 2
    # The instance, the log or a data centre.
    UNREACHABLE = 3


class CommandError(Exception):
    """The command ends here, with a message and a status."""

    def __init__(self, code: ExitCode, message: str) -> None:
        super().__init__(message)
        self.code = code
