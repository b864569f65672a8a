"""The reducer for a platform whose store has the settings and the servers' entries.

The settings come as one document (`document`), and the servers register themselves (`registry`).
Claims, leases, limits and the log of settings belong to the log-based interface (`reducer`). On
this platform a caller's attempt runs on only one instance, so instances need not agree on which one
runs it.
"""

from __future__ import annotations

from typing import assert_never

from turmericweir_core.engines import cache_handover, load_updates, shared_pace
from turmericweir_core.membership import eras, leaving
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
    EndUnsent,
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
from turmericweir_core.messages.load_messages import (
    CachesAsk,
    CachesSend,
    LoadBundle,
    LoadNews,
)
from turmericweir_core.messages.record_messages import (
    EraMarked,
    RecordsRead,
    ReleasesPut,
    StreamsNotPut,
)
from turmericweir_core.messages.server_messages import RegistryNews, ServersAsk, ServersSend
from turmericweir_core.messages.settings_messages import DocumentAsk, DocumentProof, DocumentSend
from turmericweir_core.placement import dead_server, dispatch
from turmericweir_core.reducers.reducer_common import (
    exit_when_done,
    reduce_common,
    tick_others,
    tick_requests,
)
from turmericweir_core.requests import route_changes, taken_up
from turmericweir_core.state.state import State
from turmericweir_core.store import document, registry
from turmericweir_core.streams import stream_records


def reduce(state: State, now: float, event: Event) -> list[Effect]:
    """Apply one event at time `now` of the runtime's clock, seconds; return the effects."""
    effects = _apply(state, now, event)
    return effects + load_updates.send_due_update(state, now)


def _apply(state: State, now: float, event: Event) -> list[Effect]:
    # The most frequent events come first, since each case before them costs time.
    match event:
        case PeerReceived():
            return _on_peer(state, now, event)
        case AttemptProgress():
            return reduce_common(state, now, event)
        case Tick():
            return _on_tick(state, now)
        case DocumentRead():
            config = state.config
            effects = document.on_read(state, now, event)
            if state.config is not config:
                effects += route_changes.on_settings(state, now)
            return effects + dispatch.dispatch_all(state, now)
        case DocumentConfirmed():
            return document.on_confirmed(state, now, event)
        case DocumentUnreadable():
            return document.on_unreadable(event)
        case RecordsRead():
            effects = eras.on_records_read(state, now, event)
            return effects + taken_up.on_records_read(state, now, event)
        case EraMarked():
            return eras.on_marked(state, event)
        case ReleasesPut():
            return stream_records.on_releases_put(state, event)
        case StreamsNotPut():
            return stream_records.on_streams_not_put(state, event)
        case RegistryRead():
            effects = registry.on_read(state, now, event)
            effects += leaving.create_leaving_notices(state, now)
            return effects + dispatch.dispatch_all(state, now)
        case EntriesUnreadable():
            return registry.on_unreadable(state, now, event)
        case ServerAnswered(server, via):
            dead_server.on_answered(state, now, server, via)
            return reduce_common(state, now, event)
        case ServerUnreachable(server, _, via, is_declined=True):
            dead_server.on_declined(state, now, server, via)
            return reduce_common(state, now, event)
        case ServerUnreachable(server, _, via):
            effects = reduce_common(state, now, event)
            return effects + dead_server.on_unreachable(state, now, server, via)
        case AttemptEnded(request_id, _, EndUnsent(is_declined=False)):
            # Like a failed probe, a request that could not be sent shows an unreachable server.
            req = state.requests.get(request_id)
            attempt = None if req is None else req.attempt
            effects = reduce_common(state, now, event)
            if attempt is None:
                return effects
            return effects + dead_server.on_unreachable(state, now, attempt.server, attempt.via)
        case (
            RequestArrived()
            | CallerLeft()
            | ServerIdentified()
            | AttemptSent()
            | AnswerReceived()
            | AttemptEnded()
            | ServerReport()
            | CacheEvents()
            | ListRead()
            | SeedsGiven()
            | PeerUnreachable()
            | CarriedChanged()
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
            | OrderDone()
            | DutyAnswered()
            | WallClockRead()
            | WeightsAnswered()
            | ChangeSubmitted()
        ):
            # Events of the log-based interface or of duties, which this process does not have.
            return []
        case unreachable:
            assert_never(unreachable)


def _on_peer(state: State, now: float, event: PeerReceived) -> list[Effect]:
    sender = event.sender
    match event.message:
        case LoadNews() | LoadBundle():
            return reduce_common(state, now, event)
        case DocumentAsk() as ask:
            return document.on_ask(state, now, sender, ask)
        case DocumentSend() as message:
            return document.on_send(state, sender, message)
        case DocumentProof() as message:
            return document.on_proof(state, now, sender, message)
        case RegistryNews() as update:
            effects = registry.on_registry_update(state, now, sender, update)
            effects += leaving.create_leaving_notices(state, now)
            return effects + dispatch.dispatch_all(state, now)
        case ServersAsk():
            return registry.answer_list(state, now, sender)
        case ServersSend() as message:
            effects = registry.on_list(state, now, sender, message)
            effects += leaving.create_leaving_notices(state, now)
            return effects + dispatch.dispatch_all(state, now)
        case CachesAsk():
            return cache_handover.on_caches_request(state, now, sender)
        case CachesSend() as message:
            return cache_handover.on_caches_received(state, sender, message)
        case _:
            return reduce_common(state, now, event)


def _on_tick(state: State, now: float) -> list[Effect]:
    effects = registry.on_tick(state, now)
    effects += tick_requests(state, now)
    effects += dead_server.on_tick(state, now)
    effects += document.on_tick(state, now)
    effects += eras.on_tick(state, now)
    effects += stream_records.on_tick(state, now)
    effects += cache_handover.on_tick(state, now)
    load_updates.forget_stale_origins(state, now)
    shared_pace.on_tick(state, now)
    effects += tick_others(state, now)
    return effects + exit_when_done(state, now, flushed=True)
