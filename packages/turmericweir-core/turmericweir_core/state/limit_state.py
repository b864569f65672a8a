"""State of the rate limits of customers and teams; `limit` describes how they work.

A *subject* is one limited customer or team. Each instance holds a share of a subject's limit
(`HeldShare`), and the subject's home records which instances asked for shares (`HomeSubject`). Both
are soft state: a new home learns of the shares from the instances that hold them.
"""

from __future__ import annotations

from math import exp, inf, sqrt
from typing import Final, NewType

from msgspec import Struct, field

from turmericweir_core.base.ids import InstanceName, RequestId

# Identifies a customer or team in messages and in both tables.
SubjectKey = NewType("SubjectKey", str)

NEVER: Final = -inf
NO_HOME: Final = InstanceName("")
_CUSTOMER_PREFIX: Final = "c:"
_TEAM_PREFIX: Final = "t:"


def customer_key(name: str) -> SubjectKey:
    """Return the subject key of a customer."""
    return SubjectKey(_CUSTOMER_PREFIX + name)


def team_key(name: str) -> SubjectKey:
    """Return the subject key of a team."""
    return SubjectKey(_TEAM_PREFIX + name)


def is_team(key: SubjectKey) -> bool:
    """Return whether a subject is a team."""
    return key.startswith(_TEAM_PREFIX)


def subject_name(key: SubjectKey) -> str:
    """Return the name of the customer or team."""
    return key[len(_TEAM_PREFIX) :]


class Bucket(Struct):
    """A token bucket that admits while it is not empty and may go into debt by one request.

    The debt allows a request that costs more than the bucket's depth, and whole requests at a rate
    below one request per second.
    """

    rate: float
    depth: float
    level: float
    refilled_at: float

    def refill(self, now: float) -> None:
        """Add the tokens accrued since the last refill."""
        if now > self.refilled_at:
            self.level = min(self.depth, self.level + (now - self.refilled_at) * self.rate)
            self.refilled_at = now

    def set_rate(self, now: float, rate: float, depth: float) -> None:
        """Change the rate and depth, after a refill at the old rate."""
        self.refill(now)
        self.rate = rate
        self.depth = depth
        self.level = min(self.level, depth)

    def wait_s(self) -> float:
        """Return the time until the bucket admits again."""
        if self.level > 0:
            return 0.0
        return inf if self.rate <= 0 else -self.level / self.rate


class DemandAverage(Struct):
    """Demand of callers, admitted or not: a slow and a fast moving average.

    The slow average is stable but lags. The fast one detects the start and the end of a burst, but
    is used only beyond its statistical error. Prevents single arrivals at a low rate from being
    taken for bursts, each of which would cause a message.
    """

    decayed_at: float
    slow: float = 0.0
    fast: float = 0.0
    # Mean size of an arrival: 1 for requests, the predicted length for tokens.
    unit: float = 1.0

    def decay(self, now: float, slow_s: float, fast_s: float) -> None:
        """Decay both averages up to a time."""
        elapsed_s = now - self.decayed_at
        if elapsed_s > 0:
            self.slow *= exp(-elapsed_s / slow_s)
            self.fast *= exp(-elapsed_s / fast_s)
            self.decayed_at = now

    def add(self, size: float, slow_s: float, fast_s: float) -> None:
        """Count an arrival. Call `decay` first."""
        self.slow += size / slow_s
        self.fast += size / fast_s

    def rate(self, fast_s: float, sigmas: float) -> float:
        """Return the estimated demand per second."""
        spread = sigmas * sqrt(self.fast * self.unit / fast_s)
        lower_bound = self.fast - spread
        # The last term is the demand that is possible although no arrival was observed.
        upper_bound = self.fast + spread + sigmas**2 * self.unit / fast_s
        return max(lower_bound, min(self.slow, upper_bound))


class Quantity(Struct):
    """One limited quantity of a subject at this instance: requests or tokens."""

    bucket: Bucket
    demand: DemandAverage
    # The demand last reported to the home.
    reported_demand: float = 0.0


class HeldShare(Struct):
    """This instance's share of one subject's limit."""

    # None if the quantity is not limited.
    requests: Quantity | None = None
    tokens: Quantity | None = None
    # The home that granted the share; empty before the first query.
    home: InstanceName = NO_HOME
    # End of validity of the granted share.
    valid_until: float = NEVER
    # When the next query is sent.
    next_query_at: float = NEVER
    # When the pending query was sent, if any, and how long to wait for the next answer.
    query_sent_at: float | None = None
    answer_wait_s: float = 0.0
    # When the last request of the subject arrived.
    used_at: float = NEVER

    def quantities(self) -> list[Quantity]:
        """Return the limited quantities."""
        return [quantity for quantity in (self.requests, self.tokens) if quantity is not None]


class QuantityGrant(Struct):
    """One instance's demand for one quantity, and its last grant."""

    demand: float = 0.0
    granted: float = 0.0


class ShareHolder(Struct):
    """The home's record of one instance that holds a share."""

    received_at: float = NEVER
    requests: QuantityGrant = field(default_factory=QuantityGrant)
    tokens: QuantityGrant = field(default_factory=QuantityGrant)


class HomeSubject(Struct):
    """State of a subject at its home."""

    # When this instance became its home.
    home_since: float
    share_holders: dict[InstanceName, ShareHolder] = field(default_factory=dict)
    # When the shares are next recomputed and reduced shares are recalled.
    next_push_at: float = NEVER
    # Some demand has changed since the last recomputation.
    has_changed_demand: bool = False


class Charge(Struct):
    """Tokens charged for one request to its subjects, corrected when the request ends."""

    keys: tuple[SubjectKey, ...]
    tokens: float


class LimitParticipants(Struct):
    """The participating instances, as last determined."""

    updated_at: float = NEVER
    # Names and peer addresses of the live instances.
    addresses: dict[InstanceName, str] = field(default_factory=dict)
    # Fraction of each limit that this side of a network partition may grant.
    partition_share: float = 1.0
    # Number of instances among which a limit is divided if its home does not answer.
    split: int = 1
    # Home of each subject, by rendezvous hashing over the live instances.
    homes: dict[SubjectKey, InstanceName] = field(default_factory=dict)


class RateLimits(Struct):
    """State of the rate limits of an instance."""

    held_shares: dict[SubjectKey, HeldShare] = field(default_factory=dict)
    home: dict[SubjectKey, HomeSubject] = field(default_factory=dict)
    charges: dict[RequestId, Charge] = field(default_factory=dict)
    participants: LimitParticipants = field(default_factory=LimitParticipants)
    # Subjects that had a request since the last tick.
    touched_subjects: set[SubjectKey] = field(default_factory=set)
    # When all holdings are next checked.
    next_scan_at: float = NEVER
    # Number of refused requests, for the state dump.
    refused: int = 0
