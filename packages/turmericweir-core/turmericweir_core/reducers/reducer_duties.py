"""The reducer for platforms with duties that one instance holds at a time; extends `reducer_store`.

Imported only if the settings of the process configure such duties.
"""

from __future__ import annotations

from turmericweir_core.duties import capacity, election, usage, usage_requests
from turmericweir_core.leases import lease_flow
from turmericweir_core.messages.duty_messages import (
    DutyStatus,
    UsageAsk,
    UsageCounts,
    UsageSend,
)
from turmericweir_core.messages.effects import Effect
from turmericweir_core.messages.events import (
    AppendDone,
    AppendFailed,
    AttemptProgress,
    DutyAnswered,
    DutyOutcome,
    Event,
    LogExpired,
    LogFailed,
    LogNewest,
    LogRead,
    PeerReceived,
    StopRequested,
    Tick,
    WallClockRead,
)
from turmericweir_core.messages.load_messages import LoadBundle, LoadNews
from turmericweir_core.reducers import reducer_store
from turmericweir_core.state import usage_meter
from turmericweir_core.state.state import State


def reduce(state: State, now: float, event: Event) -> list[Effect]:
    """Apply one event at time `now` of the runtime's clock, seconds; return the effects."""
    # The most frequent events come first, since each case before them costs time.
    match event:
        case PeerReceived():
            return _on_peer(state, now, event)
        case AttemptProgress():
            return reducer_store.reduce(state, now, event)
        case Tick():
            return reducer_store.reduce(state, now, event) + _on_tick(state, now)
        case StopRequested():
            return reducer_store.reduce(state, now, event) + usage.send_counts(state, now)
        case WallClockRead(wall_s):
            if state.meter is not None:
                usage_meter.note_clock(state.meter, now, wall_s)
            return []
        case LogRead() | LogNewest() | LogExpired() | LogFailed():
            _note_store_result(state, now, is_successful=not isinstance(event, LogFailed))
            effects = lease_flow.on_log(state, now, event)
            election.note_lease_holder(state, now)
            return effects
        case AppendDone() | AppendFailed():
            _note_store_result(state, now, is_successful=isinstance(event, AppendDone))
            return lease_flow.on_append(state, now, event)
        case DutyAnswered():
            return _on_duty_answered(state, now, event)
        case _:
            return reducer_store.reduce(state, now, event)


def _on_peer(state: State, now: float, event: PeerReceived) -> list[Effect]:
    sender = event.sender
    match event.message:
        case LoadNews() | LoadBundle():
            return reducer_store.reduce(state, now, event)
        case UsageCounts() as message:
            usage.on_counts(state, now, sender, message)
            return []
        case UsageAsk() as ask:
            return usage_requests.on_ask(state, now, sender, ask)
        case UsageSend() as answer:
            usage_requests.on_answer(state, now, sender, answer)
            return []
        case DutyStatus() as status:
            election.on_status(state, now, sender, status)
            usage.note_settled(state, status.newest_settled, status.settled)
            return []
        case _:
            return reducer_store.reduce(state, now, event)


def _on_tick(state: State, now: float) -> list[Effect]:
    duties = state.duties
    if duties is None or state.meter is None:
        return []
    effects: list[Effect] = []
    if duties.settings.reports_usage:
        effects += usage.send_counts(state, now)
        usage.drop_old_windows(state, now)
    effects += election.on_tick(state, now)
    if lease_flow.is_own_lease(state, election.SCOPE) and now >= duties.barred_until:
        effects += _run_duties(state, now)
    return effects + lease_flow.on_tick(state, now)


def _run_duties(state: State, now: float) -> list[Effect]:
    duties = state.duties
    assert duties is not None
    lease_flow.set_idle(state, election.SCOPE, is_idle=True)
    effects: list[Effect] = []
    has_work = False
    if duties.settings.orders_servers:
        effects += capacity.on_tick(state, now)
        has_work = capacity.has_work(state)
    if duties.settings.reports_usage:
        effects += usage_requests.ask_missing(state, now)
        effects += usage.on_tick(state, now)
        has_work = has_work or usage.has_work(state)
    if has_work:
        lease_flow.set_idle(state, election.SCOPE, is_idle=False)
    return effects


def _note_store_result(state: State, now: float, *, is_successful: bool) -> None:
    if state.duties is not None:
        election.note_call_outcome(state, now, is_successful=is_successful)


def _on_duty_answered(state: State, now: float, event: DutyAnswered) -> list[Effect]:
    effects = usage.on_answered(state, now, event) + capacity.on_answered(state, now, event)
    if event.outcome is not DutyOutcome.UNKNOWN:
        lease_flow.note_order_settled(state, election.SCOPE, event.token)
    if event.outcome is DutyOutcome.STALE:
        effects += lease_flow.drop_lease(state, now, election.SCOPE)
    is_successful = event.outcome in (DutyOutcome.DONE, DutyOutcome.NONE_LEFT, DutyOutcome.STALE)
    election.note_call_outcome(state, now, is_successful=is_successful)
    return effects
