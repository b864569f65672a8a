"""Keeps live claims within what the log keeps, and helps new readers to know them all.

A claim whose newest record has fallen far behind the end is carried: written again by whichever
instance draws the lot first. Two that draw it at once cost one append; the second record changes
nothing. A reader that started amid the stream and has seen no floor yet asks for one by a record
of its own, and instances that know every live claim answer it by the same lot. Recovery is driven
by the one that lost its state, as in Thialfi (see docs/design/claims.md).
"""

from __future__ import annotations

from itertools import islice

from turmericweir_core.claims.claim_outbox import flush
from turmericweir_core.membership.membership import live_instances
from turmericweir_core.messages.effects import Effect, Log
from turmericweir_core.records.claim_record import NO_FLOOR, NO_VIEW
from turmericweir_core.state.claim_view import FIRST_VIEW, epoch_of
from turmericweir_core.state.state import State


def on_tick(state: State, now: float) -> list[Effect]:
    """Carry claims, ask for a floor or give one, where it is due."""
    effects = _note_blindness(state, now)
    _note_age(state, now)
    outbox = state.claims.outbox
    carry = _is_carry_due(state)
    floor = _is_floor_due(state)
    if (carry or floor) and _draws_lot(state, now):
        outbox.carry = outbox.carry or carry
        outbox.floor = outbox.floor or floor
    return effects + flush(state, now)


def _draws_lot(state: State, now: float) -> bool:
    """Draw so that over all instances one in a few ticks is expected to write."""
    others = len(live_instances(state, now))
    return state.rng.random() * max(1, others) < state.options.claim_lot


def _is_carry_due(state: State) -> bool:
    claims = state.claims
    ledger = claims.ledger
    if not ledger.whole:
        return False
    # The view is told again with the claims, before the log lets go of the record that names it.
    kept = [ledger.views.kept_at] if epoch_of(ledger.views) > NO_VIEW else []
    kept += [claim.kept_at for claim in islice(ledger.claims.values(), 1)]
    return any(_is_old(state, each) for each in kept)


def _is_old(state: State, kept_at: int) -> bool:
    claims = state.claims
    behind = claims.ledger.offset - kept_at
    return behind > state.options.claim_carry_records or kept_at < claims.carry_below


def _note_age(state: State, now: float) -> None:
    """Find out by the own clock which records have grown old, on a stream that stands still."""
    claims = state.claims
    if now < claims.mark_due:
        return
    claims.carry_below = claims.mark
    claims.mark = claims.ledger.offset
    claims.mark_due = now + state.options.claim_carry_s


def _is_floor_due(state: State) -> bool:
    ledger = state.claims.ledger
    if ledger.whole:
        return ledger.floor_asked_at != NO_FLOOR
    # One request for a floor stands in the log until somebody has answered it.
    return ledger.floor_asked_at < ledger.start


def _note_blindness(state: State, now: float) -> list[Effect]:
    """Trust the ledger once every claim that it may lack has expired."""
    claims = state.claims
    if claims.ledger.whole:
        claims.blind_since = None
        return []
    if claims.blind_since is None:
        claims.blind_since = now
    waited = now - claims.blind_since
    if waited <= state.options.claim_retention_s * state.options.claim_blind_margin:
        return []
    claims.ledger.whole = True
    if not state.options.claim_votes:
        # Without votes there are no views, and nobody is left who knew of one.
        claims.ledger.views.current = FIRST_VIEW
    claims.due |= set(claims.waiting)
    return [Log("claims_trusted", {"after_s": waited})]
