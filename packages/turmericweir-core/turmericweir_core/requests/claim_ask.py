"""The way of a request to its run without the log: by agreement of all members of the view.

Used while the log does not answer; `claim_vote` says why one agreement is enough. What was agreed
to here goes to the log as any other claim does, as soon as that takes appends again.
"""

from __future__ import annotations

from turmericweir_core.base.account import Outcome
from turmericweir_core.base.ids import InstanceName, RequestId
from turmericweir_core.base.reasons import Reason
from turmericweir_core.base.request import Request
from turmericweir_core.claims.claim_outbox import is_in_doubt, put_claim, writer_of
from turmericweir_core.claims.claim_vote import agree, release, voting_view
from turmericweir_core.membership.membership import live_instances
from turmericweir_core.messages.effects import Count, Effect, SendPeer, Timing
from turmericweir_core.messages.peer_messages import ClaimVote, ClaimVoteAsk
from turmericweir_core.records.claim_record import NewClaim, Writer
from turmericweir_core.requests import lifecycle
from turmericweir_core.state.claim_state import Vote, Wait, drop_wait
from turmericweir_core.state.state import State


def may_ask(state: State, now: float, wait: Wait) -> bool:
    """Tell whether the members may yet agree, all of them being there."""
    view = voting_view(state)
    if view is None or wait.yielded:
        return False
    if wait.vote_epoch != view.epoch:
        wait.vote_epoch = view.epoch
        wait.voters = set()
        wait.vote_due = wait.vote_since = now
        wait.vote_failures = 0
        wait.denied = False
    # A member that does not answer may be paused or cut off, which others see only later.
    is_late = now - wait.vote_since >= state.options.claim_vote_wait_s
    is_lost = wait.vote_failures >= state.options.claim_ask_failures
    if wait.denied or is_late or is_lost:
        return False
    live = {each.incarnation for each in live_instances(state, now)}
    state.claims.met |= live
    # One that was never seen live may be there all the same: views travel faster than heartbeats
    # between data centres. One that is no longer live is gone, and asking it would only hold up.
    gone = state.claims.met - live
    return not any(each.incarnation in gone for each in view.members)


def note_unreachable_member(state: State, now: float, wait: Wait, peer: str) -> None:
    """Ask a member once more over a new connection, and then no more."""
    view = voting_view(state)
    if view is None or wait.vote_epoch != view.epoch:
        return
    for each in view.members:
        if each.instance == peer and each.incarnation not in wait.voters:
            wait.vote_failures += 1
            wait.vote_due = now
            state.claims.due.add(wait.key)


def ask_members(state: State, now: float, req: Request, wait: Wait) -> list[Effect]:
    """Ask the members of the view that have not agreed yet."""
    view = voting_view(state)
    if view is None:
        return []
    claim = NewClaim(wait.key, req.fingerprint, req.request_id)
    if now < wait.vote_due or not agree(state, claim, writer_of(state)):
        return []
    wait.voters.add(state.me.incarnation)
    wait.vote_due = now + state.options.claim_vote_again_s
    ask = ClaimVoteAsk(
        epoch=view.epoch,
        key=wait.key,
        fingerprint=req.fingerprint,
        request_id=req.request_id,
        incarnation=state.me.incarnation,
        address=state.me.peer_address,
    )
    missing = [each for each in view.members if each.incarnation not in wait.voters]
    effects: list[Effect] = [
        SendPeer(InstanceName(each.instance), each.address, ask) for each in missing
    ]
    return effects if missing else _win(state, now, req, wait)


def on_vote(state: State, now: float, vote: ClaimVote) -> list[Effect]:
    """Take a member's answer."""
    wait = state.claims.waits.get(RequestId(vote.request_id))
    view = voting_view(state)
    if wait is None or wait.yielded or view is None:
        return []
    if vote.epoch != view.epoch or wait.vote_epoch != view.epoch:
        return []
    own = state.claims.votes.get(wait.key)
    if own is None or own.claim.request_id != wait.request_id:
        return []
    req = state.requests[wait.request_id]
    if not vote.agreed:
        return _on_refusal(state, now, wait, vote)
    wait.voters.add(vote.voter)
    if any(each.incarnation not in wait.voters for each in view.members):
        return []
    return _win(state, now, req, wait)


def _win(state: State, now: float, req: Request, wait: Wait) -> list[Effect]:
    claims = state.claims
    drop_wait(claims, wait.request_id)
    claims.held[wait.request_id] = wait.key
    put_claim(
        claims.outbox,
        wait.request_id,
        NewClaim(wait.key, req.fingerprint, req.request_id),
    )
    if now >= req.deadline:
        return lifecycle.finish(state, now, req, Outcome.NOT_RUN, Reason.DEADLINE)
    told: list[Effect] = [Count("claim.agreed"), Timing("claim", now - req.arrived)]
    return [*told, *lifecycle.admit(state, now, req)]


def _on_refusal(state: State, now: float, wait: Wait, vote: ClaimVote) -> list[Effect]:
    """Follow the request that a member prefers, or leave it to the log."""
    claims = state.claims
    claims.due.add(wait.key)
    if not vote.holder or wait.sent or is_in_doubt(claims, wait.key, wait.request_id):
        # The own claim may stand in the log already, so another can't be made way for.
        wait.denied = True
        return []
    if vote.holder > wait.request_id and not vote.in_log:
        # Of two that ask at once the one with the lower id goes on; the other makes way for it.
        return []
    # An agreement to it that is still on its way must never count, so it does not ask again.
    wait.yielded = True
    effects = release(state, wait.request_id, wait.key)
    holder = Writer(vote.holder_instance, vote.holder_incarnation, vote.holder_address)
    other = NewClaim(wait.key, vote.holder_fingerprint, vote.holder)
    claims.votes[wait.key] = Vote(other, holder)
    return effects


def refuse(state: State, now: float, req: Request) -> list[Effect]:
    """Tell a caller at once that its key can't be claimed now."""
    pause = state.options.claim_retry_after_s
    reason = Reason.CLAIM_UNAVAILABLE
    return lifecycle.finish(state, now, req, Outcome.NOT_RUN, reason, retry_after_s=pause)
