"""The ledger of claims: a pure fold over the `claims` stream, in which the first claim holds.

Every reader folds the same records in the order of their offsets, so all agree who holds a key. A
claim of a free key holds it; any other claim of that key loses. A holder that never ran withdraws,
and the key is free again. A claim expires when its retention has passed by the stream's own clock.

Late records. An append whose acknowledgement was lost may land much later. Each writer sends one
append at a time and numbers them; whatever an append may have failed to say, the next one says
again. So a record with a number not above its writer's last is void for every reader. A record
that was composed more than half a carry distance before it landed is void as well, which bounds
how late anything can be.

Readers that start late. The log keeps records for a limited time only. Before a record that holds
live claims goes, somebody *carries* them: writes them again (`claim_carry`). Each record tells its
writer's *floor*: no live claim stands in a record below it. A reader that starts at an offset above
0 may be ignorant of live claims until it reads a floor at or above its start; from then on it is
*whole*: every live claim has an entry in its ledger. What it entered before may be wrong, since the
true holder may stand in a record that it never saw. Such entries are *unsure*. They block their key
(never a second run), and they go when a carried claim replaces them or a floor passes them: a
holder that is live then stands in a later record, which this reader has read.

A reader runs a call only on a sure claim of its own, made while it was whole. The argument for why
this is enough is in docs/design/claims.md; `test_claim_ledger` checks it against a reader that has
read every record since offset 0.
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
    Batch,
    CarriedClaim,
    ClaimEnd,
    EndRecord,
    NewClaim,
    Withdrawal,
    Writer,
    decode,
)
from turmericweir_core.state.claim_clock import StreamClock, note_clock
from turmericweir_core.state.claim_view import (
    ViewLedger,
    epoch_of,
    fold_view,
    learn_view,
    lose_view,
    may_claim,
    note_told,
)

NO_RECORD: Final = -1


class Claim(Struct):
    """Who holds a key."""

    claim: NewClaim
    holder: Writer
    # Offset of the record in which it was claimed.
    claimed_at: int
    # Newest record that holds it, its own or one that carried it; for an unsure entry, the oldest
    # record in which its true holder may stand.
    kept_at: int
    # Newest record that touched the key while the entry was unsure; a floor beyond it ends it.
    seen_at: int
    # Time from which the retention counts.
    at_ms: int
    unsure: bool = False
    end: ClaimEnd | None = None


class Ledger(Struct):
    """Everything that the records read so far say."""

    # Offset of the next record to fold.
    offset: int = 0
    # Where this reader began; above 0 it began amid the stream.
    start: int = 0
    # Every live claim has an entry here.
    whole: bool = True
    # Holders by key, by the offset of the record that keeps them, oldest first.
    claims: OrderedDict[str, Claim] = field(default_factory=OrderedDict)
    # Keys of the unsure entries.
    unsure: set[str] = field(default_factory=set)
    # The last number of each incarnation, and the stream's time when it was read.
    numbers: dict[tuple[str, str], tuple[int, int]] = field(default_factory=dict)
    clock: StreamClock = field(default_factory=StreamClock)
    # Who may claim.
    views: ViewLedger = field(default_factory=ViewLedger)
    # Offset of the last record that withdrew anything, whether or not this reader knew the claim.
    withdrawn_at: int = NO_RECORD
    # Offset of the last record whose writer could tell no floor and so asks for one.
    floor_asked_at: int = NO_FLOOR
    malformed: int = 0
    void: int = 0


class Folded(Struct):
    """What folding one record did."""

    # None where the record was malformed.
    batch: Batch | None = None
    # The record counts; a void one changed nothing.
    valid: bool = False
    # Keys whose holder, or its end, may have changed.
    touched: set[str] = field(default_factory=set)


def holder_of(ledger: Ledger, options: Options, key: str) -> Claim | None:
    """Find who holds a key, if anybody does."""
    found = ledger.claims.get(key)
    if found is None or _is_expired(ledger, options, found):
        return None
    return found


def floor_of(ledger: Ledger) -> int:
    """Give the offset below which no live claim stands."""
    if not ledger.whole:
        return NO_FLOOR
    kept = [ledger.claims[key].kept_at for key in ledger.unsure]
    # Sure entries are ordered by it, so the first is the least of them.
    kept += [claim.kept_at for claim in islice(ledger.claims.values(), 1)]
    if epoch_of(ledger.views) > NO_VIEW:
        # Who reads from the floor on learns the view, too.
        kept.append(ledger.views.kept_at)
    return min(kept, default=ledger.offset)


def restart(ledger: Ledger, oldest: int) -> None:
    """Go on from a later offset, because the log let go of the records between."""
    if oldest <= ledger.offset:
        return
    ledger.offset = oldest
    ledger.start = oldest
    ledger.whole = False
    lose_view(ledger.views)
    for key, claim in ledger.claims.items():
        # What is known may have changed in the gap, so it may only block, not allow.
        claim.unsure = True
        claim.seen_at = oldest
        ledger.unsure.add(key)


def vouch_for(ledger: Ledger, writer: Writer) -> None:
    """Note a writer of which no record can stand before this reader's start: the reader itself."""
    name = (writer.instance, writer.incarnation)
    ledger.numbers.setdefault(name, (0, ledger.clock.now_ms))


