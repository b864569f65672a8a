"""Isolated runs of suspects, *trials* in messages: at most one suspect runs on a server at a time.

One instance, the home picked by rendezvous hashing, permits all isolated runs: at
most one per server and one per fingerprint. Prevents suspects of two instances from sharing a
server, and copies of one suspect from crashing two more servers. While two instances act as the
home, two suspects may share a server, and the verdict waits for a further run. If the home does not
answer in time, a suspect runs without a permit.

A suspect is a request that was in flight at a crash, known by its fingerprint, or one with a part
that was (`part_verdicts`). Each run has the fingerprint or the part as its key.

Suspects wait outside the queues, where they would block other requests. This module makes the
decisions, and `quarantine_flow` carries them out.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, TypeAlias

from msgspec import Struct

from turmericweir_core.base.ids import AttemptId, InstanceName, RequestId, ServerName
from turmericweir_core.base.request import Attempt, Request
from turmericweir_core.membership import announced_limits, membership
from turmericweir_core.membership.subset import rendezvous_weight
from turmericweir_core.messages.crash_messages import TrialAnswer, TrialAsk, TrialEnd
from turmericweir_core.messages.effects import Effect, SendDatagram
from turmericweir_core.state.membership_state import Member
from turmericweir_core.state.quarantine_state import IsolatedRun, IsolatedRunPermit, WaitingSuspect
from turmericweir_core.state.server_table import Server, can_take_work, servers_for
from turmericweir_core.streams.stream_servers import can_run_on
from turmericweir_core.trust import part_verdicts, quarantine

if TYPE_CHECKING:
    from turmericweir_core.state.state import State

# The key that rendezvous hashing assigns to the home.
_HOME_KEY: Final = "trials"
# Pause after a denied run for a part, in intervals between two requests for a run.
_PART_ASKS: Final = 5


class StartIsolatedRun(Struct, frozen=True):
    """Start a suspect, which no longer waits, on this server."""

    req: Request
    server: Server
    # The instance that permitted the run; empty if none answered.
    home: InstanceName
    # The key of the run: a fingerprint, or that of a part of the prompt.
    key: str


class MoveToQueue(Struct, frozen=True):
    """Move a request that is no longer a suspect to its queue."""

    req: Request


class RefuseQuarantined(Struct, frozen=True):
    """End a request whose fingerprint is in quarantine."""

    req: Request


class EndAtDeadline(Struct, frozen=True):
    """End a request whose deadline has passed while it waited for an isolated run."""

    req: Request


class SendRunMessage(Struct, frozen=True):
    """Send a message of this module."""

    effect: Effect


Decision: TypeAlias = (
    StartIsolatedRun | MoveToQueue | RefuseQuarantined | EndAtDeadline | SendRunMessage
)


# --- suspects that wait ----------------------------------------------------------------------


def must_wait_outside_queue(state: State, now: float, req: Request) -> bool:
    """Return whether a request is or may become a suspect and must wait outside its queue."""
    return (
        bool(_suspect_key(state, req))
        or quarantine.may_have_crashed(state, now, req)
        or quarantine.awaits_first_records(state, now, req)
    )


def is_suspect(state: State, req: Request) -> bool:
    """Return whether a request may only run isolated, because of a part or as a whole."""
    return bool(_suspect_key(state, req))


def refusal_remaining_s(state: State, now: float, req: Request) -> float | None:
    """Return the remaining time for which a request is refused, or None."""
    remaining_s = part_verdicts.refusal_remaining_s(state, now, req)
    if remaining_s is not None:
        return remaining_s
    return quarantine.refusal_remaining_s(state, now, req.fingerprint)


def _suspect_key(state: State, req: Request) -> str:
    """Return the key of the isolated runs of a request; empty if it is no suspect.

    Runs are isolated by key, so requests that share a suspect part share one.
    """
    part_key = part_verdicts.suspect_key(state, req)
    if part_key or not quarantine.is_suspect(state, req.fingerprint):
        return part_key
    return req.fingerprint


def hold_suspect(state: State, req: Request) -> None:
    """Hold a request outside the queues."""
    state.quarantine.waiting_suspects[req.request_id] = WaitingSuspect(req)


def hold_after_crash(state: State, now: float, req: Request) -> None:
    """Hold a request after a possible crash until the crash records of others have arrived.

    Prevents two instances with copies of a request, each of which caused a crash, from running them
    again before they know of the other crash.
    """
    suspect = WaitingSuspect(req, next_request_at=now + state.options.trial_delay_s)
    state.quarantine.waiting_suspects[req.request_id] = suspect


def is_held(state: State, request_id: RequestId) -> bool:
    """Return whether a request waits for an isolated run."""
    return request_id in state.quarantine.waiting_suspects


def remove_suspect(state: State, request_id: RequestId) -> None:
    """Remove a request from the held ones."""
    state.quarantine.waiting_suspects.pop(request_id, None)


def decide_on_suspects(state: State, now: float) -> list[Decision]:
    """Return the decisions on all held suspects, the most urgent first."""
    suspects = state.quarantine.waiting_suspects
    if not suspects:
        return []
    decisions: list[Decision] = []
    for suspect in sorted(
        suspects.values(), key=lambda suspect: (suspect.req.priority, suspect.req.arrived_at)
    ):
        decisions += _decide_on_suspect(state, now, suspect)
    return decisions


def _decide_on_suspect(state: State, now: float, suspect: WaitingSuspect) -> list[Decision]:
    req = suspect.req
    decision = _decide_without_run(state, now, req)
    if decision is not None:
        remove_suspect(state, req.request_id)
        return [decision]
    if quarantine.may_have_crashed(state, now, req):
        # A suspect waits too, as this may be its second crash. Afterwards it waits for the crash
        # records of other instances.
        suspect.next_request_at = now + state.options.trial_delay_s
        return []
    if quarantine.awaits_first_records(state, now, req):
        return []
    if suspect.asked_server is not None:
        return _await_answer(state, now, suspect, suspect.asked_server)
    key = _suspect_key(state, req)
    if now < suspect.next_request_at or _awaits_verdict(state, now, key):
        return []
    if part_verdicts.is_part_key(key) and _is_key_busy(state, key):
        return []
    suspect.next_request_at = now + state.options.trial_ask_s
    server = _pick_server(state, now, suspect)
    return [] if server is None else _request_run(state, now, suspect, server)


def _awaits_verdict(state: State, now: float, key: str) -> bool:
    if part_verdicts.is_part_key(key):
        return part_verdicts.awaits_records(state, now, key)
    return quarantine.awaits_verdict(state, key)


def _is_key_busy(state: State, key: str) -> bool:
    """Return whether a request of this instance with the same key runs or has asked to run."""
    runs = state.quarantine.isolated_runs.values()
    suspects = state.quarantine.waiting_suspects.values()
    return any(run.fingerprint == key for run in runs) or any(
        each.asked_server is not None and each.asked_key == key for each in suspects
    )


def _decide_without_run(state: State, now: float, req: Request) -> Decision | None:
    if refusal_remaining_s(state, now, req) is not None:
        return RefuseQuarantined(req)
    if now >= req.deadline and req.first_token_at is None:
        return EndAtDeadline(req)
    if is_suspect(state, req) or quarantine.awaits_first_records(state, now, req):
        return None
    return None if quarantine.may_have_crashed(state, now, req) else MoveToQueue(req)


def _await_answer(
    state: State, now: float, suspect: WaitingSuspect, asked_server: ServerName
) -> list[Decision]:
    if now - suspect.asked_at < state.options.trial_answer_s:
        return []
    suspect.asked_server = None
    if part_verdicts.is_part_key(suspect.asked_key):
        # Many requests have the part, and without a permit each instance would run one of them.
        return []
    # Runs without a permit, as the home does not answer.
    return _start_run(state, suspect, asked_server, now, InstanceName(""))


def _pick_server(state: State, now: float, suspect: WaitingSuspect) -> Server | None:
    """Return the server where a further crash would affect the fewest other requests, if any."""
    busy_servers = {each.server for each in state.quarantine.isolated_runs.values()}
    busy_servers |= {
        each.asked_server
        for each in state.quarantine.waiting_suspects.values()
        if each.asked_server is not None
    }
    best: Server | None = None
    best_rank = (2, 0)
    for server in servers_for(state.servers, suspect.req.target, now):
        name = server.entry.name
        if name in busy_servers or now < suspect.excluded_until.get(name, now):
            continue
        if not announced_limits.can_send(state, now, server):
            continue
        if not can_run_on(state, suspect.req, server):
            continue
        rank = (int(name in suspect.req.failed_servers), _request_count(server))
        if rank < best_rank:
            best = server
            best_rank = rank
    return best


def _request_count(server: Server) -> int:
    report = server.report
    reported = report.running + report.waiting if report is not None else 0
    return max(len(server.in_flight), reported)


def _request_run(
    state: State, now: float, suspect: WaitingSuspect, server: Server
) -> list[Decision]:
    name = server.entry.name
    key = _suspect_key(state, suspect.req)
    suspect.asked_key = key
    home = _home_instance(state, now)
    if home.name == state.me.name:
        may_run = _may_start(state, now, key)
        if may_run and _permit_run(state, now, home.name, name, key):
            return _start_run(state, suspect, name, now, state.me.name)
        _record_denial(state, now, suspect, name)
        return []
    suspect.asked_server = name
    suspect.asked_at = now
    ask = TrialAsk(name, key)
    return [SendRunMessage(SendDatagram(home.name, home.peer_address, ask))]


def _start_run(
    state: State, suspect: WaitingSuspect, name: ServerName, now: float, home: InstanceName
) -> list[Decision]:
    server = state.servers.by_name.get(name)
    if server is None or not can_take_work(server, now):
        return _end_run(state, now, home, TrialEnd(name, suspect.asked_key))
    remove_suspect(state, suspect.req.request_id)
    return [StartIsolatedRun(suspect.req, server, home, suspect.asked_key)]


def _record_denial(state: State, now: float, suspect: WaitingSuspect, name: ServerName) -> None:
    if part_verdicts.is_part_key(suspect.asked_key):
        # Another instance probably runs the part, which lasts for as long as an answer begins.
        suspect.next_request_at = now + _PART_ASKS * state.options.trial_ask_s
        return
    suspect.excluded_until[name] = now + 2 * state.options.trial_ask_s
    suspect.next_request_at = now


# --- suspects that run -----------------------------------------------------------------------


def note_started(state: State, now: float, run: StartIsolatedRun, attempt: Attempt) -> None:
    """Record the isolated run of a suspect that was started."""
    attempt.is_isolated = True
    state.quarantine.isolated_runs[attempt.attempt_id] = IsolatedRun(
        request_id=run.req.request_id,
        server=attempt.server,
        fingerprint=run.key,
        home=run.home,
        next_renewal_at=now + state.options.trial_lease_s / 3,
    )


def note_ended(
    state: State, now: float, attempt_id: AttemptId, *, broken: bool = False
) -> list[Effect]:
    """End the isolated run of an attempt; `broken` means that its server may have crashed."""
    run = state.quarantine.isolated_runs.pop(attempt_id, None)
    if run is None:
        return []
    end = TrialEnd(run.server, run.fingerprint, broken)
    decisions = _end_run(state, now, run.home, end)
    return [each.effect for each in decisions if isinstance(each, SendRunMessage)]


def review_isolated_runs(state: State, now: float) -> list[Effect]:
    """End the isolated runs that have lasted long enough, and renew the permits of the others."""
    effects: list[Effect] = []
    for attempt_id, run in list(state.quarantine.isolated_runs.items()):
        if _has_run_long_enough(state, now, run):
            # It got further than at the crash. Prevents it from counting as a suspect of a crash
            # that the next suspect causes here.
            if not part_verdicts.is_part_key(run.fingerprint):
                quarantine.note_cleared(state, now, run.fingerprint)
            effects += note_ended(state, now, attempt_id)
        elif now >= run.next_renewal_at:
            run.next_renewal_at = now + state.options.trial_lease_s / 3
            effects += _renew(state, now, run)
    return effects


def _has_run_long_enough(state: State, now: float, run: IsolatedRun) -> bool:
    req = state.requests.get(run.request_id)
    if req is None or req.attempt is None:
        return False
    if part_verdicts.is_part_key(run.fingerprint):
        return not part_verdicts.is_key_suspect(state, run.fingerprint)
    if quarantine.crash_count(state, run.fingerprint) > 1:
        # It was in flight at two crashes together with another suspect, so it is cleared only when
        # it completes.
        return False
    first_token_at = req.attempt.first_token_at
    return first_token_at is not None and now - first_token_at >= state.options.trial_s


def _renew(state: State, now: float, run: IsolatedRun) -> list[Effect]:
    if run.home == state.me.name:
        _permit_run(state, now, run.home, run.server, run.fingerprint)
        return []
    return _send_to_home(state, run.home, TrialAsk(run.server, run.fingerprint))


def _end_run(state: State, now: float, home: InstanceName, end: TrialEnd) -> list[Decision]:
    if home == state.me.name:
        on_end(state, now, home, end)
        return []
    return [SendRunMessage(each) for each in _send_to_home(state, home, end)]


def _send_to_home(state: State, home: InstanceName, message: TrialAsk | TrialEnd) -> list[Effect]:
    peer = membership.find_member(state, home) if home else None
    return [] if peer is None else [SendDatagram(home, peer.peer_address, message)]


# --- the home --------------------------------------------------------------------------------


def _home_instance(state: State, now: float) -> Member:
    return max(
        membership.live_instances(state, now),
        key=lambda each: rendezvous_weight(_HOME_KEY, each.name),
    )


def _may_start(state: State, now: float, key: str) -> bool:
    """Return whether another isolated run may start under a key.

    Prevents a copy of a suspect from starting while the verdict on a run that broke is pending.
    """
    if part_verdicts.is_part_key(key):
        is_refused = part_verdicts.is_key_refused(state, now, key)
    else:
        is_refused = quarantine.refusal_remaining_s(state, now, key) is not None
    if is_refused or _awaits_verdict(state, now, key):
        return False
    return now >= state.quarantine.runs_barred_until.get(key, now)


def _permit_run(
    state: State, now: float, holder: InstanceName, server: ServerName, fingerprint: str
) -> bool:
    for name, permit in state.quarantine.permits.items():
        # A renewal by the holder is not a conflict.
        if (name, permit.fingerprint, permit.holder) == (server, fingerprint, holder):
            continue
        if name != server and permit.fingerprint != fingerprint:
            continue
        if now < permit.permitted_until and _is_live(state, now, permit.holder):
            return False
    permitted_until = now + state.options.trial_lease_s
    state.quarantine.permits[server] = IsolatedRunPermit(holder, fingerprint, permitted_until)
    return True


def _is_live(state: State, now: float, name: InstanceName) -> bool:
    member = membership.find_member(state, name)
    return member is not None and membership.is_live(state, now, member)


def on_ask(state: State, now: float, sender: InstanceName, ask: TrialAsk) -> list[Effect]:
    """Answer a request for an isolated run on a server."""
    peer = membership.find_member(state, sender)
    if peer is None:
        return []
    server = ServerName(ask.server)
    is_renewal = _holds_permit(state, sender, server, ask.fingerprint)
    may_run = is_renewal or _may_start(state, now, ask.fingerprint)
    is_permitted = may_run and _permit_run(state, now, sender, server, ask.fingerprint)
    answer = TrialAnswer(ask.server, ask.fingerprint, is_permitted)
    return [SendDatagram(sender, peer.peer_address, answer)]


def _holds_permit(state: State, name: InstanceName, server: ServerName, fingerprint: str) -> bool:
    permit = state.quarantine.permits.get(server)
    return permit is not None and (permit.holder, permit.fingerprint) == (name, fingerprint)


def on_end(state: State, now: float, sender: InstanceName, end: TrialEnd) -> None:
    """Release the server of an isolated run that has ended."""
    server = ServerName(end.server)
    if end.connection_broke:
        # Waits until a crash would have been detected and reported here.
        wait_s = state.options.crash_doubt_s + state.options.trial_delay_s
        state.quarantine.runs_barred_until[end.fingerprint] = now + wait_s
    if _holds_permit(state, sender, server, end.fingerprint):
        del state.quarantine.permits[server]


def on_answer(
    state: State, now: float, sender: InstanceName, answer: TrialAnswer
) -> list[Decision]:
    """Start the suspect if its run is permitted, or let it ask for another server."""
    name = ServerName(answer.server)
    for suspect in list(state.quarantine.waiting_suspects.values()):
        if suspect.asked_server != name or suspect.asked_key != answer.fingerprint:
            continue
        suspect.asked_server = None
        if answer.granted:
            return _start_run(state, suspect, name, now, sender)
        _record_denial(state, now, suspect, name)
        return []
    if answer.granted and not _is_running(state, name, answer.fingerprint):
        # The suspect has started without waiting for the answer, or has ended.
        return _end_run(state, now, sender, TrialEnd(answer.server, answer.fingerprint))
    return []


def _is_running(state: State, server: ServerName, fingerprint: str) -> bool:
    running = state.quarantine.isolated_runs.values()
    return any((each.server, each.fingerprint) == (server, fingerprint) for each in running)
