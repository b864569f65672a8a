"""Limits on the requests per second that backend servers announce in their answers."""

from __future__ import annotations

from typing import Final

from msgspec import Struct, field

from turmericweir_core.base.ids import InstanceName, ServerName, Target
from turmericweir_core.state.loan_state import Loan, LoanAsks

_NEVER: Final = float("-inf")


class RecentDemand(Struct):
    """The requests per second for a target at this instance, as of the last one."""

    service: str
    rate_s: float
    counted_at: float


class AnnouncedLimit(Struct):
    """The newest statement of one incarnation of a server on its limit, and this instance's use."""

    incarnation: str
    # Requests per second from all instances together; None if the server lifted its limit.
    requests_s: float | None
    # When an answer with this statement was last received, here or at a peer.
    announced_at: float
    # When this instance learned of the present value.
    changed_at: float
    # Requests that this instance may send now, as of a time; negative after requests that could not
    # wait.
    tokens: float = 0.0
    filled_at: float = 0.0
    # This instance's share: tokens per second and their maximum number. 0.0 if only others send.
    share_s: float = 0.0
    burst: float = 0.0
    # The value of `AnnouncedLimits.sharers_version` for which the share was computed.
    sharers_version: int = -1
    # The instances that have a share, and the version of the sharers for which that holds.
    senders: tuple[InstanceName, ...] = ()
    senders_version: int = -1
    # Tokens of other instances that this one may use, and own ones that others may use.
    borrowed: list[Loan] = field(default_factory=list)
    lent: list[Loan] = field(default_factory=list)
    # Since when a token has been available.
    available_since: float | None = None


class AnnouncedLimits(Struct):
    """The newest statements of all servers that have announced a limit."""

    by_server: dict[ServerName, AnnouncedLimit] = field(default_factory=dict)
    # The instances that share the limits, by region, the regions that have servers of each service,
    # and how many instances are assumed at least; a change increments the version.
    sharers: dict[str, tuple[InstanceName, ...]] = field(default_factory=dict)
    regions_by_service: dict[str, frozenset[str]] = field(default_factory=dict)
    sharers_min: int = 1
    sharers_version: int = 0
    next_sharers_update_at: float = _NEVER
    # The demand for targets whose servers may be limited, admitted or not.
    demand: dict[Target, RecentDemand] = field(default_factory=dict)
    asks: LoanAsks = field(default_factory=LoanAsks)
    # Position in the statements, for sending them to peers in turn.
    next_row: int = 0