def fold(ledger: Ledger, options: Options, offset: int, value: Any) -> Folded:
    """Fold the next record."""
    ledger.offset = offset + 1
    batch = decode(value)
    if batch is None:
        ledger.malformed += 1
        return Folded()
    result = Folded(batch)
    if _is_void(ledger, options, offset, batch):
        ledger.void += 1
        return result
    result.valid = True
    vouched = _note_number(ledger, options, offset, batch)
    for name, at_ms in (*batch.clocks, (batch.writer.instance, batch.at_ms)):
        note_clock(ledger.clock, name, at_ms)
    note_told(ledger.views, offset, batch)
    _note_floor(ledger, offset, batch, result)
    sure = ledger.whole and vouched
    for carried in batch.carried:
        _fold_carried(ledger, offset, batch, carried, result)
    if batch.withdrawn:
        ledger.withdrawn_at = offset
    for withdrawn in batch.withdrawn:
        _fold_withdrawal(ledger, offset, batch.writer, withdrawn, result)
    for end in batch.ends:
        _fold_end(ledger, batch.writer, end, result)
    if fold_view(ledger.views, offset, batch) and batch.change is not None:
        for agreed in batch.change.agreed:
            _fold_agreed(ledger, options, offset, agreed, sure, result)
    counts = may_claim(ledger.views, batch.writer)
    for claim in batch.claims:
        if counts:
            at_ms = max(ledger.clock.now_ms, batch.at_ms)
            _fold_claim(ledger, options, offset, at_ms, claim, batch.writer, sure, result)
        else:
            # Its writer looks at the key again, and claims it once it is in the view.
            result.touched.add(claim.key)
    _purge(ledger, options)
    return result


def _is_expired(ledger: Ledger, options: Options, claim: Claim) -> bool:
    return ledger.clock.now_ms - claim.at_ms > options.claim_retention_s * 1000


def _is_void(ledger: Ledger, options: Options, offset: int, batch: Batch) -> bool:
    if offset - batch.upto > options.claim_carry_records // 2:
        return True
    writer = (batch.writer.instance, batch.writer.incarnation)
    last, _ = ledger.numbers.get(writer, (0, 0))
    return batch.number <= last


def _note_number(ledger: Ledger, options: Options, offset: int, batch: Batch) -> bool:
    """Note a writer's number; False where a later one may stand before this reader's start."""
    writer = (batch.writer.instance, batch.writer.incarnation)
    known = writer in ledger.numbers or ledger.start == 0
    ledger.numbers[writer] = (batch.number, ledger.clock.now_ms)
    # Later than this, a record that is late against one before the start is void by its age.
    return known or offset >= ledger.start + options.claim_carry_records // 2


def _note_floor(ledger: Ledger, offset: int, batch: Batch, result: Folded) -> None:
    if batch.floor == NO_FLOOR:
        ledger.floor_asked_at = offset
        return
    ledger.floor_asked_at = NO_FLOOR
    if batch.floor < ledger.start:
        return
    learn_view(ledger.views, batch)
    if ledger.views.current is None:
        return
    ledger.whole = True
    for key in [key for key in ledger.unsure if ledger.claims[key].seen_at < batch.floor]:
        _drop(ledger, key)
        result.touched.add(key)


def _fold_carried(
    ledger: Ledger, offset: int, batch: Batch, carried: CarriedClaim, result: Folded
) -> None:
    key = carried.claim.key
    known = ledger.claims.get(key)
    if known is not None and not known.unsure:
        if known.claim.request_id == carried.claim.request_id:
            _keep(ledger, known, offset)
        return
    if known is None and ledger.whole:
        # It has seen the claim withdrawn, or expire.
        return
    settled = _settles(ledger, batch, known, carried)
    if known is None or settled:
        _enter(ledger, _claim_carried(carried, offset, unsure=not settled))
        result.touched.add(key)
        return
    # Still unsure: block for as long as any of the claims in question would hold the key.
    known.at_ms = max(known.at_ms, carried.at_ms)
    known.seen_at = offset
    # What touched the key after the writer composed this may stand in no carried claim yet.
    known.kept_at = max(known.kept_at, batch.upto)
    ledger.claims.move_to_end(key)


