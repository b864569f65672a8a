"""Claim a key without the log, by agreement of all members of the view.

Used while the log does not respond; `claim_vote` explains why one agreement is enough. Agreed
claims are written to the log like any others as soon as it accepts appends again.
"""

from __future__ import annotations

from turmericweir_core.base.account import Outcome
from turmericweir_core.base.ids import InstanceName, RequestId
from turmericweir_core.base.reasons import Reason
from turmericweir_core.base.request import Request
from turmericweir_core.claims.claim_outbox import has_competing_claim, queue_claim, writer_of
from turmericweir_core.claims.claim_vote import agree, release, voting_view
from turmericweir_core.membership.membership import live_instances
from turmericweir_core.messages.claim_messages import ClaimVote, ClaimVoteAsk
from turmericweir_core.messages.effects import Count, Effect, SendPeer, Timing
from turmericweir_core.records.claim_record import NewClaim, RecordWriter
from turmericweir_core.requests import lifecycle
from turmericweir_core.state.claim_state import Vote, Wait, drop_wait
from turmericweir_core.state.state import State


def can_ask_members(state: State, now: float, wait: Wait) -> bool:
    """Return whether all members may still agree to a claim."""
    view = voting_view(state)
    if view is None or wait.has_yielded:
        return False
    if wait.vote_epoch != view.epoch:
        wait.vote_epoch = view.epoch
        wait.voters = set()
        wait.next_vote_request_at = wait.votes_requested_at = now
        wait.vote_failures = 0
        wait.is_denied = False
    # A member that does not answer may be paused or unreachable, which shows only later.
    is_overdue = now - wait.votes_requested_at >= state.options.claim_vote_wait_s
    has_lost_member = wait.vote_failures >= state.options.claim_ask_failures
    if wait.is_denied or is_overdue or has_lost_member:
        return False
    live_incarnations = {each.incarnation for each in live_instances(state, now)}
    state.claims.live_before |= live_incarnations
    # A member that was never seen live may be running, since views travel faster than heartbeats
    # between data centres. One that is no longer live has gone, and asking it would only cause
    # delay.
    gone_incarnations = state.claims.live_before - live_incarnations
    return not any(each.incarnation in gone_incarnations for each in view.members)


def record_unreachable_member(state: State, now: float, wait: Wait, peer: str) -> None:
    """Record a failure to reach a member, which is asked again over a new connection."""
    view = voting_view(state)
    if view is None or wait.vote_epoch != view.epoch:
        return
    for member in view.members:
        if member.instance == peer and member.incarnation not in wait.voters:
            wait.vote_failures += 1
            wait.next_vote_request_at = now
            state.claims.keys_to_evaluate.add(wait.key)


def ask_members(state: State, now: float, req: Request, wait: Wait) -> list[Effect]:
    """Ask the members of the view that have not agreed yet."""
    view = voting_view(state)
    if view is None:
        return []
    claim = NewClaim(wait.key, req.fingerprint, req.request_id)
    if now < wait.next_vote_request_at or not agree(state, claim, writer_of(state)):
        return []
    wait.voters.add(state.me.incarnation)
    wait.next_vote_request_at = now + state.options.claim_vote_again_s
    vote_request = ClaimVoteAsk(
        epoch=view.epoch,
        key=wait.key,
        fingerprint=req.fingerprint,
        request_id=req.request_id,
        incarnation=state.me.incarnation,
        address=state.me.peer_address,
    )
    missing_members = [each for each in view.members if each.incarnation not in wait.voters]
    effects: list[Effect] = [
        SendPeer(InstanceName(each.instance), each.address, vote_request)
        for each in missing_members
    ]
    return effects if missing_members else _admit_agreed(state, now, req, wait)


def on_vote(state: State, now: float, vote: ClaimVote) -> list[Effect]:
    """Process a member's vote."""
    wait = state.claims.waits.get(RequestId(vote.request_id))
    view = voting_view(state)
    if wait is None or wait.has_yielded or view is None:
        return []
    if vote.epoch != view.epoch or wait.vote_epoch != view.epoch:
        return []
    own_vote = state.claims.votes.get(wait.key)
    if own_vote is None or own_vote.claim.request_id != wait.request_id:
        return []
    req = state.requests[wait.request_id]
    if not vote.is_agreed:
        return _handle_denial(state, now, wait, vote)
    wait.voters.add(vote.voter)
    if any(each.incarnation not in wait.voters for each in view.members):
        return []
    return _admit_agreed(state, now, req, wait)


def _admit_agreed(state: State, now: float, req: Request, wait: Wait) -> list[Effect]:
    """Admit a request that all members agreed to."""
    claims = state.claims
    drop_wait(claims, wait.request_id)
    claims.held_keys[wait.request_id] = wait.key
    queue_claim(
        claims.outbox,
        wait.request_id,
        NewClaim(wait.key, req.fingerprint, req.request_id),
    )
    if now >= req.deadline:
        return lifecycle.finish(state, now, req, Outcome.NOT_RUN, Reason.DEADLINE)
    metrics: list[Effect] = [Count("claim.agreed"), Timing("claim", now - req.arrived_at)]
    return [*metrics, *lifecycle.admit(state, now, req)]


def _handle_denial(state: State, now: float, wait: Wait, vote: ClaimVote) -> list[Effect]:
    """Follow the request that a member prefers, or leave the claim to the log."""
    claims = state.claims
    claims.keys_to_evaluate.add(wait.key)
    if (
        not vote.holder
        or wait.is_claim_sent
        or has_competing_claim(claims, wait.key, wait.request_id)
    ):
        # This claim may be in the log already, so it cannot yield to another.
        wait.is_denied = True
        return []
    if vote.holder > wait.request_id and not vote.is_in_log:
        # Of two concurrent requests the one with the lower id wins; the other yields.
        return []
    # The request does not ask again. Prevents votes that are still in transit from counting.
    wait.has_yielded = True
    effects = release(state, wait.request_id, wait.key)
    holder = RecordWriter(vote.holder_instance, vote.holder_incarnation, vote.holder_address)
    preferred_claim = NewClaim(wait.key, vote.holder_fingerprint, vote.holder)
    claims.votes[wait.key] = Vote(preferred_claim, holder)
    return effects


def refuse_unclaimable(state: State, now: float, req: Request) -> list[Effect]:
    """Refuse a request whose key cannot be claimed now."""
    retry_after_s = state.options.claim_retry_after_s
    reason = Reason.CLAIM_UNAVAILABLE
    return lifecycle.finish(state, now, req, Outcome.NOT_RUN, reason, retry_after_s=retry_after_s)
