"""State of leases, changed by `lease_flow`."""

from __future__ import annotations

from msgspec import Struct, field

from turmericweir_core.records.lease_record import LeaseRecord, LeaseScope
from turmericweir_core.state.lease_ledger import LeaseLedger


class HeldLease(Struct, frozen=True):
    """A lease held by this instance, until a time of this instance's clock."""

    fence: int
    # Counted from the time when its newest record was sent.
    expires_at: float
    # When this instance got the fencing number.
    held_since: float
    # It was taken over from another instance, which may not have noticed yet.
    is_taken_over: bool


class SentBatch(Struct, frozen=True):
    """An append in flight."""

    token: str
    sent_at: float
    records: tuple[LeaseRecord, ...]


class LeaseState(Struct):
    """The leases of this instance, and the ledger of all leases."""

    ledger: LeaseLedger = field(default_factory=LeaseLedger)
    # Scopes that this instance wants to hold, and since when. Without any, the stream is not read.
    wanted: dict[LeaseScope, float] = field(default_factory=dict)
    held_leases: dict[LeaseScope, HeldLease] = field(default_factory=dict)
    # Scopes whose lease was dropped because a server had received a higher fencing number. It is
    # not renewed because a renewal keeps the same number.
    dropped: set[LeaseScope] = field(default_factory=set)
    # The holder's notes for its successors, by scope; written with the next record.
    notes: dict[LeaseScope, object] = field(default_factory=dict)
    # Held scopes with no work at present: their leases may expire, and the stream is not read.
    idle_scopes: set[LeaseScope] = field(default_factory=set)
    # Orders under a lease that may still take effect, by token, and until when.
    unsettled_orders: dict[LeaseScope, dict[str, float]] = field(default_factory=dict)
    in_flight: SentBatch | None = None
    # When each record of this instance was sent, by number. Its arrival in the log may be observed
    # much later.
    record_sent_at: dict[int, float] = field(default_factory=dict)
    # Number of this instance's newest record.
    number: int = 0
    # Consecutive failed appends, and when the next may be made.
    failures: int = 0
    retry_at: float = 0.0
    # When the pending read was sent; None if none is pending.
    reading_since: float | None = None
    next_read_at: float = 0.0
