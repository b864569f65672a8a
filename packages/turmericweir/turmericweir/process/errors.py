"""Errors of the daemon; each carries the step and the peer at which it arose.

A peer here is whatever stands at the other end: a file, a backend server, the platform, another
instance. Adapters turn the errors of their libraries into these, so that a log line can always say
what was being done with whom.
"""

from __future__ import annotations


class DaemonError(Exception):
    """A failure at one step of an exchange with one peer."""

    def __init__(self, step: str, peer: str, detail: str) -> None:
        super().__init__(f"{step} with {peer}: {detail}")
        # What was being done, as one word or two: "connect", "read settings".
        self.step = step
        # With whom: an address, a name or a file.
        self.peer = peer
        # What went wrong, for a reader of the log.
        self.detail = detail


class SettingsFileError(DaemonError):
    """The process's own settings file cannot be used."""


class ListenError(DaemonError):
    """An address of this process cannot be listened on."""


class CallError(DaemonError):
    """A call to a backend server or the platform brought no usable answer."""

    def __init__(self, step: str, peer: str, detail: str, *, sent: bool) -> None:
        super().__init__(step, peer, detail)
        # The first byte went out, so the other end may have done what was asked.
        self.sent = sent


class PeerError(DaemonError):
    """A frame of another instance cannot be understood, or a stream to it broke."""


def describe(exc: BaseException) -> str:
    """Describe any error in one line, also those whose text is empty."""
    text = str(exc)
    name = type(exc).__name__
    return f"{name}: {text}" if text else name
