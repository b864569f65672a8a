"""How often each server has failed this instance's own requests of late.

A server may fail part of its requests while it answers that it is healthy, so only what became of
own requests counts. Servers that fail markedly more often than a service's usual share of errors
look more loaded to placement. A failure is forgotten with time, so that a server which was left
alone is tried again.
"""

from __future__ import annotations

from math import exp
from typing import Final

from msgspec import Struct, field

from turmericweir_core.base.ids import ServerName

# Memory of what became of requests. Long against the distance of a server's requests at one
# instance, short against the time for which a server is worth avoiding.
_MEMORY_S: Final = 4.0
# Requests that stand for the usual share of failures until there are more: one failure alone says
# little about a server.
_PRIOR: Final = 3.0
# Share of failures that services show in the ordinary course (14 in 100 for one kind of call), and
# that is not held against a server.
_USUAL_SHARE: Final = 0.2


class ServerRecord(Struct):
    """Decayed counts of one server."""

    at: float = 0.0
    tried: float = 0.0
    failed: float = 0.0


class ReliabilityState(Struct):
    """The records of all servers that this instance has used."""

    by_server: dict[ServerName, ServerRecord] = field(default_factory=dict)


def note_end(state: ReliabilityState, now: float, server: ServerName, *, failed: bool) -> None:
    """Count what became of a request."""
    record = state.by_server.setdefault(server, ServerRecord(at=now))
    fade = exp((record.at - now) / _MEMORY_S)
    record.tried = record.tried * fade + 1.0
    record.failed = record.failed * fade + float(failed)
    record.at = now


def excess_failures(state: ReliabilityState, now: float, server: ServerName) -> float:
    """Give the share of failures above the usual, 0..1."""
    record = state.by_server.get(server)
    if record is None:
        return 0.0
    fade = exp((record.at - now) / _MEMORY_S)
    share = record.failed * fade / (record.tried * fade + _PRIOR)
    return max(0.0, share - _USUAL_SHARE * record.tried * fade / (record.tried * fade + _PRIOR))


def forget(state: ReliabilityState, server: ServerName) -> None:
    """Begin afresh with a server that restarted or is gone."""
    state.by_server.pop(server, None)
