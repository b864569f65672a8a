"""The one reducer: every event of an instance goes through `reduce`.

It changes the state in place and returns what the daemon is to do. It does no I/O, reads no clock
and draws no randomness but from the seeded generator in the state, so a run can be repeated from
its events. Each event goes to the small reducers of the concerns that it touches.
"""

from __future__ import annotations

from random import Random
from typing import assert_never

from turmericweir_core import (
    attempt_books,
    attempt_flow,
    claim_carry,
    claim_flow,
    claim_members,
    credit,
    dispatch,
    lease_flow,
    leaving,
    lifecycle,
    limit,
    membership_reducer,
    model_demand,
    model_flow,
    order_flow,
    placement,
    prefix,
    quarantine,
    quarantine_flow,
    server_list,
    server_table,
    settings_flow,
)
from turmericweir_core.account_store import expire_accounts
from turmericweir_core.claim_outbox import is_flushed
from turmericweir_core.claim_record import CLAIMS_STREAM
from turmericweir_core.effects import Effect, Exit, Log, ProbeServer
from turmericweir_core.events import (
    AppendDone,
    AppendFailed,
    AttemptEnded,
    AttemptProgress,
    AttemptSent,
    CacheEvents,
    CallerLeft,
    ChangeSubmitted,
    DrainRequested,
    Event,
    ListRead,
    LogExpired,
    LogFailed,
    LogRead,
    OrderDone,
    PeerReceived,
    PeerUnreachable,
    RequestArrived,
    SeedsGiven,
    ServerReport,
    ServerUnreachable,
    StopRequested,
    Tick,
    WeightsAnswered,
)
from turmericweir_core.ids import InstanceName
from turmericweir_core.lease_record import LEASES_STREAM
from turmericweir_core.options import Options
from turmericweir_core.peer_messages import (
    ClaimAsk,
    ClaimKept,
    ClaimOpen,
    ClaimRelease,
    ClaimUnheld,
    ClaimVote,
    ClaimVoteAsk,
    CrashesAsk,
    CrashNews,
    CreditDemand,
    CreditGrant,
    Heartbeat,
    LimitAsk,
    LimitGrant,
    MarksAsk,
    MarksSend,
    MembersAsk,
    MembersSend,
    ModelDemand,
    ServersAsk,
    ServersSend,
    SettingsAsk,
    SettingsSend,
    TrialAnswer,
    TrialAsk,
    TrialEnd,
)
from turmericweir_core.settings_record import STREAM as SETTINGS_STREAM
from turmericweir_core.state import Identity, State


def new_state(identity: Identity, options: Options, seed: int) -> State:
    """Make the state of an instance that has just started."""
    return State(me=identity, options=options, rng=Random(seed))


def reduce(state: State, now: float, event: Event) -> list[Effect]:
    """Apply one event at a time of the runtime's clock, seconds; return what to do."""
    effects = _apply(state, now, event)
    if state.claims.due:
        effects += claim_flow.settle_due(state, now)
    return effects


