"""The way of a non-idempotent call with an `Idempotency-Key` to its one run.

The request waits in `Phase.CLAIMING` until the ledger says who holds its key. If it is the request
itself, it goes on to the queue. If it is another, it gets that one's end: from this instance, from
the one that ran it, or from the log. No decision is taken on an event alone: `settle` looks at the
ledger and at the outbox afresh whenever something about the key may have changed, so the order in
which acknowledgements, reads and messages come does not matter.

What a caller is told: `not_run` only while the ledger shows no other holder, and then the claim is
withdrawn so that a record that lands late blocks nobody; `unknown` where another holder's end can't
be had; otherwise that holder's own outcome.
"""

from __future__ import annotations

from typing import assert_never

from turmericweir_core.base.account import Outcome
from turmericweir_core.base.ids import InstanceName, RequestId
from turmericweir_core.base.reasons import Reason
from turmericweir_core.base.request import Phase, Request
from turmericweir_core.claims.claim_outbox import (
    flush,
    give_up_late,
    is_claim_out,
    is_log_down,
    is_log_slow,
    note_read_back,
    note_tick,
    on_done,
    on_failed,
    put_claim,
    read_on,
    writer_of,
)
from turmericweir_core.claims.claim_peer import ask_holder, end_told, on_ask
from turmericweir_core.claims.claim_vote import known_holder, note_folded, on_release, on_vote_ask
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
from turmericweir_core.messages.peer_messages import (
    ClaimAsk,
    ClaimKept,
    ClaimOpen,
    ClaimRelease,
    ClaimUnheld,
    ClaimVote,
    ClaimVoteAsk,
)
from turmericweir_core.records.claim_answer import KeptEnd
from turmericweir_core.records.claim_record import CLAIMS_STREAM, NewClaim, encode, key_of
from turmericweir_core.requests import lifecycle
from turmericweir_core.requests.claim_ask import (
    ask_members,
    may_ask,
    note_unreachable_member,
    on_vote,
    refuse,
)
from turmericweir_core.state.claim_ledger import Claim, Folded, fold, restart, vouch_for
from turmericweir_core.state.claim_state import Wait, add_wait, drop_wait
from turmericweir_core.state.claim_view import may_claim
from turmericweir_core.state.state import State

# --- arrival ---------------------------------------------------------------------------------


def on_arrived(state: State, now: float, req: Request) -> list[Effect]:
    """Begin to claim the key of a request that lifecycle has let in for it."""
    if req.phase is not Phase.CLAIMING:
        return []
    # A call that waited for a server until its claim had expired could run beside another's.
    req.deadline = min(req.deadline, now + state.options.claim_retention_s / 2)
    wait = Wait(req.request_id, key_of(req))
    add_wait(state.claims, wait)
    return [*_settle(state, now, wait), *flush(state, now)]


# --- who holds the key -----------------------------------------------------------------------


def settle_due(state: State, now: float) -> list[Effect]:
    """Look again at the requests whose key something happened to."""
    claims = state.claims
    if not claims.due:
        return []
    effects: list[Effect] = []
    while claims.due:
        key = claims.due.pop()
        for request_id in list(claims.waiting.get(key, ())):
            wait = claims.waits.get(request_id)
            if wait is not None:
                effects += _settle(state, now, wait)
    return effects + flush(state, now)


def _settle(state: State, now: float, wait: Wait) -> list[Effect]:
    req = state.requests[wait.request_id]
    holder = known_holder(state.claims, state.options, wait.key, wait.request_id)
    if holder is None:
        return _claim(state, now, req, wait)
    if holder.claim.request_id == wait.request_id:
        return _won(state, now, req, wait, holder)
    state.claims.outbox.claims.pop(wait.request_id, None)
    if holder.claim.fingerprint != req.fingerprint:
        return lifecycle.finish(state, now, req, Outcome.NOT_RUN, Reason.KEY_REUSED)
    return _follow(state, now, req, wait, holder)


def _claim(state: State, now: float, req: Request, wait: Wait) -> list[Effect]:
    claims = state.claims
    outbox = claims.outbox
    is_out = is_claim_out(outbox, wait.request_id)
    if not is_out and len(claims.ledger.claims) + len(claims.votes) >= state.options.claim_live_max:
        return refuse(state, now, req)
    if is_log_slow(outbox, state.options, now) and may_ask(state, now, wait):
        # Not written meanwhile: a claim that may land in the log can't make way for another.
        return ask_members(state, now, req, wait)
    if is_log_down(outbox, state.options, now):
        return refuse(state, now, req)
    if not is_out and _may_write(state):
        put_claim(outbox, wait.request_id, NewClaim(wait.key, req.fingerprint, req.request_id))
    return []


def _may_write(state: State) -> bool:
    """Tell whether a claim by this instance would count, and it would know whether it is first."""
    ledger = state.claims.ledger
    is_known = ledger.whole and ledger.views.current is not None
    return is_known and may_claim(ledger.views, writer_of(state))


