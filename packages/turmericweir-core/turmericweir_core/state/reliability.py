"""How often each server has recently failed requests of this instance.

A server may fail some requests while it reports that it is healthy, so only the results of this
instance's requests are used. Placement treats servers whose failure rate is well above the usual
one as more loaded. Failures decay, so that a server that was avoided is used again.
"""

from __future__ import annotations

from math import exp
from typing import Final

from msgspec import Struct, field

from turmericweir_core.base.ids import ServerName

# Time constant of the decay: long compared with the time between requests to a server, short
# compared with the time for which a server should be avoided.
_DECAY_TIME_S: Final = 4.0
# Weight of the prior, in requests. Prevents a single failure from making a server look bad.
_PRIOR_REQUESTS: Final = 3.0
# Share of failures that is normal for a service.
_USUAL_FAILURE_SHARE: Final = 0.2


class FailureCounts(Struct):
    """Decayed counts of requests to one server."""

    updated_at: float = 0.0
    tried: float = 0.0
    failed: float = 0.0


class ReliabilityState(Struct):
    """Failure counts of all servers that this instance has used."""

    by_server: dict[ServerName, FailureCounts] = field(default_factory=dict)


def note_end(state: ReliabilityState, now: float, server: ServerName, *, failed: bool) -> None:
    """Record the result of a request."""
    record = state.by_server.setdefault(server, FailureCounts(updated_at=now))
    decay = exp((record.updated_at - now) / _DECAY_TIME_S)
    record.tried = record.tried * decay + 1.0
    record.failed = record.failed * decay + float(failed)
    record.updated_at = now


def excess_failures(state: ReliabilityState, now: float, server: ServerName) -> float:
    """Return the share of failures above the usual one, 0..1."""
    record = state.by_server.get(server)
    if record is None:
        return 0.0
    decay = exp((record.updated_at - now) / _DECAY_TIME_S)
    share = record.failed * decay / (record.tried * decay + _PRIOR_REQUESTS)
    return max(
        0.0,
        share
        - _USUAL_FAILURE_SHARE * record.tried * decay / (record.tried * decay + _PRIOR_REQUESTS),
    )


def forget(state: ReliabilityState, server: ServerName) -> None:
    """Discard the counts of a server that restarted or is gone."""
    state.by_server.pop(server, None)
