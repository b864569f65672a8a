"""What the credit policy keeps: credit held at servers, and credit given out as a dispatcher.

See `credit` for how it works. Tiers are the numbers of the service classes, 0 the most urgent.
"""

from __future__ import annotations

from typing import Final

from msgspec import Struct, field

from turmericweir_core.base.ids import InstanceName, ServerName
from turmericweir_core.messages.peer_messages import TierDemand

NEVER: Final = float("-inf")


class HeldCredit(Struct):
    """The credit that this instance holds at one server."""

    # Whom the demands go to; a change of it is a change of dispatcher.
    dispatcher: InstanceName
    # Number of the newest demand.
    seq: int = 0
    # When the demands were sent that no grant has answered yet, by number.
    sent_at: dict[int, float] = field(default_factory=dict)
    # The newest demand that was answered, and when it had been sent.
    answered_seq: int = 0
    answered_at: float = NEVER
    # What the newest demand said.
    asked: tuple[TierDemand, ...] = ()
    asked_at: float = NEVER
    # Slots by tier, and those of them that only their own tier may use.
    slots: dict[int, int] = field(default_factory=dict)
    assured: dict[int, int] = field(default_factory=dict)
    # Number of the newest grant; the demands confirm it.
    grant_number: int = 0
    # Counted from when the demand was sent that the grant answers.
    valid_until: float = NEVER
    # The dispatcher wants to hear of every change of what this instance needs.
    contended: bool = False
    # The dispatcher has called credit back and waits to hear that this instance saw it.
    confirm: bool = False
    # Attempts of tiers above the number make way until this many are left; None for none. How many
    # are left, and not how many go, so that a grant that is repeated stops nothing more.
    keep: int | None = None
    displace_above: int = 0
    # Until then the instance goes by its own counts.
    fallback_until: float = NEVER
    # When a request last ran there or waited for it.
    used_at: float = NEVER


class Holding(Struct):
    """What the dispatcher of a server knows of one instance that uses it."""

    seq: int
    heard_at: float
    demand: dict[int, TierDemand] = field(default_factory=dict)
    # What was granted last, by tier.
    granted: dict[int, int] = field(default_factory=dict)
    assured: dict[int, int] = field(default_factory=dict)
    number: int = 0
    # Number of the newest grant that the instance confirmed.
    confirmed: int = 0
    # Slots at the most of all grants that are newer than the confirmed one.
    unconfirmed: int = 0
    # The server's limit, as the instance observes it.
    limit: int = 0
    # What the newest grant said of contention, and the newest load report passed on.
    contended: bool = False
    load_seq: int = -1
    load_at: float = NEVER
    load_leaving: bool = False
    # What it was told of attempts that make way; see `HeldCredit.keep`.
    keep: int | None = None
    displace_above: int = 0
    # Slot seconds that it used of late; who used least comes first among equals.
    used_s: float = 0.0
    # Up to when that is counted.
    used_at: float = 0.0

    def total(self) -> int:
        """Sum the slots that were granted last."""
        return sum(self.granted.values())

    def running(self) -> int:
        """Sum what it said to run."""
        return sum(each.running for each in self.demand.values())

    def usable(self) -> int:
        """Give the slots that it may use, whichever of its grants it knows of."""
        return max(self.total(), self._unconfirmed())

    def committed(self) -> int:
        """Give the slots that may be in use, with or without a grant for them."""
        return max(self.usable(), self.running())

    def committed_below(self, most_urgent: int) -> int:
        """Give the slots that tiers below the most urgent one may have in use."""
        granted = sum(slots for tier, slots in self.granted.items() if tier != most_urgent)
        running = sum(each.running for each in self.demand.values() if each.tier != most_urgent)
        unconfirmed = self._unconfirmed() - self.granted.get(most_urgent, 0)
        return max(granted, running, unconfirmed)

    def _unconfirmed(self) -> int:
        return self.unconfirmed if self.confirmed < self.number else 0


class Ledger(Struct):
    """Credit for one server, given out by this instance as its dispatcher."""

    holdings: dict[InstanceName, Holding] = field(default_factory=dict)
    # Slot seconds saved up by crowded-out tiers; negative while they are paid back.
    saved: dict[int, float] = field(default_factory=dict)
    # Tiers that have a slot of their own at present.
    assured: set[int] = field(default_factory=set)
    # Since when somebody wants more than was granted; None while nobody does.
    short_since: float | None = None
    # Demand was above the capacity so recently that instances report every change.
    contended_until: float = NEVER
    settled_at: float = NEVER
    # Settlements since the last tick.
    settlements: int = 0
    # When lapsed credit and a changed capacity are looked for next.
    look_due: float = NEVER
    # A settlement was put off because the last one was a moment ago.
    unsettled: bool = False


class CreditState(Struct):
    """Both sides of the credit policy."""

    held: dict[ServerName, HeldCredit] = field(default_factory=dict)
    given: dict[ServerName, Ledger] = field(default_factory=dict)
    # Live instances by data centre, as of the last tick; who is leaving is left out.
    live: dict[str, tuple[InstanceName, ...]] = field(default_factory=dict)
    live_due: float = NEVER
    # The same with those that leave: they hold credit until what they run has ended.
    alive: frozenset[InstanceName] = frozenset()
    # Dispatchers by server; emptied when `live` changes.
    dispatchers: dict[ServerName, InstanceName | None] = field(default_factory=dict)
    # Servers where this instance runs more than it now has credit for.
    recalled: set[ServerName] = field(default_factory=set)
    # Servers whose dispatchers were last told that something waits.
    asking: set[ServerName] = field(default_factory=set)
    # Credit was lost at more than one server: until then it is asked for in the subset's order.
    stays_until: float = NEVER
    # Demands that may be sent now, as of a time; None until the first one.
    demands_left: float | None = None
    demands_at: float = 0.0
    # Demands sent, put off for want of budget, and grants taken, for the state dump.
    demands_put_off: int = 0
    demands_sent: int = 0
    grants_taken: int = 0
