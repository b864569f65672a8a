"""Keeps the view, the set of instances that may claim keys, up to date with the live instances.

Any member may replace the view. An instance that was removed by mistake requests membership again
in the log. Heartbeats decide who is live, but safety does not depend on them (`claim_view`).
"""

from __future__ import annotations

from typing import Final

import xxhash

from turmericweir_core.claims.claim_outbox import flush, is_log_slow, writer_of
from turmericweir_core.membership.membership import is_live, live_instances
from turmericweir_core.messages.effects import Effect
from turmericweir_core.records.claim_record import NO_VIEW, RecordWriter
from turmericweir_core.state.claim_view import View, is_member
from turmericweir_core.state.membership_state import Member
from turmericweir_core.state.state import State

HASH_RANGE: Final = 2**32


def on_tick(state: State, now: float) -> list[Effect]:
    """Replace the view, or request membership in it, if due."""
    claims = state.claims
    view = claims.ledger.views.current
    if not claims.ledger.has_all_claims:
        return []
    if view is None:
        return _apply_operator_epoch(state)
    if not state.options.claim_votes and not view.members:
        # No instance has created a view, and without votes this one does not create the first.
        return []
    if view.members and not is_member(view, writer_of(state)):
        _request_membership(state, now, view)
    elif not is_log_slow(claims.outbox, state.options, now):
        _replace_view(state, now, view)
    elif claims.outbox.failures > 0 and not claims.read_failed:
        # Reads work, so appends may work again. Tests this with an empty record, since a failed
        # view change would prevent this instance from agreeing to claims.
        claims.outbox.needs_floor = True
    return flush(state, now)


def _apply_operator_epoch(state: State) -> list[Effect]:
    """End the view whose epoch an operator has set in `claim_replace_epoch`."""
    epoch = state.options.claim_replace_epoch
    if epoch > NO_VIEW:
        state.claims.ledger.views.current = View(epoch, ())
    return []


def _request_membership(state: State, now: float, view: View) -> None:
    claims = state.claims
    claims.next_read_at = min(claims.next_read_at, now + state.options.claim_join_read_s)
    if state.stopping_since is not None or now < claims.next_join_at:
        return
    claims.next_join_at = now + state.options.claim_join_s
    if state.options.claim_replace_epoch == view.epoch:
        claims.outbox.next_members = (writer_of(state),)
        claims.outbox.is_replacement = True
        return
    claims.outbox.needs_join = True


def _replace_view(state: State, now: float, view: View) -> None:
    claims = state.claims
    if claims.outbox.in_flight is not None or claims.outbox.acknowledged_appends:
        return
    if view.epoch == NO_VIEW and not _is_first_view_due(state, now):
        return
    next_members = _next_members(state, now, view)
    # A change with an unknown outcome is written again, as only a later record settles it.
    is_due = claims.view_append_number is not None or set(next_members) != set(view.members)
    if is_due and (_is_leaving(state, now) or _is_drawn(state, now, view)):
        claims.outbox.next_members = next_members


def _is_first_view_due(state: State, now: float) -> bool:
    """Return whether the live instances have been stable for long enough to create a first view.

    Only members of a view may claim. Prevents a view of too few instances, which would block all
    keys while these cannot reach the log. Until the first view all instances may claim in the log.
    """
    claims = state.claims
    live = frozenset(each.incarnation for each in live_instances(state, now))
    if live != claims.live_incarnations:
        claims.live_incarnations = live
        claims.live_since = now
    stable_s = now - claims.live_since
    if stable_s < state.options.claim_view_met_s:
        return False
    if stable_s >= state.options.claim_view_first_s:
        return True
    return all(is_live(state, now, each) for each in state.members.by_name.values())


def _is_drawn(state: State, now: float, view: View) -> bool:
    """Return whether a draw selects this instance; one member is selected every few ticks.

    Uses a hash instead of the state's random generator. Prevents view changes from altering the
    random numbers of other decisions.
    """
    live = {each.incarnation for each in live_instances(state, now)}
    if view.members:
        # Only members can write the view. Prevents a long delay when few of the instances are
        # members.
        live &= {each.incarnation for each in view.members}
    if len(live) <= 1:
        return True
    drawn = xxhash.xxh32_intdigest(f"{state.me.incarnation}\0{now:.3f}".encode()) / HASH_RANGE
    return drawn * len(live) < state.options.claim_lot


def _is_leaving(state: State, now: float) -> bool:
    """Return whether this instance is stopping and holds no more keys."""
    stopping_since = state.stopping_since
    if stopping_since is None or now - stopping_since <= state.options.stop_grace_s:
        return False
    return not state.claims.waits and not state.claims.held_keys and not state.claims.outbox.claims


def _next_members(state: State, now: float, view: View) -> tuple[RecordWriter, ...]:
    live: dict[str, Member] = {each.name: each for each in live_instances(state, now)}
    claims = state.claims
    claims.live_before = (claims.live_before & {each.incarnation for each in view.members}) | {
        each.incarnation for each in live.values()
    }
    remaining = [
        each for each in view.members if _is_present(state, now, each, live.get(each.instance))
    ]
    joined = [writer_of(state), *claims.ledger.views.join_requests.values()]
    joined += [
        _writer_of_member(each) for each in live.values() if each.incarnation and not each.leaving
    ]
    writers = {each.incarnation: each for each in (*remaining, *joined)}
    if _is_leaving(state, now):
        del writers[state.me.incarnation]
    if len(writers) > state.options.claim_view_max:
        # With an empty view all instances may claim, but only in the log.
        return ()
    return tuple(sorted(writers.values(), key=lambda each: each.incarnation))


def _writer_of_member(member: Member) -> RecordWriter:
    return RecordWriter(member.name, member.incarnation, member.peer_address)


def _is_present(state: State, now: float, writer: RecordWriter, live_member: Member | None) -> bool:
    """Return whether a member is live or has recently written to the log."""
    unresponsive_members = state.claims.unresponsive_members
    if live_member is not None:
        unresponsive_members.pop(writer.incarnation, None)
        return live_member.incarnation in ("", writer.incarnation)
    numbers = state.claims.ledger.append_numbers
    append_number, _ = numbers.get((writer.instance, writer.incarnation), (0, 0))
    last_number, unchanged_since = unresponsive_members.get(writer.incarnation, (-1, now))
    if append_number != last_number:
        unresponsive_members[writer.incarnation] = (append_number, now)
        return True
    return now - unchanged_since < state.options.claim_view_quiet_s
