"""Report to the platform how many requests servers began in each window, by customer.

Each instance sends its counts (`state.usage_meter`) to the candidates for the lease of the duties
at a fixed interval. A count is the sum since the start of the window, so the newest message
replaces lost ones, and the counts of a failed instance remain. The holder asks for the counts that
it lacks (`usage_requests`).

The holder of the lease *settles* a window some time after its end: it writes the counts into the
note of its lease (`lease_flow.set_note`), which the store keeps. Only settled counts are reported,
which prevents a successor from reporting other counts for the same window. The note is part of the
conditional append that renews the lease, so windows have one order and a successor reports what its
predecessor settled.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final

from turmericweir_core.base.ids import InstanceName
from turmericweir_core.duties import election
from turmericweir_core.leases import lease_flow
from turmericweir_core.membership import membership
from turmericweir_core.messages.duty_messages import UsageCounts, WindowCounts
from turmericweir_core.messages.effects import Count, Effect, Log, ReportUsage, SendDatagram
from turmericweir_core.messages.events import DutyAnswered, DutyOutcome
from turmericweir_core.records.usage_note import UsageNote, decode_usage_note, encode_usage_note
from turmericweir_core.state import usage_meter
from turmericweir_core.state.duty_state import DutyState, ReportedUsage, UsageRecords
from turmericweir_core.state.membership_state import Member
from turmericweir_core.state.usage_meter import UsageMeter

if TYPE_CHECKING:
    from turmericweir_core.state.state import State

# Interval between two messages of one instance: the minimum, and the part for each instance, which
# limits the load on a candidate.
_SEND_INTERVAL_S: Final = 1.0
_SEND_INTERVAL_PER_INSTANCE_S: Final = 0.01
# Time for which unchanged counts are sent again, as a message may be lost.
_RESEND_S: Final = 1.2
# Number of newest windows in a message; a new candidate receives all windows.
_WINDOWS_PER_MESSAGE: Final = 3
# Shares of `late_s`, the time for reporting a window. After the first one, a window is settled if
# all instances have sent its final counts; after the second one, without those that are not live;
# after the third one, in any case.
_SETTLE_SHARE: Final = 0.12
_SETTLE_ABSENT_SHARE: Final = 0.35
_SETTLE_LATEST_SHARE: Final = 0.55
# Time for which a new holder waits for what the others know of earlier windows.
_ANSWER_WAIT_S: Final = 1.5
# Number of stored windows; older ones have been settled or cannot be reported any more.
_WINDOWS_STORED: Final = 24
# Delay after a failed call, doubled with each failure up to the maximum.
_RETRY_S: Final = 0.4
_RETRY_MAX_S: Final = 2.0


# --- every instance --------------------------------------------------------------------------


def send_counts(state: State, now: float) -> list[Effect]:
    """Send this instance's counts to the candidates when they are due."""
    duties, meter = _duties(state), _meter(state)
    usage = duties.usage
    current = usage_meter.window_at(meter, now)
    is_window_over = current != usage.sent_window
    if now < usage.next_send_at and not is_window_over:
        return []
    receivers = [
        member for member in election.candidates(state, now) if member.name != state.me.name
    ]
    names = frozenset(member.name for member in receivers)
    has_changed = meter.changed_at >= usage.sent_at - _RESEND_S
    new_receivers = names - usage.sent_to
    if not (has_changed or is_window_over or new_receivers):
        return []
    interval_s = max(_SEND_INTERVAL_S, _SEND_INTERVAL_PER_INSTANCE_S * len(state.members.by_name))
    usage.next_send_at = now + interval_s * state.rng.uniform(0.9, 1.1)
    usage.sent_at = now
    usage.sent_window = current
    usage.sent_to = names
    return [
        _counts_message(state, now, member, has_all_windows=member.name in new_receivers)
        for member in receivers
    ]


def _counts_message(state: State, now: float, to: Member, *, has_all_windows: bool) -> SendDatagram:
    current = usage_meter.window_at(_meter(state), now) or 0
    oldest = 0 if has_all_windows else current - _WINDOWS_PER_MESSAGE + 1
    return SendDatagram(to.name, to.peer_address, own_counts(state, now, oldest))


def own_counts(state: State, now: float, oldest: int) -> UsageCounts:
    """Return this instance's counts of the windows from one on."""
    usage = _duties(state).usage
    usage.seq += 1
    windows = [
        WindowCounts(window, counts)
        for window, counts in sorted(_meter(state).windows.items())
        if window >= oldest
    ]
    return UsageCounts(state.me.incarnation, usage.seq, _open_window(state, now), windows)


