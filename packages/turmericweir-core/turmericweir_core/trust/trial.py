"""Trials: a suspect of the quarantine runs only where no other suspect runs.

Instances do not see each other's requests, and two suspects of two instances on one server would
both be blamed for its next crash; and a suspect that was sent through two instances would crash two
servers more. So all trials are given out by one instance, their home by rendezvous hashing over the
live instances of the region: one to a server, and one to a fingerprint. The home is soft: while two
instances take themselves for it, two suspects may meet, and the verdict then waits for another
trial. Where no home answers in time, a suspect runs without leave rather than not at all.

A suspect that waits stands outside the queues, since it would hold up whatever waits behind it.
This module decides; `quarantine_flow` carries the decisions out.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, TypeAlias

from msgspec import Struct

from turmericweir_core.base.ids import AttemptId, InstanceName, RequestId, ServerName
from turmericweir_core.base.request import Attempt, Request
from turmericweir_core.membership import membership
from turmericweir_core.membership.subset import rendezvous_weight
from turmericweir_core.messages.effects import Effect, SendDatagram
from turmericweir_core.messages.peer_messages import TrialAnswer, TrialAsk, TrialEnd
from turmericweir_core.state.membership_state import Member
from turmericweir_core.state.quarantine_state import GivenTrial, HeldSuspect, OwnTrial
from turmericweir_core.state.server_table import Server, is_open, servers_for
from turmericweir_core.trust import quarantine

if TYPE_CHECKING:
    from turmericweir_core.state.state import State

# What the home of all trials is the home of.
_HOME_KEY: Final = "trials"


class RunAlone(Struct, frozen=True):
    """Start a suspect on this server; it was taken off the held ones."""

    req: Request
    server: Server
    # Who gave leave; empty where nobody answered.
    home: InstanceName


class Release(Struct, frozen=True):
    """Let a request wait in its queue: it is no suspect any more."""

    req: Request


class Refuse(Struct, frozen=True):
    """End a request: it is in quarantine."""

    req: Request


class GiveUp(Struct, frozen=True):
    """End a request: its deadline passed while it waited for a server of its own."""

    req: Request


class Send(Struct, frozen=True):
    """Send a message of this module."""

    effect: Effect


Decision: TypeAlias = RunAlone | Release | Refuse | GiveUp | Send


# --- suspects that wait ----------------------------------------------------------------------


def must_wait(state: State, now: float, req: Request) -> bool:
    """Tell whether a request may not wait in its queue: a suspect, or one that may become one."""
    suspect = quarantine.is_suspect(state, req.fingerprint)
    return suspect or quarantine.may_have_crashed(state, now, req)


def hold(state: State, req: Request) -> None:
    """Let such a request wait outside the queues."""
    state.quarantine.held[req.request_id] = HeldSuspect(req)


def hold_after_crash(state: State, now: float, req: Request) -> None:
    """Let a suspect, or one whose server may have crashed, wait a moment for what others know.

    Failure: a caller sends it through two instances at once, each sees one crash, and both run it
    again before either knows of the other's. So they wait for the news to arrive first.
    """
    held = HeldSuspect(req, ask_due=now + state.options.trial_delay_s)
    state.quarantine.held[req.request_id] = held


def is_held(state: State, request_id: RequestId) -> bool:
    """Tell whether a request waits for a trial."""
    return request_id in state.quarantine.held


def let_go(state: State, request_id: RequestId) -> None:
    """Forget a held request, which has ended."""
    state.quarantine.held.pop(request_id, None)


def step(state: State, now: float) -> list[Decision]:
    """Move every held suspect on, the most urgent first."""
    held = state.quarantine.held
    if not held:
        return []
    decisions: list[Decision] = []
    for each in sorted(held.values(), key=lambda each: (each.req.priority, each.req.arrived)):
        decisions += _step_one(state, now, each)
    return decisions


def _step_one(state: State, now: float, held: HeldSuspect) -> list[Decision]:
    req = held.req
    ended = _without_trial(state, now, req)
    if ended is not None:
        let_go(state, req.request_id)
        return [ended]
    if quarantine.may_have_crashed(state, now, req):
        # Also a suspect waits for that word: it may be its second crash. The others' word comes a
        # moment later still.
        held.ask_due = now + state.options.trial_delay_s
        return []
    if quarantine.awaits_verdict(state, req.fingerprint):
        return []
    if held.asked is not None:
        return _await_answer(state, now, held, held.asked)
    if now < held.ask_due:
        return []
    held.ask_due = now + state.options.trial_ask_s
    server = _pick(state, now, held)
    return [] if server is None else _ask(state, now, held, server)


def _without_trial(state: State, now: float, req: Request) -> Decision | None:
    if quarantine.refused_for(state, now, req.fingerprint) is not None:
        return Refuse(req)
    if now >= req.deadline and req.first_token_at is None:
        return GiveUp(req)
    if quarantine.is_suspect(state, req.fingerprint):
        return None
    return None if quarantine.may_have_crashed(state, now, req) else Release(req)


def _await_answer(state: State, now: float, held: HeldSuspect, asked: ServerName) -> list[Decision]:
    if now - held.asked_at < state.options.trial_answer_s:
        return []
    # The home is out of reach. The request has waited long enough for a safeguard that only
    # matters at another crash.
    held.asked = None
    return _run(state, held, asked, now, InstanceName(""))


def _pick(state: State, now: float, held: HeldSuspect) -> Server | None:
    """Pick the server with the fewest neighbours that a further crash would take down as well."""
    tried = {each.server for each in state.quarantine.own.values()}
    tried |= {each.asked for each in state.quarantine.held.values() if each.asked is not None}
    best: Server | None = None
    best_rank = (2, 0)
    for server in servers_for(state.servers, held.req.target, now):
        name = server.entry.name
        if name in tried or now < held.denied.get(name, now):
            continue
        rank = (int(name in held.req.avoid), _neighbours(server))
        if rank < best_rank:
            best = server
            best_rank = rank
    return best


def _neighbours(server: Server) -> int:
    report = server.report
    reported = report.running + report.waiting if report is not None else 0
    return max(len(server.in_flight), reported)


def _ask(state: State, now: float, held: HeldSuspect, server: Server) -> list[Decision]:
    name = server.entry.name
    fingerprint = held.req.fingerprint
    home = _home(state, now)
    if home.name == state.me.name:
        may_run = _may_begin(state, now, fingerprint)
        if may_run and _give(state, now, home.name, name, fingerprint):
            return _run(state, held, name, now, state.me.name)
        _deny(state, now, held, name)
        return []
    held.asked = name
    held.asked_at = now
    ask = TrialAsk(name, fingerprint)
    return [Send(SendDatagram(home.name, home.peer_address, ask))]


def _run(
    state: State, held: HeldSuspect, name: ServerName, now: float, home: InstanceName
) -> list[Decision]:
    server = state.servers.by_name.get(name)
    if server is None or not is_open(server, now):
        return _end(state, now, home, TrialEnd(name, held.req.fingerprint))
    let_go(state, held.req.request_id)
    return [RunAlone(held.req, server, home)]


def _deny(state: State, now: float, held: HeldSuspect, name: ServerName) -> None:
    held.denied[name] = now + 2 * state.options.trial_ask_s
    held.ask_due = now


# --- suspects that run -----------------------------------------------------------------------


def note_started(state: State, now: float, run: RunAlone, attempt: Attempt) -> None:
    """Keep the trial until the suspect has shown that it does no harm."""
    state.quarantine.own[attempt.attempt_id] = OwnTrial(
        request_id=run.req.request_id,
        server=attempt.server,
        fingerprint=run.req.fingerprint,
        home=run.home,
        renew_due=now + state.options.trial_lease_s / 3,
    )


def note_ended(
    state: State, now: float, attempt_id: AttemptId, *, broken: bool = False
) -> list[Effect]:
    """Give the server back after an attempt's end; `broken` says that it may have crashed."""
    own = state.quarantine.own.pop(attempt_id, None)
    if own is None:
        return []
    end = TrialEnd(own.server, own.fingerprint, broken)
    decisions = _end(state, now, own.home, end)
    return [each.effect for each in decisions if isinstance(each, Send)]


