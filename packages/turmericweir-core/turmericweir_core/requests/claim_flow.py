"""Claim the `Idempotency-Key` of a non-idempotent call and run it at most once.

The request waits in `RequestPhase.CLAIMING` until the ledger shows which request holds its key. If
it is the holder itself, it is queued. Otherwise it gets the end of the holder: from this instance,
from the instance that ran it, or from the log. `_settle_wait` checks the ledger and the outbox
whenever something about the key may have changed, so the order of acknowledgements, reads and
messages does not matter.

A caller gets `not_run` only while the ledger shows no other holder, and the claim is then
withdrawn, which prevents a delayed record from blocking the key. It gets `unknown` where another
holder's end is not available, and otherwise that holder's outcome.
"""

from __future__ import annotations

from typing import assert_never

from turmericweir_core.base.account import Outcome
from turmericweir_core.base.ids import InstanceName, RequestId
from turmericweir_core.base.reasons import Reason
from turmericweir_core.base.request import Request, RequestPhase
from turmericweir_core.claims.claim_outbox import (
    count_append_time,
    fail_overdue_append,
    flush,
    is_claim_in_progress,
    is_log_down,
    is_log_slow,
    on_done,
    on_failed,
    queue_claim,
    read_claims_stream,
    remove_read_back,
    writer_of,
)
from turmericweir_core.claims.claim_peer import ask_holder, end_from_message, on_ask
from turmericweir_core.claims.claim_vote import (
    apply_folded_record,
    known_holder,
    on_release,
    on_vote_ask,
)
from turmericweir_core.messages.claim_messages import (
    ClaimAsk,
    ClaimKept,
    ClaimOpen,
    ClaimRelease,
    ClaimUnheld,
    ClaimVote,
    ClaimVoteAsk,
)
from turmericweir_core.messages.effects import Count, Effect, Log, ReplayAnswer, Timing
from turmericweir_core.messages.events import (
    AppendDone,
    AppendFailed,
    LogExpired,
    LogFailed,
    LogRead,
    LogRecord,
    PeerUnreachable,
)
from turmericweir_core.records.claim_answer import StoredEnd
from turmericweir_core.records.claim_record import CLAIMS_STREAM, NewClaim, claim_key_of, encode
from turmericweir_core.requests import lifecycle
from turmericweir_core.requests.claim_agreement import (
    ask_members,
    can_ask_members,
    on_vote,
    record_unreachable_member,
    refuse_unclaimable,
)
from turmericweir_core.state.claim_ledger import (
    Claim,
    ClaimFoldResult,
    fold,
    note_own_writer,
    restart,
)
from turmericweir_core.state.claim_state import Wait, add_wait, drop_wait
from turmericweir_core.state.claim_view import can_claim
from turmericweir_core.state.state import State

# --- arrival ---------------------------------------------------------------------------------


def on_arrived(state: State, now: float, req: Request) -> list[Effect]:
    """Start to claim the key of a request that `lifecycle` has put into the claiming phase."""
    if req.phase is not RequestPhase.CLAIMING:
        return []
    # Prevents a call that waits until its claim expired from running beside another one.
    req.deadline = min(req.deadline, now + state.options.claim_retention_s / 2)
    wait = Wait(req.request_id, claim_key_of(req))
    add_wait(state.claims, wait)
    return [*_settle_wait(state, now, wait), *flush(state, now)]


# --- holder of the key -----------------------------------------------------------------------


def settle_changed_keys(state: State, now: float) -> list[Effect]:
    """Settle the requests whose keys changed."""
    claims = state.claims
    if not claims.keys_to_evaluate:
        return []
    effects: list[Effect] = []
    while claims.keys_to_evaluate:
        key = claims.keys_to_evaluate.pop()
        for request_id in list(claims.waiting.get(key, ())):
            wait = claims.waits.get(request_id)
            if wait is not None:
                effects += _settle_wait(state, now, wait)
    return effects + flush(state, now)


def _settle_wait(state: State, now: float, wait: Wait) -> list[Effect]:
    """Decide how a request goes on, by who holds its key."""
    req = state.requests[wait.request_id]
    holder = known_holder(state.claims, state.options, wait.key, wait.request_id)
    if holder is None:
        return _claim_key(state, now, req, wait)
    if holder.claim.request_id == wait.request_id:
        return _admit_holder(state, now, req, wait, holder)
    state.claims.outbox.claims.pop(wait.request_id, None)
    if holder.claim.fingerprint != req.fingerprint:
        return lifecycle.finish(state, now, req, Outcome.NOT_RUN, Reason.KEY_REUSED)
    return _follow_holder(state, now, req, wait, holder)


