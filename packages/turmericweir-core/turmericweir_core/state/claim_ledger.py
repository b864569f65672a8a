"""The ledger of claims: a pure fold over the `claims` stream, in which the first claim wins.

All readers fold the same records in the order of their offsets, so they agree on the holder of each
key. A claim of a free key makes its writer the holder; any other claim of that key loses. A holder
that never ran its call withdraws the claim, which frees the key. A claim expires after its
retention time, measured by the stream's clock (`claim_clock`).

Delayed records. An append whose acknowledgement was lost may be written to the log much later. Each
writer has one append in flight at a time and numbers its appends; each append repeats everything
that an earlier one may have failed to deliver. A record whose number is not above its writer's last
number is therefore void for every reader. A record that was composed more than half a carry
distance before it reached the log is void as well, which bounds the delay of valid records.

Readers that start at an offset above 0. The log retains records for a limited time. Before a record
with live claims is deleted, an instance *carries* them forward, i.e. writes them again
(`claim_carry`). Each record contains its writer's *floor*: no record below it holds a live claim. A
reader that starts above 0 may lack live claims until it reads a floor at or above its start. From
then on it is *whole*: its ledger has an entry for every live claim. Entries made earlier may be
wrong, because the true holder may be in a record that this reader never read. Such entries are
*unsure*. They block their key, which prevents a second run, and are removed when a carried claim
replaces them or a floor passes them: a holder that is still live is then in a later record, which
this reader has read.

An instance runs a call only if its ledger has a sure claim by this instance for the key, entered
while the ledger was whole. docs/design/claims.md explains why this is sufficient;
`test_claim_ledger` checks it against a reader that has read every record since offset 0.
"""

from __future__ import annotations

from collections import OrderedDict
from itertools import islice
from typing import Any, Final

from msgspec import Struct, field

from turmericweir_core.base.options import Options
from turmericweir_core.records.claim_record import (
    NO_FLOOR,
    NO_VIEW,
    AgreedClaim,
    CarriedClaim,
    ClaimBatch,
    ClaimEnd,
    EndRecord,
    NewClaim,
    RecordWriter,
    Withdrawal,
    decode,
)
from turmericweir_core.state.claim_clock import StreamClock, note_clock
from turmericweir_core.state.claim_view import (
    ViewLedger,
    adopt_view,
    can_claim,
    discard_view,
    epoch_of,
    fold_view,
    note_reported_view,
)

NO_RECORD: Final = -1


class Claim(Struct):
    """The claim that holds a key."""

    claim: NewClaim
    holder: RecordWriter
    # Offset of the record that made the claim.
    claim_offset: int
    # Offset of the newest record that contains it: the original one or one that carried it. For an
    # unsure entry, the oldest record that may contain the true holder.
    record_offset: int
    # Offset of the newest record about the key while the entry was unsure. A floor above it removes
    # the entry.
    touched_offset: int
    # Start of the retention time, by the stream's clock.
    retention_from_ms: int
    is_unsure: bool = False
    end: ClaimEnd | None = None


class ClaimLedger(Struct):
    """The result of folding all records read so far."""

    # Offset of the next record to fold.
    offset: int = 0
    # Offset at which this reader started.
    start_offset: int = 0
    # Every live claim has an entry in this ledger.
    has_all_claims: bool = True
    # Holders by key, ordered by `record_offset`, lowest first; unsure ones are not in order.
    claims: OrderedDict[str, Claim] = field(default_factory=OrderedDict)
    # Keys of the unsure entries.
    unsure_keys: set[str] = field(default_factory=set)
    # The last append number of each incarnation, and the stream time when it was read.
    append_numbers: dict[tuple[str, str], tuple[int, int]] = field(default_factory=dict)
    clock: StreamClock = field(default_factory=StreamClock)
    views: ViewLedger = field(default_factory=ViewLedger)
    # Offset of the last record with a withdrawal, whether or not the claim was in this ledger.
    withdrawal_offset: int = NO_RECORD
    # Offset of the last record whose writer did not know the floor and thereby requests one.
    floor_request_offset: int = NO_FLOOR
    malformed: int = 0
    void: int = 0


