"""Requests that crash servers: who is suspected, who is refused, and how all instances know.

Every request that was in flight on a server at its crash is a suspect, by its fingerprint. Suspects
are run again only one at a time on a server (`trial`), so that the next crash names one of them:
a fingerprint that was in flight at two crashes, the latter with no other such fingerprint, is
refused for a limited time, whoever sends it again through whichever instance. Innocent suspects
complete in their trials and are cleared.

A crash is a connection that broke on a server that then refuses new connections, or shows a new
incarnation. A server that is seen alive later in the same incarnation did not crash: the record is
retracted, and so is any verdict that rests on it.

Crash records are sets that only grow, so instances merge them in any order and come to the same
verdicts. Who learns something first tells everyone in the region, twice; a newcomer, and now and
then everyone, asks a peer for what it missed.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING, Final

import xxhash

from turmericweir_core.base.config import Kind
from turmericweir_core.base.ids import InstanceName, ServerName
from turmericweir_core.base.request import Attempt, Request
from turmericweir_core.membership import membership
from turmericweir_core.messages.effects import Effect, Log, SendDatagram, SendPeer
from turmericweir_core.messages.events import ServerReport
from turmericweir_core.messages.peer_messages import CrashesAsk, CrashNews, CrashRecord, Sighting
from turmericweir_core.state.quarantine_state import Break, Crash, CrashKey, Evidence, crash_key
from turmericweir_core.state.server_table import note_unreachable
from turmericweir_core.trust.crash_records import (
    SENDINGS,
    clear_late,
    kept_as,
    merge_record,
    recount,
)

if TYPE_CHECKING:
    from turmericweir_core.state.state import State

# Crashes at which a fingerprint is refused.
_CONVICTING: Final = 2
_RESEND_S: Final = 1.0
# A server that restarts fast answers a new connection before its report shows a new incarnation.
_BREAK_KEEP_S: Final = 10.0
# A report that was on its way when the server crashed is no sign of life.
_REPORT_ON_WAY_S: Final = 1.0
# Nor is one of those that come later than usual, as on a busy machine, proof that it did not crash.
_REPORT_LATE_S: Final = 2.5


# --- questions of other reducers -------------------------------------------------------------


def refused_for(state: State, now: float, fingerprint: str) -> float | None:
    """Give the time for which a fingerprint is still refused, or None where it is not."""
    until = state.quarantine.refused.get(fingerprint)
    return None if until is None or now >= until else until - now


def is_suspect(state: State, fingerprint: str) -> bool:
    """Tell whether a fingerprint was in flight at a crash and may only run on trial."""
    return fingerprint in state.quarantine.counts


def crash_count(state: State, fingerprint: str) -> int:
    """Count the crashes at which a fingerprint was in flight."""
    return state.quarantine.counts.get(fingerprint, 0)


def awaits_verdict(state: State, fingerprint: str) -> bool:
    """Tell whether a verdict on a fingerprint is about to be given."""
    if crash_count(state, fingerprint) < _CONVICTING:
        return False
    crashes = state.quarantine.crashes.values()
    return any(not each.judged and fingerprint in each.guilty() for each in crashes)


# --- evidence --------------------------------------------------------------------------------


def note_broken(state: State, now: float, req: Request, attempt: Attempt, alive: bool) -> None:
    """Take a connection that broke after the request had been sent."""
    if not req.fingerprint or _is_harmless(state, attempt):
        return
    if alive:
        # No sign of a crash, unless the next report is of another incarnation.
        _keep_break(state, now, req, attempt, silent=False)
        return
    key = crash_key(attempt.server, attempt.incarnation, attempt.attempt_id)
    _note_seen(state, now, key, now, req.fingerprint, attempt.started)


def _is_harmless(state: State, attempt: Attempt) -> bool:
    """Tell whether an answer had been coming for too long to have crashed its server.

    Failure without it: an engine dies with twenty streams that have run for a second or more. All
    are suspects, wait for a server of their own one after the other, and their callers, who see no
    event, leave after two seconds, though other engines could have gone on at once. So it is where
    the way to a server is cut, which is no crash at all.
    """
    first, last = attempt.first_token_at, attempt.last_token_at
    return first is not None and last is not None and last - first >= state.options.harmless_s


def note_silent(state: State, now: float, req: Request, attempt: Attempt) -> None:
    """Take a connection that was given up for its silence.

    Failure: a server crashes behind a network that swallows its last words. Its connection does not
    break, so the request that crashed it counts as merely unlucky and goes on to the next server.
    Whether the server restarted shows in its next report, as after any break.
    """
    if req.fingerprint:
        _keep_break(state, now, req, attempt, silent=True)


def _keep_break(state: State, now: float, req: Request, attempt: Attempt, *, silent: bool) -> None:
    broken = Break(now, attempt.incarnation, req.fingerprint, attempt.started, silent)
    state.quarantine.breaks.setdefault(attempt.server, []).append(broken)


def may_have_crashed(state: State, now: float, req: Request) -> bool:
    """Tell whether word is awaited if the server crashed on which a model request just broke.

    Failure: a server crashes and is back before anyone has tried a new connection, and all that was
    in flight there goes on together on the next one before a report shows the new life. That one
    crashes as well, and each of them was in flight at two crashes. A plain call is not held: its
    target is shorter than the wait.
    """
    if req.kind is not Kind.MODEL:
        return False
    doubt_s = state.options.crash_doubt_s
    return any(
        each.fingerprint == req.fingerprint and not each.silent and now - each.at < doubt_s
        for breaks in state.quarantine.breaks.values()
        for each in breaks
    )


def note_progress(state: State, attempt: Attempt) -> None:
    """Take tokens over a connection that is older than a break: the server did not crash then.

    A break is noted after a new connection was tried, which takes up to a second. A younger attempt
    may have begun in the life after, and its tokens prove nothing.
    """
    breaks = state.quarantine.breaks.get(attempt.server)
    if breaks:
        proven_s = state.options.crash_doubt_s
        kept = [each for each in breaks if each.at - attempt.started <= proven_s]
        state.quarantine.breaks[attempt.server] = kept


def _note_seen(
    state: State, now: float, key: CrashKey, at: float, fingerprint: str, started: float
) -> None:
    """Record that a request of this instance was in flight at a crash."""
    seen = Evidence(suspects=frozenset({Sighting(fingerprint, state.me.name)}))
    merge_record(state, now, key, at, seen)
    crash = state.quarantine.crashes[kept_as(state.quarantine, key, at)]
    # Of two copies the earlier one counts: it may have been in flight.
    earlier = crash.own_started.get(fingerprint, started)
    crash.own_started[fingerprint] = min(earlier, started)
    clear_late(state, now)


def note_report(state: State, now: float, report: ServerReport) -> None:
    """Compare a server's incarnation with what broke there and with the crashes known."""
    quarantine = state.quarantine
    for broken in quarantine.breaks.pop(report.server, ()):
        if now - broken.at > _BREAK_KEEP_S:
            continue
        if broken.incarnation and broken.incarnation != report.incarnation:
            key = CrashKey(report.server, broken.incarnation)
            _note_seen(state, now, key, broken.at, broken.fingerprint, broken.started)
        elif now - broken.at < _REPORT_LATE_S:
            quarantine.breaks.setdefault(report.server, []).append(broken)
    key = CrashKey(report.server, report.incarnation)
    crash = quarantine.crashes.get(key)
    if crash is not None and now - crash.at > _REPORT_ON_WAY_S:
        merge_record(state, now, key, crash.at, Evidence(retracted=True))


