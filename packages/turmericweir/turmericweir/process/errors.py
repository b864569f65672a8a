"""Errors of the daemon, each with the step that failed and the peer.

The peer is a file, a backend server, the platform or another instance. Adapters convert the errors
of their libraries to these types for logging.
"""

from __future__ import annotations


class DaemonError(Exception):
    """A failed step of an exchange with a peer."""

    def __init__(self, step: str, peer: str, detail: str) -> None:
        super().__init__(f"{step} with {peer}: {detail}")
        # The step in one or two words, such as "connect" or "read settings".
        self.step = step
        # An address, a name or a file.
        self.peer = peer
        # The cause, for the log.
        self.detail = detail


class SettingsFileError(DaemonError):
    """The settings file of the process is missing or invalid."""


class SettingsNotWholeError(SettingsFileError):
    """The settings file is absent, unreadable or incomplete, as it is while it is replaced."""


class ListenError(DaemonError):
    """The process cannot listen on an address."""


class AddressUnavailableError(ListenError):
    """Another socket has the address, or the machine has no address or no socket for now."""


class StartStoppedError(DaemonError):
    """The process was asked to stop while a step of its start was retried."""


class CallError(DaemonError):
    """A call to a backend server or the platform returned no usable answer."""

    def __init__(self, step: str, peer: str, detail: str, *, was_sent: bool) -> None:
        super().__init__(step, peer, detail)
        # Whether the first byte was written, after which the peer may have run the call.
        self.was_sent = was_sent


class UnsendableError(CallError):
    """A call cannot be written as HTTP, so nothing of it was sent; its peer is not at fault."""

    def __init__(self, peer: str, detail: str) -> None:
        super().__init__("make request", peer, detail, was_sent=False)


class PeerError(DaemonError):
    """A frame from another instance is invalid, or a stream to it broke."""


def describe_error(exc: BaseException) -> str:
    """Return a one-line description of an error, even if its text is empty."""
    text = str(exc)
    name = type(exc).__name__
    return f"{name}: {text}" if text else name
