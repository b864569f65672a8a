"""Keeps live claims within the retention of the log, and lets new readers learn all of them.

A claim whose newest record is far behind the end of the log is carried, that is written again, by a
randomly selected instance. If two instances are selected, the second record has no effect. A reader
that did not start at the beginning of the stream requests a floor (`claim_ledger`) with a record. A
randomly selected instance that knows every live claim writes one (see docs/design/claims.md).
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
    """Carry claims, and request or write a floor, if due."""
    effects = _mark_whole_after_retention(state, now)
    _update_carry_offset(state, now)
    outbox = state.claims.outbox
    is_carry_due = _is_carry_due(state)
    is_floor_due = _is_floor_due(state)
    if (is_carry_due or is_floor_due) and _is_drawn(state, now):
        outbox.needs_carry = outbox.needs_carry or is_carry_due
        outbox.needs_floor = outbox.needs_floor or is_floor_due
    return effects + flush(state, now)


def _is_drawn(state: State, now: float) -> bool:
    """Return whether a random draw selects this instance; one is selected every few ticks."""
    instances = len(live_instances(state, now))
    return state.rng.random() * max(1, instances) < state.options.claim_lot


def _is_carry_due(state: State) -> bool:
    claims = state.claims
    ledger = claims.ledger
    if not ledger.has_all_claims:
        return False
    # The view is carried with the claims, before the log expires the record that contains it.
    offsets = [ledger.views.members_offset] if epoch_of(ledger.views) > NO_VIEW else []
    offsets += [claim.record_offset for claim in islice(ledger.claims.values(), 1)]
    return any(_needs_carrying(state, each) for each in offsets)


def _needs_carrying(state: State, record_offset: int) -> bool:
    claims = state.claims
    distance = claims.ledger.offset - record_offset
    return distance > state.options.claim_carry_records or record_offset < claims.carry_below_offset


def _update_carry_offset(state: State, now: float) -> None:
    """Update the offset below which records are old by the local clock.

    Prevents the log from deleting claims of an idle stream before they are carried.
    """
    claims = state.claims
    if now < claims.next_age_mark_at:
        return
    claims.carry_below_offset = claims.age_mark_offset
    claims.age_mark_offset = claims.ledger.offset
    claims.next_age_mark_at = now + state.options.claim_carry_s


def _is_floor_due(state: State) -> bool:
    ledger = state.claims.ledger
    if ledger.has_all_claims:
        return ledger.floor_request_offset != NO_FLOOR
    # Only one request for a floor is open in the log at a time.
    return ledger.floor_request_offset < ledger.start_offset


def _mark_whole_after_retention(state: State, now: float) -> list[Effect]:
    """Mark the ledger as whole once all claims that may be missing from it have expired."""
    claims = state.claims
    if claims.ledger.has_all_claims:
        claims.incomplete_since = None
        return []
    if claims.incomplete_since is None:
        claims.incomplete_since = now
    waited_s = now - claims.incomplete_since
    if waited_s <= state.options.claim_retention_s * state.options.claim_blind_margin:
        return []
    claims.ledger.has_all_claims = True
    if not state.options.claim_votes:
        # Without votes there are no views, and no instance knows of an earlier one.
        claims.ledger.views.current = FIRST_VIEW
    claims.keys_to_evaluate |= set(claims.waiting)
    return [Log("claims_trusted", {"after_s": waited_s})]