def note_cleared(state: State, now: float, fingerprint: str) -> None:
    """Clear a suspect that has completed, or has come past where it was at the crash."""
    for server, breaks in state.quarantine.breaks.items():
        kept = [each for each in breaks if each.fingerprint != fingerprint]
        state.quarantine.breaks[server] = kept
    if not is_suspect(state, fingerprint):
        return
    for key, crash in state.quarantine.crashes.items():
        if fingerprint in crash.in_flight():
            merge_record(state, now, key, crash.at, Evidence(cleared=frozenset({fingerprint})))


# --- verdicts --------------------------------------------------------------------------------


def judge(state: State, now: float) -> list[Effect]:
    """Refuse the fingerprints that the crashes known by now convict."""
    effects: list[Effect] = []
    for key, crash in state.quarantine.crashes.items():
        if crash.judged or now - crash.changed_at < state.options.verdict_wait_s:
            continue
        crash.judged = True
        effects += _judge_crash(state, now, key, crash)
    return effects


def _judge_crash(state: State, now: float, key: CrashKey, crash: Crash) -> list[Effect]:
    quarantine = state.quarantine
    if crash.retracted:
        _pardon(state, crash)
        return [Log("crash_retracted", {"peer": key.server, "incarnation": key.incarnation})]
    convicted = [each for each in crash.guilty() if crash_count(state, each) >= _CONVICTING]
    # Two that were both in flight at two crashes: one of them is innocent, and only a trial of
    # each alone can tell which.
    if len(convicted) != 1 or convicted[0] in quarantine.refused:
        return []
    fingerprint = convicted[0]
    quarantine.refused[fingerprint] = crash.at + state.options.quarantine_s
    quarantine.look_through = True
    return [Log("quarantined", {"fingerprint": fingerprint, "peer": key.server})]


def _pardon(state: State, crash: Crash) -> None:
    """Take back the verdicts that rested on a crash which was none."""
    for fingerprint in {each.fingerprint for each in crash.suspects}:
        if crash_count(state, fingerprint) < _CONVICTING:
            state.quarantine.refused.pop(fingerprint, None)


# --- time ------------------------------------------------------------------------------------


def on_tick(state: State, now: float) -> list[Effect]:
    """Forget what is old, tell others the news, give the verdicts that are due."""
    _expire(state, now)
    return [*judge(state, now), *_tell(state, now), *_ask_peer(state, now)]