def _apply(state: State, now: float, event: Event) -> list[Effect]:
    match event:
        case AttemptProgress():
            return attempt_flow.on_progress(state, now, event)
        case AttemptSent():
            return attempt_flow.on_sent(state, now, event)
        case AttemptEnded():
            return attempt_flow.on_ended(state, now, event)
        case RequestArrived():
            effects = lifecycle.on_arrived(state, now, event)
            return effects + claim_flow.on_arrived(state, now, event.request)
        case CallerLeft():
            return lifecycle.on_caller_left(state, now, event)
        case Tick():
            return _on_tick(state, now)
        case ServerReport():
            quarantine.note_report(state, now, event)
            attempt_books.note_report(state, now, event)
            server_table.note_report(state.servers, state.options, now, event)
            order_flow.note_report(state, now, event)
            answered = lifecycle.on_server_answered(state, now, event)
            return answered + dispatch.dispatch_all(state, now)
        case ServerUnreachable(server, _):
            server_table.note_unreachable(state.servers, state.options, now, server)
            return []
        case ListRead(servers, instances):
            server_table.list_servers(state.servers, state.config, servers)
            server_list.note_list_read(state, now)
            membership_reducer.on_list(state, now, instances)
            return leaving.mark_leavers(state, now) + dispatch.dispatch_all(state, now)
        case SeedsGiven(addresses):
            membership_reducer.on_seeds(state, addresses)
            return []
        case StopRequested():
            return _on_stop(state, now)
        case DrainRequested(server, operator):
            return _on_drain(state, server, operator)
        case LogRead(stream=stream) if stream == CLAIMS_STREAM:
            return claim_flow.on_read(state, now, event)
        case LogExpired(stream=stream) if stream == CLAIMS_STREAM:
            return claim_flow.on_expired(state, now, event)
        case LogFailed(stream=stream) if stream == CLAIMS_STREAM:
            return claim_flow.on_read_failed(state, now, event)
        case AppendDone(stream=stream) if stream == CLAIMS_STREAM:
            return claim_flow.on_append_done(state, now, event)
        case AppendFailed(stream=stream) if stream == CLAIMS_STREAM:
            return claim_flow.on_append_failed(state, now, event)
        case PeerReceived(
            sender,
            (
                ClaimAsk()
                | ClaimKept()
                | ClaimOpen()
                | ClaimUnheld()
                | ClaimVoteAsk()
                | ClaimVote()
                | ClaimRelease()
            ) as message,
        ):
            return claim_flow.on_message(state, now, sender, message)
        case LogRead() | LogExpired() | LogFailed() if event.stream == SETTINGS_STREAM:
            return settings_flow.on_log(state, now, event) + dispatch.dispatch_all(state, now)
        case AppendDone() | AppendFailed() if event.stream == SETTINGS_STREAM:
            return settings_flow.on_append(state, now, event)
        case LogRead() | LogExpired() | LogFailed() if event.stream == LEASES_STREAM:
            return lease_flow.on_log(state, now, event)
        case AppendDone() | AppendFailed() if event.stream == LEASES_STREAM:
            return lease_flow.on_append(state, now, event)
        case OrderDone():
            return order_flow.on_order_done(state, now, event)
        case WeightsAnswered():
            return order_flow.on_weights(state, now, event)
        case ChangeSubmitted():
            return settings_flow.on_submitted(state, now, event)
        case PeerReceived(sender, (SettingsAsk() | SettingsSend()) as message):
            return settings_flow.on_message(state, now, sender, message)
        case PeerReceived(sender, Heartbeat() as beat):
            return _on_heartbeat(state, now, sender, beat)
        case PeerReceived(
            sender,
            (
                MembersAsk()
                | MembersSend()
                | MarksAsk()
                | MarksSend()
                | ServersAsk()
                | ServersSend()
            ) as message,
        ):
            return membership_reducer.on_message(state, now, sender, message)
        case PeerReceived(sender, LimitAsk() as ask):
            return limit.on_ask(state, now, sender, ask)
        case PeerReceived(sender, LimitGrant() as grant):
            return limit.on_grant(state, now, sender, grant)
        case PeerReceived(
            sender,
            (CrashNews() | CrashesAsk() | TrialAsk() | TrialAnswer() | TrialEnd()) as message,
        ):
            return quarantine_flow.on_message(state, now, sender, message)
        case PeerReceived(sender, (CreditDemand() | CreditGrant()) as message):
            return dispatch.on_credit(state, now, sender, message)
        case PeerReceived(sender, ModelDemand() as demand):
            model_demand.on_message(state, now, sender, demand)
            return []
        case CacheEvents():
            prefix.note_cache_events(state.prefixes, state.options, now, event)
            return []
        case PeerUnreachable(peer, _):
            credit.on_peer_unreachable(state, now, peer)
            return claim_flow.on_peer_unreachable(state, now, event)
        case (
            LogRead() | LogExpired() | LogFailed() | AppendDone() | AppendFailed() | PeerReceived()
        ):
            return []
        case unreachable:
            assert_never(unreachable)


def _on_tick(state: State, now: float) -> list[Effect]:
    effects: list[Effect] = lifecycle.on_tick(state, now)
    effects += dispatch.on_tick(state, now)
    effects += quarantine_flow.on_tick(state, now)
    effects += limit.on_tick(state, now)
    effects += claim_flow.on_tick(state, now)
    effects += claim_carry.on_tick(state, now)
    effects += claim_members.on_tick(state, now)
    effects += settings_flow.on_tick(state, now)
    effects += lease_flow.on_tick(state, now)
    effects += model_demand.on_tick(state, now)
    effects += model_flow.on_tick(state, now)
    expire_accounts(state.accounts, state.options, now)
    for server in server_table.due_probes(state.servers, state.options, now):
        if placement.must_probe(state, now, server):
            effects.append(ProbeServer(server.entry.name, server.entry.address))
    # Last, so that the others can still ask how long ago the tick before was.
    effects += membership_reducer.on_tick(state, now)
    if _may_exit(state, now):
        effects.append(Exit())
    return effects


def _may_exit(state: State, now: float) -> bool:
    stopping = state.stopping_since
    if stopping is None or state.requests:
        return False
    if not is_flushed(state.claims.outbox) and now - stopping < state.options.stop_flush_s:
        # A claim that is not withdrawn blocks its key; an end that is not told leaves callers in
        # doubt. A log that is down must not hold the process for ever, though.
        return False
    return now - stopping > state.options.stop_grace_s


def _on_heartbeat(state: State, now: float, sender: InstanceName, beat: Heartbeat) -> list[Effect]:
    effects, spelled = membership_reducer.on_heartbeat(state, now, sender, beat)
    if spelled is None:
        return effects
    return effects + settings_flow.on_heartbeat(state, sender, spelled)


def _on_stop(state: State, now: float) -> list[Effect]:
    if state.stopping_since is None:
        state.stopping_since = now
    log = Log("stopping", {"in_flight": len(state.requests)})
    return [log, *membership_reducer.on_stop(state, now)]


def _on_drain(state: State, server: str, operator: str) -> list[Effect]:
    for known in state.servers.by_name.values():
        if known.entry.name == server:
            known.drained = True
    return [Log("drain", {"server": server, "operator": operator})]
