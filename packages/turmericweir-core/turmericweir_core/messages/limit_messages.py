"""Limits: shares of rate limits, leased by one home per customer or team."""

from __future__ import annotations

from msgspec import Struct


class LimitDemand(Struct, frozen=True, array_like=True):
    """Demand of an instance for one limited customer or team, per second."""

    key: str
    requests: float
    tokens: float
    # The share that the sender already has, or 0.
    held_requests: float
    held_tokens: float


class LimitAsk(Struct, frozen=True, array_like=True):
    """Requests shares of these limits; sent on changes of demand, and periodically as a renewal."""

    demands: list[LimitDemand] = []


class LimitShare(Struct, frozen=True, array_like=True):
    """A share of one limit, per second; negative if the quantity is not limited."""

    key: str
    requests: float
    tokens: float


class LimitGrant(Struct, frozen=True, array_like=True):
    """Grants these shares; each replaces the previous one."""

    shares: list[LimitShare] = []