def _claim_key(state: State, now: float, req: Request, wait: Wait) -> list[Effect]:
    """Claim a key that has no holder, by the log or by the members' agreement."""
    claims = state.claims
    outbox = claims.outbox
    has_claim_in_progress = is_claim_in_progress(outbox, wait.request_id)
    if (
        not has_claim_in_progress
        and len(claims.ledger.claims) + len(claims.votes) >= state.options.claim_live_max
    ):
        return refuse_unclaimable(state, now, req)
    if is_log_slow(outbox, state.options, now) and can_ask_members(state, now, wait):
        # No claim is written meanwhile: one that may be in the log cannot yield to another.
        return ask_members(state, now, req, wait)
    if is_log_down(outbox, state.options, now):
        return refuse_unclaimable(state, now, req)
    if not has_claim_in_progress and _can_write_claim(state):
        queue_claim(outbox, wait.request_id, NewClaim(wait.key, req.fingerprint, req.request_id))
    return []


def _can_write_claim(state: State) -> bool:
    """Return whether this instance may claim, and would see an earlier claim of the same key."""
    ledger = state.claims.ledger
    is_ledger_current = ledger.has_all_claims and ledger.views.current is not None
    return is_ledger_current and can_claim(ledger.views, writer_of(state))


def _admit_holder(
    state: State, now: float, req: Request, wait: Wait, holder: Claim
) -> list[Effect]:
    """Admit a request that holds its key."""
    if holder.is_unsure:
        # The log dropped records before this instance read them; another request may hold the key.
        return refuse_unclaimable(state, now, req)
    drop_wait(state.claims, wait.request_id)
    state.claims.held_keys[wait.request_id] = wait.key
    if now >= req.deadline:
        return lifecycle.finish(state, now, req, Outcome.NOT_RUN, Reason.DEADLINE)
    return [Timing("claim", now - req.arrived_at), *lifecycle.admit(state, now, req)]


# --- another holder --------------------------------------------------------------------------


def _follow_holder(
    state: State, now: float, req: Request, wait: Wait, holder: Claim
) -> list[Effect]:
    """Finish a request with the end of its key's holder, or ask for that end."""
    holder_id = holder.claim.request_id
    stored_end = state.claims.answers.entries.get(holder_id)
    if stored_end is not None:
        return _finish_with_end(state, now, req, stored_end)
    if holder.holder.incarnation == state.me.incarnation:
        if RequestId(holder_id) in state.requests or holder_id in state.claims.withdrawing:
            return []
        return _finish_from_log(state, now, req, holder)
    has_unsuccessful_end = holder.end is not None and holder.end.outcome is not Outcome.COMPLETED
    if has_unsuccessful_end or wait.lost_holder == holder_id:
        return _finish_from_log(state, now, req, holder)
    writer = holder.holder
    return ask_holder(state, now, wait, holder_id, writer.instance, writer.address)


def _finish_from_log(state: State, now: float, req: Request, holder: Claim) -> list[Effect]:
    """Finish a request with the holder's end in the log, or `unknown` where there is none."""
    if holder.end is None:
        return lifecycle.finish(state, now, req, Outcome.UNKNOWN, Reason.ALREADY_CLAIMED)
    return _finish_with_end(state, now, req, StoredEnd(holder.end, None))


def _finish_with_end(state: State, now: float, req: Request, stored_end: StoredEnd) -> list[Effect]:
    """Send a caller the end of the request that ran for its key."""
    end = stored_end.end
    if end.outcome is not Outcome.COMPLETED:
        return lifecycle.finish(state, now, req, end.outcome, end.reason, status=end.status)
    answer = stored_end.answer
    if answer is None:
        reason = Reason.ALREADY_COMPLETED
        return lifecycle.finish(state, now, req, Outcome.UNKNOWN, reason, status=end.status)
    replay = ReplayAnswer(req.request_id, answer.status, answer.headers, answer.body)
    finish_effects = lifecycle.finish(state, now, req, end.outcome, end.reason, status=end.status)
    return [replay, Count("claim.replayed"), *finish_effects]