def _settles(ledger: Ledger, batch: Batch, known: Claim | None, carried: CarriedClaim) -> bool:
    """Tell whether a carried claim is the truth about a key that this reader is not sure of.

    Its writer knew who held the key at `upto`. That is the holder still if nothing has freed the
    key since, and this reader has read all records since. It need not be whole for that: were it
    to wait until then, and the key not carried again for long, its callers would get `unknown` for
    a call of which the end is known.
    """
    if carried.unsure or batch.upto < ledger.start:
        return False
    touched_at = ledger.withdrawn_at if known is None else known.seen_at
    return touched_at < batch.upto


def _claim_carried(carried: CarriedClaim, offset: int, *, unsure: bool) -> Claim:
    return Claim(
        claim=carried.claim,
        holder=carried.holder,
        claimed_at=carried.claimed_at,
        kept_at=offset,
        seen_at=offset,
        at_ms=carried.at_ms,
        unsure=unsure,
        end=carried.end,
    )


def _fold_withdrawal(
    ledger: Ledger, offset: int, writer: Writer, withdrawn: Withdrawal, result: Folded
) -> None:
    known = ledger.claims.get(withdrawn.key)
    if known is None:
        return
    if known.unsure:
        # Another holder may stand where this reader never read, so the key stays blocked.
        known.seen_at = offset
        return
    if _is_by(known, writer, withdrawn.request_id):
        _drop(ledger, withdrawn.key)
        result.touched.add(withdrawn.key)


def _fold_end(ledger: Ledger, writer: Writer, record: EndRecord, result: Folded) -> None:
    known = ledger.claims.get(record.key)
    if known is not None and _is_by(known, writer, record.request_id):
        known.end = record.end
        result.touched.add(record.key)


def _is_by(known: Claim, writer: Writer, request_id: str) -> bool:
    same_process = known.holder.incarnation == writer.incarnation
    return same_process and known.claim.request_id == request_id


def _fold_agreed(
    ledger: Ledger,
    options: Options,
    offset: int,
    agreed: AgreedClaim,
    sure: bool,
    result: Folded,
) -> None:
    """Enter a claim that may have been carried out before it was in the log."""
    at_ms = max(ledger.clock.now_ms, agreed.at_ms)
    _fold_claim(ledger, options, offset, at_ms, agreed.claim, agreed.holder, sure, result)


def _fold_claim(
    ledger: Ledger,
    options: Options,
    offset: int,
    at_ms: int,
    claim: NewClaim,
    holder: Writer,
    sure: bool,
    result: Folded,
) -> None:
    result.touched.add(claim.key)
    known = ledger.claims.get(claim.key)
    if known is not None and not _is_expired(ledger, options, known):
        if known.unsure:
            # It may be this claim that holds the key in truth: block as long as it would.
            known.seen_at = offset
            known.at_ms = max(known.at_ms, at_ms)
        return
    _enter(ledger, Claim(claim, holder, offset, offset, offset, at_ms, unsure=not sure))


def _enter(ledger: Ledger, entry: Claim) -> None:
    key = entry.claim.key
    _drop(ledger, key)
    ledger.claims[key] = entry
    if entry.unsure:
        ledger.unsure.add(key)


def _keep(ledger: Ledger, known: Claim, offset: int) -> None:
    known.kept_at = offset
    known.seen_at = offset
    ledger.claims.move_to_end(known.claim.key)


def _drop(ledger: Ledger, key: str) -> None:
    ledger.claims.pop(key, None)
    ledger.unsure.discard(key)


def _purge(ledger: Ledger, options: Options) -> None:
    """Let go of what has expired; carrying moves live claims away from the front."""
    while ledger.claims:
        key, claim = next(iter(ledger.claims.items()))
        if not _is_expired(ledger, options, claim):
            break
        _drop(ledger, key)
    if len(ledger.numbers) > options.claim_writers_max:
        _purge_numbers(ledger, options)


def _purge_numbers(ledger: Ledger, options: Options) -> None:
    oldest_ms = ledger.clock.now_ms - options.claim_retention_s * 1000
    for writer, (_, at_ms) in list(ledger.numbers.items()):
        if at_ms < oldest_ms:
            del ledger.numbers[writer]
