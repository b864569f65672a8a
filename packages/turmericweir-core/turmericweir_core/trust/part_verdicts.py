"""Verdicts on parts of prompts that crash every server which begins to write on them.

Requests with such a part differ in everything else, so none of them is in flight at two crashes,
but their part is. A crash record (`crash_records`) names the shared parts that were in flight, as
far as no sound answer on them is known. A part that is named in two records is a suspect: its
requests run one at a time over all instances (`isolated_runs`). It is quarantined after a crash in
such a run, or after crashes at several moments without one. A request that was in flight at all of
them explains them as well, so its parts are not quarantined (see `quarantine`).

A sound answer clears a part: it is complete, or was written for a while by a server that lived on.
One from before the crash counts as well, so parts in common use are never suspects. A part that was
in flight at several crashes since its last sound answer loses that answer, as software may change.

A crash is explained by a quarantined part, the one with the most evidence first. Other parts and
requests that were in flight at that crash are not suspects because of it.

A quarantined part is refused for a time after its last crash, longer each time, and then is a
suspect again. So one that was quarantined by coincidence is cleared by the next answer.

All of this follows from the merged records alone, so instances reach the same verdicts.
"""

from __future__ import annotations

from collections.abc import Iterable
from itertools import pairwise
from typing import TYPE_CHECKING, Final

from turmericweir_core.base.request import Attempt, Request
from turmericweir_core.base.shared_parts import part_name
from turmericweir_core.membership import membership
from turmericweir_core.messages.effects import Count, Effect, Log
from turmericweir_core.state.quarantine_state import (
    Crash,
    CrashEvidence,
    PartCase,
    QuarantineState,
    SoundPart,
)
from turmericweir_core.trust.crash_records import merge_record

if TYPE_CHECKING:
    from turmericweir_core.state.state import State

# Prefix of the key by which isolated runs for a part are asked for.
_KEY_PREFIX: Final = "part:"
_CRASHES_FOR_SUSPICION: Final = 2
# A part is quarantined at this weight: moments of crashes, and two more for each isolated run.
_QUARANTINE_WEIGHT: Final = 4
_ISOLATED_WEIGHT: Final = 2
# Servers that are lost within this time were probably lost together.
_MOMENT_S: Final = 0.25
# Number of instances that send on what they clear in records of others, on average.
_CLEARING_SENDERS: Final = 4
# How long a part is refused after its last crash, by the number of crashes in isolated runs. After
# that it is a suspect again, and the next request with it runs isolated.
_REFUSALS_S: Final = (10.0, 10.0, 60.0, 600.0, 86_400.0)
# The same once it has caused many crashes.
_MANY_CRASHES: Final = 5
_REFUSALS_AFTER_MANY_S: Final = (10.0, 60.0, 86_400.0)
# How long crashes that a refused part caused are remembered.
PART_CRASH_KEEP_S: Final = 86_400.0
# Crashes since its last sound answer after which that answer does not count any more.
_CRASHES_VOIDING_ANSWER: Final = 3


# --- queries by other reducers ---------------------------------------------------------------


def refusal_remaining_s(state: State, now: float, req: Request) -> float | None:
    """Return the remaining time for which a part of a request is refused, or None."""
    cases = state.quarantine.part_cases
    if not cases:
        return None
    remaining_s = max(
        (_refused_until(cases[part]) - now for part in req.shared_parts if part in cases),
        default=0.0,
    )
    return remaining_s if remaining_s > 0 else None


def suspect_key(state: State, req: Request) -> str:
    """Return the key under which a request with a suspect part runs isolated, or "".

    It names the part with the most evidence, so that all requests with that part have one key.
    """
    cases = state.quarantine.part_cases
    if not cases:
        return ""
    suspects = [part for part in req.shared_parts if _is_suspect(cases.get(part))]
    if not suspects:
        return ""
    return _KEY_PREFIX + part_name(max(suspects, key=lambda part: (_evidence(cases[part]), -part)))


