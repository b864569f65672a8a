"""The ledger of leases: a fold over the `leases` stream that gives every reader the same result.

A record is valid if there is no other record of its scope, valid or not, between the offset up to
which its writer had read and its own offset. So the first of two competing records wins. A renewal
that arrives after another instance's grant is void, as is a grant whose writer missed a renewal.
A valid record replaces the lease of its scope, since its writer had read everything before it.

The condition depends only on records from `upto` on. A reader can therefore start at the end of the
stream. Before it takes a scope whose lease it has not read, it waits (`free_at`): by then a live
holder has renewed its lease, and any other lease has expired.

If the log retains the newest record of each scope, a reader starts with these records
(`start_from_newest`). Such a log supports conditional appends, so every record in it was valid when
it was written.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, Final

from msgspec import Struct, field
from msgspec.structs import replace

from turmericweir_core.messages.events import LogRecord
from turmericweir_core.records.lease_record import (
    NO_OFFSET,
    LeaseAction,
    LeaseRecord,
    LeaseScope,
    decode,
)

# Bits of an offset in a fencing number; the era stands above them.
_OFFSET_BITS: Final = 32


class Lease(Struct):
    """The newest lease of a scope that this reader has read."""

    fence: int
    instance: str
    incarnation: str
    lease_s: float
    # When this reader read the newest grant or renewal, by its own clock. Always after it was sent.
    read_at: float
    released: bool = False
    # The reader has read all records on which the validity of that record depends.
    is_sure: bool = True
    # Note of the holder for its successors.
    note: Any = None


class LeaseLedger(Struct):
    """The leases of all scopes, up to an offset."""

    # The era of the store to which the offsets belong; 0 if it states none.
    era: int = 0
    # The offset at which this reader started, and when; None before the start.
    start: int | None = None
    started_at: float = 0.0
    # The newest record of every scope was read at the start, so other scopes have no records.
    has_all_scopes: bool = False
    # The store came back from a copy, which may lack records of any scope.
    is_copied: bool = False
    # Offset of the next record to fold.
    offset: int = 0
    # When `offset` was last known to be the end of the stream.
    caught_up_at: float = float("-inf")
    leases: dict[LeaseScope, Lease] = field(default_factory=dict)
    # Offset of the newest record of each scope, valid or not.
    last_offsets: dict[LeaseScope, int] = field(default_factory=dict)


class LeaseFoldResult(Struct, frozen=True):
    """The result of folding one record."""

    # None if the record was malformed.
    record: LeaseRecord | None
    is_valid: bool
    # The reader has read all records on which the validity of this record depends. Otherwise it may
    # only wait for the lease to expire and never act on it.
    is_sure: bool = False


def start_at_end(ledger: LeaseLedger, offset: int, now: float) -> None:
    """Start or restart at the end of the stream, discarding all leases."""
    ledger.start = offset
    ledger.started_at = now
    ledger.offset = offset
    ledger.has_all_scopes = False
    ledger.is_copied = False
    ledger.leases.clear()
    ledger.last_offsets.clear()


def start_from_newest(
    ledger: LeaseLedger, now: float, newest: Iterable[LogRecord], end: int
) -> list[int]:
    """Start with the newest record of each scope; return the offsets of malformed records."""
    start_at_end(ledger, end, now)
    ledger.has_all_scopes = True
    malformed = []
    for log_record in newest:
        record = decode(log_record.value)
        if record is None:
            malformed.append(log_record.offset)
            continue
        ledger.last_offsets[record.scope] = log_record.offset
        ledger.leases[record.scope] = _lease_from_record(
            now, ledger.era, log_record.offset, record, is_sure=True
        )
    return malformed


def forget_certainty(ledger: LeaseLedger) -> None:
    """Wait for the longest lease of every scope, as records may be missing or void."""
    ledger.has_all_scopes = False
    ledger.is_copied = True
    for scope, lease in ledger.leases.items():
        ledger.leases[scope] = replace(lease, released=False, is_sure=False)


def fold(ledger: LeaseLedger, now: float, offset: int, value: object) -> LeaseFoldResult:
    """Fold the next record of the stream, read at time `now` of this reader's clock."""
    ledger.offset = offset + 1
    record = decode(value)
    if record is None:
        return LeaseFoldResult(None, is_valid=False)
    previous_offset = ledger.last_offsets.get(record.scope, NO_OFFSET)
    ledger.last_offsets[record.scope] = offset
    # A record of an earlier era was sent before the store came back from a copy.
    is_late = 0 < record.era < ledger.era
    if is_late or previous_offset >= record.upto or record.upto > offset:
        return LeaseFoldResult(record, is_valid=False)
    is_sure = ledger.start is not None and record.upto >= ledger.start
    ledger.leases[record.scope] = _lease_from_record(
        now, ledger.era, offset, record, is_sure=is_sure
    )
    return LeaseFoldResult(record, is_valid=True, is_sure=is_sure)


def has_all_records(ledger: LeaseLedger) -> bool:
    """Return whether a scope without a lease here has never had one."""
    return (ledger.start == 0 and not ledger.is_copied) or ledger.has_all_scopes


def fence_of(era: int, offset: int) -> int:
    """Return the fencing number of a grant; it is above those of all earlier eras."""
    return (max(0, era - 1) << _OFFSET_BITS) + offset


def _lease_from_record(
    now: float, era: int, offset: int, record: LeaseRecord, *, is_sure: bool
) -> Lease:
    return Lease(
        fence=fence_of(era, offset) if record.act is LeaseAction.GRANT else record.fence,
        instance=record.instance,
        incarnation=record.incarnation,
        lease_s=record.lease_s,
        read_at=now,
        # An unsure release may be void, so the lease may still be held.
        released=record.act is LeaseAction.RELEASE and is_sure,
        is_sure=is_sure,
        note=record.note,
    )


def free_at(ledger: LeaseLedger, scope: LeaseScope, lease_s: float, margin_s: float) -> float:
    """Return the time from which on no other instance can assume that it holds the lease.

    Prevents two instances from sending orders at once to a server that ignores fencing numbers. The
    holder counts from before it sent its record, and this reader from after reading it, so the
    holder's lease ends first. The margin covers clocks that run at different speeds.
    """
    lease = ledger.leases.get(scope)
    if lease is None:
        if has_all_records(ledger):
            # All relevant records were read, so there has been no lease.
            return float("-inf")
        return ledger.started_at + lease_s + margin_s
    if lease.released:
        return float("-inf")
    return lease.read_at + max(lease.lease_s, lease_s) + margin_s