def on_message(
    state: State,
    now: float,
    sender: InstanceName,
    message: (
        ClaimAsk | ClaimKept | ClaimOpen | ClaimUnheld | ClaimVoteAsk | ClaimVote | ClaimRelease
    ),
) -> list[Effect]:
    """Process a peer's question or answer about a holder."""
    match message:
        case ClaimAsk():
            return on_ask(state, sender, message)
        case ClaimKept():
            return _on_stored_end(state, now, message)
        case ClaimOpen():
            wait = state.claims.waits.get(RequestId(message.waiter))
            if wait is not None:
                wait.failures = 0
            return []
        case ClaimUnheld():
            return _on_unheld(state, now, message)
        case ClaimVoteAsk():
            return on_vote_ask(state, sender, message)
        case ClaimVote():
            return on_vote(state, now, message)
        case ClaimRelease():
            on_release(state, message)
            return []
        case unreachable:
            assert_never(unreachable)


def _find_wait(state: State, waiter: str, holder: str) -> Wait | None:
    """Return the request that waits for this holder; None for a stale answer."""
    wait = state.claims.waits.get(RequestId(waiter))
    if wait is None:
        return None
    current_holder = known_holder(state.claims, state.options, wait.key, wait.request_id)
    return (
        wait if current_holder is not None and current_holder.claim.request_id == holder else None
    )


def _on_stored_end(state: State, now: float, message: ClaimKept) -> list[Effect]:
    wait = _find_wait(state, message.waiter, message.holder)
    stored_end = end_from_message(message)
    if wait is None or stored_end is None:
        return []
    return _finish_with_end(state, now, state.requests[wait.request_id], stored_end)


def _on_unheld(state: State, now: float, message: ClaimUnheld) -> list[Effect]:
    wait = _find_wait(state, message.waiter, message.holder)
    if wait is None:
        return []
    if state.claims.ledger.offset < message.offset:
        # The claim may be withdrawn in records that this instance has not read yet.
        return read_claims_stream(state, now)
    wait.lost_holder = message.holder
    state.claims.keys_to_evaluate.add(wait.key)
    return []


def on_peer_unreachable(state: State, now: float, event: PeerUnreachable) -> list[Effect]:
    """Stop waiting for a holder whose instance is unreachable."""
    claims = state.claims
    for wait in claims.waits.values():
        holder = known_holder(claims, state.options, wait.key, wait.request_id)
        if holder is None:
            record_unreachable_member(state, now, wait, event.peer)
            continue
        if holder.holder.instance != event.peer:
            continue
        wait.failures += 1
        # A failure may be due to an idle connection; a new one is tried at once.
        wait.next_query_at = now
        if wait.failures >= state.options.claim_ask_failures:
            wait.lost_holder = holder.claim.request_id
        claims.keys_to_evaluate.add(wait.key)
    return []


# --- the log ---------------------------------------------------------------------------------


def on_append_done(state: State, now: float, event: AppendDone) -> list[Effect]:
    """Apply an acknowledged append if all earlier records were read; else read up to it."""
    batch = on_done(state, event)
    effects: list[Effect] = []
    if batch is not None and event.first_offset == state.claims.ledger.offset:
        effects += _apply_record(state, now, LogRecord(event.first_offset, encode(batch)))
    elif batch is not None:
        # Its effect depends on earlier records of other instances.
        effects += read_claims_stream(state, now)
    # Keys are settled before the next flush, as that may leave less to write.
    return effects if state.claims.keys_to_evaluate else effects + flush(state, now)


def on_append_failed(state: State, now: float, event: AppendFailed) -> list[Effect]:
    """Process a failed append; settle the claims without a holder if the log is down."""
    effects = on_failed(state, now, event)
    if is_log_down(state.claims.outbox, state.options, now):
        return effects + _refuse_unwritten(state, now)
    return effects


def _refuse_unwritten(state: State, now: float) -> list[Effect]:
    """Ask the members about claims that wait for an unavailable log, or refuse them at once."""
    effects: list[Effect] = []
    for wait in list(state.claims.waits.values()):
        if known_holder(state.claims, state.options, wait.key, wait.request_id) is None:
            effects += _claim_key(state, now, state.requests[wait.request_id], wait)
    return effects