def _open_window(state: State, now: float) -> int:
    """Return the oldest window to which this instance may still add."""
    meter = _meter(state)
    window = usage_meter.window_at(meter, now) or 0
    for req in state.requests.values():
        # A plain request counts from its start, once its outcome is known.
        if req.attempt is not None and req.attempt.sent and not req.is_metered:
            start_window = usage_meter.window_at(meter, req.attempt.started_at)
            window = window if start_window is None or req.streamed else min(window, start_window)
    return window


def on_counts(state: State, now: float, sender: InstanceName, message: UsageCounts) -> None:
    """Record the counts received from another instance."""
    received = _duties(state).usage.counts_by_incarnation
    record = received.get((sender, message.incarnation))
    if record is None:
        record = received[sender, message.incarnation] = ReportedUsage(-1, 0, now)
    if message.seq <= record.seq:
        return
    record.seq, record.open_window, record.received_at = message.seq, message.open_window, now
    for window_counts in message.windows:
        record.windows[window_counts.window] = window_counts.counts


def drop_old_windows(state: State, now: float) -> None:
    """Drop expired windows."""
    current = usage_meter.window_at(_meter(state), now)
    if current is None:
        return
    usage = _duties(state).usage
    oldest = current - _WINDOWS_STORED
    for key, entry in list(usage.counts_by_incarnation.items()):
        entry.windows = {
            window: counts for window, counts in entry.windows.items() if window >= oldest
        }
        if not entry.windows and entry.open_window < oldest:
            del usage.counts_by_incarnation[key]
    usage.reported = {entry for entry in usage.reported if entry >= oldest}
    usage.late_calls = {
        token: window for token, window in usage.late_calls.items() if window >= oldest
    }


# --- the holder ------------------------------------------------------------------------------


def on_tick(state: State, now: float) -> list[Effect]:
    """Settle the windows that are over, and report settled windows."""
    if not lease_flow.is_own_lease(state, election.SCOPE):
        return []
    note = known_note(state)
    effects = _announce_settled(state, now, note)
    effects += _settle_windows(state, now, note)
    effects += _report_window(state, now, note)
    return effects


def known_note(state: State) -> UsageNote:
    """Return the newest note that this instance has read; a copy of the store may hold an older."""
    usage = _duties(state).usage
    written = lease_flow.newest_note(state, election.SCOPE)
    if written is not usage.written_note:
        usage.written_note = written
        note = decode_usage_note(written)
        if _newest_of(note) >= _newest_of(usage.note):
            usage.note = note
    return usage.note


def _announce_settled(state: State, now: float, note: UsageNote) -> list[Effect]:
    """Announce to the candidates what was settled, before it is reported."""
    usage = _duties(state).usage
    if note.newest is None or note.newest == usage.announced_newest:
        return []
    usage.announced_newest = note.newest
    return election.send_status(state, now, note)


def note_settled(state: State, newest: int | None, settled: list[WindowCounts]) -> None:
    """Remember what a holder has settled, as it or another instance says."""
    note = UsageNote(newest, {each.window: each.counts for each in settled})
    if _newest_of(note) > _newest_of(known_note(state)):
        _duties(state).usage.note = note


def _newest_of(note: UsageNote) -> int:
    return -1 if note.newest is None else note.newest


def has_work(state: State) -> bool:
    """Return whether a window is being settled or waits to be reported."""
    note = known_note(state)
    is_waiting = any(window not in _duties(state).usage.reported for window in note.counts)
    return is_waiting or _is_settling(state, note)


def _is_settling(state: State, note: UsageNote) -> bool:
    return state.leases.notes.get(election.SCOPE) not in (None, encode_usage_note(note))


def _settle_windows(state: State, now: float, note: UsageNote) -> list[Effect]:
    """Write the counts of finished windows into the lease with its next renewal."""
    meter, usage = _meter(state), _duties(state).usage
    if _is_settling(state, note) or not _has_heard(state, now):
        return []
    current = usage_meter.window_at(meter, now)
    if current is None:
        return []
    finished = []
    window = next_window(state, note, current)
    while window < current and _can_settle(state, now, window):
        finished.append(window)
        window += 1
    if not finished:
        return []
    counts = {noted: each for noted, each in note.counts.items() if noted not in usage.reported}
    counts |= {each: _total_counts(state, each) for each in finished}
    settled = encode_usage_note(UsageNote(finished[-1], counts))
    if not lease_flow.set_note(state, now, election.SCOPE, settled):
        return []
    return [
        Log("usage_settled", {"window": each, "requests": sum(counts[each].values())})
        for each in finished
    ]


def _has_heard(state: State, now: float) -> bool:
    """Return whether the others had time to answer what was settled before a new holder."""
    usage = _duties(state).usage
    if usage.asked_fence != lease_flow.known_fence(state, election.SCOPE):
        return False
    live = {each.name for each in membership.live_instances(state, now)} - {state.me.name}
    return live <= usage.answered or now - usage.asked_at >= _ANSWER_WAIT_S


