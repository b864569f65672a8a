"""Limits on the requests per second that backend servers announce in their answers."""

from __future__ import annotations

from msgspec import Struct, field

from turmericweir_core.base.ids import ServerName


class AnnouncedLimit(Struct):
    """The newest statement of one incarnation of a server on its limit."""

    incarnation: str
    # Requests per second from all instances together; None if the server lifted its limit.
    requests_s: float | None
    # When an answer with this statement was last received, here or at a peer.
    announced_at: float


class AnnouncedLimits(Struct):
    """The newest statements of all servers that have announced a limit."""

    by_server: dict[ServerName, AnnouncedLimit] = field(default_factory=dict)
