"""The members' side of claims by agreement, used while the log is unreachable.

An instance that cannot append its claim asks every member of its view, including itself
(`claim_agreement`). A member agrees to one request per key, and only if no other request may hold
the key: none in its ledger, none that it agreed to, and no local claim that may reach the log. If
all members agree, the request runs, and its claim is appended once the log is reachable.

A second run would need the log or the agreement of the same members. Only members of the newest
view claim in the log, and each of them has agreed to the first request. A new view starts with a
record of a member that contains its agreements; the member then agrees to nothing until it knows
whether the record counts. Later members learn of the first request from that record. Clocks are not
involved.

A member keeps an agreement until the log shows the same request as the holder, the asking instance
reports that it never ran, or a newer view takes effect. It also keeps it if another request holds
the key in the log, as that one may be withdrawn while the agreement is still counted.
"""

from __future__ import annotations

from turmericweir_core.base.ids import InstanceName, RequestId
from turmericweir_core.base.options import Options
from turmericweir_core.claims.claim_outbox import has_competing_claim, queue_withdrawal, writer_of
from turmericweir_core.messages.claim_messages import ClaimRelease, ClaimVote, ClaimVoteAsk
from turmericweir_core.messages.effects import Effect, SendPeer
from turmericweir_core.records.claim_record import NewClaim, RecordWriter, uuid7_time_ms
from turmericweir_core.state.claim_ledger import Claim, ClaimFoldResult, holder_of
from turmericweir_core.state.claim_state import ClaimState, Vote
from turmericweir_core.state.claim_view import View, is_member
from turmericweir_core.state.state import State

# --- who holds a key -------------------------------------------------------------------------


def known_holder(claims: ClaimState, options: Options, key: str, request_id: str) -> Claim | None:
    """Return the holder of a key in the log, else another request that this instance agreed to."""
    holder = holder_of(claims.ledger, options, key)
    vote = claims.votes.get(key)
    if holder is not None or vote is None or vote.claim.request_id == request_id:
        return holder
    offset = claims.ledger.offset
    return Claim(vote.claim, vote.holder, offset, offset, offset, _claimed_at_ms(vote))


def _claimed_at_ms(vote: Vote) -> int:
    return uuid7_time_ms(vote.claim.request_id)


# --- agreeing --------------------------------------------------------------------------------


def voting_view(state: State) -> View | None:
    """Return the view under which this instance may agree to claims now, or None."""
    claims = state.claims
    view = claims.ledger.views.current
    if not state.options.claim_votes or not claims.ledger.has_all_claims or view is None:
        return None
    # Prevents agreements that are missing from a view change which may still take effect.
    if claims.view_append_number is not None or not is_member(view, writer_of(state)):
        return None
    return view


def agree(state: State, claim: NewClaim, holder: RecordWriter) -> bool:
    """Agree to a claim unless another request may hold its key; return whether it is agreed."""
    claims = state.claims
    current = holder_of(claims.ledger, state.options, claim.key)
    if current is not None:
        return current.claim.request_id == claim.request_id and not current.is_unsure
    vote = claims.votes.get(claim.key)
    if vote is not None:
        return vote.claim.request_id == claim.request_id
    if has_competing_claim(claims, claim.key, claim.request_id):
        return False
    if len(claims.ledger.claims) + len(claims.votes) >= state.options.claim_live_max:
        return False
    claims.votes[claim.key] = Vote(claim, holder)
    return True


def on_vote_ask(state: State, sender: InstanceName, ask: ClaimVoteAsk) -> list[Effect]:
    """Answer an instance that requests agreement to a claim."""
    view = voting_view(state)
    claim = NewClaim(ask.key, ask.fingerprint, ask.request_id)
    holder = RecordWriter(sender, ask.incarnation, ask.address)
    may_agree = view is not None and view.epoch == ask.epoch and is_member(view, holder)
    is_agreed = may_agree and agree(state, claim, holder)
    other_claim = known_holder(state.claims, state.options, ask.key, ask.request_id)
    vote = ClaimVote(ask.epoch, ask.request_id, state.me.incarnation, is_agreed)
    if not is_agreed and other_claim is not None and other_claim.claim.request_id != ask.request_id:
        vote = _refusal(state, vote, other_claim)
    return [SendPeer(sender, ask.address, vote)]


