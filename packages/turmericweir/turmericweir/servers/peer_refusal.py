"""The errors of a peer that opened no connection to a server."""

from __future__ import annotations

import httpcore


class PeerRefusedError(httpcore.ConnectError):
    """The peer answered that it has no connection to the server."""


class PeerDeclinedError(httpcore.ConnectError):
    """The peer did not try to connect, for example because it stops.

    Says nothing about the server.
    """