class ClaimFoldResult(Struct):
    """The result of folding one record."""

    # None if the record was malformed.
    batch: ClaimBatch | None = None
    # False for a void record, which changed nothing.
    is_valid: bool = False
    # Keys whose holder, or whose call's end, may have changed.
    touched_keys: set[str] = field(default_factory=set)


def holder_of(ledger: ClaimLedger, options: Options, key: str) -> Claim | None:
    """Return the claim that holds a key, or None."""
    claim = ledger.claims.get(key)
    if claim is None or _is_expired(ledger, options, claim):
        return None
    return claim


def floor_of(ledger: ClaimLedger) -> int:
    """Return the offset below which no record holds a live claim."""
    if not ledger.has_all_claims:
        return NO_FLOOR
    record_offsets = [ledger.claims[key].record_offset for key in ledger.unsure_keys]
    # Sure entries are ordered by `record_offset`, so the first has the lowest.
    record_offsets += [claim.record_offset for claim in islice(ledger.claims.values(), 1)]
    if epoch_of(ledger.views) > NO_VIEW:
        # Readers that start at the floor must also learn the view.
        record_offsets.append(ledger.views.members_offset)
    return min(record_offsets, default=ledger.offset)


def restart(ledger: ClaimLedger, oldest: int) -> None:
    """Continue from a later offset because the log has deleted the records before it."""
    if oldest <= ledger.offset:
        return
    ledger.offset = oldest
    ledger.start_offset = oldest
    ledger.has_all_claims = False
    discard_view(ledger.views)
    for key, claim in ledger.claims.items():
        # A skipped record may have changed the holder, so the entry may only block the key.
        claim.is_unsure = True
        claim.touched_offset = oldest
        ledger.unsure_keys.add(key)


def note_own_writer(ledger: ClaimLedger, writer: RecordWriter) -> None:
    """Record that a writer has no records below this reader's start: the reader itself."""
    writer_id = (writer.instance, writer.incarnation)
    ledger.append_numbers.setdefault(writer_id, (0, ledger.clock.now_ms))


def fold(ledger: ClaimLedger, options: Options, offset: int, value: Any) -> ClaimFoldResult:
    """Fold the next record into the ledger."""
    ledger.offset = offset + 1
    batch = decode(value)
    if batch is None:
        ledger.malformed += 1
        return ClaimFoldResult()
    result = ClaimFoldResult(batch)
    if _is_void(ledger, options, offset, batch):
        ledger.void += 1
        return result
    result.is_valid = True
    is_number_certain = _note_number(ledger, options, offset, batch)
    for instance, at_ms in (*batch.clocks, (batch.writer.instance, batch.at_ms)):
        note_clock(ledger.clock, instance, at_ms)
    note_reported_view(ledger.views, offset, batch)
    _note_floor(ledger, offset, batch, result)
    is_sure = ledger.has_all_claims and is_number_certain
    for carried in batch.carried:
        _fold_carried(ledger, offset, batch, carried, result)
    if batch.withdrawn:
        ledger.withdrawal_offset = offset
    for withdrawn in batch.withdrawn:
        _fold_withdrawal(ledger, offset, batch.writer, withdrawn, result)
    for end in batch.ends:
        _fold_end(ledger, batch.writer, end, result)
    if fold_view(ledger.views, offset, batch) and batch.change is not None:
        for agreed in batch.change.agreed:
            _fold_agreed(ledger, options, offset, agreed, is_sure, result)
    is_eligible = can_claim(ledger.views, batch.writer)
    for claim in batch.claims:
        if is_eligible:
            at_ms = max(ledger.clock.now_ms, batch.at_ms)
            _fold_claim(ledger, options, offset, at_ms, claim, batch.writer, is_sure, result)
        else:
            # The writer evaluates the key again and claims it once it is in the view.
            result.touched_keys.add(claim.key)
    _purge(ledger, options)
    return result


