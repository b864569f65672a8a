"""Writes to the `claims` stream in batches.

Only one append is in flight at a time; new entries are collected for the next one, and a token
bucket limits the appends per second. Entries stay in the outbox until they have been read back from
the log, which also covers lost acknowledgements. Entries of a failed append are written again under
a higher number, which makes the earlier record void if it still reaches the log.
"""

from __future__ import annotations

from itertools import islice

from turmericweir_core.base.ids import RequestId
from turmericweir_core.base.options import Options
from turmericweir_core.membership.membership import live_instances
from turmericweir_core.messages.effects import AppendRecords, Count, Effect, ReadLog
from turmericweir_core.messages.events import AppendDone, AppendFailed
from turmericweir_core.records.claim_record import (
    CLAIMS_STREAM,
    AgreedClaim,
    CarriedClaim,
    ClaimBatch,
    EndRecord,
    NewClaim,
    RecordWriter,
    ViewChange,
    Withdrawal,
    encode,
    uuid7_time_ms,
)
from turmericweir_core.state.claim_clock import clocks_for_record
from turmericweir_core.state.claim_ledger import Claim, floor_of
from turmericweir_core.state.claim_state import ClaimState, Outbox
from turmericweir_core.state.claim_view import epoch_of
from turmericweir_core.state.state import State

# --- entries ---------------------------------------------------------------------------------


def queue_claim(outbox: Outbox, request_id: RequestId, claim: NewClaim) -> None:
    """Queue a claim for writing."""
    outbox.claims[request_id] = claim
    outbox.clock_ms = max(outbox.clock_ms, uuid7_time_ms(request_id))


def queue_withdrawal(
    outbox: Outbox, options: Options, now: float, request_id: RequestId, key: str
) -> None:
    """Queue the withdrawal of a claim whose call never ran."""
    outbox.withdrawn[request_id] = Withdrawal(key, request_id)
    _schedule_append(outbox, options, now)


def queue_end(
    outbox: Outbox, options: Options, now: float, request_id: RequestId, record: EndRecord
) -> None:
    """Queue the end of a claimed call for writing."""
    outbox.ends[request_id] = record
    _schedule_append(outbox, options, now)


def _schedule_append(outbox: Outbox, options: Options, now: float) -> None:
    if outbox.append_by is None:
        outbox.append_by = now + options.claim_end_delay_s


def is_claim_in_progress(outbox: Outbox, request_id: RequestId) -> bool:
    """Return whether a claim is queued, in flight, or not yet read back."""
    if request_id in outbox.claims:
        return True
    return any(_has_claim(batch, request_id) for batch in outbox.acknowledged_appends.values())


def _has_claim(batch: ClaimBatch, request_id: RequestId) -> bool:
    return any(claim.request_id == request_id for claim in batch.claims)


def has_competing_claim(claims: ClaimState, key: str, request_id: str) -> bool:
    """Return whether another local request's claim of the key may be in the log or reach it."""
    outbox = claims.outbox
    has_claim = any(each.key == key and rid != request_id for rid, each in outbox.claims.items())
    has_withdrawal = any(each.key == key for each in outbox.withdrawn.values())
    other_waits = (claims.waits[rid] for rid in claims.waiting.get(key, ()) if rid != request_id)
    return has_claim or has_withdrawal or any(wait.is_claim_sent for wait in other_waits)


def is_log_slow(outbox: Outbox, options: Options, now: float) -> bool:
    """Return whether an append takes long or has failed, so that members are asked instead."""
    return outbox.failures > 0 or _append_age_s(outbox, now) >= options.claim_vote_after_s


def is_log_down(outbox: Outbox, options: Options, now: float) -> bool:
    """Return whether the log is down; a successful read ends this state."""
    if outbox.failures >= options.claim_down_failures:
        return True
    return _append_age_s(outbox, now) >= options.claim_down_s


def _append_age_s(outbox: Outbox, now: float) -> float:
    if outbox.in_flight is None:
        return 0.0
    # Prevents a pause of this process from counting as an unresponsive log.
    return min(now - outbox.in_flight_at, outbox.in_flight_s)


def count_append_time(outbox: Outbox, options: Options) -> None:
    """Add one tick to the time that the append has been in flight."""
    outbox.in_flight_s += options.tick_s


def is_flushed(outbox: Outbox) -> bool:
    """Return whether nothing is left to write."""
    queued = outbox.claims or outbox.withdrawn or outbox.ends or outbox.next_members is not None
    is_empty = not queued
    return is_empty and outbox.in_flight is None