def is_part_key(key: str) -> bool:
    """Return whether a key of an isolated run names a part."""
    return key.startswith(_KEY_PREFIX)


def is_key_suspect(state: State, key: str) -> bool:
    """Return whether the part that a key names is still a suspect."""
    return _is_suspect(_case_of(state, key))


def is_key_refused(state: State, now: float, key: str) -> bool:
    """Return whether the part that a key names is refused."""
    case = _case_of(state, key)
    return case is not None and _refused_until(case) > now


def awaits_records(state: State, now: float, key: str) -> bool:
    """Return whether records of the last crash of a part may still be on their way."""
    case = _case_of(state, key)
    return case is not None and now - case.last_crash_at < state.options.trial_delay_s


def _case_of(state: State, key: str) -> PartCase | None:
    return state.quarantine.part_cases.get(int(key.removeprefix(_KEY_PREFIX), 16))


def _is_suspect(case: PartCase | None) -> bool:
    return case is not None and case.crashes >= _CRASHES_FOR_SUSPICION


def _weight(case: PartCase) -> int:
    return case.moments + _ISOLATED_WEIGHT * case.isolated


def _evidence(case: PartCase) -> tuple[int, int]:
    """Return what cases are compared by; of equal weights the one with more crashes goes first."""
    return _weight(case), case.crashes


def _refused_until(case: PartCase) -> float:
    """Return until when a part is refused; minus infinity if it is not."""
    if not case.is_quarantined:
        return float("-inf")
    delays_s = _REFUSALS_AFTER_MANY_S if case.crashes >= _MANY_CRASHES else _REFUSALS_S
    return case.last_crash_at + delays_s[min(case.isolated, len(delays_s) - 1)]


# --- sound answers ---------------------------------------------------------------------------


def note_progress(state: State, now: float, req: Request, attempt: Attempt) -> None:
    """Take an answer that was written for long enough as sound."""
    if attempt.is_known_sound or attempt.first_token_at is None:
        return
    if now - attempt.first_token_at >= state.options.part_sound_s:
        attempt.is_known_sound = True
        note_sound(state, now, req)


def note_sound(state: State, now: float, req: Request) -> None:
    """Record a sound answer, which clears the parts of its prompt."""
    quarantine = state.quarantine
    sound = quarantine.sound_parts
    for part in req.shared_parts:
        sound.pop(part, None)
        sound[part] = SoundPart(now)
    while len(sound) > state.options.sound_parts_keep:
        del sound[next(iter(sound))]
    if quarantine.part_cases:
        _clear_parts(state, now, frozenset(req.shared_parts) & quarantine.part_cases.keys())


def _clear_parts(state: State, now: float, parts: frozenset[int], *, send_on: bool = True) -> None:
    if not parts:
        return
    for key, crash in list(state.quarantine.crashes.items()):
        cleared = parts & crash.open_parts()
        if cleared:
            evidence = CrashEvidence(cleared_parts=frozenset(cleared))
            merge_record(state, now, key, crash.first_seen_at, evidence, send_on=send_on)


def clear_known_sound(state: State, now: float) -> None:
    """Clear the parts in crash records that others reported and this instance knows as sound."""
    named: set[int] = set()
    for crash in state.quarantine.crashes.values():
        named |= crash.open_parts()
    known = frozenset(part for part in named if _is_known_sound(state, now, part))
    if not known:
        return
    # Most instances know the same parts, so a few of them inform the others.
    instances = len(membership.live_instances(state, now))
    send_on = state.rng.random() * instances < _CLEARING_SENDERS
    _clear_parts(state, now, known, send_on=send_on)


def parts_without_answer(state: State, now: float, parts: Iterable[int]) -> frozenset[int]:
    """Return the parts of a request in flight at a crash on which no sound answer is known."""
    open_parts = set()
    for part in parts:
        sound = state.quarantine.sound_parts.get(part)
        if sound is not None and now - sound.crashed_at > _MOMENT_S:
            # Several requests with the part may have been in flight at the same crash.
            sound.crashes_since += 1
            sound.crashed_at = now
        if not _is_known_sound(state, now, part):
            open_parts.add(part)
    return frozenset(open_parts)