def _won(state: State, now: float, req: Request, wait: Wait, holder: Claim) -> list[Effect]:
    if holder.unsure:
        # The log let go of records before this instance read them; another may hold the key.
        return refuse(state, now, req)
    drop_wait(state.claims, wait.request_id)
    state.claims.held[wait.request_id] = wait.key
    if now >= req.deadline:
        return lifecycle.finish(state, now, req, Outcome.NOT_RUN, Reason.DEADLINE)
    return [Timing("claim", now - req.arrived), *lifecycle.admit(state, now, req)]


# --- another holds it ------------------------------------------------------------------------


def _follow(state: State, now: float, req: Request, wait: Wait, holder: Claim) -> list[Effect]:
    first = holder.claim.request_id
    kept = state.claims.answers.entries.get(first)
    if kept is not None:
        return _give(state, now, req, kept)
    if holder.holder.incarnation == state.me.incarnation:
        if RequestId(first) in state.requests or first in state.claims.withdrawing:
            return []
        return _give_from_log(state, now, req, holder)
    told = holder.end is not None and holder.end.outcome is not Outcome.COMPLETED
    if told or wait.lost_holder == first:
        return _give_from_log(state, now, req, holder)
    writer = holder.holder
    return ask_holder(state, now, wait, first, writer.instance, writer.address)


def _give_from_log(state: State, now: float, req: Request, holder: Claim) -> list[Effect]:
    if holder.end is None:
        return lifecycle.finish(state, now, req, Outcome.UNKNOWN, Reason.ALREADY_CLAIMED)
    return _give(state, now, req, KeptEnd(holder.end, None))


def _give(state: State, now: float, req: Request, kept: KeptEnd) -> list[Effect]:
    """Give a caller the end of the request that ran for its key."""
    end = kept.end
    if end.outcome is not Outcome.COMPLETED:
        return lifecycle.finish(state, now, req, end.outcome, end.reason, status=end.status)
    answer = kept.answer
    if answer is None:
        reason = Reason.ALREADY_COMPLETED
        return lifecycle.finish(state, now, req, Outcome.UNKNOWN, reason, status=end.status)
    replay = ReplayAnswer(req.request_id, answer.status, answer.headers, answer.body)
    finished = lifecycle.finish(state, now, req, end.outcome, end.reason, status=end.status)
    return [replay, Count("claim.replayed"), *finished]


def on_message(
    state: State,
    now: float,
    sender: InstanceName,
    message: (
        ClaimAsk | ClaimKept | ClaimOpen | ClaimUnheld | ClaimVoteAsk | ClaimVote | ClaimRelease
    ),
) -> list[Effect]:
    """Take a peer's question or answer about a holder."""
    match message:
        case ClaimAsk():
            return on_ask(state, sender, message)
        case ClaimKept():
            return _on_kept(state, now, message)
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


def _followed(state: State, waiter: str, holder: str) -> Wait | None:
    """Find the request that waits for this holder; a late answer finds none."""
    wait = state.claims.waits.get(RequestId(waiter))
    if wait is None:
        return None
    found = known_holder(state.claims, state.options, wait.key, wait.request_id)
    return wait if found is not None and found.claim.request_id == holder else None


def _on_kept(state: State, now: float, message: ClaimKept) -> list[Effect]:
    wait = _followed(state, message.waiter, message.holder)
    kept = end_told(message)
    if wait is None or kept is None:
        return []
    return _give(state, now, state.requests[wait.request_id], kept)


def _on_unheld(state: State, now: float, message: ClaimUnheld) -> list[Effect]:
    wait = _followed(state, message.waiter, message.holder)
    if wait is None:
        return []
    if state.claims.ledger.offset < message.offset:
        # It may have been withdrawn in records that this instance has not read; ask after those.
        return read_on(state, now)
    wait.lost_holder = message.holder
    state.claims.due.add(wait.key)
    return []


def on_peer_unreachable(state: State, now: float, event: PeerUnreachable) -> list[Effect]:
    """Stop waiting for a holder whose instance cannot be reached."""
    claims = state.claims
    for wait in claims.waits.values():
        holder = known_holder(claims, state.options, wait.key, wait.request_id)
        if holder is None:
            note_unreachable_member(state, now, wait, event.peer)
            continue
        if holder.holder.instance != event.peer:
            continue
        wait.failures += 1
        # One failure may be of a connection that was idle for long; a new one is tried at once.
        wait.ask_due = now
        if wait.failures >= state.options.claim_ask_failures:
            wait.lost_holder = holder.claim.request_id
        claims.due.add(wait.key)
    return []


# --- the log ---------------------------------------------------------------------------------


