"""Eras of the platform's store: what a read proves after the store came back from a copy.

The store may come back from a copy that is some seconds old. It then lacks the newest records,
gives their offsets out again, and states a higher era in its answers. The operator and the servers
write the missing records again shortly after. Until then the newest record that a read returns may
not be the newest that the store has acknowledged, so the read proves nothing about the records.

An era is *settled* once that time has passed, which instances tell each other by their proofs. It
is *quiet* once no lease of an earlier era can be held either; one instance then marks the era in
the store. An instance that starts reads the mark: a mark of an earlier era shows that the store
has just come back, and that the settings which it holds may be older than those in force. Marks
are lost with the records of their time, never ahead of them.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from turmericweir_core.membership import store_duty
from turmericweir_core.messages.effects import Count, Effect, Log
from turmericweir_core.messages.record_messages import EraMarked, MarkEra, RecordsRead

if TYPE_CHECKING:
    from turmericweir_core.state.state import State

# Time in which the operator and the servers write again what a copy lacks.
_REWRITE_WAIT_S: Final = 2.0
# An era is marked once this many terms of a lease are over. A holder that is cut off may hold one
# for a term after the store came back, and its instances' clocks may run at different speeds.
_LEASES_QUIET: Final = 2.0
# Interval between two attempts to mark an era.
_MARK_INTERVAL_S: Final = 5.0


def note_era(state: State, now: float, era: int) -> list[Effect]:
    """Record the era of an answer; log a change."""
    eras = state.eras
    if era <= eras.current:
        return []
    before, eras.current, eras.seen_at = eras.current, era, now
    if before == 0:
        return []
    eras.next_mark_at = now + _quiet_s(state)
    fields = {
        "era": era,
        "before": before,
        "settings_version": state.settings_offset(),
        "servers": len(state.servers.listed),
    }
    return [Count("store.era_changed"), Log("store_era", fields)]


def _quiet_s(state: State) -> float:
    """Return the time after which no lease of an earlier era is held."""
    options = state.options
    if state.duties is None:
        return _MARK_INTERVAL_S
    return max(_MARK_INTERVAL_S, _LEASES_QUIET * (options.lease_s + options.lease_margin_s))


def is_proof(state: State, era: int, requested_at: float) -> bool:
    """Return whether a read at a time, answered in an era, shows all that was acknowledged."""
    eras = state.eras
    if era <= eras.settled:
        return True
    return era == eras.current and requested_at >= eras.seen_at + _REWRITE_WAIT_S


def note_settled(state: State, now: float, era: int) -> list[Effect]:
    """Record that an era is settled, as seen here or by a peer."""
    effects = note_era(state, now, era)
    state.eras.settled = max(state.eras.settled, era)
    return effects


def is_mark_wanted(state: State) -> bool:
    """Return whether the mark in the store would show if the era is settled."""
    return state.eras.current == 0 or state.eras.settled < state.eras.current


def on_records_read(state: State, now: float, event: RecordsRead) -> list[Effect]:
    """Take an era as settled if it is marked, or if none was ever marked."""
    effects = note_era(state, now, event.era)
    state.eras.marked = event.marked_era or 0
    if event.marked_era is None or event.marked_era == event.era:
        state.eras.quiet = max(state.eras.quiet, event.era)
        state.eras.settled = max(state.eras.settled, event.era)
    else:
        state.eras.next_mark_at = max(state.eras.next_mark_at, now + _quiet_s(state))
    return effects


def on_marked(state: State, event: EraMarked) -> list[Effect]:
    """Record that an era was marked in the store."""
    state.eras.marked = max(state.eras.marked, event.era)
    state.eras.quiet = max(state.eras.quiet, event.era)
    return []


def on_tick(state: State, now: float) -> list[Effect]:
    """Mark a settled era in the store, if this instance reads for the others."""
    eras = state.eras
    if eras.marked >= eras.current or eras.settled < eras.current or now < eras.next_mark_at:
        return []
    if not store_duty.is_store_reader(state, now):
        return []
    eras.next_mark_at = now + _MARK_INTERVAL_S
    return [MarkEra(eras.current)]