def review_running(state: State, now: float) -> list[Effect]:
    """End the trials of suspects that have run for long enough, and renew the others."""
    effects: list[Effect] = []
    for attempt_id, own in list(state.quarantine.own.items()):
        if _is_proven(state, now, own):
            # It went on from where it was at the crash, past the point at which a request that
            # crashes servers by its content would have done so again. Were it not cleared, it would
            # share the blame for a crash that the next suspect makes here while it still runs.
            quarantine.note_cleared(state, now, own.fingerprint)
            effects += note_ended(state, now, attempt_id)
        elif now >= own.renew_due:
            own.renew_due = now + state.options.trial_lease_s / 3
            effects += _renew(state, now, own)
    return effects


def _is_proven(state: State, now: float, own: OwnTrial) -> bool:
    req = state.requests.get(own.request_id)
    if req is None or req.attempt is None:
        return False
    if quarantine.crash_count(state, own.fingerprint) > 1:
        # It was in flight at two crashes together with another one: only its end clears it.
        return False
    begun = req.attempt.first_token_at
    return begun is not None and now - begun >= state.options.trial_s


def _renew(state: State, now: float, own: OwnTrial) -> list[Effect]:
    if own.home == state.me.name:
        _give(state, now, own.home, own.server, own.fingerprint)
        return []
    return _send(state, own.home, TrialAsk(own.server, own.fingerprint))


