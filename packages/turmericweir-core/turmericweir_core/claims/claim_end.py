"""Updates a key when a request that held it or waited for it ends.

`lifecycle.finish` calls this module for every request.
"""

from __future__ import annotations

from turmericweir_core.base.account import Account, Outcome
from turmericweir_core.base.ids import RequestId
from turmericweir_core.base.request import Request
from turmericweir_core.claims.claim_outbox import queue_end, queue_withdrawal
from turmericweir_core.claims.claim_peer import stored_end_message
from turmericweir_core.claims.claim_vote import known_holder, release
from turmericweir_core.messages.effects import Effect
from turmericweir_core.records.claim_answer import StoredAnswer, StoredEnd, store_end
from turmericweir_core.records.claim_record import ClaimEnd, EndRecord
from turmericweir_core.state.claim_state import drop_wait
from turmericweir_core.state.state import State


def note_finished(
    state: State, now: float, account: Account, answer: StoredAnswer | None
) -> list[Effect]:
    """Release the key of a request that never ran, or store and send the end of one that ran."""
    claims = state.claims
    request_id = RequestId(account.request_id)
    key = claims.held_keys.pop(request_id, None)
    if key is None:
        return _end_wait(state, now, request_id)
    claims.keys_to_evaluate.add(key)
    if account.outcome is Outcome.NOT_RUN:
        # Prevents a claim that is not written yet from being appended after its withdrawal.
        claims.outbox.claims.pop(request_id, None)
        claims.withdrawing.add(request_id)
        queue_withdrawal(claims.outbox, state.options, now, request_id, key)
        claims.remote_waiters.pop(request_id, None)
        return release(state, request_id, key)
    end = ClaimEnd(account.outcome, account.reason, account.status)
    stored_end = StoredEnd(end, answer)
    store_end(claims.answers, state.options, request_id, stored_end)
    queue_end(claims.outbox, state.options, now, request_id, EndRecord(key, request_id, end))
    askers = claims.remote_waiters.pop(request_id, [])
    return [stored_end_message(state, asker, request_id, stored_end) for asker in askers]


def _end_wait(state: State, now: float, request_id: RequestId) -> list[Effect]:
    claims = state.claims
    wait = drop_wait(claims, request_id)
    if wait is None:
        return []
    claims.outbox.claims.pop(request_id, None)
    if wait.is_claim_sent:
        # The claim may be in the log or on its way there. Prevents it from holding the key without
        # a request that runs.
        claims.withdrawing.add(request_id)
        queue_withdrawal(claims.outbox, state.options, now, request_id, wait.key)
    return release(state, request_id, wait.key)


def waits_for_holder(state: State, req: Request) -> bool:
    """Return whether a request waits for another request that holds its key and may have run."""
    wait = state.claims.waits.get(req.request_id)
    if wait is None:
        return False
    holder = known_holder(state.claims, state.options, wait.key, req.request_id)
    return holder is not None and holder.claim.request_id != req.request_id
