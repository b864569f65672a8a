"""Credits: slots of servers, leased by one dispatcher per server."""

from __future__ import annotations

from msgspec import Struct


class TierDemand(Struct, frozen=True, array_like=True):
    """Running and waiting requests of an instance for a server at one tier."""

    tier: int
    running: int
    # Requests that could go to this server; a waiting request is counted for several servers.
    waiting: int
    # Waiting requests that may preempt less urgent work here; each is counted for one server only.
    displacing: int = 0


class CreditDemand(Struct, frozen=True, array_like=True):
    """Requests slots of this server; sent on changes, and periodically as a renewal."""

    server: str
    # Increases with each demand for the server; 1 is the first since the sender started.
    seq: int
    # The newest grant that the sender received, or 0.
    grant_number: int
    # The server's limit, as observed by the sender.
    limit: int
    tiers: list[TierDemand] = []


class TierGrant(Struct, frozen=True, array_like=True):
    """Slots for one tier; the assured ones are reserved for this tier."""

    tier: int
    slots: int
    assured: int


class ServerLoad(Struct, frozen=True, array_like=True):
    """A server's load report, forwarded to save the receivers their own probes."""

    incarnation: str
    seq: int
    running: int
    waiting: int
    slots: int
    kv_used: int
    kv_total: int
    models: list[str]
    leaving: bool
    fence: int


class CreditGrant(Struct, frozen=True, array_like=True):
    """Grants slots of this server; replaces every grant with a lower number."""

    server: str
    # The newest demand that the dispatcher had received; `ttl_s` counts from its sending.
    demand_seq: int
    grant_number: int
    ttl_s: float
    # Demand exceeds the capacity; the receiver must report every change of its demand.
    is_contended: bool
    # Attempts of tiers numbered above `displace_above` are preempted until this many are left; None
    # for no preemption.
    attempts_to_keep: int | None
    displace_above: int
    tiers: list[TierGrant] = []
    # Present only if it is new to the receiver.
    load: ServerLoad | None = None