def _is_expired(ledger: ClaimLedger, options: Options, claim: Claim) -> bool:
    return ledger.clock.now_ms - claim.retention_from_ms > options.claim_retention_s * 1000


def _is_void(ledger: ClaimLedger, options: Options, offset: int, batch: ClaimBatch) -> bool:
    if offset - batch.upto > options.claim_carry_records // 2:
        return True
    writer_id = (batch.writer.instance, batch.writer.incarnation)
    last_number, _ = ledger.append_numbers.get(writer_id, (0, 0))
    return batch.number <= last_number


def _note_number(ledger: ClaimLedger, options: Options, offset: int, batch: ClaimBatch) -> bool:
    """Record a writer's number; return False if a higher one may be below this reader's start."""
    writer_id = (batch.writer.instance, batch.writer.incarnation)
    is_known_writer = writer_id in ledger.append_numbers or ledger.start_offset == 0
    ledger.append_numbers[writer_id] = (batch.number, ledger.clock.now_ms)
    # From this offset on, a record older than one below the start is void by its age.
    return is_known_writer or offset >= ledger.start_offset + options.claim_carry_records // 2


def _note_floor(
    ledger: ClaimLedger, offset: int, batch: ClaimBatch, result: ClaimFoldResult
) -> None:
    if batch.floor == NO_FLOOR:
        ledger.floor_request_offset = offset
        return
    ledger.floor_request_offset = NO_FLOOR
    if batch.floor < ledger.start_offset:
        return
    adopt_view(ledger.views, batch)
    if ledger.views.current is None:
        return
    ledger.has_all_claims = True
    for key in [
        key for key in ledger.unsure_keys if ledger.claims[key].touched_offset < batch.floor
    ]:
        _remove_entry(ledger, key)
        result.touched_keys.add(key)


def _fold_carried(
    ledger: ClaimLedger,
    offset: int,
    batch: ClaimBatch,
    carried: CarriedClaim,
    result: ClaimFoldResult,
) -> None:
    key = carried.claim.key
    entry = ledger.claims.get(key)
    if entry is not None and not entry.is_unsure:
        if entry.claim.request_id == carried.claim.request_id:
            _refresh_entry(ledger, entry, offset)
        return
    if entry is None and ledger.has_all_claims:
        # A whole ledger without the entry means that the claim was withdrawn or has expired.
        return
    is_settled = _is_settled_by(ledger, batch, entry, carried)
    if entry is None or is_settled:
        _add_entry(ledger, _claim_from_carried(carried, offset, is_unsure=not is_settled))
        result.touched_keys.add(key)
        return
    # Still unsure: block the key for as long as any of the possible holders would hold it.
    entry.retention_from_ms = max(entry.retention_from_ms, carried.at_ms)
    entry.touched_offset = offset
    # A record about the key after `upto` may not be contained in any carried claim yet.
    entry.record_offset = max(entry.record_offset, batch.upto)
    ledger.claims.move_to_end(key)


def _is_settled_by(
    ledger: ClaimLedger, batch: ClaimBatch, entry: Claim | None, carried: CarriedClaim
) -> bool:
    """Return whether a carried claim determines the holder of a key that is unsure here.

    Its writer knew the holder of the key at `upto`. That claim still holds the key if no later
    record freed it and this reader has read all of them. The ledger need not be whole for this.
    Prevents callers from getting `unknown` for a call whose end is known.
    """
    if carried.unsure or batch.upto < ledger.start_offset:
        return False
    last_changed_offset = ledger.withdrawal_offset if entry is None else entry.touched_offset
    return last_changed_offset < batch.upto