def on_append_done(state: State, now: float, event: AppendDone) -> list[Effect]:
    """Fold an own append at once where everything before it was read; else read up to it."""
    batch = on_done(state, event)
    effects: list[Effect] = []
    if batch is not None and event.first == state.claims.ledger.offset:
        effects += _fold(state, now, LogRecord(event.first, encode(batch)))
    elif batch is not None:
        # What it means depends on records of others that came before it.
        effects += read_on(state, now)
    # What is due decides first, as it may leave less to say.
    return effects if state.claims.due else effects + flush(state, now)


def on_append_failed(state: State, now: float, event: AppendFailed) -> list[Effect]:
    """Settle what can be settled after a failed append."""
    effects = on_failed(state, now, event)
    if is_log_down(state.claims.outbox, state.options, now):
        return effects + _refuse_unsent(state, now)
    return effects


def _refuse_unsent(state: State, now: float) -> list[Effect]:
    """Give up the claims that wait for a log that is down, rather than until their deadlines."""
    effects: list[Effect] = []
    for wait in list(state.claims.waits.values()):
        if known_holder(state.claims, state.options, wait.key, wait.request_id) is None:
            effects += _claim(state, now, state.requests[wait.request_id], wait)
    return effects


def on_read(state: State, now: float, event: LogRead) -> list[Effect]:
    """Fold what was read of the stream."""
    claims = state.claims
    claims.reading_since = None
    effects: list[Effect] = []
    for record in event.records:
        if record.offset == claims.ledger.offset:
            effects += _fold(state, now, record)
    if claims.ledger.offset < event.end:
        effects += read_on(state, now)
    if claims.read_failed:
        # The log is back, so an append need not wait out its pause.
        claims.outbox.retry_at = min(claims.outbox.retry_at, now)
    claims.read_failed = False
    # One more claim is let through, and says whether appends work again, too.
    down = state.options.claim_down_failures
    claims.outbox.failures = min(claims.outbox.failures, down - 1)
    return effects


def _fold(state: State, now: float, record: LogRecord) -> list[Effect]:
    claims = state.claims
    was_whole = claims.ledger.whole
    folded = fold(claims.ledger, state.options, record.offset, record.value)
    claims.due |= folded.touched
    note_folded(state, now, record.offset, folded)
    if claims.ledger.whole and not was_whole:
        claims.due |= set(claims.waiting)
    return _note_own(state, folded) + _complain(folded, record)


def _note_own(state: State, folded: Folded) -> list[Effect]:
    batch = folded.batch
    if batch is None or batch.writer.incarnation != state.me.incarnation:
        return []
    note_read_back(state.claims.outbox, batch, valid=folded.valid)
    if folded.valid:
        state.claims.withdrawing.difference_update(each.request_id for each in batch.withdrawn)
    state.claims.due.update(claim.key for claim in batch.claims)
    return []


def _complain(folded: Folded, record: LogRecord) -> list[Effect]:
    if folded.batch is not None:
        return [] if folded.valid else [Count("claim.void")]
    fields = {"stream": CLAIMS_STREAM, "offset": record.offset}
    return [Count("claim.malformed"), Log("record_malformed", fields)]


def on_expired(state: State, now: float, event: LogExpired) -> list[Effect]:
    """Go on from the oldest record that is left."""
    claims = state.claims
    claims.reading_since = None
    restart(claims.ledger, event.oldest)
    vouch_for(claims.ledger, writer_of(state))
    # Records that were acknowledged in the gap are never read back.
    claims.outbox.landed.clear()
    claims.due |= set(claims.waiting)
    fields = {"stream": CLAIMS_STREAM, "oldest": event.oldest}
    return [Log("claims_gap", fields), *read_on(state, now)]


def on_read_failed(state: State, now: float, event: LogFailed) -> list[Effect]:
    """Let the next read be made when it is due."""
    state.claims.reading_since = None
    state.claims.read_failed = True
    return []


# --- time ------------------------------------------------------------------------------------


def on_tick(state: State, now: float) -> list[Effect]:
    """Give up what is past its deadline; ask, read and write what is due."""
    note_tick(state.claims.outbox, state.options)
    effects: list[Effect] = []
    for wait in list(state.claims.waits.values()):
        req = state.requests[wait.request_id]
        if now >= req.deadline:
            effects += _out_of_time(state, now, req, wait)
        elif now >= wait.ask_due:
            # Where there is no holder to ask, the log may have become slow meanwhile.
            state.claims.due.add(wait.key)
    if now >= state.claims.read_due:
        effects += read_on(state, now)
    effects += give_up_late(state, now)
    return effects + flush(state, now)


def _out_of_time(state: State, now: float, req: Request, wait: Wait) -> list[Effect]:
    holder = known_holder(state.claims, state.options, wait.key, wait.request_id)
    if holder is None or holder.claim.request_id == req.request_id:
        return refuse(state, now, req)
    return lifecycle.finish(state, now, req, Outcome.UNKNOWN, Reason.ALREADY_CLAIMED)
