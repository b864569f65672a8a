"""Crash records: which requests were in flight at a crash, and which have been cleared since.

A record consists of sets that only grow. Instances merge their own sightings (`quarantine`) and
those of others in any order and reach the same state.

Records of the same crash under different keys are joined by their time, as an instance without a
report of the server does not know its incarnation. An instance withdraws its sighting of a request
that it sent after the crash. Sightings of the same request by other instances stay, since a copy
sent by one of them may have caused the crash.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Final

from turmericweir_core.messages.crash_messages import Sighting
from turmericweir_core.state.quarantine_state import (
    Crash,
    CrashEvidence,
    CrashKey,
    QuarantineState,
    is_incarnation_known,
)

if TYPE_CHECKING:
    from turmericweir_core.state.state import State

# How often each update of a record is sent to all instances.
SENDS_PER_UPDATE: Final = 2
# Longer than the delay between two instances' sightings of a crash, and shorter than a restart.
# TODO: the connections of a host that disappears break over several seconds. If only some instances
# know the server's incarnation, this counts as two crashes.
_SAME_CRASH_S: Final = 0.75


def withdraw_sightings_after_crash(state: State, now: float) -> None:
    """Withdraw this instance's sightings of requests that were sent after the crash.

    Prevents such a request from becoming a suspect and being refused after one more crash. The
    recorded time of a crash is never too early, so these requests cannot have been in flight.
    """
    for key, crash in list(state.quarantine.crashes.items()):
        sent_after = frozenset(
            Sighting(fingerprint, state.me.name)
            for fingerprint, started_at in crash.local_started_at.items()
            if started_at > crash.first_seen_at
        )
        if sent_after - crash.sent_after:
            merge_record(state, now, key, crash.first_seen_at, CrashEvidence(sent_after=sent_after))


def merge_record(
    state: State,
    now: float,
    key: CrashKey,
    crashed_at: float,
    evidence: CrashEvidence,
    *,
    send_on: bool = True,
) -> None:
    """Merge evidence of a crash into its record, and schedule an update to others if it changed."""
    quarantine = state.quarantine
    key = _merge_keys(quarantine, key, crashed_at)
    crash = quarantine.crashes.get(key)
    if crash is None:
        crash = quarantine.crashes[key] = Crash(crashed_at, now)
        _limit_records(state)
    size_before = _size(crash)
    free_entries = state.options.crash_suspects_keep - len(crash.suspects)
    crash.suspects.update(sorted(evidence.suspects - crash.suspects)[: max(0, free_entries)])
    crash.sent_after.update(evidence.sent_after & crash.suspects)
    crash.cleared.update(evidence.cleared & {each.fingerprint for each in crash.suspects})
    free_parts = state.options.crash_parts_keep - len(crash.parts)
    crash.parts.update(sorted(evidence.parts - crash.parts)[: max(0, free_parts)])
    crash.cleared_parts.update(evidence.cleared_parts & crash.parts)
    crash.isolated_parts.update(evidence.isolated_parts & crash.parts)
    crash.is_retracted = crash.is_retracted or evidence.is_retracted
    crash.first_seen_at = min(crash.first_seen_at, crashed_at)
    if size_before == _size(crash):
        return
    crash.changed_at = now
    crash.has_verdict = False
    if send_on:
        quarantine.unsent_crashes[key] = SENDS_PER_UPDATE
    update_crash_counts(quarantine, now, state.options.suspect_keep_s)
    quarantine.needs_check = True


def _size(crash: Crash) -> tuple[int, ...]:
    """Return the sizes of a record's sets, which change whenever it grows."""
    return (
        len(crash.suspects),
        len(crash.sent_after),
        len(crash.cleared),
        len(crash.parts),
        len(crash.cleared_parts),
        len(crash.isolated_parts),
        crash.is_retracted,
    )


def existing_key(quarantine: QuarantineState, key: CrashKey, crashed_at: float) -> CrashKey:
    """Return the key of an existing record of the same crash, or the given key."""
    if key in quarantine.crashes:
        return key
    for other_key, crash in quarantine.crashes.items():
        if other_key.server != key.server or abs(crash.first_seen_at - crashed_at) > _SAME_CRASH_S:
            continue
        # Two known incarnations are two crashes.
        if not (is_incarnation_known(other_key) and is_incarnation_known(key)):
            return other_key
    return key


def _merge_keys(quarantine: QuarantineState, key: CrashKey, crashed_at: float) -> CrashKey:
    """Move the record of the same crash to one key, and return that key.

    A key with an incarnation is preferred, then the smaller key, so all instances use the same one.
    Prevents one crash from counting as two, which would refuse requests that did not cause it.
    """
    existing = existing_key(quarantine, key, crashed_at)
    if (
        existing == key
        or is_incarnation_known(existing)
        or (not is_incarnation_known(key) and existing < key)
    ):
        return existing
    quarantine.crashes[key] = quarantine.crashes.pop(existing)
    sends_left = quarantine.unsent_crashes.pop(existing, None)
    if sends_left is not None:
        quarantine.unsent_crashes[key] = sends_left
    return key


def _limit_records(state: State) -> None:
    crashes = state.quarantine.crashes
    while len(crashes) > state.options.crashes_keep:
        # Records that explain a refused part go last.
        rank = {key: (crash.is_explained, crash.first_seen_at) for key, crash in crashes.items()}
        del crashes[min(crashes, key=rank.__getitem__)]


def update_crash_counts(quarantine: QuarantineState, now: float, keep_s: float) -> None:
    """Count the crashes at which each fingerprint was in flight and not cleared."""
    counts: Counter[str] = Counter()
    for crash in quarantine.crashes.values():
        if now - crash.first_seen_at <= keep_s:
            counts.update(crash.possible_causes())
    quarantine.crash_counts = dict(counts)
