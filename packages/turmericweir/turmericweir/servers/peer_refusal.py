"""The error of a peer that could not connect to a server."""

from __future__ import annotations

import httpcore


class PeerRefusedError(httpcore.ConnectError):
    """The peer answered that it has no connection to the server."""
