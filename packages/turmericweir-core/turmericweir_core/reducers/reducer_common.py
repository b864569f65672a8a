"""The part of the reducers that does not depend on where settings and servers are published.

Requests and their attempts, servers, members, load updates, quarantine and the graceful stop are
handled in the same way everywhere. `reducer` adds the log of settings, claims and leases;
`reducer_store` adds a platform whose store has the settings as one document and the servers'
entries. A process runs one of the two.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeAlias, assert_never

from turmericweir_core.credits import credit
from turmericweir_core.engines import load_updates
from turmericweir_core.membership import leaving, limit_loans, membership_reducer, server_list
from turmericweir_core.messages.crash_messages import (
    CrashesAsk,
    CrashNews,
    TrialAnswer,
    TrialAsk,
    TrialEnd,
)
from turmericweir_core.messages.credit_messages import CreditDemand, CreditGrant
from turmericweir_core.messages.effects import Effect, Exit, Log, ProbeServer
from turmericweir_core.messages.events import (
    AnswerReceived,
    AttemptEnded,
    AttemptProgress,
    AttemptSent,
    CacheEvents,
    CallerLeft,
    CarriedChanged,
    DrainRequested,
    Event,
    ListRead,
    PeerReceived,
    PeerUnreachable,
    RequestArrived,
    SeedsGiven,
    ServerAnswered,
    ServerIdentified,
    ServerReport,
    ServerUnreachable,
    StopRequested,
)
from turmericweir_core.messages.fair_share_messages import ShareReport, ShareTotals
from turmericweir_core.messages.load_messages import LoadBundle, LoadNews
from turmericweir_core.messages.loan_messages import (
    LimitLoan,
    LimitLoanAsk,
    RetryLoan,
    RetryLoanAsk,
)
from turmericweir_core.messages.membership_messages import (
    Heartbeat,
    MarksAsk,
    MarksSend,
    MembersAsk,
    MembersSend,
)
from turmericweir_core.messages.server_messages import PathsAsk, PathsSend, ServersAsk, ServersSend
from turmericweir_core.messages.stream_messages import StreamAsk, StreamsBound, StreamUnknown
from turmericweir_core.placement import attempt_accounting, dispatch, placement
from turmericweir_core.queueing import fair_share_reports
from turmericweir_core.requests import attempt_flow, lifecycle, quarantine_flow, taken_up
from turmericweir_core.state import prefix, server_table
from turmericweir_core.state.account_store import expire_accounts
from turmericweir_core.state.state import State
from turmericweir_core.trust import outlier, quarantine, retry_loans, retry_shares, server_paths

CommonEvent: TypeAlias = (
    RequestArrived
    | CallerLeft
    | ServerIdentified
    | AttemptSent
    | AttemptProgress
    | AnswerReceived
    | AttemptEnded
    | ServerReport
    | ServerUnreachable
    | ServerAnswered
    | CacheEvents
    | ListRead
    | SeedsGiven
    | PeerReceived
    | PeerUnreachable
    | CarriedChanged
    | StopRequested
    | DrainRequested
)

# A reducer changes the state in place and returns the effects to perform.
Reducer: TypeAlias = Callable[[State, float, Event], list[Effect]]


def reduce_common(state: State, now: float, event: CommonEvent) -> list[Effect]:
    """Apply an event that all reducers handle in the same way."""
    match event:
        case PeerReceived():
            return _on_peer(state, now, event)
        case AttemptProgress():
            return attempt_flow.on_progress(state, now, event)
        case ServerIdentified():
            return attempt_flow.on_identified(state, now, event)
        case AttemptSent():
            return attempt_flow.on_sent(state, now, event)
        case AnswerReceived():
            return attempt_flow.on_answer(state, now, event)
        case AttemptEnded():
            return attempt_flow.on_ended(state, now, event)
        case RequestArrived():
            return lifecycle.on_arrived(state, now, event)
        case CallerLeft():
            return lifecycle.on_caller_left(state, now, event)
        case ServerReport():
            quarantine.note_report(state, now, event)
            attempt_accounting.reset_if_restarted(state, now, event)
            server_table.note_report(state.servers, state.options, now, event)
            effects = server_paths.note_connected(state, now, event.server)
            effects += lifecycle.on_server_answered(state, now, event)
            return effects + dispatch.dispatch_all(state, now)
        case ServerUnreachable(server, error, via):
            return server_paths.note_failed(state, now, server, error, via)
        case ServerAnswered(server, via):
            effects = server_paths.note_connected(state, now, server, via)
            return effects + dispatch.dispatch_all(state, now)
        case CarriedChanged(carried):
            state.paths.carried = carried
            return []
        case ListRead(servers, instances):
            server_table.apply_server_list(state.servers, state.config, servers)
            server_list.note_list_read(state, now)
            membership_reducer.on_list(state, now, instances)
            return leaving.create_leaving_notices(state, now) + dispatch.dispatch_all(state, now)
        case SeedsGiven(addresses):
            membership_reducer.on_seeds(state, addresses)
            return []
        case StopRequested():
            return _on_stop(state, now)
        case DrainRequested(server, operator):
            return _on_drain(state, server, operator)
        case CacheEvents():
            prefix.note_cache_events(state.prefixes, state.options, now, event)
            return []
        case PeerUnreachable(peer, _):
            credit.on_peer_unreachable(state, now, peer)
            return []
        case unreachable:
            assert_never(unreachable)


def _on_peer(state: State, now: float, event: PeerReceived) -> list[Effect]:
    sender = event.sender
    # The most frequent messages come first, since each case before them costs time.
    match event.message:
        case LoadNews() as update:
            load_updates.on_load_update(state, now, sender, update)
            return dispatch.dispatch_after_update(state, now)
        case LoadBundle() as bundle:
            load_updates.on_load_bundle(state, now, sender, bundle)
            return dispatch.dispatch_after_update(state, now)
        case Heartbeat() as heartbeat:
            effects, _ = membership_reducer.on_heartbeat(
                state, now, sender, heartbeat, event.origin
            )
            return effects
        case (
            MembersAsk() | MembersSend() | MarksAsk() | MarksSend() | ServersAsk() | ServersSend()
        ) as message:
            return membership_reducer.on_message(state, now, sender, message)
        case (CrashNews() | CrashesAsk() | TrialAsk() | TrialAnswer() | TrialEnd()) as message:
            return quarantine_flow.on_message(state, now, sender, message)
        case (CreditDemand() | CreditGrant()) as message:
            return dispatch.on_credit(state, now, sender, message)
        case (StreamsBound() | StreamAsk() | StreamUnknown()) as message:
            return taken_up.on_message(state, now, sender, message)
        case PathsAsk() as ask:
            return server_paths.on_ask(state, now, sender, ask)
        case PathsSend() as message:
            effects = server_paths.on_send(state, now, sender, message)
            return effects + dispatch.dispatch_all(state, now)
        case LimitLoanAsk() as ask:
            return limit_loans.on_ask(state, now, sender, ask)
        case LimitLoan() as loan:
            effects = limit_loans.on_loan(state, now, loan)
            return effects + dispatch.dispatch_all(state, now)
        case ShareReport() as report:
            return fair_share_reports.on_report(state, now, sender, report)
        case ShareTotals() as totals:
            fair_share_reports.on_totals(state, now, sender, totals)
            return []
        case RetryLoanAsk() as ask:
            return retry_loans.on_ask(state, now, sender, ask)
        case RetryLoan() as loan:
            return retry_loans.on_loan(state, now, loan)
        case _:
            # The message is for a reducer that this process does not run.
            return []


def tick_requests(state: State, now: float) -> list[Effect]:
    """Run the periodic work for requests and their attempts."""
    if state.options.retry_window_s:
        retry_shares.on_tick(state, now)
    effects = taken_up.on_tick(state, now)
    effects += outlier.on_tick(state, now)
    effects += retry_loans.on_tick(state, now)
    effects += limit_loans.on_tick(state, now)
    effects += lifecycle.on_tick(state, now)
    effects += fair_share_reports.on_tick(state, now)
    effects += dispatch.on_tick(state, now)
    return effects + quarantine_flow.on_tick(state, now)


def tick_others(state: State, now: float) -> list[Effect]:
    """Run the periodic work for accounts, probes and members.

    Membership is last because it records the time of the tick, and the other parts use the time
    since the previous one.
    """
    expire_accounts(state.accounts, state.options, now)
    effects = server_paths.on_tick(state, now)
    if state.options.probe_servers:
        for server in server_table.servers_to_probe(state.servers, state.options, now):
            if placement.is_probe_needed(state, now, server):
                effects.append(ProbeServer(server.entry.name, server.entry.address))
    else:
        for server in server_table.servers_to_retry(state.servers, state.options, now):
            effects.append(ProbeServer(server.entry.name, server.entry.address))
    return effects + membership_reducer.on_tick(state, now)


def exit_when_done(state: State, now: float, *, flushed: bool) -> list[Effect]:
    """Exit a stopping process once its work is finished, or after the time limit."""
    stopping_since = state.stopping_since
    if stopping_since is None:
        return []
    elapsed_s = now - stopping_since
    if elapsed_s >= state.options.stop_limit_s:
        # Prevents the supervisor from killing the process, which would tell callers less than a
        # truncated answer.
        return [Log("stop_limit", {"in_flight": len(state.requests)}), Exit()]
    if state.requests or state.paths.carried or elapsed_s <= state.options.stop_grace_s:
        return []
    if not flushed and elapsed_s < state.options.stop_flush_s:
        return []
    return [Exit()]


def _on_stop(state: State, now: float) -> list[Effect]:
    if state.stopping_since is None:
        state.stopping_since = now
    log = Log("stopping", {"in_flight": len(state.requests)})
    return [log, *membership_reducer.on_stop(state, now)]


def _on_drain(state: State, server: str, operator: str) -> list[Effect]:
    for candidate in state.servers.by_name.values():
        if candidate.entry.name == server:
            candidate.drained = True
    return [Log("drain", {"server": server, "operator": operator})]
