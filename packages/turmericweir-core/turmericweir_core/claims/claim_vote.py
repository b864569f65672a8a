"""Claims that all members of the view agree to, while the log is out of reach.

An instance whose claim the log does not take asks every member of its view, itself included. A
member agrees to one request for a key, and only while it knows of no other that may hold the key:
none in the ledger, none that it agreed to, and none of its own that may stand in the log or land
there yet. If all agree the request runs, and its claim goes to the log once that is back.

Why no second one runs: it would need the log or the same members. Only members of the newest view
claim in the log. Each of them has agreed to the first, and so claims the key for nobody else. A
newer view begins with a record by a member of this one, which brings what it agreed to and agrees
to nothing more until it knows whether that record counts. So whoever joins later knows of the first
by the record that lets it in. No clock takes part, and a member that is paused, cut off or dead
agrees to nothing; what it agreed to before, all others have agreed to as well.

Members remember what they agreed to until the log shows that very request as the holder, until the
asking instance says that it never ran, or until a newer view, which brings all that counts. That
another request holds the key in the log is no reason to forget: it may be withdrawn, and an
agreement that was given may yet be counted.

This is the members' side; `claim_ask` is that of the instance that asks.
"""

from __future__ import annotations

from turmericweir_core.base.ids import InstanceName, RequestId
from turmericweir_core.base.options import Options
from turmericweir_core.claims.claim_outbox import is_in_doubt, put_withdrawal, writer_of
from turmericweir_core.messages.effects import Effect, SendPeer
from turmericweir_core.messages.peer_messages import ClaimRelease, ClaimVote, ClaimVoteAsk
from turmericweir_core.records.claim_record import NewClaim, Writer, time_of
from turmericweir_core.state.claim_ledger import Claim, Folded, holder_of
from turmericweir_core.state.claim_state import ClaimState, Vote
from turmericweir_core.state.claim_view import View, is_member
from turmericweir_core.state.state import State

# --- who holds a key -------------------------------------------------------------------------


def known_holder(claims: ClaimState, options: Options, key: str, request_id: str) -> Claim | None:
    """Find who holds a key by the log, or another request that this instance has agreed to."""
    found = holder_of(claims.ledger, options, key)
    vote = claims.votes.get(key)
    if found is not None or vote is None or vote.claim.request_id == request_id:
        return found
    offset = claims.ledger.offset
    return Claim(vote.claim, vote.holder, offset, offset, offset, _at_ms(vote))


def _at_ms(vote: Vote) -> int:
    return time_of(vote.claim.request_id)


# --- agreeing --------------------------------------------------------------------------------


def voting_view(state: State) -> View | None:
    """Give the view under which this instance may agree to claims now, if there is any."""
    claims = state.claims
    view = claims.ledger.views.current
    if not state.options.claim_votes or not claims.ledger.whole or view is None:
        return None
    # What is agreed to after a change was composed is missing from it, and the change may count.
    if claims.sealed is not None or not is_member(view, writer_of(state)):
        return None
    return view


def agree(state: State, claim: NewClaim, holder: Writer) -> bool:
    """Agree to a claim, unless another request may hold its key."""
    claims = state.claims
    held = holder_of(claims.ledger, state.options, claim.key)
    if held is not None:
        return held.claim.request_id == claim.request_id and not held.unsure
    vote = claims.votes.get(claim.key)
    if vote is not None:
        return vote.claim.request_id == claim.request_id
    if is_in_doubt(claims, claim.key, claim.request_id):
        return False
    if len(claims.ledger.claims) + len(claims.votes) >= state.options.claim_live_max:
        return False
    claims.votes[claim.key] = Vote(claim, holder)
    return True


def on_vote_ask(state: State, sender: InstanceName, ask: ClaimVoteAsk) -> list[Effect]:
    """Answer an instance that asks for agreement."""
    view = voting_view(state)
    claim = NewClaim(ask.key, ask.fingerprint, ask.request_id)
    holder = Writer(sender, ask.incarnation, ask.address)
    may_agree = view is not None and view.epoch == ask.epoch and is_member(view, holder)
    agreed = may_agree and agree(state, claim, holder)
    other = known_holder(state.claims, state.options, ask.key, ask.request_id)
    vote = ClaimVote(ask.epoch, ask.request_id, state.me.incarnation, agreed)
    if not agreed and other is not None and other.claim.request_id != ask.request_id:
        vote = _refusal(state, vote, other)
    return [SendPeer(sender, ask.address, vote)]