# --- appends ---------------------------------------------------------------------------------


def flush(state: State, now: float) -> list[Effect]:
    """Append the queued entries if an append is allowed now."""
    outbox = state.claims.outbox
    if outbox.in_flight is not None or now < outbox.retry_at or not _is_append_due(outbox, now):
        return []
    batch = _compose_batch(state)
    if _is_empty(batch) and not outbox.needs_floor:
        outbox.needs_carry = False
        outbox.append_by = None
        return []
    if not _take_token(state, now):
        return []
    _record_sent(state, now, batch)
    token = str(batch.number)
    return [AppendRecords(CLAIMS_STREAM, token, (encode(batch),)), Count("claim.appends")]


def _is_append_due(outbox: Outbox, now: float) -> bool:
    is_delay_over = outbox.append_by is not None and now >= outbox.append_by
    is_requested = (
        outbox.needs_carry
        or outbox.needs_floor
        or outbox.needs_join
        or outbox.next_members is not None
    )
    return bool(outbox.claims) or is_delay_over or is_requested


def writer_of(state: State) -> RecordWriter:
    """Return this process as a writer of the log."""
    return RecordWriter(state.me.name, state.me.incarnation, state.me.peer_address)


def _compose_batch(state: State) -> ClaimBatch:
    claims = state.claims
    outbox = claims.outbox
    acknowledged = outbox.acknowledged_appends.values()
    claimed = {each.request_id for batch in acknowledged for each in batch.claims}
    withdrawn = {each.request_id for batch in acknowledged for each in batch.withdrawn}
    ended = {each.request_id for batch in acknowledged for each in batch.ends}
    # An end has no effect before its claim has been read.
    ended |= set(outbox.claims)
    view = claims.ledger.views.current
    includes_view = (outbox.needs_carry or outbox.needs_floor) and view is not None and view.members
    return ClaimBatch(
        writer=writer_of(state),
        number=outbox.number + 1,
        at_ms=outbox.clock_ms,
        clocks=clocks_for_record(claims.ledger.clock),
        upto=claims.ledger.offset,
        floor=floor_of(claims.ledger),
        carried=_claims_to_carry(claims, state.options) if outbox.needs_carry else (),
        withdrawn=tuple(each for rid, each in outbox.withdrawn.items() if rid not in withdrawn),
        ends=tuple(each for rid, each in outbox.ends.items() if rid not in ended),
        claims=_next_claims(claims, state.options, claimed),
        epoch=epoch_of(claims.ledger.views),
        members=view.members if includes_view and view is not None else None,
        join=outbox.needs_join,
        change=_view_change(claims),
    )


def _next_claims(claims: ClaimState, options: Options, claimed: set[str]) -> tuple[NewClaim, ...]:
    """Return the claims for one record, starting with those that callers wait for."""
    unsent = [(rid, each) for rid, each in claims.outbox.claims.items() if rid not in claimed]
    unsent.sort(key=lambda item: item[0] not in claims.waits)
    return tuple(each for _, each in unsent[: options.claim_batch_max])


def _view_change(claims: ClaimState) -> ViewChange | None:
    members = claims.outbox.next_members
    view = claims.ledger.views.current
    if members is None or view is None:
        return None
    agreed = tuple(
        AgreedClaim(vote.claim, vote.holder, uuid7_time_ms(vote.claim.request_id))
        for vote in claims.votes.values()
    )
    return ViewChange(view.epoch, members, agreed, claims.outbox.is_replacement)


def _claims_to_carry(claims: ClaimState, options: Options) -> tuple[CarriedClaim, ...]:
    if not claims.ledger.has_all_claims:
        return ()
    oldest = islice(claims.ledger.claims.values(), options.claim_carry_max)
    return tuple(_to_carried_claim(each) for each in oldest)


def _to_carried_claim(claim: Claim) -> CarriedClaim:
    return CarriedClaim(
        claim=claim.claim,
        holder=claim.holder,
        claimed_at=claim.claim_offset,
        at_ms=claim.retention_from_ms,
        unsure=claim.is_unsure,
        end=claim.end,
    )


def _is_empty(batch: ClaimBatch) -> bool:
    has_entries = batch.carried or batch.withdrawn or batch.ends or batch.claims
    return not (has_entries or batch.members or batch.join or batch.change)


