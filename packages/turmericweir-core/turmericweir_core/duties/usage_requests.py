"""Ask other instances for the counts of usage that the holder of the duties lacks.

Instances send their counts to the candidates for the lease (`usage`). A holder may lack some: it
has started only now, others take it for no candidate, or datagrams were lost. Before it settles a
window it asks all instances once in each lease, and those whose final counts it lacks at intervals.
Each answers with its own counts, and with those of instances that have ended: a process that was
killed cannot be asked, but one of the candidates of its time has what it had sent.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from turmericweir_core.base.ids import InstanceName
from turmericweir_core.duties import election, usage
from turmericweir_core.leases import lease_flow
from turmericweir_core.membership import membership
from turmericweir_core.messages.duty_messages import (
    OriginCounts,
    UsageAsk,
    UsageCounts,
    UsageSend,
    WindowCounts,
)
from turmericweir_core.messages.effects import Effect, SendPeer
from turmericweir_core.state import usage_meter
from turmericweir_core.state.duty_state import ReportedUsage, UsageRecords

if TYPE_CHECKING:
    from turmericweir_core.state.state import State

# Interval between two requests to the same instance.
_ASK_INTERVAL_S: Final = 0.8
# Time after the end of a window before its counts are asked for, as most of them arrive unasked.
_ASK_AFTER_S: Final = 0.6


def ask_missing(state: State, now: float) -> list[Effect]:
    """Ask for the counts of the next window to settle, as the holder."""
    records = _records(state)
    fence = lease_flow.known_fence(state, election.SCOPE)
    if records.asked_fence != fence:
        records.asked_fence = fence
        records.answered.clear()
        records.next_ask_at = now
        records.asked_at = now
    if now < records.next_ask_at or state.meter is None:
        return []
    current = usage_meter.window_at(state.meter, now)
    if current is None:
        return []
    note = usage.known_note(state)
    window = usage.next_window(state, note, current)
    if now < usage_meter.window_end(state.meter, window) + _ASK_AFTER_S:
        return []
    records.next_ask_at = now + _ASK_INTERVAL_S
    return [
        SendPeer(member.name, member.peer_address, UsageAsk(window))
        for member in usage.members_without_counts(state, now, window)
    ]


def on_ask(state: State, now: float, sender: InstanceName, ask: UsageAsk) -> list[Effect]:
    """Send the holder this instance's counts and those of instances that have ended."""
    peer = membership.find_member(state, sender)
    if peer is None or state.meter is None:
        return []
    live = {(member.name, member.incarnation) for member in membership.live_instances(state, now)}
    origins = [OriginCounts(state.me.name, usage.own_counts(state, now, ask.window))]
    origins += [
        OriginCounts(name, _received_counts(incarnation, record, ask.window))
        for (name, incarnation), record in _records(state).counts_by_incarnation.items()
        if (name, incarnation) not in live
    ]
    note = usage.known_note(state)
    message = UsageSend(origins, note.newest, election.settled_counts(note))
    return [SendPeer(sender, peer.peer_address, message)]


def _received_counts(incarnation: str, record: ReportedUsage, oldest: int) -> UsageCounts:
    windows = [
        WindowCounts(window, counts)
        for window, counts in record.windows.items()
        if window >= oldest
    ]
    return UsageCounts(incarnation, record.seq, record.open_window, windows)


def on_answer(state: State, now: float, sender: InstanceName, answer: UsageSend) -> None:
    """Record the counts that were asked for; the newest ones of each incarnation apply."""
    _records(state).answered.add(sender)
    usage.note_settled(state, answer.newest_settled, answer.settled)
    for each in answer.origins:
        if each.counts.incarnation != state.me.incarnation:
            usage.on_counts(state, now, InstanceName(each.origin), each.counts)


def _records(state: State) -> UsageRecords:
    assert state.duties is not None
    return state.duties.usage
