"""The records of crashes as instances merge them: who was in flight, and who is cleared of it.

A record holds sets that only grow. Instances add what they saw (`quarantine`) and what others tell
them, in any order, and come to the same.

Two things would blame an innocent for a crash that was not its own. An instance that has no report
of a server does not know its incarnation, so its record of a crash has another name than the
others'; the two are joined by their time. And a request that is sent before the news of a crash has
arrived finds a connection that takes it and breaks: it began after the crash, so the instance that
sent it takes its sighting back. The sightings of other instances stand: the same request may have
made the crash through one of them.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Final

from turmericweir_core.messages.peer_messages import Sighting
from turmericweir_core.state.quarantine_state import (
    Crash,
    CrashKey,
    Evidence,
    QuarantineState,
    is_named,
)

if TYPE_CHECKING:
    from turmericweir_core.state.state import State

# How often each news is sent to everyone.
SENDINGS: Final = 2
# Instances see one crash at the same moment, but for the way of the news; and no server is back and
# crashes again within this time.
# TODO: a server that vanishes without a word breaks its connections over seconds. It matters where
# such a server's incarnation is known to some instances only: its end counts as two crashes.
_SAME_CRASH_S: Final = 0.75


def clear_late(state: State, now: float) -> None:
    """Take back this instance's sightings of requests that were sent after the crash.

    Failure: a request is sent to a server that has crashed a moment before, over a connection that
    takes it and then breaks. Were it blamed, an innocent in trial after one crash would be refused.
    The time of a crash that others saw is known later by the way of the news, never earlier, so
    whatever began after it cannot have been in flight.
    """
    for key, crash in list(state.quarantine.crashes.items()):
        late = frozenset(
            Sighting(each, state.me.name)
            for each, started in crash.own_started.items()
            if started > crash.at
        )
        if late - crash.late:
            merge_record(state, now, key, crash.at, Evidence(late=late))


def merge_record(
    state: State,
    now: float,
    key: CrashKey,
    at: float,
    evidence: Evidence,
    *,
    tell: bool = True,
) -> None:
    """Merge what is said of a crash, and tell the others if any of it is news to them."""
    quarantine = state.quarantine
    key = _join(quarantine, key, at)
    crash = quarantine.crashes.get(key)
    if crash is None:
        crash = quarantine.crashes[key] = Crash(at, now)
        _bound(state)
    before = _size(crash)
    room = state.options.crash_suspects_keep - len(crash.suspects)
    crash.suspects.update(sorted(evidence.suspects - crash.suspects)[: max(0, room)])
    crash.late.update(evidence.late & crash.suspects)
    crash.cleared.update(evidence.cleared & {each.fingerprint for each in crash.suspects})
    crash.retracted = crash.retracted or evidence.retracted
    crash.at = min(crash.at, at)
    if before == _size(crash):
        return
    crash.changed_at = now
    crash.judged = False
    if tell:
        quarantine.unsent[key] = SENDINGS
    recount(quarantine, now, state.options.suspect_keep_s)
    quarantine.look_through = True


def _size(crash: Crash) -> tuple[int, int, int, bool]:
    """Give what differs after a record has grown."""
    return len(crash.suspects), len(crash.late), len(crash.cleared), crash.retracted


def kept_as(quarantine: QuarantineState, key: CrashKey, at: float) -> CrashKey:
    """Give the key of the record of the same crash; the key itself where there is none."""
    if key in quarantine.crashes:
        return key
    for other, crash in quarantine.crashes.items():
        if other.server != key.server or abs(crash.at - at) > _SAME_CRASH_S:
            continue
        # Two named ones are two lives of the server, so two crashes.
        if not (is_named(other) and is_named(key)):
            return other
    return key


def _join(quarantine: QuarantineState, key: CrashKey, at: float) -> CrashKey:
    """Join a crash with the record of it under another key; give the one that stays.

    Failure: the instances that knew the server's incarnation and those that did not keep a record
    each, so one crash counts as two, and an innocent that was in flight is refused. The named key
    stays, else the smaller one, so that all instances end with the same.
    """
    kept = kept_as(quarantine, key, at)
    if kept == key or is_named(kept) or (not is_named(key) and kept < key):
        return kept
    quarantine.crashes[key] = quarantine.crashes.pop(kept)
    sendings = quarantine.unsent.pop(kept, None)
    if sendings is not None:
        quarantine.unsent[key] = sendings
    return key


def _bound(state: State) -> None:
    crashes = state.quarantine.crashes
    while len(crashes) > state.options.crashes_keep:
        del crashes[min(crashes, key=lambda key: crashes[key].at)]


def recount(quarantine: QuarantineState, now: float, keep_s: float) -> None:
    counts: Counter[str] = Counter()
    for crash in quarantine.crashes.values():
        if now - crash.at <= keep_s:
            counts.update(crash.guilty())
    quarantine.counts = dict(counts)