def _refusal(state: State, vote: ClaimVote, other: Claim) -> ClaimVote:
    return ClaimVote(
        epoch=vote.epoch,
        request_id=vote.request_id,
        voter=vote.voter,
        agreed=False,
        holder=other.claim.request_id,
        holder_fingerprint=other.claim.fingerprint,
        holder_instance=other.holder.instance,
        holder_incarnation=other.holder.incarnation,
        holder_address=other.holder.address,
        in_log=holder_of(state.claims.ledger, state.options, other.claim.key) is not None,
    )


def on_release(state: State, message: ClaimRelease) -> None:
    """Forget what was agreed to for a request that never ran."""
    vote = state.claims.votes.get(message.key)
    if vote is not None and vote.claim.request_id == message.request_id:
        del state.claims.votes[message.key]
        state.claims.due.add(message.key)


def release(state: State, request_id: RequestId, key: str) -> list[Effect]:
    """Free the key at the members that agreed, as the request never ran and never will."""
    claims = state.claims
    vote = claims.votes.get(key)
    if vote is None or vote.claim.request_id != request_id:
        return []
    del claims.votes[key]
    claims.due.add(key)
    view = claims.ledger.views.current
    if view is None:
        return []
    message = ClaimRelease(key, request_id)
    return [
        SendPeer(InstanceName(each.instance), each.address, message)
        for each in view.members
        if each.incarnation != state.me.incarnation
    ]


# --- what the log says -----------------------------------------------------------------------


def note_folded(state: State, now: float, offset: int, folded: Folded) -> None:
    """Let go of what the log has settled."""
    claims = state.claims
    for key in folded.touched:
        holder = holder_of(claims.ledger, state.options, key)
        vote = claims.votes.get(key)
        if holder is not None and vote is not None and holder.claim == vote.claim:
            del claims.votes[key]
    batch = folded.batch
    if batch is None or not folded.valid:
        return
    for withdrawn in batch.withdrawn:
        on_release(state, ClaimRelease(withdrawn.key, withdrawn.request_id))
    if batch.writer.incarnation == state.me.incarnation and claims.sealed is not None:
        # A record of this number or above makes any earlier one void that is still to land.
        claims.sealed = None if batch.number >= claims.sealed else claims.sealed
    _note_view(state, now, offset, folded)


def _note_view(state: State, now: float, offset: int, folded: Folded) -> None:
    claims = state.claims
    view = claims.ledger.views.current
    if view is None or view.epoch == claims.vote_epoch:
        return
    claims.vote_epoch = view.epoch
    # All claims that were carried out under the view before are in the ledger by now.
    claims.due.update(claims.votes, claims.waiting)
    claims.votes.clear()
    change = None if folded.batch is None else folded.batch.change
    if view.epoch != offset or change is None:
        return
    for agreed in change.agreed:
        _disown(state, now, offset, agreed.claim, agreed.holder)


def _disown(state: State, now: float, offset: int, claim: NewClaim, holder: Writer) -> None:
    """Withdraw an own claim that the change of view brought back after it had been released.

    It would hold its key with nobody to run it until the retention is over.
    """
    claims = state.claims
    entered = claims.ledger.claims.get(claim.key)
    if entered is None or entered.claimed_at != offset or entered.holder != holder:
        return
    request_id = RequestId(claim.request_id)
    if holder.incarnation != state.me.incarnation or _is_in_hand(claims, request_id):
        return
    claims.withdrawing.add(request_id)
    put_withdrawal(claims.outbox, state.options, now, request_id, claim.key)


def _is_in_hand(claims: ClaimState, request_id: RequestId) -> bool:
    """Tell whether a request may yet run or has run: its claim stays here until it is read."""
    return (
        request_id in claims.waits
        or request_id in claims.held
        or request_id in claims.outbox.claims
        or request_id in claims.outbox.ends
        or request_id in claims.answers.entries
    )