def _claim_from_carried(carried: CarriedClaim, offset: int, *, is_unsure: bool) -> Claim:
    return Claim(
        claim=carried.claim,
        holder=carried.holder,
        claim_offset=carried.claimed_at,
        record_offset=offset,
        touched_offset=offset,
        retention_from_ms=carried.at_ms,
        is_unsure=is_unsure,
        end=carried.end,
    )


def _fold_withdrawal(
    ledger: ClaimLedger,
    offset: int,
    writer: RecordWriter,
    withdrawn: Withdrawal,
    result: ClaimFoldResult,
) -> None:
    entry = ledger.claims.get(withdrawn.key)
    if entry is None:
        return
    if entry.is_unsure:
        # A record that this reader skipped may name another holder, so the key stays blocked.
        entry.touched_offset = offset
        return
    if _is_claimed_by(entry, writer, withdrawn.request_id):
        _remove_entry(ledger, withdrawn.key)
        result.touched_keys.add(withdrawn.key)


def _fold_end(
    ledger: ClaimLedger, writer: RecordWriter, record: EndRecord, result: ClaimFoldResult
) -> None:
    entry = ledger.claims.get(record.key)
    if entry is not None and _is_claimed_by(entry, writer, record.request_id):
        entry.end = record.end
        result.touched_keys.add(record.key)


def _is_claimed_by(entry: Claim, writer: RecordWriter, request_id: str) -> bool:
    is_same_process = entry.holder.incarnation == writer.incarnation
    return is_same_process and entry.claim.request_id == request_id


def _fold_agreed(
    ledger: ClaimLedger,
    options: Options,
    offset: int,
    agreed: AgreedClaim,
    is_sure: bool,
    result: ClaimFoldResult,
) -> None:
    """Enter a claim that may have run before it was in the log, by agreement of the members."""
    at_ms = max(ledger.clock.now_ms, agreed.at_ms)
    _fold_claim(ledger, options, offset, at_ms, agreed.claim, agreed.holder, is_sure, result)


def _fold_claim(
    ledger: ClaimLedger,
    options: Options,
    offset: int,
    at_ms: int,
    claim: NewClaim,
    holder: RecordWriter,
    is_sure: bool,
    result: ClaimFoldResult,
) -> None:
    result.touched_keys.add(claim.key)
    entry = ledger.claims.get(claim.key)
    if entry is not None and not _is_expired(ledger, options, entry):
        if entry.is_unsure:
            # This claim may be the true holder: block the key for as long as it would hold it.
            entry.touched_offset = offset
            entry.retention_from_ms = max(entry.retention_from_ms, at_ms)
        return
    _add_entry(ledger, Claim(claim, holder, offset, offset, offset, at_ms, is_unsure=not is_sure))


def _add_entry(ledger: ClaimLedger, entry: Claim) -> None:
    key = entry.claim.key
    _remove_entry(ledger, key)
    ledger.claims[key] = entry
    if entry.is_unsure:
        ledger.unsure_keys.add(key)


def _refresh_entry(ledger: ClaimLedger, entry: Claim, offset: int) -> None:
    entry.record_offset = offset
    entry.touched_offset = offset
    ledger.claims.move_to_end(entry.claim.key)


def _remove_entry(ledger: ClaimLedger, key: str) -> None:
    ledger.claims.pop(key, None)
    ledger.unsure_keys.discard(key)


def _purge(ledger: ClaimLedger, options: Options) -> None:
    """Delete expired claims; live ones are moved away from the front when they are carried."""
    while ledger.claims:
        key, claim = next(iter(ledger.claims.items()))
        if not _is_expired(ledger, options, claim):
            break
        _remove_entry(ledger, key)
    if len(ledger.append_numbers) > options.claim_writers_max:
        _purge_numbers(ledger, options)


def _purge_numbers(ledger: ClaimLedger, options: Options) -> None:
    oldest_ms = ledger.clock.now_ms - options.claim_retention_s * 1000
    for writer, (_, at_ms) in list(ledger.append_numbers.items()):
        if at_ms < oldest_ms:
            del ledger.append_numbers[writer]