def _end(state: State, now: float, home: InstanceName, end: TrialEnd) -> list[Decision]:
    if home == state.me.name:
        on_end(state, now, home, end)
        return []
    return [Send(each) for each in _send(state, home, end)]


def _send(state: State, home: InstanceName, message: TrialAsk | TrialEnd) -> list[Effect]:
    peer = membership.member(state, home) if home else None
    return [] if peer is None else [SendDatagram(home, peer.peer_address, message)]


# --- the home --------------------------------------------------------------------------------


def _home(state: State, now: float) -> Member:
    return max(
        membership.region_instances(state, now),
        key=lambda each: rendezvous_weight(_HOME_KEY, each.name),
    )


def _may_begin(state: State, now: float, fingerprint: str) -> bool:
    """Tell whether a fingerprint may have another trial, for all that is known by now.

    Failure: two copies wait on two instances, and the one's trial crashes a server. The home hears
    that the server is free before the other's instance hears of the crash, and that one's trial
    crashes a third. So the home waits for the news after a trial that broke, and gives no trial
    where it only waits for the verdict itself.
    """
    if quarantine.refused_for(state, now, fingerprint) is not None:
        return False
    if quarantine.awaits_verdict(state, fingerprint):
        return False
    return now >= state.quarantine.barred.get(fingerprint, now)


def _give(
    state: State, now: float, holder: InstanceName, server: ServerName, fingerprint: str
) -> bool:
    for name, given in state.quarantine.given.items():
        # A renewal by its holder is no conflict.
        if (name, given.fingerprint, given.holder) == (server, fingerprint, holder):
            continue
        if name != server and given.fingerprint != fingerprint:
            continue
        if now < given.until and _is_live(state, now, given.holder):
            return False
    until = now + state.options.trial_lease_s
    state.quarantine.given[server] = GivenTrial(holder, fingerprint, until)
    return True


def _is_live(state: State, now: float, name: InstanceName) -> bool:
    known = membership.member(state, name)
    return known is not None and membership.is_live(state, now, known)


def on_ask(state: State, now: float, sender: InstanceName, ask: TrialAsk) -> list[Effect]:
    """Answer whether a suspect may run on a server."""
    peer = membership.member(state, sender)
    if peer is None:
        return []
    server = ServerName(ask.server)
    renews = _holds(state, sender, server, ask.fingerprint)
    may_run = renews or _may_begin(state, now, ask.fingerprint)
    granted = may_run and _give(state, now, sender, server, ask.fingerprint)
    answer = TrialAnswer(ask.server, ask.fingerprint, granted)
    return [SendDatagram(sender, peer.peer_address, answer)]


def _holds(state: State, name: InstanceName, server: ServerName, fingerprint: str) -> bool:
    given = state.quarantine.given.get(server)
    return given is not None and (given.holder, given.fingerprint) == (name, fingerprint)


def on_end(state: State, now: float, sender: InstanceName, end: TrialEnd) -> None:
    """Take a server back."""
    server = ServerName(end.server)
    if end.broken:
        # Whether the server crashed is known after the doubt, and here by the news of it.
        wait_s = state.options.crash_doubt_s + state.options.trial_delay_s
        state.quarantine.barred[end.fingerprint] = now + wait_s
    if _holds(state, sender, server, end.fingerprint):
        del state.quarantine.given[server]


def on_answer(
    state: State, now: float, sender: InstanceName, answer: TrialAnswer
) -> list[Decision]:
    """Run a suspect that may run, or ask elsewhere."""
    name = ServerName(answer.server)
    for held in list(state.quarantine.held.values()):
        if held.asked != name or held.req.fingerprint != answer.fingerprint:
            continue
        held.asked = None
        if answer.granted:
            return _run(state, held, name, now, sender)
        _deny(state, now, held, name)
        return []
    if answer.granted and not _runs(state, name, answer.fingerprint):
        # It came too late, or the request has ended meanwhile.
        return _end(state, now, sender, TrialEnd(answer.server, answer.fingerprint))
    return []


def _runs(state: State, server: ServerName, fingerprint: str) -> bool:
    running = state.quarantine.own.values()
    return any((each.server, each.fingerprint) == (server, fingerprint) for each in running)
