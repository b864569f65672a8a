"""Work served for each customer, by class, and the totals of the other instances."""

from __future__ import annotations

from typing import TypeAlias

from msgspec import Struct, field

from turmericweir_core.base.ids import AttemptId, InstanceName, Target
from turmericweir_core.messages.fair_share_messages import ClassShare, CustomerShare

_NEVER = float("-inf")

# A target and the name of a class.
ClassKey: TypeAlias = tuple[Target, str]


class CustomerUse(Struct):
    """What one customer was served in a class by this instance; decayed."""

    decayed_at: float
    served_ms: float = 0.0
    # Work counted besides, so that a customer that was idle has saved up little.
    lifted_ms: float = 0.0
    # For operators: requests refused for its share, and the average wait of those that started.
    refused: int = 0
    wait_s: float = 0.0


class PeerShares(Struct, frozen=True):
    """The shares in one class that another instance reported."""

    received_at: float
    customers: dict[str, CustomerShare]


class ClassShares(Struct):
    """The customers of one class."""

    customers: dict[str, CustomerUse] = field(default_factory=dict)
    # The total of the other instances.
    others: PeerShares | None = None
    # Until when customers count as competing.
    contended_until: float = _NEVER


class Charge(Struct, frozen=True):
    """Work counted for an attempt at its start, corrected at its end."""

    key: ClassKey
    customer: str
    prefill_ms: float
    slot_ms: float


class ReportedShares(Struct, frozen=True):
    """The report of an instance that this one sums up."""

    received_at: float
    classes: list[ClassShare]
    is_group: bool


class FairShareState(Struct):
    """State of `fair_share` and `fair_share_reports`."""

    classes: dict[ClassKey, ClassShares] = field(default_factory=dict)
    # Work of the attempts that run.
    charges: dict[AttemptId, Charge] = field(default_factory=dict)
    # Reports of the instances that this one sums up.
    reports: dict[InstanceName, ReportedShares] = field(default_factory=dict)
    next_report_at: float = _NEVER
    # The instance that sums up for this one, when it was first asked since it last answered, and
    # one that did not answer, with the time until which it is avoided.
    summed_by: InstanceName | None = None
    asked_at: float | None = None
    avoided: InstanceName | None = None
    avoided_until: float = _NEVER
    # Customers with metrics of their own; a bounded number.
    counted_customers: set[str] = field(default_factory=set)
