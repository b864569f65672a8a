"""Which backend servers are brittle, and what this instance learnt of their room."""

from __future__ import annotations

from typing import Final

from msgspec import Struct, field

from turmericweir_core.base.ids import ServerName

_NEVER: Final = float("-inf")


class BrittleStatement(Struct):
    """The newest statement of one incarnation of a server."""

    incarnation: str
    # Refusals for want of room that it bears in a second; None if it is not brittle any more.
    refusals_s: float | None
    # When an answer that said so was last received, here or at a peer, and when it changed here.
    stated_at: float
    changed_at: float


class LearntRoom(Struct):
    """The share of a server's slots that is used after it refused requests."""

    share: float
    # When the share was computed; it grows again from then on.
    computed_at: float


class SharerTurn(Struct, frozen=True):
    """The place of this instance among those that share the slots of a server."""

    # The value of `AnnouncedLimits.sharers_version` for which it was computed.
    sharers_version: int
    sharers: int
    place: int


class RequestSample(Struct, frozen=True):
    """How many requests this instance had at a server, and one sample before."""

    taken_at: float
    count: int
    previous_count: int


class BrittleState(Struct):
    """The statements of all servers, and the room of those that refused requests."""

    by_server: dict[ServerName, BrittleStatement] = field(default_factory=dict)
    rooms: dict[ServerName, LearntRoom] = field(default_factory=dict)
    turns: dict[ServerName, SharerTurn] = field(default_factory=dict)
    samples: dict[ServerName, RequestSample] = field(default_factory=dict)
    # The services with a brittle server and the refusals a second that each of their servers bears;
    # computed for one time.
    services: dict[str, float] = field(default_factory=dict)
    services_at: float = _NEVER
    next_row: int = 0

    def forget(self, name: ServerName) -> None:
        """Drop all that is known of a server."""
        self.by_server.pop(name, None)
        self.rooms.pop(name, None)
        self.turns.pop(name, None)
        self.samples.pop(name, None)
