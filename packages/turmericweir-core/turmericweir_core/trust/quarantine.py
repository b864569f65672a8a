"""Quarantine of requests that crash servers.

Every request in flight on a server at its crash is a suspect, identified by its fingerprint.
Suspects run again only one at a time on a server (`isolated_runs`), so a second crash identifies
the cause: a fingerprint in flight at two crashes, and the only such one at the later crash, is
refused for `quarantine_s` on all instances. Other suspects complete their isolated runs and are
cleared.

A crash is a broken connection to a server that then refuses new connections or reports a new
incarnation. If the server is later seen alive with the same incarnation, the record and all
verdicts that depend on it are retracted.

Crash records only grow, so instances can merge them in any order and reach the same verdicts. An
instance sends each update twice to all others. At its start and periodically it also asks a random
peer for missed records.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING, Final

import xxhash

from turmericweir_core.base.config import ServiceKind
from turmericweir_core.base.ids import InstanceName, ServerName
from turmericweir_core.base.request import Attempt, Request
from turmericweir_core.base.shared_parts import part_name
from turmericweir_core.membership import membership
from turmericweir_core.messages.crash_messages import CrashesAsk, CrashNews, CrashRecord, Sighting
from turmericweir_core.messages.effects import (
    Effect,
    Log,
    ProbeServer,
    SendDatagram,
    SendPeer,
)
from turmericweir_core.messages.events import ServerReport
from turmericweir_core.state.quarantine_state import (
    BrokenConnection,
    Crash,
    CrashEvidence,
    CrashKey,
    crash_key,
)
from turmericweir_core.state.server_table import note_suspected, note_unreachable
from turmericweir_core.trust import part_verdicts
from turmericweir_core.trust.crash_records import (
    SENDS_PER_UPDATE,
    existing_key,
    merge_record,
    update_crash_counts,
    withdraw_sightings_after_crash,
)
from turmericweir_core.trust.part_verdicts import PART_CRASH_KEEP_S

if TYPE_CHECKING:
    from turmericweir_core.state.state import State

# Number of crashes after which a fingerprint is refused.
_CRASHES_FOR_REFUSAL: Final = 2
# Interval between resends, between checks for expiry, and between searches for a peer.
_INTERVAL_S: Final = 1.0
# A server that restarts quickly accepts connections before its report shows a new incarnation.
_BREAK_KEEP_S: Final = 10.0
# A server that crashed needs at least this long until it serves again.
_RESTART_MIN_S: Final = 0.8
# Maximum delay of a report that was sent before a crash.
_REPORT_DELAY_S: Final = 1.0
# The same on a busy machine.
_BUSY_REPORT_DELAY_S: Final = 2.5


# Limits of the lines about requests that were in flight at crashes.
_LOGS_PER_TICK: Final = 64
_LOGGED_PARTS_MAX: Final = 16


# --- queries by other reducers ---------------------------------------------------------------


def refusal_remaining_s(state: State, now: float, fingerprint: str) -> float | None:
    """Return the remaining time for which a fingerprint is refused, or None."""
    until = state.quarantine.refused.get(fingerprint)
    return None if until is None or now >= until else until - now


def is_suspect(state: State, fingerprint: str) -> bool:
    """Return whether a fingerprint was in flight at a crash and may only run isolated."""
    return fingerprint in state.quarantine.crash_counts


def crash_count(state: State, fingerprint: str) -> int:
    """Return the number of crashes at which a fingerprint was in flight."""
    return state.quarantine.crash_counts.get(fingerprint, 0)


def awaits_verdict(state: State, fingerprint: str) -> bool:
    """Return whether a verdict on a fingerprint is pending."""
    if crash_count(state, fingerprint) < _CRASHES_FOR_REFUSAL:
        return False
    crashes = state.quarantine.crashes.values()
    return any(not each.has_verdict and fingerprint in each.possible_causes() for each in crashes)


def awaits_first_records(state: State, now: float, req: Request) -> bool:
    """Return whether a request waits for what peers know of crashes, shortly after the start.

    Prevents an instance that has just started from sending what all others refuse.
    """
    return bool(req.shared_parts) and not _is_informed(state, now)


def _is_informed(state: State, now: float) -> bool:
    """Return whether this instance knows the crashes that peers knew when it started."""
    if state.quarantine.has_peer_records:
        return True
    has_peers = len(membership.live_instances(state, now)) > 1
    options = state.options
    wait_s = options.first_crashes_wait_s if has_peers else options.first_peer_wait_s
    return membership.uptime_s(state, now) >= wait_s


# --- evidence --------------------------------------------------------------------------------


def record_broken_connection(
    state: State, now: float, req: Request, attempt: Attempt, alive: bool
) -> None:
    """Record a connection that broke after the request was sent."""
    if not req.fingerprint or has_streamed_long(state, attempt):
        return
    if alive:
        # No evidence of a crash, unless the next report has another incarnation.
        _record_break(state, now, req, attempt, is_unresponsive=False)
        return
    key = crash_key(attempt.server, attempt.incarnation, attempt.attempt_id)
    _record_sighting(state, now, key, now, _broken_run(now, req, attempt))


def has_streamed_long(state: State, attempt: Attempt) -> bool:
    """Return whether an answer had been streaming for too long to be the cause of a crash.

    Prevents all long streams of a crashed engine from having to wait for isolated runs.
    """
    first, last = attempt.first_token_at, attempt.last_token_at
    return first is not None and last is not None and last - first >= state.options.harmless_s


def record_unresponsive_connection(
    state: State, now: float, req: Request, attempt: Attempt
) -> None:
    """Record a connection that was given up as unresponsive.

    The next report shows whether the server restarted. Prevents a crash from being missed if the
    network drops the end of the connection.
    """
    if req.fingerprint:
        _record_break(state, now, req, attempt, is_unresponsive=True)


def _record_break(
    state: State, now: float, req: Request, attempt: Attempt, *, is_unresponsive: bool
) -> None:
    connection_break = _broken_run(now, req, attempt, is_unresponsive=is_unresponsive)
    state.quarantine.broken_connections.setdefault(attempt.server, []).append(connection_break)


def _broken_run(
    now: float, req: Request, attempt: Attempt, *, is_unresponsive: bool = False
) -> BrokenConnection:
    return BrokenConnection(
        broke_at=now,
        incarnation=attempt.incarnation,
        request_id=req.request_id,
        attempt_id=attempt.attempt_id,
        fingerprint=req.fingerprint,
        parts=req.shared_parts,
        is_isolated=attempt.is_isolated,
        attempt_started_at=attempt.started_at,
        is_unresponsive=is_unresponsive,
    )


def may_have_crashed(state: State, now: float, req: Request) -> bool:
    """Return whether a model request has just broken on a server that may have crashed.

    Prevents all requests of a server that restarted quickly from moving together to the next server
    before a report shows the crash. Plain calls do not wait, as they have shorter latency targets.
    """
    if req.kind is not ServiceKind.MODEL:
        return False
    wait_s = state.options.crash_doubt_s
    return any(
        each.fingerprint == req.fingerprint
        and not each.is_unresponsive
        and now - each.broke_at < wait_s
        for breaks in state.quarantine.broken_connections.values()
        for each in breaks
    )


def note_progress(state: State, attempt: Attempt) -> None:
    """Drop the breaks that tokens over an older connection to the server disprove.

    A break may be recorded up to `crash_doubt_s` after the crash, so an attempt that started within
    that time before the record may already run on the restarted server.
    """
    breaks = state.quarantine.broken_connections.get(attempt.server)
    if breaks:
        break_delay_s = state.options.crash_doubt_s
        remaining = [each for each in breaks if each.broke_at - attempt.started_at <= break_delay_s]
        state.quarantine.broken_connections[attempt.server] = remaining


def note_streamed(state: State, now: float, req: Request, attempt: Attempt) -> None:
    """Clear a suspect that a live server has been writing on for longer than a crash takes.

    Prevents the loss of several servers at once from refusing a request that was on all of them.
    Isolated runs end by rules of their own.
    """
    if attempt.is_isolated or not is_suspect(state, req.fingerprint):
        return
    if has_streamed_long(state, attempt):
        note_cleared(state, now, req.fingerprint)


def _record_sighting(
    state: State, now: float, key: CrashKey, crashed_at: float, run: BrokenConnection
) -> None:
    """Record that a request of this instance was in flight at a crash."""
    fingerprint, started_at = run.fingerprint, run.attempt_started_at
    _log_sighting(state, key, run)
    parts = part_verdicts.parts_without_answer(state, now, run.parts)
    evidence = CrashEvidence(
        suspects=frozenset({Sighting(fingerprint, state.me.name)}),
        parts=parts,
        isolated_parts=parts if run.is_isolated else frozenset(),
    )
    merge_record(state, now, key, crashed_at, evidence)
    crash = state.quarantine.crashes[existing_key(state.quarantine, key, crashed_at)]
    # Of two copies the earlier one counts, as it may have been in flight.
    earlier = crash.local_started_at.get(fingerprint, started_at)
    crash.local_started_at[fingerprint] = min(earlier, started_at)
    withdraw_sightings_after_crash(state, now)


def _log_sighting(state: State, key: CrashKey, run: BrokenConnection) -> None:
    logs = state.quarantine.unwritten_logs
    if len(logs) >= _LOGS_PER_TICK:
        return
    fields = {
        "request_id": run.request_id,
        "peer": key.server,
        "incarnation": key.incarnation,
        "fingerprint": run.fingerprint,
        "parts": [part_name(each) for each in run.parts[:_LOGGED_PARTS_MAX]],
    }
    logs.append(Log("crash_in_flight", fields))


def note_report(state: State, now: float, report: ServerReport) -> None:
    """Compare a reported incarnation with the broken connections and the recorded crashes."""
    quarantine = state.quarantine
    for broken in quarantine.broken_connections.pop(report.server, ()):
        if now - broken.broke_at > _BREAK_KEEP_S:
            continue
        if broken.incarnation and broken.incarnation != report.incarnation:
            key = CrashKey(report.server, broken.incarnation)
            _record_sighting(state, now, key, broken.broke_at, broken)
        elif now - broken.broke_at < _BUSY_REPORT_DELAY_S:
            quarantine.broken_connections.setdefault(report.server, []).append(broken)
    key = CrashKey(report.server, report.incarnation)
    crash = quarantine.crashes.get(key)
    if crash is not None and now - crash.first_seen_at > _REPORT_DELAY_S:
        merge_record(state, now, key, crash.first_seen_at, CrashEvidence(is_retracted=True))


def note_restarted(state: State, now: float, name: ServerName) -> None:
    """Count the connections to a server that broke shortly before it was seen to have restarted.

    Prevents a crash from being missed if the server takes connections again at once and sends no
    reports.
    """
    for broken in state.quarantine.broken_connections.pop(name, ()):
        if now - broken.broke_at <= _BREAK_KEEP_S:
            key = crash_key(name, broken.incarnation, broken.attempt_id)
            _record_sighting(state, now, key, broken.broke_at, broken)


def retract_recent_crash(state: State, now: float, name: ServerName) -> None:
    """Retract the crash of a server that others reach, as only the path from here is lost.

    A server that has crashed is rarely back so soon. A break in the isolated run of a part counts
    all the same: two crashes speak against the part, and a verdict on it would be withdrawn.
    """
    for key, crash in state.quarantine.crashes.items():
        if crash.isolated_parts:
            continue
        if key.server == name and now - crash.first_seen_at < _RESTART_MIN_S:
            evidence = CrashEvidence(is_retracted=True)
            merge_record(state, now, key, crash.first_seen_at, evidence)


def note_cleared(state: State, now: float, fingerprint: str) -> None:
    """Clear a suspect that has completed or got further than at the crash."""
    for server, breaks in state.quarantine.broken_connections.items():
        remaining = [each for each in breaks if each.fingerprint != fingerprint]
        state.quarantine.broken_connections[server] = remaining
    if not is_suspect(state, fingerprint):
        return
    for key, crash in state.quarantine.crashes.items():
        if fingerprint in crash.in_flight():
            merge_record(
                state,
                now,
                key,
                crash.first_seen_at,
                CrashEvidence(cleared=frozenset({fingerprint})),
            )


# --- verdicts --------------------------------------------------------------------------------


def give_verdicts(state: State, now: float) -> list[Effect]:
    """Give the pending verdicts: refuse fingerprints, or withdraw earlier verdicts."""
    effects: list[Effect] = []
    for key, crash in state.quarantine.crashes.items():
        if crash.has_verdict or now - crash.changed_at < state.options.verdict_wait_s:
            continue
        crash.has_verdict = True
        effects += _give_verdict(state, now, key, crash)
    return effects


def _give_verdict(state: State, now: float, key: CrashKey, crash: Crash) -> list[Effect]:
    quarantine = state.quarantine
    if crash.is_retracted:
        _withdraw_verdicts(state, crash)
        return [Log("crash_retracted", {"peer": key.server, "incarnation": key.incarnation})]
    causes = [
        each for each in crash.possible_causes() if crash_count(state, each) >= _CRASHES_FOR_REFUSAL
    ]
    # If two fingerprints were in flight at two crashes, only their isolated runs can show which one
    # is the cause.
    if len(causes) != 1 or causes[0] in quarantine.refused:
        return []
    fingerprint = causes[0]
    quarantine.refused[fingerprint] = crash.first_seen_at + state.options.quarantine_s
    quarantine.needs_check = True
    return [Log("quarantined", {"fingerprint": fingerprint, "peer": key.server})]


def _withdraw_verdicts(state: State, crash: Crash) -> None:
    """Withdraw the verdicts that depend on a retracted crash."""
    for fingerprint in {each.fingerprint for each in crash.suspects}:
        if crash_count(state, fingerprint) < _CRASHES_FOR_REFUSAL:
            state.quarantine.refused.pop(fingerprint, None)


# --- timers ----------------------------------------------------------------------------------


def on_tick(state: State, now: float) -> list[Effect]:
    """Expire old records, give pending verdicts, and exchange records with other instances."""
    _expire(state, now)
    effects: list[Effect] = [*state.quarantine.unwritten_logs]
    state.quarantine.unwritten_logs = []
    if state.quarantine.needs_check:
        effects += part_verdicts.judge(state)
    return [
        *effects,
        *give_verdicts(state, now),
        *_send_updates(state, now),
        *_request_records(state, now),
    ]


def _expire(state: State, now: float) -> None:
    quarantine = state.quarantine
    if now < quarantine.next_expiry_at:
        return
    quarantine.next_expiry_at = now + _INTERVAL_S
    for key, crash in list(quarantine.crashes.items()):
        age_s = now - crash.first_seen_at
        if age_s <= state.options.quarantine_s:
            continue
        if age_s > PART_CRASH_KEEP_S or not crash.is_explained:
            del quarantine.crashes[key]
            quarantine.needs_check = True
            quarantine.unsent_crashes.pop(key, None)
    for fingerprint, until in list(quarantine.refused.items()):
        if now >= until:
            del quarantine.refused[fingerprint]
    for server, breaks in list(quarantine.broken_connections.items()):
        if not breaks or now - breaks[-1].broke_at > _BREAK_KEEP_S:
            del quarantine.broken_connections[server]
    for fingerprint, until in list(quarantine.runs_barred_until.items()):
        if now >= until:
            del quarantine.runs_barred_until[fingerprint]
    if quarantine.crash_counts:
        update_crash_counts(quarantine, now, state.options.suspect_keep_s)


def _send_updates(state: State, now: float) -> list[Effect]:
    """Send changed records to all instances, a second time in case the first message was lost."""
    quarantine = state.quarantine
    has_new = any(
        sends_left == SENDS_PER_UPDATE for sends_left in quarantine.unsent_crashes.values()
    )
    if not quarantine.unsent_crashes or (not has_new and now < quarantine.next_resend_at):
        return []
    quarantine.next_resend_at = now + _INTERVAL_S
    keys = [key for key in quarantine.unsent_crashes if key in quarantine.crashes]
    for key, sends_left in list(quarantine.unsent_crashes.items()):
        if sends_left > 1:
            quarantine.unsent_crashes[key] = sends_left - 1
        else:
            del quarantine.unsent_crashes[key]
    update = CrashNews(_records(state, now, keys))
    peers = membership.live_instances(state, now)
    me = state.me.name
    return [SendPeer(each.name, each.peer_address, update) for each in peers if each.name != me]


def _records(state: State, now: float, keys: Iterable[CrashKey]) -> list[CrashRecord]:
    crashes = state.quarantine.crashes
    return [_record(now, key, crashes[key]) for key in keys]


def _record(now: float, key: CrashKey, crash: Crash) -> CrashRecord:
    return CrashRecord(
        server=key.server,
        incarnation=key.incarnation,
        age_s=max(0.0, now - crash.first_seen_at),
        suspects=sorted(crash.suspects),
        sent_after_crash=sorted(crash.sent_after),
        cleared=sorted(crash.cleared),
        retracted=crash.is_retracted,
        parts=sorted(crash.parts),
        cleared_parts=sorted(crash.cleared_parts),
        isolated_parts=sorted(crash.isolated_parts),
    )


def _request_records(state: State, now: float) -> list[Effect]:
    """Ask a random peer for missed records, once a peer is known and then periodically."""
    quarantine = state.quarantine
    is_periodic = now >= quarantine.next_request_at
    is_first = not quarantine.has_peer_records and now >= quarantine.next_first_request_at
    if not is_periodic and not is_first:
        return []
    me = state.me.name
    peers = [each for each in membership.live_instances(state, now) if each.name != me]
    if not peers:
        if is_periodic:
            quarantine.next_request_at = now + _INTERVAL_S
        return []
    if is_periodic:
        quarantine.next_request_at = now + state.options.crashes_ask_s
        peer = state.rng.choice(peers)
    else:
        # The previous one has not answered, so the next one is asked.
        peer = peers[quarantine.first_requests % len(peers)]
    quarantine.first_requests += 1
    quarantine.next_first_request_at = now + state.options.first_crashes_ask_s
    return [SendDatagram(peer.name, peer.peer_address, CrashesAsk(_crashes_hash(state)))]


def _crashes_hash(state: State) -> int:
    rows = [
        (
            *key,
            sorted(crash.suspects),
            sorted(crash.sent_after),
            sorted(crash.cleared),
            crash.is_retracted,
            sorted(crash.parts),
            sorted(crash.cleared_parts),
            sorted(crash.isolated_parts),
        )
        for key, crash in sorted(state.quarantine.crashes.items())
    ]
    return xxhash.xxh32_intdigest(repr(rows).encode()) if rows else 0


# --- messages --------------------------------------------------------------------------------


def on_crash_records_request(
    state: State, now: float, sender: InstanceName, ask: CrashesAsk
) -> list[Effect]:
    """Send all crash records to a peer whose records differ, or that has none."""
    if ask.crashes_hash and ask.crashes_hash == _crashes_hash(state):
        return []
    peer = membership.find_member(state, sender)
    if peer is None:
        return []
    records = _records(state, now, state.quarantine.crashes)
    update = CrashNews(records, complete=_is_informed(state, now))
    return [SendPeer(sender, peer.peer_address, update)]


def on_crash_update(state: State, now: float, update: CrashNews) -> list[Effect]:
    """Merge the crash records of another instance, without sending them on."""
    effects: list[Effect] = []
    state.quarantine.has_peer_records = state.quarantine.has_peer_records or update.complete
    for record in update.crashes:
        keep_s = PART_CRASH_KEEP_S if record.parts else state.options.quarantine_s
        if record.age_s > keep_s:
            continue
        key = CrashKey(ServerName(record.server), record.incarnation)
        crashed_at = now - max(0.0, record.age_s)
        evidence = CrashEvidence(
            suspects=frozenset(record.suspects),
            sent_after=frozenset(record.sent_after_crash),
            cleared=frozenset(record.cleared),
            parts=frozenset(record.parts),
            cleared_parts=frozenset(record.cleared_parts),
            isolated_parts=frozenset(record.isolated_parts),
            is_retracted=record.retracted,
        )
        if not record.retracted:
            effects += _avoid_crashed_server(state, now, key.server, crashed_at)
        merge_record(state, now, key, crashed_at, evidence, send_on=False)
    withdraw_sightings_after_crash(state, now)
    part_verdicts.clear_known_sound(state, now)
    return effects + part_verdicts.judge(state)


def _avoid_crashed_server(
    state: State, now: float, name: ServerName, crashed_at: float
) -> list[Effect]:
    """Avoid a server whose crash was reported by others until it can have restarted.

    Prevents each instance from losing a request there when a proxy accepts connections for a server
    that is down. Without load reports the server is probed instead: the other instance may only
    have lost its own path to it.
    """
    server = state.servers.by_name.get(name)
    if server is None or server.report_at > crashed_at:
        return []
    if now - crashed_at >= state.options.unreachable_retry_s:
        return []
    if not state.options.probe_servers:
        if server.unreachable_until:
            return []
        note_suspected(server, now)
        return [ProbeServer(name, server.entry.address)]
    note_unreachable(state.servers, state.options, now, name)
    return []