def on_read(state: State, now: float, event: LogRead) -> list[Effect]:
    """Apply the records that were read from the stream."""
    claims = state.claims
    claims.reading_since = None
    effects: list[Effect] = []
    for record in event.records:
        if record.offset == claims.ledger.offset:
            effects += _apply_record(state, now, record)
    if claims.ledger.offset < event.end_offset:
        effects += read_claims_stream(state, now)
    if claims.read_failed:
        # The log responds again, so an append need not wait for its retry time.
        claims.outbox.retry_at = min(claims.outbox.retry_at, now)
    claims.read_failed = False
    # Lets the next claim be written, which shows whether appends work again.
    failures_max = state.options.claim_down_failures
    claims.outbox.failures = min(claims.outbox.failures, failures_max - 1)
    return effects


def _apply_record(state: State, now: float, record: LogRecord) -> list[Effect]:
    """Apply a record to the ledger."""
    claims = state.claims
    had_all_claims = claims.ledger.has_all_claims
    folded = fold(claims.ledger, state.options, record.offset, record.value)
    claims.keys_to_evaluate |= folded.touched_keys
    apply_folded_record(state, now, record.offset, folded)
    if claims.ledger.has_all_claims and not had_all_claims:
        claims.keys_to_evaluate |= set(claims.waiting)
    return _record_own_batch(state, folded) + _report_bad_record(folded, record)


def _record_own_batch(state: State, folded: ClaimFoldResult) -> list[Effect]:
    """Record that a batch of this instance was read back."""
    batch = folded.batch
    if batch is None or batch.writer.incarnation != state.me.incarnation:
        return []
    remove_read_back(state.claims.outbox, batch, valid=folded.is_valid)
    if folded.is_valid:
        state.claims.withdrawing.difference_update(each.request_id for each in batch.withdrawn)
    state.claims.keys_to_evaluate.update(claim.key for claim in batch.claims)
    return []


def _report_bad_record(folded: ClaimFoldResult, record: LogRecord) -> list[Effect]:
    """Report a void or malformed record."""
    if folded.batch is not None:
        return [] if folded.is_valid else [Count("claim.void")]
    fields = {"stream": CLAIMS_STREAM, "offset": record.offset}
    return [Count("claim.malformed"), Log("record_malformed", fields)]


def on_expired(state: State, now: float, event: LogExpired) -> list[Effect]:
    """Continue from the oldest record that is left."""
    claims = state.claims
    claims.reading_since = None
    restart(claims.ledger, event.oldest_offset)
    note_own_writer(claims.ledger, writer_of(state))
    # Acknowledged records in the gap are never read back.
    claims.outbox.acknowledged_appends.clear()
    claims.keys_to_evaluate |= set(claims.waiting)
    fields = {"stream": CLAIMS_STREAM, "oldest": event.oldest_offset}
    return [Log("claims_gap", fields), *read_claims_stream(state, now)]


def on_read_failed(state: State, now: float, event: LogFailed) -> list[Effect]:
    """Allow the next read when it is due."""
    state.claims.reading_since = None
    state.claims.read_failed = True
    return []


# --- ticks -----------------------------------------------------------------------------------


def on_tick(state: State, now: float) -> list[Effect]:
    """End expired requests; send the queries, reads and appends that are due."""
    count_append_time(state.claims.outbox, state.options)
    effects: list[Effect] = []
    for wait in list(state.claims.waits.values()):
        req = state.requests[wait.request_id]
        if now >= req.deadline:
            effects += _finish_expired(state, now, req, wait)
        elif now >= wait.next_query_at:
            # Also where the key has no holder, as the log may have become slow meanwhile.
            state.claims.keys_to_evaluate.add(wait.key)
    if now >= state.claims.next_read_at:
        effects += read_claims_stream(state, now)
    effects += fail_overdue_append(state, now)
    return effects + flush(state, now)


def _finish_expired(state: State, now: float, req: Request, wait: Wait) -> list[Effect]:
    """End a request whose deadline has passed."""
    holder = known_holder(state.claims, state.options, wait.key, wait.request_id)
    if holder is None or holder.claim.request_id == req.request_id:
        return refuse_unclaimable(state, now, req)
    return lifecycle.finish(state, now, req, Outcome.UNKNOWN, Reason.ALREADY_CLAIMED)
