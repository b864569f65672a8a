"""State of duties, i.e. tasks that one instance at a time does for all."""

from __future__ import annotations

from msgspec import Struct, field

from turmericweir_core.base.ids import InstanceName
from turmericweir_core.records.usage_note import UsageNote
from turmericweir_core.state.membership_state import Member

NEVER = float("-inf")


class DutySettings(Struct, frozen=True):
    """Which duties exist, and the platform's requirements for their holder."""

    reports_usage: bool
    orders_servers: bool
    # Length of a usage window, and the time after its end by which it must be reported, seconds.
    window_s: float
    late_s: float
    # Calls per second that the platform accepts from all instances together.
    calls_per_s: float
    # The platform rejects calls whose fencing number is below one that it has received.
    checks_fence: bool


class ReportedUsage(Struct):
    """The counts reported by one incarnation of an instance."""

    seq: int
    open_window: int
    received_at: float
    windows: dict[int, dict[str, int]] = field(default_factory=dict)


class UsageRecords(Struct):
    """The counts of all instances, and which of them were reported to the platform."""

    # By name and incarnation. The counts of an incarnation stay valid after its end.
    counts_by_incarnation: dict[tuple[InstanceName, str], ReportedUsage] = field(
        default_factory=dict
    )
    # Messages of this instance: their counter, when the next is sent and when the last was sent.
    seq: int = 0
    next_send_at: float = NEVER
    sent_at: float = NEVER
    sent_window: int | None = None
    # Recipients of the newest message; other instances are sent all stored windows.
    sent_to: frozenset[InstanceName] = frozenset()
    # The first window that this instance reports if none has been reported.
    first_window: int | None = None
    # Fencing number of the lease under which this instance asks the others for their counts, those
    # that have answered since, and when the others are asked again.
    asked_fence: int | None = None
    asked_at: float = NEVER
    answered: set[InstanceName] = field(default_factory=set)
    next_ask_at: float = NEVER
    # The newest note that was read, and the one that the ledger held when it was compared last.
    note: UsageNote = UsageNote()
    written_note: object = None
    # The newest settled window that this holder has announced to the candidates.
    announced_newest: int | None = None
    # Windows whose reports the platform has accepted, as far as this instance knows.
    reported: set[int] = field(default_factory=set)
    # Token and window of the call in flight, and when the next call may be made.
    call_in_flight: tuple[str, int] | None = None
    next_call_at: float = NEVER
    failures: int = 0
    # Windows of the calls without an answer in time, by token; the answer may still come.
    late_calls: dict[str, int] = field(default_factory=dict)


class CapacityOrder(Struct):
    """The newest order of servers of one kind in one data centre."""

    count: int
    ordered_at: float
    # The platform has accepted it.
    is_accepted: bool = False
    # No servers of this kind are available before this time.
    unavailable_until: float = NEVER


class CapacityState(Struct):
    """Orders of servers, by service, data centre and whether they are spot servers."""

    orders: dict[tuple[str, str, bool], CapacityOrder] = field(default_factory=dict)
    calls_in_flight: dict[str, tuple[str, str, bool]] = field(default_factory=dict)
    # Highest recent number of engines that a service needed, and when it was computed.
    recent_need: dict[str, tuple[int, float]] = field(default_factory=dict)
    # Servers in each data centre of a service at the first check of this instance.
    initial_servers: dict[str, dict[str, int]] = field(default_factory=dict)
    # Since when this instance has tracked the demand without interruption.
    tracked_since: float | None = None
    next_check_at: float = NEVER


class DutyState(Struct):
    """State of all duties."""

    settings: DutySettings
    # Number of the newest call of this instance.
    number: int = 0
    # Instances that may hold the lease, in fallback order, and when they are determined again.
    candidates: list[Member] = field(default_factory=list)
    next_candidates_at: float = NEVER
    # When a status of a holder that can do the work was last received.
    holder_seen_at: float | None = None
    # Incarnation and fencing number of the newest lease of another instance.
    foreign_lease: tuple[str, int] | None = None
    # When this instance next announces that it holds the lease.
    next_status_at: float = NEVER
    # Since when this instance, as the holder, cannot do the work; None while it can.
    failing_since: float | None = None
    # It does not request the lease before this time, because it failed as the holder.
    barred_until: float = NEVER
    usage: UsageRecords = field(default_factory=UsageRecords)
    capacity: CapacityState = field(default_factory=CapacityState)
