"""Keeps the view of those who may claim keys in step with who is there.

Any member may replace the view, and one that left out of it by mistake loses nothing but time: it
asks in the log to be let in again. So who is live may be guessed by heartbeats here; what is safe
never rests on the guess (`claim_view`).
"""

from __future__ import annotations

from typing import Final

import xxhash

from turmericweir_core.claims.claim_outbox import flush, is_log_slow, writer_of
from turmericweir_core.membership.membership import is_live, live_instances
from turmericweir_core.messages.effects import Effect
from turmericweir_core.records.claim_record import NO_VIEW, Writer
from turmericweir_core.state.claim_view import View, is_member
from turmericweir_core.state.membership_state import Member
from turmericweir_core.state.state import State

HASHES: Final = 2**32


def on_tick(state: State, now: float) -> list[Effect]:
    """Replace the view, or ask to be in it, where that is due."""
    claims = state.claims
    view = claims.ledger.views.current
    if not claims.ledger.whole:
        return []
    if view is None:
        return _trust_operator(state)
    if not state.options.claim_votes and not view.members:
        # Nobody has begun with views, and this instance does not.
        return []
    if view.members and not is_member(view, writer_of(state)):
        _ask_in(state, now, view)
    elif not is_log_slow(claims.outbox, state.options, now):
        _replace(state, now, view)
    elif claims.outbox.failures > 0 and not claims.read_failed:
        # Reads work, so appends may. A record that says nothing finds out; a change of view would
        # keep this instance from agreeing to claims if it failed.
        claims.outbox.floor = True
    return flush(state, now)


def _trust_operator(state: State) -> list[Effect]:
    """Take the view for ended that an operator says is, where nobody is left who knows it."""
    epoch = state.options.claim_replace_epoch
    if epoch > NO_VIEW:
        state.claims.ledger.views.current = View(epoch, ())
    return []


def _ask_in(state: State, now: float, view: View) -> None:
    claims = state.claims
    claims.read_due = min(claims.read_due, now + state.options.claim_join_read_s)
    if state.stopping_since is not None or now < claims.join_due:
        return
    claims.join_due = now + state.options.claim_join_s
    if state.options.claim_replace_epoch == view.epoch:
        claims.outbox.members = (writer_of(state),)
        claims.outbox.replaces = True
        return
    claims.outbox.join = True


def _replace(state: State, now: float, view: View) -> None:
    claims = state.claims
    if claims.outbox.in_flight is not None or claims.outbox.landed:
        return
    if view.epoch == NO_VIEW and not _have_met(state, now):
        return
    wanted = _wanted(state, now, view)
    # A change of which the outcome is unknown is settled by another record, so it is made again.
    is_due = claims.sealed is not None or set(wanted) != set(view.members)
    if is_due and (_is_leaving(state, now) or _draws_lot(state, now, view)):
        claims.outbox.members = wanted


def _have_met(state: State, now: float) -> bool:
    """Tell whether a first view would miss nobody, or enough time has passed to make one.

    From the first view on nobody else may claim. Were it made by an instance that has not met the
    others yet, and that one then cut off from the log, all keys would be closed for as long. So it
    waits until nobody has come or gone for a while. That delays no call: until there is a view all
    may claim in the log.
    """
    claims = state.claims
    live = frozenset(each.incarnation for each in live_instances(state, now))
    if live != claims.live_seen:
        claims.live_seen = live
        claims.live_since = now
    waited = now - claims.live_since
    if waited < state.options.claim_view_met_s:
        return False
    if waited >= state.options.claim_view_first_s:
        return True
    return all(is_live(state, now, each) for each in state.members.by_name.values())


def _draws_lot(state: State, now: float, view: View) -> bool:
    """Draw so that over all that may replace the view one in a few ticks is expected to write.

    By a hash, which takes nothing from the generator that other decisions draw from: views come and
    go in every instance, and would change what those decide.
    """
    live = {each.incarnation for each in live_instances(state, now)}
    if view.members:
        # Nobody else can write it. With a lot among all, one member of many instances would leave
        # the others out for seconds, and were it cut off then their keys would stay closed.
        live &= {each.incarnation for each in view.members}
    if len(live) <= 1:
        return True
    drawn = xxhash.xxh32_intdigest(f"{state.me.incarnation}\0{now:.3f}".encode()) / HASHES
    return drawn * len(live) < state.options.claim_lot


def _is_leaving(state: State, now: float) -> bool:
    """Tell whether this instance has stopped and holds no key any more."""
    since = state.stopping_since
    if since is None or now - since <= state.options.stop_grace_s:
        return False
    return not state.claims.waits and not state.claims.held and not state.claims.outbox.claims


def _wanted(state: State, now: float, view: View) -> tuple[Writer, ...]:
    live: dict[str, Member] = {each.name: each for each in live_instances(state, now)}
    claims = state.claims
    claims.met = (claims.met & {each.incarnation for each in view.members}) | {
        each.incarnation for each in live.values()
    }
    kept = [each for each in view.members if _stays(state, now, each, live.get(each.instance))]
    joined = [writer_of(state), *claims.ledger.views.joins.values()]
    joined += [_writer(each) for each in live.values() if each.incarnation and not each.leaving]
    found = {each.incarnation: each for each in (*kept, *joined)}
    if _is_leaving(state, now):
        del found[state.me.incarnation]
    if len(found) > state.options.claim_view_max:
        # Whoever comes may claim, but only in the log.
        return ()
    return tuple(sorted(found.values(), key=lambda each: each.incarnation))


def _writer(member: Member) -> Writer:
    return Writer(member.name, member.incarnation, member.peer_address)


def _stays(state: State, now: float, writer: Writer, live: Member | None) -> bool:
    """Tell whether a member is there: it is live, or has written to the log of late."""
    quiet = state.claims.quiet
    if live is not None:
        quiet.pop(writer.incarnation, None)
        return live.incarnation in ("", writer.incarnation)
    numbers = state.claims.ledger.numbers
    number, _ = numbers.get((writer.instance, writer.incarnation), (0, 0))
    last, since = quiet.get(writer.incarnation, (-1, now))
    if number != last:
        quiet[writer.incarnation] = (number, now)
        return True
    return now - since < state.options.claim_view_quiet_s