def _refusal(state: State, vote: ClaimVote, other_claim: Claim) -> ClaimVote:
    return ClaimVote(
        epoch=vote.epoch,
        request_id=vote.request_id,
        voter=vote.voter,
        is_agreed=False,
        holder=other_claim.claim.request_id,
        holder_fingerprint=other_claim.claim.fingerprint,
        holder_instance=other_claim.holder.instance,
        holder_incarnation=other_claim.holder.incarnation,
        holder_address=other_claim.holder.address,
        is_in_log=holder_of(state.claims.ledger, state.options, other_claim.claim.key) is not None,
    )


def on_release(state: State, message: ClaimRelease) -> None:
    """Drop the agreement to a request that never ran."""
    vote = state.claims.votes.get(message.key)
    if vote is not None and vote.claim.request_id == message.request_id:
        del state.claims.votes[message.key]
        state.claims.keys_to_evaluate.add(message.key)


def release(state: State, request_id: RequestId, key: str) -> list[Effect]:
    """Release the key at the members that agreed to a request that will never run."""
    claims = state.claims
    vote = claims.votes.get(key)
    if vote is None or vote.claim.request_id != request_id:
        return []
    del claims.votes[key]
    claims.keys_to_evaluate.add(key)
    view = claims.ledger.views.current
    if view is None:
        return []
    message = ClaimRelease(key, request_id)
    return [
        SendPeer(InstanceName(each.instance), each.address, message)
        for each in view.members
        if each.incarnation != state.me.incarnation
    ]


# --- records of the log ----------------------------------------------------------------------


def apply_folded_record(state: State, now: float, offset: int, folded: ClaimFoldResult) -> None:
    """Drop the agreements that a record of the log makes obsolete."""
    claims = state.claims
    for key in folded.touched_keys:
        holder = holder_of(claims.ledger, state.options, key)
        vote = claims.votes.get(key)
        if holder is not None and vote is not None and holder.claim == vote.claim:
            del claims.votes[key]
    batch = folded.batch
    if batch is None or not folded.is_valid:
        return
    for withdrawn in batch.withdrawn:
        on_release(state, ClaimRelease(withdrawn.key, withdrawn.request_id))
    if batch.writer.incarnation == state.me.incarnation and claims.view_append_number is not None:
        # A record with this or a higher number voids all earlier records that have not landed.
        claims.view_append_number = (
            None if batch.number >= claims.view_append_number else claims.view_append_number
        )
    _apply_new_view(state, now, offset, folded)


def _apply_new_view(state: State, now: float, offset: int, folded: ClaimFoldResult) -> None:
    claims = state.claims
    view = claims.ledger.views.current
    if view is None or view.epoch == claims.vote_epoch:
        return
    claims.vote_epoch = view.epoch
    # All claims that ran under the previous view are in the ledger now.
    claims.keys_to_evaluate.update(claims.votes, claims.waiting)
    claims.votes.clear()
    change = None if folded.batch is None else folded.batch.change
    if view.epoch != offset or change is None:
        return
    for agreed in change.agreed:
        _withdraw_if_ended(state, now, offset, agreed.claim, agreed.holder)


def _withdraw_if_ended(
    state: State, now: float, offset: int, claim: NewClaim, holder: RecordWriter
) -> None:
    """Withdraw a local claim that a view change restored after its release.

    Prevents the claim from holding its key for the whole retention without a running request.
    """
    claims = state.claims
    restored = claims.ledger.claims.get(claim.key)
    if restored is None or restored.claim_offset != offset or restored.holder != holder:
        return
    request_id = RequestId(claim.request_id)
    if holder.incarnation != state.me.incarnation or _is_pending(claims, request_id):
        return
    claims.withdrawing.add(request_id)
    queue_withdrawal(claims.outbox, state.options, now, request_id, claim.key)


def _is_pending(claims: ClaimState, request_id: RequestId) -> bool:
    """Return whether a request may still run, or its claim or end is still stored."""
    return (
        request_id in claims.waits
        or request_id in claims.held_keys
        or request_id in claims.outbox.claims
        or request_id in claims.outbox.ends
        or request_id in claims.answers.entries
    )
