"""Liveness evidence from the connections to each server."""

from __future__ import annotations

from typing import Final

from msgspec import Struct, field

from turmericweir_core.base.ids import ServerName

_NEVER: Final = float("-inf")


class ServerLiveness(Struct):
    """Liveness evidence of one server."""

    # The longest recent time between tokens.
    longest_gap_s: float = 0.0
    # When the newest token of any running attempt was received, by tier.
    newest_token_at: dict[int, float] = field(default_factory=dict)
    # When a probe was last requested because an attempt is overdue.
    suspected_at: float = _NEVER
    # When the newest probe that the server answered immediately was sent.
    answered_probe_at: float = _NEVER
    # Number of requests that the server reported in that answer.
    answered_count: int = 0
    # When a connection to it was last declared lost.
    lost_at: float = _NEVER


class LivenessState(Struct):
    """Liveness evidence of all servers that this instance uses."""

    by_server: dict[ServerName, ServerLiveness] = field(default_factory=dict)
    # Servers with overdue attempts, as of the newest tick.
    overdue: set[ServerName] = field(default_factory=set)
    # When a connection was last declared lost while attempts on other servers were overdue too.
    lost_together_at: float = _NEVER
    # When all idle connections were last discarded.
    idle_discarded_at: float = _NEVER
    # Time of the newest tick.
    checked_at: float = _NEVER
