"""Hold what was seen of the connections of each server."""

from __future__ import annotations

from typing import Final

from msgspec import Struct, field

from turmericweir_core.base.ids import ServerName

_NEVER: Final = float("-inf")


class ServerSigns(Struct):
    """What was seen of one server's connections."""

    # The longest time between tokens of late.
    longest_gap: float = 0.0
    # The newest token of any running attempt, by tier.
    newest_token: dict[int, float] = field(default_factory=dict)
    # When a probe was last wanted for something overdue there.
    suspected_at: float = _NEVER
    # When the newest probe was sent that the server answered at once.
    answers_at: float = _NEVER
    # The requests that it counted then.
    answered_count: int = 0
    # When a connection to it was last found lost.
    lost_at: float = _NEVER


class SignState(Struct):
    """The signs of every server that this instance uses."""

    by_server: dict[ServerName, ServerSigns] = field(default_factory=dict)
    # Servers with overdue attempts, as of the newest tick.
    overdue: set[ServerName] = field(default_factory=set)
    # When one was last found lost while attempts at other servers were overdue as well.
    lost_together_at: float = _NEVER
    # When all kept connections were last given up.
    distrusted_at: float = _NEVER
    # The newest tick.
    looked_at: float = _NEVER