def _take_token(state: State, now: float) -> bool:
    outbox = state.claims.outbox
    options = state.options
    tokens = options.claim_append_burst if outbox.tokens is None else outbox.tokens
    local_rate = options.claim_appends_s / max(1, len(live_instances(state, now)))
    tokens += (now - outbox.tokens_at) * local_rate
    outbox.tokens = min(tokens, options.claim_append_burst)
    outbox.tokens_at = now
    if outbox.tokens < 1.0:
        return False
    outbox.tokens -= 1.0
    return True


def _record_sent(state: State, now: float, batch: ClaimBatch) -> None:
    outbox = state.claims.outbox
    outbox.in_flight = batch
    outbox.in_flight_at = now
    outbox.in_flight_s = 0.0
    outbox.number = batch.number
    outbox.needs_carry = False
    outbox.needs_floor = False
    outbox.needs_join = False
    outbox.next_members = None
    outbox.is_replacement = False
    outbox.append_by = None
    if len(batch.ends) < len(outbox.ends):
        _schedule_append(outbox, state.options, now)
    if batch.change is not None:
        state.claims.view_append_number = batch.number
    for claim in batch.claims:
        wait = state.claims.waits.get(RequestId(claim.request_id))
        if wait is not None:
            wait.is_claim_sent = True


def on_done(state: State, event: AppendDone) -> ClaimBatch | None:
    """Record a successful append; return its batch unless it was already read."""
    outbox = state.claims.outbox
    batch = outbox.in_flight
    if batch is None or event.token != str(batch.number):
        return None
    outbox.in_flight = None
    outbox.failures = 0
    if event.first_offset < state.claims.ledger.offset:
        return None
    outbox.acknowledged_appends[batch.number] = batch
    return batch


def fail_overdue_append(state: State, now: float) -> list[Effect]:
    """Treat an append as failed if it has not been answered within `claim_call_s`.

    Prevents a task that ended because of a bug from blocking all further appends.
    """
    outbox = state.claims.outbox
    batch = outbox.in_flight
    if batch is None or now - outbox.in_flight_at < state.options.claim_call_s:
        return []
    failed = AppendFailed(CLAIMS_STREAM, str(batch.number), "never answered", may_have_applied=True)
    return on_failed(state, now, failed)


def on_failed(state: State, now: float, event: AppendFailed) -> list[Effect]:
    """Read the stream after a failed append, since only its acknowledgement may be lost."""
    outbox = state.claims.outbox
    batch = outbox.in_flight
    if batch is None or event.token != str(batch.number):
        return []
    append_age_s = _append_age_s(outbox, now)
    outbox.in_flight = None
    outbox.failures += 1
    if append_age_s >= state.options.claim_down_s:
        outbox.failures = max(outbox.failures, state.options.claim_down_failures)
    pause_s = _max_retry_pause_s(state.options, outbox.failures)
    outbox.retry_at = now + pause_s * (0.5 + state.rng.random() / 2)
    if batch.withdrawn or batch.ends:
        outbox.append_by = outbox.retry_at
    return [Count("claim.append_failed"), *read_claims_stream(state, now)]


def _max_retry_pause_s(options: Options, failures: int) -> float:
    """Return the maximum pause after a number of consecutive failures."""
    doubled_s = options.claim_retry_s * 2.0 ** min(failures - 1, 10)
    return min(options.claim_retry_max_s, doubled_s)


def read_claims_stream(state: State, now: float) -> list[Effect]:
    """Read the stream from the ledger's offset, unless a read is in progress."""
    claims = state.claims
    claims.next_read_at = now + state.options.claim_read_s
    reading_since = claims.reading_since
    if reading_since is not None and now - reading_since < state.options.claim_call_s:
        return []
    claims.reading_since = now
    return [ReadLog(CLAIMS_STREAM, claims.ledger.offset)]


def remove_read_back(outbox: Outbox, batch: ClaimBatch, *, valid: bool) -> None:
    """Remove the entries of a local record that was read back, unless the record is void."""
    outbox.acknowledged_appends.pop(batch.number, None)
    if not valid:
        return
    outbox.failures = 0
    for claim in batch.claims:
        outbox.claims.pop(RequestId(claim.request_id), None)
    for withdrawn in batch.withdrawn:
        outbox.withdrawn.pop(RequestId(withdrawn.request_id), None)
    for end in batch.ends:
        outbox.ends.pop(RequestId(end.request_id), None)