def _is_known_sound(state: State, now: float, part: int) -> bool:
    sound = state.quarantine.sound_parts.get(part)
    if sound is None or now - sound.answered_at > state.options.part_sound_keep_s:
        return False
    return sound.crashes_since < _CRASHES_VOIDING_ANSWER


# --- cases -----------------------------------------------------------------------------------


def judge(state: State) -> list[Effect]:
    """Derive the cases against parts from the crash records; log what changed."""
    quarantine = state.quarantine
    before = quarantine.part_cases
    quarantine.part_cases = _build_cases(quarantine)
    if before == quarantine.part_cases:
        return []
    quarantine.needs_check = True
    refused = {part for part, case in quarantine.part_cases.items() if case.is_quarantined}
    for crash in quarantine.crashes.values():
        crash.is_explained = bool(crash.open_parts() & refused)
    effects: list[Effect] = []
    for part, case in quarantine.part_cases.items():
        effects += _log_change(part, before.get(part), case)
    for part, case in before.items():
        if _is_suspect(case) and not _is_suspect(quarantine.part_cases.get(part)):
            fields = {"part": part_name(part), "crashes": case.crashes}
            effects += [Count("quarantine.part_cleared"), Log("part_cleared", fields)]
    return effects


def _log_change(part: int, before: PartCase | None, case: PartCase) -> list[Effect]:
    if not _is_suspect(case) or before == case:
        return []
    name = "part_refused" if case.is_quarantined else "part_suspected"
    refused_s = max(0.0, _refused_until(case) - case.last_crash_at)
    fields = {
        "part": part_name(part),
        "crashes": case.crashes,
        "isolated": case.isolated,
        "refused_s": refused_s,
    }
    return [Count(f"quarantine.{name}"), Log(name, fields)]


def _build_cases(quarantine: QuarantineState) -> dict[int, PartCase]:
    """Return the case against each part, from the crashes that no refused part explains."""
    cases: dict[int, PartCase] = {}
    crashes = [crash for crash in quarantine.crashes.values() if crash.open_parts()]
    while crashes:
        named = _crashes_by_part(crashes)
        remaining = {part: _make_case(part, named[part]) for part in named}
        quarantined = {part: case for part, case in remaining.items() if case.is_quarantined}
        if not quarantined:
            return {**cases, **remaining}
        most_evidence = max(map(_evidence, quarantined.values()))
        causes = {
            part: case for part, case in quarantined.items() if _evidence(case) == most_evidence
        }
        cases |= causes
        crashes = [crash for crash in crashes if not crash.open_parts() & causes.keys()]
    return cases


def _crashes_by_part(crashes: list[Crash]) -> dict[int, list[Crash]]:
    named: dict[int, list[Crash]] = {}
    for crash in crashes:
        for part in crash.open_parts():
            named.setdefault(part, []).append(crash)
    return named


def _make_case(part: int, crashes: list[Crash]) -> PartCase:
    isolated = sum(part in crash.isolated_parts for crash in crashes)
    moments = _count_moments(sorted(crash.first_seen_at for crash in crashes))
    weight = moments + _ISOLATED_WEIGHT * isolated
    # A request that was in flight at all of them explains them as well as its part does.
    common_requests = set.intersection(*(crash.in_flight() - crash.cleared for crash in crashes))
    return PartCase(
        crashes=len(crashes),
        moments=moments,
        isolated=isolated,
        last_crash_at=max(crash.first_seen_at for crash in crashes),
        is_quarantined=weight >= _QUARANTINE_WEIGHT and not common_requests,
    )


def _count_moments(crashed_at: list[float]) -> int:
    """Return the number of moments at which servers crashed; the times are in order."""
    return 1 + sum(later - earlier > _MOMENT_S for earlier, later in pairwise(crashed_at))
