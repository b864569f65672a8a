"""The reducer of the log-based interface: `reduce` applies every event of an instance.

It changes the state in place and returns the effects that the daemon has to perform. It does no
I/O, reads no clock and uses only the seeded random generator in the state, so a run can be
reproduced from its events. Each event is passed to the reducers of the concerns that it affects:
`reducer_common` has those of every instance; this module adds those of the log.
"""

from __future__ import annotations

from random import Random
from typing import assert_never

from turmericweir_core.base.ids import InstanceName
from turmericweir_core.base.options import Options
from turmericweir_core.claims import claim_carry, claim_members
from turmericweir_core.claims.claim_outbox import is_flushed
from turmericweir_core.leases import lease_flow, model_demand, model_flow, order_flow
from turmericweir_core.limits import limit
from turmericweir_core.membership import membership_reducer
from turmericweir_core.messages.claim_messages import (
    ClaimAsk,
    ClaimKept,
    ClaimOpen,
    ClaimRelease,
    ClaimUnheld,
    ClaimVote,
    ClaimVoteAsk,
)
from turmericweir_core.messages.duty_messages import ModelDemand
from turmericweir_core.messages.effects import Effect
from turmericweir_core.messages.events import (
    AnswerReceived,
    AppendDone,
    AppendFailed,
    AttemptEnded,
    AttemptProgress,
    AttemptSent,
    CacheEvents,
    CallerLeft,
    CarriedChanged,
    ChangeSubmitted,
    DocumentConfirmed,
    DocumentRead,
    DocumentUnreadable,
    DrainRequested,
    DutyAnswered,
    EntriesUnreadable,
    Event,
    ListRead,
    LogExpired,
    LogFailed,
    LogNewest,
    LogRead,
    OrderDone,
    PeerReceived,
    PeerUnreachable,
    RegistryRead,
    RequestArrived,
    SeedsGiven,
    ServerAnswered,
    ServerIdentified,
    ServerReport,
    ServerUnreachable,
    StopRequested,
    Tick,
    WallClockRead,
    WeightsAnswered,
)
from turmericweir_core.messages.limit_messages import LimitAsk, LimitGrant
from turmericweir_core.messages.membership_messages import Heartbeat
from turmericweir_core.messages.record_messages import (
    EraMarked,
    RecordsRead,
    ReleasesPut,
    StreamsNotPut,
)
from turmericweir_core.messages.settings_messages import SettingsAsk, SettingsSend
from turmericweir_core.placement import dispatch
from turmericweir_core.records.claim_record import CLAIMS_STREAM
from turmericweir_core.records.lease_record import LEASES_STREAM
from turmericweir_core.records.settings_record import SETTINGS_STREAM as SETTINGS_STREAM
from turmericweir_core.reducers.reducer_common import (
    exit_when_done,
    reduce_common,
    tick_others,
    tick_requests,
)
from turmericweir_core.requests import claim_flow
from turmericweir_core.settings import settings_flow
from turmericweir_core.state.state import Identity, State


def new_state(identity: Identity, options: Options, seed: int) -> State:
    """Return the initial state of an instance."""
    return State(me=identity, options=options, rng=Random(seed))


def reduce(state: State, now: float, event: Event) -> list[Effect]:
    """Apply one event at time `now` of the runtime's clock, seconds; return the effects."""
    effects = _apply(state, now, event)
    if state.claims.keys_to_evaluate:
        effects += claim_flow.settle_changed_keys(state, now)
    return effects


def _apply(state: State, now: float, event: Event) -> list[Effect]:
    match event:
        case Tick():
            return _on_tick(state, now)
        case RequestArrived():
            effects = reduce_common(state, now, event)
            return effects + claim_flow.on_arrived(state, now, event.request)
        case ServerReport():
            effects = reduce_common(state, now, event)
            order_flow.note_report(state, now, event)
            return effects
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
        case PeerReceived():
            return _on_peer(state, now, event)
        case PeerUnreachable():
            effects = reduce_common(state, now, event)
            return effects + claim_flow.on_peer_unreachable(state, now, event)
        case (
            CallerLeft()
            | ServerIdentified()
            | AttemptSent()
            | AttemptProgress()
            | AnswerReceived()
            | AttemptEnded()
            | ServerUnreachable()
            | ServerAnswered()
            | CarriedChanged()
            | CacheEvents()
            | ListRead()
            | SeedsGiven()
            | StopRequested()
            | DrainRequested()
        ):
            return reduce_common(state, now, event)
        case (
            LogRead()
            | LogNewest()
            | LogExpired()
            | LogFailed()
            | AppendDone()
            | AppendFailed()
            | DutyAnswered()
            | WallClockRead()
        ):
            return []
        case (
            DocumentRead()
            | DocumentConfirmed()
            | RecordsRead()
            | EraMarked()
            | ReleasesPut()
            | StreamsNotPut()
            | DocumentUnreadable()
            | RegistryRead()
            | EntriesUnreadable()
        ):
            # Events of platforms whose store has the settings and servers; see `reducer_store`.
            return []
        case unreachable:
            assert_never(unreachable)


def _on_peer(state: State, now: float, event: PeerReceived) -> list[Effect]:
    sender = event.sender
    match event.message:
        case (
            ClaimAsk()
            | ClaimKept()
            | ClaimOpen()
            | ClaimUnheld()
            | ClaimVoteAsk()
            | ClaimVote()
            | ClaimRelease()
        ) as message:
            return claim_flow.on_message(state, now, sender, message)
        case (SettingsAsk() | SettingsSend()) as message:
            return settings_flow.on_message(state, now, sender, message)
        case Heartbeat() as heartbeat:
            return _on_heartbeat(state, now, sender, heartbeat, event.origin)
        case LimitAsk() as ask:
            return limit.on_ask(state, now, sender, ask)
        case LimitGrant() as grant:
            return limit.on_grant(state, now, sender, grant)
        case ModelDemand() as demand:
            model_demand.on_message(state, now, sender, demand)
            return []
        case _:
            return reduce_common(state, now, event)


def _on_tick(state: State, now: float) -> list[Effect]:
    effects = tick_requests(state, now)
    effects += limit.on_tick(state, now)
    effects += claim_flow.on_tick(state, now)
    effects += claim_carry.on_tick(state, now)
    effects += claim_members.on_tick(state, now)
    effects += settings_flow.on_tick(state, now)
    effects += lease_flow.on_tick(state, now)
    effects += model_demand.on_tick(state, now)
    effects += model_flow.on_tick(state, now)
    effects += tick_others(state, now)
    # The outbox is flushed before the exit, as it withdraws unused claims, which would block their
    # keys, and reports the ends of calls. `exit_when_done` limits the time, as the log may be down.
    return effects + exit_when_done(state, now, flushed=is_flushed(state.claims.outbox))


def _on_heartbeat(
    state: State, now: float, sender: InstanceName, heartbeat: Heartbeat, origin: str
) -> list[Effect]:
    effects, full_heartbeat = membership_reducer.on_heartbeat(state, now, sender, heartbeat, origin)
    if full_heartbeat is None:
        return effects
    return effects + settings_flow.on_heartbeat(state, sender, full_heartbeat)
