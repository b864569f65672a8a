"""Writes to the `claims` stream: few appends, each with everything that there is to say.

One append is out at a time. What comes up meanwhile gathers for the next, so a burst of calls costs
one append for each round trip to the log, and a bucket bounds the appends a second. Whatever is
said stays in the outbox until it has been read back: a lost acknowledgement is settled by reading,
and what an append failed to say the next one says again under a higher number, which makes the
earlier one void should it still land.
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
    Batch,
    CarriedClaim,
    EndRecord,
    NewClaim,
    ViewChange,
    Withdrawal,
    Writer,
    encode,
    time_of,
)
from turmericweir_core.state.claim_clock import told_clocks
from turmericweir_core.state.claim_ledger import Claim, floor_of
from turmericweir_core.state.claim_state import ClaimState, Outbox
from turmericweir_core.state.claim_view import epoch_of
from turmericweir_core.state.state import State

# --- what is to be said ----------------------------------------------------------------------


def put_claim(outbox: Outbox, request_id: RequestId, claim: NewClaim) -> None:
    """Have a claim written."""
    outbox.claims[request_id] = claim
    outbox.clock_ms = max(outbox.clock_ms, time_of(request_id))


def put_withdrawal(
    outbox: Outbox, options: Options, now: float, request_id: RequestId, key: str
) -> None:
    """Have a claim taken back whose call never ran."""
    outbox.withdrawn[request_id] = Withdrawal(key, request_id)
    _note_quiet(outbox, options, now)


def put_end(
    outbox: Outbox, options: Options, now: float, request_id: RequestId, record: EndRecord
) -> None:
    """Have the end of a claimed call written."""
    outbox.ends[request_id] = record
    _note_quiet(outbox, options, now)


def _note_quiet(outbox: Outbox, options: Options, now: float) -> None:
    if outbox.quiet_due is None:
        outbox.quiet_due = now + options.claim_end_delay_s


def is_claim_out(outbox: Outbox, request_id: RequestId) -> bool:
    """Tell whether a claim is on its way to the log or back."""
    if request_id in outbox.claims:
        return True
    return any(_has_claim(batch, request_id) for batch in outbox.landed.values())


def _has_claim(batch: Batch, request_id: RequestId) -> bool:
    return any(claim.request_id == request_id for claim in batch.claims)


def is_in_doubt(claims: ClaimState, key: str, request_id: str) -> bool:
    """Tell whether a claim of another request here may hold the key in the log, or land there."""
    outbox = claims.outbox
    claimed = any(each.key == key and rid != request_id for rid, each in outbox.claims.items())
    withdrawn = any(each.key == key for each in outbox.withdrawn.values())
    waiting = (claims.waits[rid] for rid in claims.waiting.get(key, ()) if rid != request_id)
    return claimed or withdrawn or any(wait.sent for wait in waiting)


def is_log_slow(outbox: Outbox, options: Options, now: float) -> bool:
    """Tell whether an append takes long or has failed, so that others are worth asking."""
    return outbox.failures > 0 or _out_for(outbox, now) >= options.claim_vote_after_s


def is_log_down(outbox: Outbox, options: Options, now: float) -> bool:
    """Tell whether one more claim would only wait for nothing; a read that succeeds ends it."""
    if outbox.failures >= options.claim_down_failures:
        return True
    return _out_for(outbox, now) >= options.claim_down_s


def _out_for(outbox: Outbox, now: float) -> float:
    if outbox.in_flight is None:
        return 0.0
    # A pause of this process is no silence of the log: callers would be refused for nothing.
    return min(now - outbox.in_flight_at, outbox.out_s)


def note_tick(outbox: Outbox, options: Options) -> None:
    """Count how long an append has been out while this process ran."""
    outbox.out_s += options.tick_s


def is_flushed(outbox: Outbox) -> bool:
    """Tell whether there is nothing left to say."""
    left = outbox.claims or outbox.withdrawn or outbox.ends or outbox.members is not None
    said = not left
    return said and outbox.in_flight is None


# --- appends ---------------------------------------------------------------------------------


def flush(state: State, now: float) -> list[Effect]:
    """Append what there is to say, if an append may be made now."""
    outbox = state.claims.outbox
    if outbox.in_flight is not None or now < outbox.retry_at or not _is_due(outbox, now):
        return []
    batch = _compose(state)
    if _is_empty(batch) and not outbox.floor:
        outbox.carry = False
        outbox.quiet_due = None
        return []
    if not _take_token(state, now):
        return []
    _note_sent(state, now, batch)
    token = str(batch.number)
    return [AppendRecords(CLAIMS_STREAM, token, (encode(batch),)), Count("claim.appends")]


def _is_due(outbox: Outbox, now: float) -> bool:
    quiet = outbox.quiet_due is not None and now >= outbox.quiet_due
    wanted = outbox.carry or outbox.floor or outbox.join or outbox.members is not None
    return bool(outbox.claims) or quiet or wanted


def writer_of(state: State) -> Writer:
    """Name this process as the log knows it."""
    return Writer(state.me.name, state.me.incarnation, state.me.peer_address)


def _compose(state: State) -> Batch:
    claims = state.claims
    outbox = claims.outbox
    landed = outbox.landed.values()
    claimed = {each.request_id for batch in landed for each in batch.claims}
    withdrawn = {each.request_id for batch in landed for each in batch.withdrawn}
    ended = {each.request_id for batch in landed for each in batch.ends}
    # An end means nothing before its claim has been read.
    ended |= set(outbox.claims)
    view = claims.ledger.views.current
    tells_view = (outbox.carry or outbox.floor) and view is not None and view.members
    return Batch(
        writer=writer_of(state),
        number=outbox.number + 1,
        at_ms=outbox.clock_ms,
        clocks=told_clocks(claims.ledger.clock),
        upto=claims.ledger.offset,
        floor=floor_of(claims.ledger),
        carried=_carried(claims, state.options) if outbox.carry else (),
        withdrawn=tuple(each for rid, each in outbox.withdrawn.items() if rid not in withdrawn),
        ends=tuple(each for rid, each in outbox.ends.items() if rid not in ended),
        claims=_next_claims(claims, state.options, claimed),
        epoch=epoch_of(claims.ledger.views),
        members=view.members if tells_view and view is not None else None,
        join=outbox.join,
        change=_change(claims),
    )


def _next_claims(claims: ClaimState, options: Options, claimed: set[str]) -> tuple[NewClaim, ...]:
    """Pick claims for one record: first those that callers wait for."""
    left = [(rid, each) for rid, each in claims.outbox.claims.items() if rid not in claimed]
    left.sort(key=lambda item: item[0] not in claims.waits)
    return tuple(each for _, each in left[: options.claim_batch_max])


def _change(claims: ClaimState) -> ViewChange | None:
    members = claims.outbox.members
    view = claims.ledger.views.current
    if members is None or view is None:
        return None
    agreed = tuple(
        AgreedClaim(vote.claim, vote.holder, time_of(vote.claim.request_id))
        for vote in claims.votes.values()
    )
    return ViewChange(view.epoch, members, agreed, claims.outbox.replaces)


def _carried(claims: ClaimState, options: Options) -> tuple[CarriedClaim, ...]:
    if not claims.ledger.whole:
        return ()
    oldest = islice(claims.ledger.claims.values(), options.claim_carry_max)
    return tuple(_carry(each) for each in oldest)


def _carry(claim: Claim) -> CarriedClaim:
    return CarriedClaim(
        claim=claim.claim,
        holder=claim.holder,
        claimed_at=claim.claimed_at,
        at_ms=claim.at_ms,
        unsure=claim.unsure,
        end=claim.end,
    )


def _is_empty(batch: Batch) -> bool:
    said = batch.carried or batch.withdrawn or batch.ends or batch.claims
    return not (said or batch.members or batch.join or batch.change)


def _take_token(state: State, now: float) -> bool:
    outbox = state.claims.outbox
    options = state.options
    tokens = options.claim_append_burst if outbox.tokens is None else outbox.tokens
    share = options.claim_appends_s / max(1, len(live_instances(state, now)))
    tokens += (now - outbox.tokens_at) * share
    outbox.tokens = min(tokens, options.claim_append_burst)
    outbox.tokens_at = now
    if outbox.tokens < 1.0:
        return False
    outbox.tokens -= 1.0
    return True


def _note_sent(state: State, now: float, batch: Batch) -> None:
    outbox = state.claims.outbox
    outbox.in_flight = batch
    outbox.in_flight_at = now
    outbox.out_s = 0.0
    outbox.number = batch.number
    outbox.carry = False
    outbox.floor = False
    outbox.join = False
    outbox.members = None
    outbox.replaces = False
    outbox.quiet_due = None
    if len(batch.ends) < len(outbox.ends):
        _note_quiet(outbox, state.options, now)
    if batch.change is not None:
        state.claims.sealed = batch.number
    for claim in batch.claims:
        wait = state.claims.waits.get(RequestId(claim.request_id))
        if wait is not None:
            wait.sent = True


def on_done(state: State, event: AppendDone) -> Batch | None:
    """Note an append that took effect and give its record, unless it was read before."""
    outbox = state.claims.outbox
    batch = outbox.in_flight
    if batch is None or event.token != str(batch.number):
        return None
    outbox.in_flight = None
    outbox.failures = 0
    if event.first < state.claims.ledger.offset:
        return None
    outbox.landed[batch.number] = batch
    return batch


def give_up_late(state: State, now: float) -> list[Effect]:
    """Take an append for failed of which nothing was heard for far too long.

    Its task may have ended by a fault of the program, and nothing would ever be appended again.
    """
    outbox = state.claims.outbox
    batch = outbox.in_flight
    if batch is None or now - outbox.in_flight_at < state.options.claim_call_s:
        return []
    failed = AppendFailed(CLAIMS_STREAM, str(batch.number), "never answered", maybe=True)
    return on_failed(state, now, failed)


def on_failed(state: State, now: float, event: AppendFailed) -> list[Effect]:
    """Read on after a failed append: its acknowledgement may be all that was lost."""
    outbox = state.claims.outbox
    batch = outbox.in_flight
    if batch is None or event.token != str(batch.number):
        return []
    out_for = _out_for(outbox, now)
    outbox.in_flight = None
    outbox.failures += 1
    if out_for >= state.options.claim_down_s:
        outbox.failures = max(outbox.failures, state.options.claim_down_failures)
    pause = _pause(state.options, outbox.failures)
    outbox.retry_at = now + pause * (0.5 + state.rng.random() / 2)
    if batch.withdrawn or batch.ends:
        outbox.quiet_due = outbox.retry_at
    return [Count("claim.append_failed"), *read_on(state, now)]


def _pause(options: Options, failures: int) -> float:
    """Give the longest pause after so many failures in a row."""
    doubled = options.claim_retry_s * 2.0 ** min(failures - 1, 10)
    return min(options.claim_retry_max_s, doubled)


def read_on(state: State, now: float) -> list[Effect]:
    """Read the stream from where the ledger stands, one read at a time."""
    claims = state.claims
    claims.read_due = now + state.options.claim_read_s
    since = claims.reading_since
    if since is not None and now - since < state.options.claim_call_s:
        return []
    claims.reading_since = now
    return [ReadLog(CLAIMS_STREAM, claims.ledger.offset)]


def note_read_back(outbox: Outbox, batch: Batch, *, valid: bool) -> None:
    """Strike out what an own record has said, or say it again if the record is void."""
    outbox.landed.pop(batch.number, None)
    if not valid:
        return
    outbox.failures = 0
    for claim in batch.claims:
        outbox.claims.pop(RequestId(claim.request_id), None)
    for withdrawn in batch.withdrawn:
        outbox.withdrawn.pop(RequestId(withdrawn.request_id), None)
    for end in batch.ends:
        outbox.ends.pop(RequestId(end.request_id), None)