def _expire(state: State, now: float) -> None:
    quarantine = state.quarantine
    if now < quarantine.expire_due:
        return
    quarantine.expire_due = now + _RESEND_S
    for key, crash in list(quarantine.crashes.items()):
        if now - crash.at > state.options.quarantine_s:
            del quarantine.crashes[key]
            quarantine.unsent.pop(key, None)
    for fingerprint, until in list(quarantine.refused.items()):
        if now >= until:
            del quarantine.refused[fingerprint]
    for server, breaks in list(quarantine.breaks.items()):
        if not breaks or now - breaks[-1].at > _BREAK_KEEP_S:
            del quarantine.breaks[server]
    for fingerprint, until in list(quarantine.barred.items()):
        if now >= until:
            del quarantine.barred[fingerprint]
    if quarantine.counts:
        recount(quarantine, now, state.options.suspect_keep_s)


def _tell(state: State, now: float) -> list[Effect]:
    """Send the news to all of the region; a second time in case a stream broke with the first."""
    quarantine = state.quarantine
    fresh = any(times == SENDINGS for times in quarantine.unsent.values())
    if not quarantine.unsent or (not fresh and now < quarantine.resend_due):
        return []
    quarantine.resend_due = now + _RESEND_S
    keys = [key for key in quarantine.unsent if key in quarantine.crashes]
    for key, times in list(quarantine.unsent.items()):
        if times > 1:
            quarantine.unsent[key] = times - 1
        else:
            del quarantine.unsent[key]
    news = CrashNews(_records(state, now, keys))
    peers = membership.region_instances(state, now)
    me = state.me.name
    return [SendPeer(each.name, each.peer_address, news) for each in peers if each.name != me]


def _records(state: State, now: float, keys: Iterable[CrashKey]) -> list[CrashRecord]:
    crashes = state.quarantine.crashes
    return [_record(now, key, crashes[key]) for key in keys]


def _record(now: float, key: CrashKey, crash: Crash) -> CrashRecord:
    return CrashRecord(
        server=key.server,
        incarnation=key.incarnation,
        age_s=max(0.0, now - crash.at),
        suspects=sorted(crash.suspects),
        late=sorted(crash.late),
        cleared=sorted(crash.cleared),
        retracted=crash.retracted,
    )


def _ask_peer(state: State, now: float) -> list[Effect]:
    """Ask a random peer for what this instance missed; a newcomer does so as soon as it has one."""
    quarantine = state.quarantine
    if now < quarantine.ask_due:
        return []
    me = state.me.name
    peers = [each for each in membership.region_instances(state, now) if each.name != me]
    if not peers:
        quarantine.ask_due = now + _RESEND_S
        return []
    quarantine.ask_due = now + state.options.crashes_ask_s
    peer = state.rng.choice(peers)
    return [SendDatagram(peer.name, peer.peer_address, CrashesAsk(_crashes_hash(state)))]


def _crashes_hash(state: State) -> int:
    rows = [
        (
            *key,
            sorted(crash.suspects),
            sorted(crash.late),
            sorted(crash.cleared),
            crash.retracted,
        )
        for key, crash in sorted(state.quarantine.crashes.items())
    ]
    return xxhash.xxh32_intdigest(repr(rows).encode()) if rows else 0


# --- messages --------------------------------------------------------------------------------


def on_asked(state: State, now: float, sender: InstanceName, ask: CrashesAsk) -> list[Effect]:
    """Send all crashes to a peer that does not know the same ones."""
    if ask.crashes_hash == _crashes_hash(state) or not state.quarantine.crashes:
        return []
    peer = membership.member(state, sender)
    if peer is None:
        return []
    news = CrashNews(_records(state, now, state.quarantine.crashes))
    return [SendPeer(sender, peer.peer_address, news)]


def on_news(state: State, now: float, news: CrashNews) -> list[Effect]:
    """Merge what another instance knows; it has told everyone else itself."""
    for record in news.crashes:
        if record.age_s > state.options.quarantine_s:
            continue
        key = CrashKey(ServerName(record.server), record.incarnation)
        at = now - max(0.0, record.age_s)
        evidence = Evidence(
            frozenset(record.suspects),
            frozenset(record.late),
            frozenset(record.cleared),
            record.retracted,
        )
        if not record.retracted:
            _leave_alone(state, now, key.server, at)
        merge_record(state, now, key, at, evidence, tell=False)
    clear_late(state, now)
    return []


def _leave_alone(state: State, now: float, name: ServerName, crashed_at: float) -> None:
    """Give a server that others saw crash no new work before it has had time to come back.

    Failure: behind something that takes connections for a server that is down, each instance would
    lose a request there before it finds out for itself, and be blamed for the next crash.
    """
    server = state.servers.by_name.get(name)
    if server is None or server.report_at > crashed_at:
        return
    if now - crashed_at < state.options.unreachable_retry_s:
        note_unreachable(state.servers, state.options, now, name)
