"""Exit codes of `turmericctl`, and the error that ends a command with one of them."""

from __future__ import annotations

from enum import IntEnum


class ExitCode(IntEnum):
    """Exit status of the process, as documented in the help."""

    OK = 0
    # A conflict, a missing permission, an unknown name, or differences found by `diff`.
    REFUSED = 1
    # Wrong usage or an invalid value; the same status as that of click.
    INVALID = 2
    # The instance, the platform's log or a data centre cannot be reached.
    UNREACHABLE = 3


class CommandError(Exception):
    """Ends the command with a message and an exit code."""

    def __init__(self, code: ExitCode, message: str) -> None:
        super().__init__(message)
        self.code = code
