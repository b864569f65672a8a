"""What the rate limits of customers and teams keep; see `limit` for how they work.

A *subject* is one limited customer or team. Of each, an instance holds a share of the limit
(`Holding`), and the subject's home knows who asked for shares (`HomeSubject`). Both are soft: a new
home learns of the shares from those who hold them.
"""

from __future__ import annotations

from math import exp, inf, sqrt
from typing import Final, NewType

from msgspec import Struct, field

from turmericweir_core.base.ids import InstanceName, RequestId

# Names a customer or team on the wire and in both tables.
SubjectKey = NewType("SubjectKey", str)

NEVER: Final = -inf
NOBODY: Final = InstanceName("")
_CUSTOMER: Final = "c:"
_TEAM: Final = "t:"


def customer_key(name: str) -> SubjectKey:
    """Name a customer as a subject."""
    return SubjectKey(_CUSTOMER + name)


def team_key(name: str) -> SubjectKey:
    """Name a team as a subject."""
    return SubjectKey(_TEAM + name)


def is_team(key: SubjectKey) -> bool:
    """Tell whether a subject is a team."""
    return key.startswith(_TEAM)


def subject_name(key: SubjectKey) -> str:
    """Give the customer's or team's own name."""
    return key[len(_TEAM) :]


class Bucket(Struct):
    """A token bucket that admits while it is not empty and may go into debt by one request.

    With debt, a request that costs more than the bucket holds is not refused for ever, and a share
    of a fraction of a request a second still lets whole requests through.
    """

    rate: float
    depth: float
    level: float
    at: float

    def refill(self, now: float) -> None:
        """Add what has come in since the last look."""
        if now > self.at:
            self.level = min(self.depth, self.level + (now - self.at) * self.rate)
            self.at = now

    def set_rate(self, now: float, rate: float, depth: float) -> None:
        """Go on at another rate; what has come in so far counts at the old one."""
        self.refill(now)
        self.rate = rate
        self.depth = depth
        self.level = min(self.level, depth)

    def wait_s(self) -> float:
        """Give the time until the bucket admits again."""
        if self.level > 0:
            return 0.0
        return inf if self.rate <= 0 else -self.level / self.rate


class Demand(Struct):
    """What callers ask for, whether it is admitted or not: two averages of different memory.

    The slow one is steady but late. The fast one notices a burst or its end, and counts only as far
    as chance does not explain it: with a request every 17 s at each of 320 instances, every single
    arrival would otherwise look like a burst and cost a message.
    """

    at: float
    slow: float = 0.0
    fast: float = 0.0
    # Mean size of one arrival: 1 for requests, the predicted length for tokens.
    unit: float = 1.0

    def decay(self, now: float, slow_s: float, fast_s: float) -> None:
        """Let both averages fade up to a time."""
        passed = now - self.at
        if passed > 0:
            self.slow *= exp(-passed / slow_s)
            self.fast *= exp(-passed / fast_s)
            self.at = now

    def add(self, size: float, slow_s: float, fast_s: float) -> None:
        """Count an arrival, after `decay`."""
        self.slow += size / slow_s
        self.fast += size / fast_s

    def rate(self, fast_s: float, sigmas: float) -> float:
        """Estimate the demand a second."""
        spread = sigmas * sqrt(self.fast * self.unit / fast_s)
        least = self.fast - spread
        # The last term is what may be hidden by an average that has seen nothing.
        most = self.fast + spread + sigmas**2 * self.unit / fast_s
        return max(least, min(self.slow, most))


class Quantity(Struct):
    """One limited quantity of a subject at this instance: requests or tokens."""

    bucket: Bucket
    demand: Demand
    # The demand that the home was told last.
    told: float = 0.0


class Holding(Struct):
    """This instance's share of one subject's limit."""

    # None where the quantity is not limited.
    requests: Quantity | None = None
    tokens: Quantity | None = None
    # Whom the share is from; empty before the first ask.
    home: InstanceName = NOBODY
    # The home has granted a share, which is worth something until then.
    valid_until: float = NEVER
    # An ask is due again after this time.
    ask_due: float = NEVER
    # An ask is out that no grant has answered; the next wait for an answer.
    asked_at: float | None = None
    answer_wait_s: float = 0.0
    # When a request of the subject last came.
    used_at: float = NEVER

    def quantities(self) -> list[Quantity]:
        """List the limited quantities."""
        return [each for each in (self.requests, self.tokens) if each is not None]


class Claim(Struct):
    """What one instance asks for of one quantity, and what it was granted last."""

    demand: float = 0.0
    granted: float = 0.0


class Asker(Struct):
    """What the home knows of one instance that holds a share."""

    heard_at: float = NEVER
    requests: Claim = field(default_factory=Claim)
    tokens: Claim = field(default_factory=Claim)


class HomeSubject(Struct):
    """What the home of a subject knows."""

    # When this instance first acted as its home.
    since: float
    askers: dict[InstanceName, Asker] = field(default_factory=dict)
    # The shares are divided anew, and those that shrank are called back, after this time.
    push_due: float = NEVER
    # Some demand has changed since the last push.
    changed: bool = False


class Charge(Struct):
    """What one request took from its subjects, settled at its end."""

    keys: tuple[SubjectKey, ...]
    tokens: float


class Reach(Struct):
    """Who takes part, as last looked up."""

    at: float = NEVER
    # Names and peer addresses of the live instances.
    addresses: dict[InstanceName, str] = field(default_factory=dict)
    # Share of each limit that this side of a partition may hand out.
    part: float = 1.0
    # Instances that each limit is split over where no home answers.
    split: int = 1
    # Home of each subject, by rendezvous hashing over the live instances.
    homes: dict[SubjectKey, InstanceName] = field(default_factory=dict)


class LimitState(Struct):
    """Everything that the limits keep on one instance."""

    held: dict[SubjectKey, Holding] = field(default_factory=dict)
    home: dict[SubjectKey, HomeSubject] = field(default_factory=dict)
    charges: dict[RequestId, Charge] = field(default_factory=dict)
    reach: Reach = field(default_factory=Reach)
    # Subjects that had a request since the last tick.
    touched: set[SubjectKey] = field(default_factory=set)
    # All holdings are looked through again after this time.
    scan_due: float = NEVER
    # Requests refused, for the state dump.
    refused: int = 0
