"""State of the credit policy: credit held at servers, and credit granted as a dispatcher.

`credit` describes the policy. Tiers are the numbers of the service classes, 0 the most urgent.
"""

from __future__ import annotations

from typing import Final

from msgspec import Struct, field

from turmericweir_core.base.ids import InstanceName, ServerName
from turmericweir_core.messages.credit_messages import TierDemand

NEVER: Final = float("-inf")


class HeldCredit(Struct):
    """The credit that this instance holds at one server."""

    # The instance to which demands are sent.
    dispatcher: InstanceName
    # Number of the newest demand.
    seq: int = 0
    # When each demand that no grant has answered yet was sent, by number.
    sent_at: dict[int, float] = field(default_factory=dict)
    # The newest demand that was answered, and when it was sent.
    answered_seq: int = 0
    answered_at: float = NEVER
    # Content of the newest demand, and when it was made.
    newest_demand: tuple[TierDemand, ...] = ()
    demand_sent_at: float = NEVER
    # Slots by tier, and how many of them only that tier may use.
    slots: dict[int, int] = field(default_factory=dict)
    assured: dict[int, int] = field(default_factory=dict)
    # Number of the newest grant received; demands confirm it.
    grant_number: int = 0
    # Counted from the time when the answered demand was sent.
    valid_until: float = NEVER
    # The dispatcher requests a report of every change of this instance's demand.
    is_contended: bool = False
    # The dispatcher has recalled credit and waits for this instance's confirmation.
    needs_confirmation: bool = False
    # Attempts of tiers above `displace_above` are displaced until this many are left; None for no
    # displacement. A number of remaining attempts makes a repeated grant idempotent.
    attempts_to_keep: int | None = None
    displace_above: int = 0
    # Until then the instance uses only its local counts.
    fallback_until: float = NEVER
    # When a request last ran on the server or waited for it.
    used_at: float = NEVER


class CreditHolding(Struct):
    """The dispatcher's record of one instance that uses a server."""

    seq: int
    received_at: float
    demand: dict[int, TierDemand] = field(default_factory=dict)
    # Slots of the newest grant, by tier.
    granted: dict[int, int] = field(default_factory=dict)
    assured: dict[int, int] = field(default_factory=dict)
    number: int = 0
    # Number of the newest grant that the instance confirmed.
    confirmed: int = 0
    # Maximum number of slots in any grant newer than the confirmed one.
    unconfirmed: int = 0
    # The server's concurrency limit, as computed by that instance.
    limit: int = 0
    # The contention flag of the newest grant, and the newest load report passed on.
    is_contended: bool = False
    load_seq: int = -1
    load_at: float = NEVER
    load_leaving: bool = False
    # Displacement sent with the newest grant; see `HeldCredit.attempts_to_keep`.
    attempts_to_keep: int | None = None
    displace_above: int = 0
    # Recent use, slot seconds; among equal demands the instance with the least use comes first.
    used_s: float = 0.0
    # Time up to which the use is counted.
    used_at: float = 0.0

    def total(self) -> int:
        """Return the number of slots in the newest grant."""
        return sum(self.granted.values())

    def running(self) -> int:
        """Return the number of running attempts that the instance reported."""
        return sum(demand.running for demand in self.demand.values())

    def usable(self) -> int:
        """Return the slots that the instance may use, whichever of its grants it has received."""
        return max(self.total(), self._unconfirmed())

    def committed(self) -> int:
        """Return the slots that may be in use, granted or not."""
        return max(self.usable(), self.running())

    def committed_below(self, most_urgent: int) -> int:
        """Return the slots that may be in use by all tiers but the most urgent one."""
        granted = sum(slots for tier, slots in self.granted.items() if tier != most_urgent)
        running = sum(
            demand.running for demand in self.demand.values() if demand.tier != most_urgent
        )
        unconfirmed = self._unconfirmed() - self.granted.get(most_urgent, 0)
        return max(granted, running, unconfirmed)

    def _unconfirmed(self) -> int:
        return self.unconfirmed if self.confirmed < self.number else 0


class CreditLedger(Struct):
    """Credit for one server, granted by this instance as its dispatcher."""

    holdings: dict[InstanceName, CreditHolding] = field(default_factory=dict)
    # Slot seconds accrued by tiers that wait without a slot; negative while they are repaid.
    accrued_slot_s: dict[int, float] = field(default_factory=dict)
    # Tiers that currently have an assured slot.
    assured_tiers: set[int] = field(default_factory=set)
    # Since when some instance's demand exceeds its grant; None if none does.
    short_since: float | None = None
    # Until then instances report every change, because demand recently exceeded capacity.
    contended_until: float = NEVER
    settled_at: float = NEVER
    # Settlements since the last tick.
    settlements: int = 0
    # When expired credit and changes of capacity are checked next.
    next_check_at: float = NEVER
    # A settlement was postponed because the last one was very recent.
    is_settlement_pending: bool = False


class CreditState(Struct):
    """State of both sides of the credit policy."""

    held_by_server: dict[ServerName, HeldCredit] = field(default_factory=dict)
    granted_by_server: dict[ServerName, CreditLedger] = field(default_factory=dict)
    # Live instances that are not leaving, by data centre, as of the last tick.
    live_by_data_centre: dict[str, tuple[InstanceName, ...]] = field(default_factory=dict)
    next_live_update_at: float = NEVER
    # All live instances, including leaving ones: these hold credit until their attempts have ended.
    live_instances: frozenset[InstanceName] = frozenset()
    # Dispatchers by server; emptied when `live_by_data_centre` changes.
    dispatchers: dict[ServerName, InstanceName | None] = field(default_factory=dict)
    # Servers where this instance runs more attempts than it now has credit for.
    recalled_servers: set[ServerName] = field(default_factory=set)
    # Servers whose dispatchers have been sent a demand for waiting requests.
    demanded_servers: set[ServerName] = field(default_factory=set)
    # Credit was lost at several servers: until then it is requested in the subset's order.
    in_subset_order_until: float = NEVER
    # Rate limit: demands allowed now, and when that was computed; None before the first demand.
    demands_left: float | None = None
    demands_left_at: float = 0.0
    # Demands postponed by the rate limit, demands sent and grants accepted, for the state dump.
    demands_put_off: int = 0
    demands_sent: int = 0
    grants_taken: int = 0