def next_window(state: State, note: UsageNote, current: int) -> int:
    """Return the oldest window that is not settled."""
    if note.newest is not None:
        return note.newest + 1
    usage = _duties(state).usage
    if usage.first_window is None:
        usage.first_window = _first_window(state, current)
    return usage.first_window


def _first_window(state: State, current: int) -> int:
    """Return the first window to report if none has been reported."""
    windows = [*_meter(state).windows]
    for entry in _duties(state).usage.counts_by_incarnation.values():
        windows += entry.windows
    return min([current, *(entry for entry in windows if entry >= current - _WINDOWS_STORED)])


def _can_settle(state: State, now: float, window: int) -> bool:
    late_s = _duties(state).settings.late_s
    age_s = now - usage_meter.window_end(_meter(state), window)
    if age_s >= _SETTLE_LATEST_SHARE * late_s:
        return True
    if age_s < _SETTLE_SHARE * late_s:
        return False
    if _open_window(state, now) <= window or members_without_counts(state, now, window):
        return False
    # An instance that is not heard may be busy or cut off, and serve requests all the same.
    is_absence_over = age_s >= _SETTLE_ABSENT_SHARE * late_s
    return is_absence_over or not _without_counts(
        state, membership.recent_instances(state, now, late_s), window
    )


def members_without_counts(state: State, now: float, window: int) -> list[Member]:
    """Return the live instances whose final counts of a window are not known here."""
    answered = _duties(state).usage.answered
    live = [each for each in membership.live_instances(state, now) if each.name != state.me.name]
    lacking = {each.name for each in _without_counts(state, live, window)}
    # Those that have not answered may have counts of instances that have ended.
    return [each for each in live if each.name in lacking or each.name not in answered]


def _without_counts(state: State, members: list[Member], window: int) -> list[Member]:
    received = _duties(state).usage.counts_by_incarnation
    lacking = []
    for member in members:
        record = received.get((member.name, member.incarnation))
        if member.name != state.me.name and (record is None or record.open_window <= window):
            lacking.append(member)
    return lacking


def _total_counts(state: State, window: int) -> dict[str, int]:
    total: dict[str, int] = dict(_meter(state).windows.get(window, {}))
    for record in _duties(state).usage.counts_by_incarnation.values():
        for customer, count in record.windows.get(window, {}).items():
            total[customer] = total.get(customer, 0) + count
    return total


def _report_window(state: State, now: float, note: UsageNote) -> list[Effect]:
    """Send the oldest settled window that the platform has not accepted."""
    duties = _duties(state)
    usage = duties.usage
    waiting = sorted(window for window in note.counts if window not in usage.reported)
    if not waiting or usage.call_in_flight is not None or now < usage.next_call_at:
        return []
    lease = election.usable_lease(state, now)
    if lease is None:
        return []
    duties.number += 1
    token = f"usage-{duties.number}"
    usage.call_in_flight = (token, waiting[0])
    lease_flow.note_order_sent(state, now, election.SCOPE, token)
    counts = note.counts[waiting[0]]
    return [ReportUsage(token, waiting[0], counts, lease.fence, lease.expires_at)]


def on_answered(state: State, now: float, event: DutyAnswered) -> list[Effect]:
    """Record the outcome of a report; one that was not accepted is sent again unchanged."""
    duties = _duties(state)
    usage = duties.usage
    if event.token in usage.late_calls:
        return _on_late_answer(usage, event)
    if usage.call_in_flight is None or usage.call_in_flight[0] != event.token:
        return []
    window = usage.call_in_flight[1]
    usage.call_in_flight = None
    if event.outcome is DutyOutcome.UNKNOWN:
        usage.late_calls[event.token] = window
    fields: dict[str, Any] = {"window": window, "outcome": event.outcome.value}
    log = Log("usage_answered", {**fields, "error": event.error})
    if event.outcome is DutyOutcome.DONE:
        usage.reported.add(window)
        usage.failures = 0
        return [log, Count("duty.usage.done")]
    usage.failures += 1
    pause_s = min(_RETRY_MAX_S, _RETRY_S * 2.0 ** (usage.failures - 1))
    usage.next_call_at = now + pause_s * state.rng.uniform(0.5, 1.0)
    return [log, Count(f"duty.usage.{event.outcome.value}")]


def _on_late_answer(usage: UsageRecords, event: DutyAnswered) -> list[Effect]:
    """Record the outcome of a report whose answer came after it had been given up."""
    window = usage.late_calls.pop(event.token)
    if event.outcome is not DutyOutcome.DONE:
        return []
    usage.reported.add(window)
    fields = {"window": window, "outcome": event.outcome.value, "error": "late"}
    return [Log("usage_answered", fields), Count("duty.usage.late")]


def _duties(state: State) -> DutyState:
    assert state.duties is not None
    return state.duties


def _meter(state: State) -> UsageMeter:
    assert state.meter is not None
    return state.meter
